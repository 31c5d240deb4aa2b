package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the pause between two looks at the settings file, which may also
// change without a signal.
const reloadInterval = 2 * time.Second

// fileFollower follows a settings file from the moment at which it is made.
type fileFollower struct {
	path   string
	hangup chan os.Signal
	// last is the file's content at the last look.
	last []byte
}

// newFileFollower is called before the file is read for the settings of the start, and before the
// process takes work: a change after that is found, and SIGHUP does not end the process.
func newFileFollower(path string) *fileFollower {
	f := &fileFollower{path: path, hangup: make(chan os.Signal, 1)}
	signal.Notify(f.hangup, syscall.SIGHUP)
	f.last, _ = os.ReadFile(path) // if it cannot be read, any content is new
	return f
}

// run calls changed on SIGHUP, and when the file's content has changed, until the context ends.
func (f *fileFollower) run(ctx context.Context, changed func()) {
	defer signal.Stop(f.hangup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-f.hangup:
			signalled = true
		case <-tick.C:
		}
		content, err := os.ReadFile(f.path)
		if err == nil && !signalled && bytes.Equal(content, f.last) {
			continue
		}
		f.last = content
		changed()
	}
}
