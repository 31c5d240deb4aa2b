// Package memnet is an in-memory network for tests. Connections are pipes between
// goroutines, so complete processes can run in virtual time.
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

// ErrRefused is returned by a dial to an address without a listener.
var ErrRefused = fmt.Errorf("memnet: %w", syscall.ECONNREFUSED)

// ErrReset is returned by a read after the other end was reset.
var ErrReset = errors.New("connection reset")

// Network connects dials to listeners by address. The zero value has no listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// blackholed addresses never respond: a dial blocks until its context ends.
	blackholed map[string]bool
}

// Listen opens an address, as net.Listen does.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if n.listeners[address] != nil {
		return nil, errors.New("address already in use: " + address)
	}
	l := &listener{network: n, address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address, as net.Dialer.DialContext does.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, blackholed := n.listeners[address], n.blackholed[address]
	n.mu.Unlock()
	if blackholed {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	client, server := pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetBlackholed makes new dials to an address block until their context ends, or connect again.
// Open connections are not affected.
func (n *Network) SetBlackholed(address string, blackholed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blackholed == nil {
		n.blackholed = map[string]bool{}
	}
	n.blackholed[address] = blackholed
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
	// reset is shared by both ends; it is set once one of them was reset.
	reset *atomic.Bool
}

// pipe returns the two ends of a connection.
func pipe() (client, server *Conn) {
	a, b := net.Pipe()
	reset := &atomic.Bool{}
	return &Conn{a, reset}, &Conn{b, reset}
}

// Reset closes the connection and makes reads on the other end fail with ErrReset; after
// Close they return io.EOF.
func (c *Conn) Reset() {
	c.reset.Store(true)
	_ = c.Close() // closing a pipe never fails
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = ErrReset
	}
	return n, err
}

// addr implements net.Addr.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
