package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// watchFile runs a watcher, and returns a channel that receives a value for each change.
func watchFile(t *testing.T, watcher *fileWatcher) <-chan struct{} {
	ctx, stop := context.WithCancel(context.Background())
	changes, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		watcher.run(ctx, func() {
			select {
			case changes <- struct{}{}:
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() { stop(); <-ended })
	return changes
}

// Guards against missing a change of the settings while a process starts: a watcher that reads the
// file only once it runs takes the changed file for the initial one.
func TestChangeDuringStartupIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	watcher := newFileWatcher(path)
	require.NoError(t, os.WriteFile(path, []byte("two"), 0o600))
	<-watchFile(t, watcher)
}

// Guards against a SIGHUP that terminates a starting process, or is lost, since no handler is
// registered yet.
func TestHangupDuringStartupIsHandled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	watcher := newFileWatcher(path)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-watchFile(t, watcher)
}

// Guards against a SIGHUP that terminates a process whose watcher has ended, with the requests that a planned stop
// waits for.
func TestHangupAfterTheWatcherEndedIsHandled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	watcher := newFileWatcher(path)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	watcher.run(ctx, func() {})
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-watcher.hangup
}
