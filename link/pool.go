package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Pool holds one connection to each process that was called.
type Pool struct {
	// From is this process's incarnation.
	From     string
	Security Security
	// Heartbeat is the interval of heartbeats.
	Heartbeat time.Duration
	// DialTimeout is how long calls wait for a connection to be opened. Beyond it they fail, the next call opens another one,
	// and one that is ready later is used by the calls that follow; see maxOpening.
	DialTimeout time.Duration
	// Log logs connections that end in the middle of a message; nil drops the messages.
	Log func(format string, args ...any)
	// Dial opens a connection; nil means TCP. It is not used with TLS.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnHeartbeat, if set, is called with the time that each answered heartbeat took. It must not block.
	OnHeartbeat func(took time.Duration)
	// MaxMessageBytes and OnTooLong are those of Server.
	MaxMessageBytes int64
	OnTooLong       func(err error)

	mu    sync.Mutex
	conns map[string]*peerConn
	// late counts the connections, by address, that are being opened although no call waits for them.
	late   map[string]int
	closed bool
	// stopOpening ends the opening of all connections.
	stopOpening context.CancelFunc
	opening     context.Context
}

const (
	// maxOpening bounds the opening of a connection. A process whose link or processor is behind takes several times the
	// usual time for it, and would reach nobody if it gave each one up.
	maxOpening = 4 * time.Second
	// maxLate bounds the connections to one address that are being opened although no call waits for them.
	maxLate = 2
)

// peerConn is a connection that is open, or for which calls wait. Its fields are set before ready is closed.
type peerConn struct {
	ready chan struct{}
	conn  *clientConn
	err   error
}

// isReady reports whether calls no longer wait for the connection.
func (pc *peerConn) isReady() bool {
	select {
	case <-pc.ready:
		return true
	default:
		return false
	}
}

// Call sends one message and waits for the response. After an error that wraps ErrDown the
// message may or may not have been handled.
func (p *Pool) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.call(ctx, method, params, result); err != nil {
		return localError(err)
	}
	return nil
}

func (p *Pool) conn(ctx context.Context, addr string) (*clientConn, error) {
	p.mu.Lock()
	if p.conns == nil {
		p.conns, p.late = map[string]*peerConn{}, map[string]int{}
		p.opening, p.stopOpening = context.WithCancel(context.Background())
	}
	if p.closed {
		p.mu.Unlock()
		return nil, Error.Wrap(ErrDown)
	}
	pc := p.conns[addr]
	if pc == nil {
		pc = &peerConn{ready: make(chan struct{})}
		p.conns[addr] = pc
		go p.open(addr, pc)
	}
	p.mu.Unlock()
	select {
	case <-pc.ready:
		return pc.conn, pc.err
	case <-ctx.Done():
		return nil, Error.Wrap(errors.Join(ErrDown, ctx.Err()))
	}
}

// openResult is the outcome of the opening of a connection.
type openResult struct {
	conn *clientConn
	err  error
}

