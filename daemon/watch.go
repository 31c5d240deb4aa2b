package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the interval between checks of the settings file, which may also
// change without a signal.
const pollInterval = 2 * time.Second

// fileWatcher detects changes of a settings file since newFileWatcher was called.
type fileWatcher struct {
	path   string
	hangup chan os.Signal
	// lastContent is the file's content at the last check.
	lastContent []byte
}

// newFileWatcher must be called before the settings are first loaded, and before the process takes
// work: later changes are detected, and SIGHUP does not terminate the process until it has ended.
func newFileWatcher(path string) *fileWatcher {
	w := &fileWatcher{path: path, hangup: make(chan os.Signal, 1)}
	signal.Notify(w.hangup, syscall.SIGHUP)
	w.lastContent, _ = os.ReadFile(path) // if it cannot be read, any content is a change
	return w
}

// run calls changed on SIGHUP, and when the file's content has changed, until the context ends.
func (w *fileWatcher) run(ctx context.Context, changed func()) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			signalled = true
		case <-tick.C:
		}
		content, err := os.ReadFile(w.path)
		if err == nil && !signalled && bytes.Equal(content, w.lastContent) {
			continue
		}
		w.lastContent = content
		changed()
	}
}
