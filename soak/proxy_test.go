package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to one address and injects network faults.
type proxy struct {
	// address is the proxy's listening address, target the address that it forwards to.
	address, target string

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
	// stalled directions forward no data but keep their connections open. Index 0 is towards the
	// target, index 1 back.
	stalled [2]bool
	delay   time.Duration
	ln      net.Listener
	// changed is closed and replaced when stalled or delay changes.
	changed chan struct{}
}

// listen starts accepting connections, initially and after a crash.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln = ln
	go p.serve(ln)
	return nil
}

// crash simulates a crash of the target: it closes the listener and resets all connections.
func (p *proxy) crash() {
	p.mu.Lock()
	_ = p.ln.Close() // it may be closed already
	p.mu.Unlock()
	p.resetAll()
}

// serve forwards the connections of a listener until it is closed.
func (p *proxy) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as too many open files
			time.Sleep(pollInterval)
			continue
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward forwards one connection until both directions have ended.
func (p *proxy) forward(caller *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	ends := [2]*net.TCPConn{caller, server.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[ends[0]], p.conns[ends[1]] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	for direction := range ends {
		wg.Go(func() { p.copy(ends[1-direction], ends[direction], direction) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range ends {
		_ = end.Close()
		delete(p.conns, end)
	}
}

// copy forwards one direction. When the sender closes its side, the receiver reads EOF.
func (p *proxy) copy(to, from *net.TCPConn, direction int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitForDelivery(direction)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // it may be closed already
			return
		}
	}
}

// waitForDelivery waits while a direction is stalled, and then for the delay.
func (p *proxy) waitForDelivery(direction int) {
	for {
		p.mu.Lock()
		stalled, delay, changed := p.stalled[direction], p.delay, p.changed
		p.mu.Unlock()
		if !stalled {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// update changes the injected faults and wakes the waiting directions.
func (p *proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) setStalled(towards, back bool) {
	p.update(func() { p.stalled = [2]bool{towards, back} })
}

func (p *proxy) setDelay(d time.Duration) { p.update(func() { p.delay = d }) }

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// clearFaults removes the stall and the delay.
func (p *proxy) clearFaults() {
	p.update(func() { p.stalled, p.delay = [2]bool{}, 0 })
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on closed connections
	_ = conn.Close()
}
