package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards the connections to one address, and harms them as it is told.
type proxy struct {
	// own is its address, target where it forwards to.
	own, target string

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
	// silent directions carry nothing, and keep their connections open: towards the target, and
	// back.
	silent [2]bool
	delay  time.Duration
	ln     net.Listener
	// changed is closed when the above change.
	changed chan struct{}
}

// listen begins to take connections, at first and after a crash.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", p.own)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln = ln
	go p.serve(ln)
	return nil
}

// crash makes the target look ended: nobody listens, and all connections break.
func (p *proxy) crash() {
	p.mu.Lock()
	_ = p.ln.Close() // it may have crashed before
	p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward carries one connection until either end closes it.
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

// copy carries one direction. When its sender ends, so does the other end's reading.
func (p *proxy) copy(to, from *net.TCPConn, direction int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.hold(direction)
		if n > 0 {
			if _, writing := to.Write(buffer[:n]); writing != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // it may be closed
			return
		}
	}
}

// hold waits as long as a direction is silent, and for the delay.
func (p *proxy) hold(direction int) {
	for {
		p.mu.Lock()
		silent, delay, changed := p.silent[direction], p.delay, p.changed
		p.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// set changes the harm.
func (p *proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) setSilent(towardsToo, backToo bool) {
	p.set(func() { p.silent = [2]bool{towardsToo, backToo} })
}

func (p *proxy) setDelay(d time.Duration) { p.set(func() { p.delay = d }) }

// resetAll breaks all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// heal ends all harm.
func (p *proxy) heal() {
	p.set(func() { p.silent, p.delay = [2]bool{}, 0 })
}

// reset ends a connection so that its other end sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails on closed ones only
	_ = conn.Close()
}
