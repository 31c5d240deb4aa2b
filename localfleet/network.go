package localfleet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/arbutusmill/arbutusmill/hosted"
)

// processNetwork is the network of one process. It tracks the listeners and connections of the process,
// so that the process can be disconnected from an address or killed as by a power loss of its VM.
type processNetwork struct {
	hosted.Network

	mu        sync.Mutex
	killed    bool
	blocked   map[string]bool     // addresses that the process is disconnected from
	conns     map[net.Conn]string // the dialled address of each connection, "" for an accepted one
	listeners []net.Listener
}

// newProcessNetwork returns the network of a process. open returns the listener for an address.
func newProcessNetwork(open func(network, address string) (net.Listener, error)) *processNetwork {
	n := &processNetwork{blocked: map[string]bool{}, conns: map[net.Conn]string{}}
	tcp := hosted.TCP()
	n.Network = hosted.Network{
		Listen: func(network, address string) (net.Listener, error) {
			ln, err := open(network, address)
			if err != nil {
				return nil, err
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.listeners = append(n.listeners, ln)
			return &trackingListener{Listener: ln, network: n}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !n.canReach(address) {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			conn, err := tcp.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.track(conn, address), nil
		},
	}
	return n
}

func (n *processNetwork) canReach(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.killed && !n.blocked[address]
}

// track registers a connection until it is closed.
func (n *processNetwork) track(conn net.Conn, address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	tracked := &trackedConn{Conn: conn, network: n}
	n.conns[tracked] = address
	if n.killed || n.blocked[address] {
		_ = conn.Close() // its first use fails
	}
	return tracked
}

// disconnect closes the connections to an address and refuses new ones.
func (n *processNetwork) disconnect(address string) {
	n.closeConns(func() { n.blocked[address] = true }, func(to string) bool { return to == address })
}

// reconnect allows connections to an address again.
func (n *processNetwork) reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, address)
}

// kill closes all connections and listeners and refuses new connections: to other processes, the
// process has died.
func (n *processNetwork) kill() {
	n.closeConns(func() { n.killed = true }, func(string) bool { return true })
	n.mu.Lock()
	listeners := n.listeners
	n.mu.Unlock()
	for _, ln := range listeners {
		_ = ln.Close() // it may be closed already
	}
}

// closeConns applies a change and closes the connections whose dialled address matches.
func (n *processNetwork) closeConns(change func(), match func(address string) bool) {
	n.mu.Lock()
	change()
	var closing []net.Conn
	for conn, address := range n.conns {
		if match(address) {
			closing = append(closing, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close() // it may be closed already
	}
}

// trackedConn removes itself from the network's connections when it is closed.
type trackedConn struct {
	net.Conn
	network *processNetwork
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	net.Listener
	network *processNetwork
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(conn, ""), nil
}
