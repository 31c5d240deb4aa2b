// Package memnet is a network in memory for tests. Connections are pipes between
// goroutines, so whole processes can run in virtual time.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// ErrRefused is what a dial gets where nobody listens.
var ErrRefused = fmt.Errorf("memnet: %w", syscall.ECONNREFUSED)

// ErrReset is what a read gets after the other end was reset.
var ErrReset = errors.New("connection reset")

// Network connects listeners and dials by address. The zero value is empty.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// dark addresses take connections and answer nothing.
	dark map[string]bool
}

// Listen opens an address, as net.Listen does.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if n.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{network: n, address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address, as net.Dialer.DialContext does.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, dark := n.listeners[address], n.dark[address]
	n.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	near, far := pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetDark makes an address answer no new connection, or answer again.
func (n *Network) SetDark(address string, dark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dark == nil {
		n.dark = map[string]bool{}
	}
	n.dark[address] = dark
}

type listener struct {
	network *Network
	address addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// Conn is one end of a connection.
type Conn struct {
	net.Conn
	// broken is shared by both ends.
	broken *atomic.Bool
}

// pipe returns the two ends of a connection.
func pipe() (near, far *Conn) {
	a, b := net.Pipe()
	broken := &atomic.Bool{}
	return &Conn{a, broken}, &Conn{b, broken}
}

// Reset ends the connection so that the other end's reads fail, where Close would let
// them end as if all had been sent.
func (c *Conn) Reset() {
	c.broken.Store(true)
	_ = c.Close() // a pipe's never fails
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.broken.Load() {
		err = ErrReset
	}
	return n, err
}

// addr is an address as net.Addr.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
