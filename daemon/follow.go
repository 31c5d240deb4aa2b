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

// followFile calls changed on SIGHUP, and when the file's content has changed, until the
// context ends.
func followFile(ctx context.Context, path string, changed func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, _ := os.ReadFile(path) // it was read just before; if not, any content is new
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-tick.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(content, last) {
			continue
		}
		last = content
		changed()
	}
}
