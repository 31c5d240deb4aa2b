package localfleet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/arbutusmill/arbutusmill/hosted"
)

// link is the network of one process: its listeners and connections are known, so that it can be
// cut off from an address, or end as a process does whose VM loses power.
type link struct {
	hosted.Network

	mu    sync.Mutex
	dead  bool
	cut   map[string]bool
	conns map[net.Conn]string // to the address that was dialled, "" if it was accepted
	ports []net.Listener
}

// newLink makes the network of a process. open hands over listening addresses.
func newLink(open func(network, address string) (net.Listener, error)) *link {
	l := &link{cut: map[string]bool{}, conns: map[net.Conn]string{}}
	tcp := hosted.TCP()
	l.Network = hosted.Network{
		Listen: func(network, address string) (net.Listener, error) {
			port, err := open(network, address)
			if err != nil {
				return nil, err
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ports = append(l.ports, port)
			return &listener{Listener: port, link: l}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !l.reaches(address) {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			conn, err := tcp.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return l.keep(conn, address), nil
		},
	}
	return l
}

func (l *link) reaches(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.dead && !l.cut[address]
}

// keep remembers a connection until it is closed.
func (l *link) keep(conn net.Conn, address string) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := &keptConn{Conn: conn, link: l}
	l.conns[kept] = address
	if l.dead || l.cut[address] {
		_ = conn.Close() // its first use tells
	}
	return kept
}

// cutOff parts the process from an address, with the connections that it has there.
func (l *link) cutOff(address string) {
	l.end(func() { l.cut[address] = true }, func(to string) bool { return to == address })
}

// reconnect ends the cut.
func (l *link) reconnect(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, address)
}

// kill parts the process from everything: for all others it has died.
func (l *link) kill() {
	l.end(func() { l.dead = true }, func(string) bool { return true })
	l.mu.Lock()
	ports := l.ports
	l.mu.Unlock()
	for _, p := range ports {
		_ = p.Close() // it may have been closed
	}
}

// end makes a change and closes the connections that it concerns.
func (l *link) end(change func(), concerned func(address string) bool) {
	l.mu.Lock()
	change()
	var closing []net.Conn
	for conn, address := range l.conns {
		if concerned(address) {
			closing = append(closing, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close() // the other end may have closed it
	}
}

// keptConn forgets itself when it is closed.
type keptConn struct {
	net.Conn
	link *link
}

// Close implements net.Conn.
func (c *keptConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// listener remembers the connections that it accepts.
type listener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.keep(conn, ""), nil
}