// open opens a connection for the calls that wait for pc, and removes it from the pool when it ends.
func (p *Pool) open(addr string, pc *peerConn) {
	ctx, cancel := context.WithTimeout(p.opening, max(maxOpening, p.DialTimeout))
	defer cancel()
	opened := make(chan openResult, 1)
	go func() {
		conn, err := p.connect(ctx, addr)
		opened <- openResult{conn, err}
	}()
	timeout := time.NewTimer(p.DialTimeout)
	defer timeout.Stop()
	var r openResult
	select {
	case r = <-opened:
	case <-timeout.C:
		if !p.beginLate(addr, pc) {
			cancel()
			r = <-opened
			break
		}
		r = <-opened
		p.endLate(addr)
	}
	if pc = p.settle(addr, pc, r); pc == nil {
		return
	}
	p.heartbeat(pc.conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == pc {
		delete(p.conns, addr)
	}
}

// beginLate ends the wait of calls for a connection that is not open in time. It returns false if the connection is of no use any more.
func (p *Pool) beginLate(addr string, pc *peerConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc.isReady() {
		return false // another connection was opened
	}
	pc.err = Error.Wrap(errors.Join(ErrDown, context.DeadlineExceeded))
	close(pc.ready)
	delete(p.conns, addr)
	if p.late[addr] >= maxLate {
		return false
	}
	p.late[addr]++
	return true
}

func (p *Pool) endLate(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.late[addr]--; p.late[addr] == 0 {
		delete(p.late, addr)
	}
}

// settle gives the calls that wait for a connection to addr the one that was opened, for pc or in place of an earlier one. It returns the entry
// of the connection in the pool, nil if there is none: it was not opened, or is not needed.
func (p *Pool) settle(addr string, pc *peerConn, r openResult) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.conns[addr]
	if r.err == nil && (p.closed || have != nil && have.isReady()) {
		_ = r.conn.Close()
		r.err = Error.Wrap(ErrDown)
	}
	switch {
	case r.err != nil && pc.isReady():
		return nil
	case r.err != nil:
		pc.err = r.err
		close(pc.ready)
		delete(p.conns, addr)
		return nil
	case have == nil:
		have = &peerConn{ready: make(chan struct{})}
		p.conns[addr] = have
	}
	have.conn = r.conn
	close(have.ready)
	return have
}

func (p *Pool) connect(ctx context.Context, addr string) (*clientConn, error) {
	nc, err := p.dialNet(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrDown, err))
	}
	conn := newClientConn(jsonrpc2.NewConn(context.Background(), newStream(nc, p.Heartbeat, p.MaxMessageBytes, p.OnTooLong), jsonrpc2.AsyncHandler(noMethods{}),
		jsonrpc2.SetLogger(logFunc(p.Log))))
	if err := conn.call(ctx, methodHello, hello{From: p.From, Secret: p.Security.Secret}, nil); err != nil {
		_ = conn.Close()
		return nil, localError(err)
	}
	return conn, nil
}

func (p *Pool) dialNet(ctx context.Context, addr string) (net.Conn, error) {
	if p.Security.Client != nil {
		d := tls.Dialer{Config: p.Security.Client}
		return d.DialContext(ctx, "tcp", addr)
	}
	if p.Dial != nil {
		return p.Dial(ctx, "tcp", addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// heartbeat sends heartbeats until the connection ends. A device in between may drop the
// state of a connection, so that neither data nor a reset arrives any more. Then a
// heartbeat gets no response, the connection is closed, and the next call opens a new one.
func (p *Pool) heartbeat(conn *clientConn) {
	t := time.NewTicker(p.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-t.C:
		}
		if p.ping(conn) != nil {
			_ = conn.Close()
			return
		}
	}
}

// ping sends a heartbeat and waits for the response. The time before it is written does not count: the
// messages before it have timeouts of their own.
func (p *Pool) ping(conn *clientConn) error {
	response, err := conn.send(context.Background(), methodPing, struct{}{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxMissedHeartbeats*p.Heartbeat)
	defer cancel()
	sent := time.Now()
	err = response.Wait(ctx, nil)
	if err == nil && p.OnHeartbeat != nil {
		p.OnHeartbeat(time.Since(sent))
	}
	return err
}

// Close closes all connections and ends the opening of others. Later calls fail with ErrDown.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.stopOpening != nil {
		p.stopOpening()
	}
	for _, pc := range p.conns {
		if pc.isReady() {
			_ = pc.conn.Close()
		}
	}
}

// Peers returns the addresses with a connection that is open or being opened.
func (p *Pool) Peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for addr := range p.conns {
		out = append(out, addr)
	}
	return out
}

// noMethods rejects calls from the other end of connections that this process opened.
type noMethods struct{}

// Handle implements jsonrpc2.Handler.
func (noMethods) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method})
	}
}
