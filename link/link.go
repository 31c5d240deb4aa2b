// Package link carries control messages between processes: JSON-RPC 2.0 over TCP,
// one connection for each pair of processes, with heartbeats.
package link

import (
	"cmp"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/ctxlock"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

var (
	// ErrDown means that the other process could not be reached, or that the
	// connection ended before the response. The outcome of the call is unknown.
	ErrDown = errs.New("link down")
	// ErrUnauthorized means that the other process rejected our credentials.
	ErrUnauthorized = errs.New("unauthorized")
	// ErrUnknownMethod means that the other process has no such method.
	ErrUnknownMethod = errs.New("unknown method")
)

// codes maps errors that callers handle to JSON-RPC codes and back.
var codes = []struct {
	code int64
	err  error
}{
	{1001, grant.ErrInsufficientTokens},
	{1002, grant.ErrFenced},
	{1003, ErrUnauthorized},
	{1004, grant.ErrExhausted},
	{1005, grant.ErrNoBudget},
	{1006, grant.ErrUnreachable},
	{1007, grant.ErrAllReserved},
	{1008, relay.ErrOtherStore},
	{1009, relay.ErrUnknownPrefix},
	{1010, relay.ErrTooManyFollowers},
	{1011, relay.ErrStopping},
	{jsonrpc2.CodeMethodNotFound, ErrUnknownMethod},
}

// Method names.
const (
	methodHello = "hello"
	methodPing  = "ping"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a response, or without progress of
	// a write, that ends a connection.
	maxMissedHeartbeats = 3
	// defaultHeartbeat is the interval that a Server assumes if none is set.
	defaultHeartbeat = time.Second
	// maxReplies bounds the replies of one connection that wait to be written. While there are as many,
	// further requests wait in the connection.
	maxReplies = 1024
	// minAcceptPause and maxAcceptPause bound the pause after a connection could not be accepted.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Handler answers one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle returns a Handler that decodes the parameters and calls f.
func Handle[In, Out any](f func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Security defines how the two ends authenticate: mutual TLS, a shared secret on loopback
// addresses, or a network that only the system's own VMs can reach.
type Security struct {
	Secret string
	// TrustedNetwork means that only the system's own VMs can reach the address; then no
	// secret is required.
	TrustedNetwork bool
	Server         *tls.Config
	Client         *tls.Config
}

// hello is the first message of each connection.
type hello struct {
	From   string `json:"from"`
	Secret string `json:"secret,omitempty"`
}

// Server answers the messages of other processes.
type Server struct {
	Security Security
	// Heartbeat is the interval of the callers' heartbeats; 0 stands for one second.
	Heartbeat time.Duration
	// Log logs protocol errors of connections; nil drops them.
	Log     func(format string, args ...any)
	Methods map[string]Handler
	// MaxMessageBytes limits a message; 0 stands for 16 MiB.
	MaxMessageBytes int64
	// OnTooLong, if set, is called when a connection is closed for a message beyond the limit. It must not block.
	OnTooLong func(err error)
}

// Serve accepts connections until the context ends or the listener is closed. It closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	if s.Security.Server != nil {
		ln = tls.NewListener(ln, s.Security.Server)
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	// If a connection is accepted as the context ends, Serve returns before AfterFunc has closed the listener.
	defer func() { _ = ln.Close() }()
	var wg sync.WaitGroup
	defer wg.Wait()
	pause := backoff.New(minAcceptPause, maxAcceptPause)
	for {
		nc, err := ln.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			if err == nil {
				_ = nc.Close()
			}
			return
		case err != nil: // such as too many open files
			logFunc(s.Log).Printf("link: accept on %s: %v", ln.Addr(), err)
			_ = pause.Wait(ctx) // ends early only with the context
			continue
		}
		pause.Reset()
		wg.Go(func() { s.serveConn(ctx, nc) })
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	session := &session{server: s, replies: make(chan struct{}, maxReplies)}
	stream := newStream(nc, cmp.Or(s.Heartbeat, defaultHeartbeat), s.MaxMessageBytes, s.OnTooLong)
	conn := jsonrpc2.NewConn(ctx, stream, session, jsonrpc2.SetLogger(logFunc(s.Log)))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// logFunc adapts a function to the logger interface of the jsonrpc2 library.
type logFunc func(format string, args ...any)

// Printf implements jsonrpc2.Logger.
func (p logFunc) Printf(format string, args ...any) {
	if p != nil {
		p(format, args...)
	}
}

// session is one accepted connection.
type session struct {
	server *Server
	// replies contains an element for each reply that waits or is being written.
	replies chan struct{}
	// replyMu is held during the write of a reply. The others wait for it until the connection ends.
	replyMu       ctxlock.Mutex
	mu            sync.Mutex
	authenticated bool
}

// Handle implements jsonrpc2.Handler. The connection is not read until Handle returns, so it waits for replies
// only: these end with the connection. Requests that are handled may last, and must not delay heartbeats and
// the detection that the connection has ended.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case s.replies <- struct{}{}:
		<-s.replies
		go s.handle(ctx, conn, req)
	case <-ctx.Done():
	}
}

// handle handles one request and writes the reply.
func (s *session) handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.answer(ctx, req)
	if req.Notif {
		return
	}
	select {
	case s.replies <- struct{}{}:
		defer func() { <-s.replies }()
	case <-ctx.Done():
		return
	}
	if s.replyMu.Lock(ctx) != nil {
		return
	}
	defer s.replyMu.Unlock()
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, wireError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (s *session) answer(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == methodHello {
		return struct{}{}, s.authenticate(params)
	}
	s.mu.Lock()
	authenticated := s.authenticated
	s.mu.Unlock()
	if !authenticated {
		return nil, ErrUnauthorized
	}
	if req.Method == methodPing {
		return struct{}{}, nil
	}
	h := s.server.Methods[req.Method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	return h(ctx, params)
}

// authenticate checks the other end's secret. Mutual TLS has already authenticated it in the
// handshake.
func (s *session) authenticate(params json.RawMessage) error {
	var h hello
	if err := json.Unmarshal(params, &h); err != nil {
		return ErrUnauthorized
	}
	want := s.server.Security.Secret
	ok := s.server.Security.Server != nil || s.server.Security.TrustedNetwork ||
		(want != "" && subtle.ConstantTimeCompare([]byte(h.Secret), []byte(want)) == 1)
	if !ok {
		return ErrUnauthorized
	}
	s.mu.Lock()
	s.authenticated = true
	s.mu.Unlock()
	return nil
}

func wireError(err error) *jsonrpc2.Error {
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return rpc
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			out := &jsonrpc2.Error{Code: c.code, Message: err.Error()}
			if d := grant.RetryAfter(err); d > 0 {
				out.SetError(reservedData{RetryAfterMS: d.Milliseconds()})
			}
			return out
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func localError(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return Error.Wrap(errors.Join(ErrDown, err))
	}
	for _, c := range codes {
		if rpc.Code == c.code {
			return Error.Wrap(withData(c.err, rpc.Data))
		}
	}
	return Error.Wrap(rpc)
}

// withData returns an error with the data that was sent with it. Data that cannot be decoded is ignored: the error says
// enough.
func withData(err error, data *json.RawMessage) error {
	var d reservedData
	if !errors.Is(err, grant.ErrAllReserved) || data == nil || json.Unmarshal(*data, &d) != nil || d.RetryAfterMS <= 0 {
		return err
	}
	return &grant.ReservedError{RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond}
}

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
