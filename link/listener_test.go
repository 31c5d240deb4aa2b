package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// lateListener accepts one connection as the context ends.
type lateListener struct {
	cancel context.CancelFunc
	closed atomic.Bool
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	l.cancel()
	conn, _ := net.Pipe()
	return conn, nil
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	l.closed.Store(true)
	return nil
}

// Addr implements net.Listener.
func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a listener that stays open after its server has stopped, since a connection was accepted in that moment: a
// process that starts at the address then fails.
func TestServerClosesItsListener(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		l := &lateListener{cancel: cancel}
		(&Server{}).Serve(ctx, l)
		require.True(t, l.closed.Load())
	}
}
