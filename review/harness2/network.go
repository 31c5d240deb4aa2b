package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// network decides which pairs of ends are cut from each other. A cut is silent: what is sent is held, and new connections get no
// answer. It is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	cuts    map[[2]string]bool
	changed chan struct{}
}

func newNetwork() *network {
	return &network{cuts: map[[2]string]bool{}, changed: make(chan struct{})}
}

// cut cuts two ends from each other, in both directions.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = true, true
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait waits while two ends are cut from each other.
func (n *network) wait(a, b string, closed <-chan struct{}) error {
	for {
		n.mu.Lock()
		isCut, changed := n.cuts[[2]string{a, b}], n.changed
		n.mu.Unlock()
		if !isCut {
			return nil
		}
		select {
		case <-changed:
		case <-closed:
			return net.ErrClosed
		}
	}
}

// proxy forwards connections to one end of the network.
type proxy struct {
	network *network
	// to names the end behind the proxy, target is its address.
	to, target string
	// callerOf names the caller of a connection.
	callerOf func(net.Conn) string
	ln       net.Listener
	closed   chan struct{}
}

// newProxy starts a proxy, which runs until the end of the case.
func (f *fleet) newProxy(to, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{network: f.network, callerOf: f.callerOf, to: to, target: target, ln: ln, closed: make(chan struct{})}
	f.run.onClose(func() { close(p.closed); _ = ln.Close() })
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		conn, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.forward(conn)
		}
	}
}

// forward forwards one connection until both directions have ended.
func (p *proxy) forward(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	from := p.callerOf(caller)
	if from == "" {
		return // it has ended already
	}
	if p.network.wait(from, p.to, p.closed) != nil {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets the connection, as an address without a listener does
		}
		return
	}
	defer func() { _ = server.Close() }()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, caller, from) })
	both.Go(func() { p.copy(caller, server, from) })
	both.Wait()
}

// copy forwards one direction.
func (p *proxy) copy(to, from net.Conn, caller string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.network.wait(caller, p.to, p.closed) != nil {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			_ = to.Close()
			return
		}
	}
}
