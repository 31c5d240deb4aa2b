package link_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

const (
	peerAddress = "10.0.0.2:7000"
	heartbeat   = time.Second
	// writeTimeout is how long a write may stand still: three heartbeats.
	writeTimeout = 3 * heartbeat
	// maxHandled is more than the requests of one connection that are handled at the same time.
	maxHandled = 1100
)

// Guards against a call that outlasts its deadline by a multiple because the peer stopped reading: the
// connection is open, its buffers are full, and the write of a message, or of one before it, blocks. Calls
// that ended must not leave goroutines behind, and the connection is closed, so that the next call opens
// a new one.
func TestCallEndsWithItsDeadlineWhilePeerDoesNotRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		defer ln.Close()
		go acceptAndStopReading(t, ln)
		p := newPool(&network)
		defer p.Close()
		const calls, timeout = 50, 40 * time.Millisecond
		began := time.Now()
		call := func() time.Duration {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			require.ErrorIs(t, p.Call(ctx, peerAddress, "announce", strings.Repeat("x", 100<<10), nil), link.ErrDown)
			return time.Since(start)
		}
		require.Equal(t, timeout, call())
		synctest.Wait()
		goroutines := countBlocked()
		took := make(chan time.Duration, calls)
		for range calls {
			go func() { took <- call() }()
		}
		for range calls {
			require.Equal(t, timeout, <-took)
		}
		synctest.Wait()
		require.Equal(t, goroutines, countBlocked())

		time.Sleep(writeTimeout - time.Since(began) - time.Millisecond)
		require.Equal(t, []string{peerAddress}, p.Peers())
		time.Sleep(2 * time.Millisecond)
		require.Empty(t, p.Peers(), "the write has timed out")
	})
}

// Guards against connections that take forever to open because the peer accepts them and does not read.
func TestDialEndsWithItsTimeoutWhilePeerDoesNotRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		defer ln.Close()
		go func() {
			conn, err := ln.Accept()
			if err == nil {
				<-t.Context().Done()
				_ = conn.Close()
			}
		}()
		p := newPool(&network)
		defer p.Close()
		began := time.Now()
		require.ErrorIs(t, p.Call(t.Context(), peerAddress, "announce", struct{}{}, nil), link.ErrDown)
		require.Equal(t, p.DialTimeout, time.Since(began))
	})
}

// countBlocked returns the number of blocked goroutines of the bubble: after synctest.Wait, all but the caller's.
// runtime.NumGoroutine would include those that have returned and are not removed yet.
func countBlocked() int {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return bytes.Count(stacks, []byte(" (durable), synctest bubble "))
}

// Guards against replies that pile up in the process that accepts connections: a caller sends requests
// and does not read the replies, and each reply waits for the ones before it. Their number is bounded, and
// the connection is closed.
func TestServerClosesAConnectionWhosePeerDoesNotRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		s := &link.Server{Security: link.Security{TrustedNetwork: true}, Heartbeat: heartbeat}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() { s.Serve(ctx, ln); close(served) }()
		defer func() { stop(); <-served }()
		conn, err := network.Dial(ctx, "tcp", peerAddress)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		synctest.Wait()
		goroutines := countBlocked()
		began, most := time.Now(), 0
		for err == nil {
			most = max(most, runtime.NumGoroutine())
			_, err = io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"from":"router-1/A"}}`)
			time.Sleep(time.Millisecond)
		}
		require.ErrorIs(t, err, io.ErrClosedPipe)
		require.InDelta(t, writeTimeout, time.Since(began), float64(2*time.Millisecond))
		require.Less(t, most-goroutines, maxHandled)
		synctest.Wait()
		require.Less(t, countBlocked(), goroutines, "the replies and the connection have ended")
	})
}

// Guards against connections that a large message on a slow link closes although it makes progress.
func TestSlowWriteThatMakesProgressIsNotInterrupted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		defer ln.Close()
		defer time.Sleep(time.Second) // lets the last slow read end
		large := strings.Repeat("x", 500<<10)
		s := &link.Server{Security: link.Security{TrustedNetwork: true}, Heartbeat: heartbeat, Methods: map[string]link.Handler{
			"length": link.Handle(func(_ context.Context, in string) (int, error) { return len(in), nil })}}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() { s.Serve(ctx, slowListener{ln}); close(served) }()
		defer func() { stop(); <-served }()
		p := newPool(&network)
		p.DialTimeout = time.Minute
		defer p.Close()
		began := time.Now()
		var n int
		require.NoError(t, p.Call(ctx, peerAddress, "length", large, &n))
		require.Equal(t, len(large), n)
		require.Greater(t, time.Since(began), writeTimeout)
	})
}

// Guards against a process that accepts no control messages any more, with its address open, because a
// connection could not be accepted once, such as for lack of file descriptors.
func TestServerAcceptsAfterAnError(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		s := &link.Server{Security: link.Security{TrustedNetwork: true}, Heartbeat: heartbeat, Methods: map[string]link.Handler{
			"echo": link.Handle(func(_ context.Context, in string) (string, error) { return in, nil })}}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() { s.Serve(ctx, &failingListener{Listener: ln, failures: 3}); close(served) }()
		defer func() { stop(); <-served }()
		p := newPool(&network)
		defer p.Close()
		var out string
		require.NoError(t, p.Call(ctx, peerAddress, "echo", "in", &out))
		require.Equal(t, "in", out)
	})
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

func newPool(network *memnet.Network) *link.Pool {
	return &link.Pool{From: "router-1/A", Security: link.Security{TrustedNetwork: true}, Heartbeat: heartbeat,
		DialTimeout: heartbeat, Dial: network.Dial}
}

// acceptAndStopReading accepts one connection, answers its first message and reads no further.
func acceptAndStopReading(t *testing.T, ln net.Listener) {
	conn, err := ln.Accept()
	if errors.Is(err, net.ErrClosed) {
		return
	}
	require.NoError(t, err)
	defer conn.Close()
	var hello struct {
		ID json.RawMessage `json:"id"`
	}
	require.NoError(t, json.NewDecoder(conn).Decode(&hello))
	_, err = io.WriteString(conn, `{"jsonrpc":"2.0","id":`+string(hello.ID)+`,"result":{}}`)
	require.NoError(t, err)
	<-t.Context().Done()
}

// slowListener accepts connections from which at most 50 kB/s can be read.
type slowListener struct{ net.Listener }

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return c.Conn.Read(b[:min(len(b), 1000)])
}
