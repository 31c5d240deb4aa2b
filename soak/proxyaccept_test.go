package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a proxy that keeps its address open and forwards no further connections because one could
// not be accepted: a process behind it would count as silent.
func TestProxyAcceptsAfterAnError(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	go func() {
		conn, err := target.Accept()
		if err == nil {
			_, _ = io.WriteString(conn, "hello") // the reader checks it
			_ = conn.Close()
		}
	}()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{target: target.Addr().String(), conns: map[*net.TCPConn]bool{}, changed: make(chan struct{})}
	ended := make(chan struct{})
	go func() { p.serve(&failingListener{Listener: ln, failures: 2}); close(ended) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.NoError(t, ln.Close())
	<-ended
}

// failingListener fails some times before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}
