package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// follow follows a file from now on, and returns what to wait for: one value for each change.
func follow(t *testing.T, file *fileFollower) <-chan struct{} {
	ctx, stop := context.WithCancel(context.Background())
	changes, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		file.run(ctx, func() {
			select {
			case changes <- struct{}{}:
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() { stop(); <-ended })
	return changes
}

// Guards against settings that change while a process starts and are never taken.
func TestChangeDuringTheStartIsFound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	file := newFileFollower(path)
	require.NoError(t, os.WriteFile(path, []byte("two"), 0o600))
	<-follow(t, file)
}

// Guards against a SIGHUP that ends a process which is just starting, or is lost there.
func TestHangupDuringTheStartIsTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	file := newFileFollower(path)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-follow(t, file)
}
