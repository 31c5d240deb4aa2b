// Package link carries control messages between processes: JSON-RPC 2.0 over TCP,
// one connection for each pair of processes, with heartbeats.
package link

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

var (
	// ErrDown says that the other process could not be reached, or that the
	// connection ended before the answer: the outcome is unknown.
	ErrDown = errs.New("link down")
	// ErrUnauthorized says that the other process does not know us.
	ErrUnauthorized = errs.New("unauthorized")
)

// codes maps errors that callers act on to JSON-RPC codes, both ways.
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
}

// Method names.
const (
	methodHello = "hello"
	methodPing  = "ping"
)

// heartbeatsMissed is the number of silent intervals that end a connection.
const heartbeatsMissed = 3

// Handler answers one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle makes a Handler from a function on typed messages.
func Handle[In, Out any](f func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Security is how the two ends know each other: mutual TLS, a shared secret on loopback
// addresses, or a network that only the system's own VMs can reach.
type Security struct {
	Secret string
	// Private says that nobody but the system's own VMs reaches the address; then
	// no secret is asked for.
	Private bool
	Server  *tls.Config
	Client  *tls.Config
}

// hello is the first message of each connection.
type hello struct {
	From   string `json:"from"`
	Secret string `json:"secret,omitempty"`
}

// Server answers the messages of other processes.
type Server struct {
	Security Security
	// Log takes messages about connections that broke the protocol.
	Log     func(format string, args ...any)
	Methods map[string]Handler
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	if s.Security.Server != nil {
		ln = tls.NewListener(ln, s.Security.Server)
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { s.serveConn(ctx, nc) })
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	session := &session{server: s}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(nc), jsonrpc2.AsyncHandler(session), jsonrpc2.SetLogger(printer(s.Log)))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// printer is a function as the library's logger.
type printer func(format string, args ...any)

// Printf implements jsonrpc2.Logger.
func (p printer) Printf(format string, args ...any) {
	if p != nil {
		p(format, args...)
	}
}

// session is one accepted connection.
type session struct {
	server *Server
	mu     sync.Mutex
	known  bool
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.answer(ctx, req)
	if req.Notif {
		return
	}
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
		return struct{}{}, s.greet(params)
	}
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	if !known {
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

// greet admits the other end. With mutual TLS the handshake has done so already.
func (s *session) greet(params json.RawMessage) error {
	var h hello
	if err := json.Unmarshal(params, &h); err != nil {
		return ErrUnauthorized
	}
	want := s.server.Security.Secret
	ok := s.server.Security.Server != nil || s.server.Security.Private ||
		(want != "" && subtle.ConstantTimeCompare([]byte(h.Secret), []byte(want)) == 1)
	if !ok {
		return ErrUnauthorized
	}
	s.mu.Lock()
	s.known = true
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
			return &jsonrpc2.Error{Code: c.code, Message: err.Error()}
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
			return Error.Wrap(c.err)
		}
	}
	return Error.Wrap(rpc)
}

// Pool keeps one connection to each process that was called.
type Pool struct {
	// From is this process's incarnation.
	From     string
	Security Security
	// Heartbeat is the interval of heartbeats.
	Heartbeat time.Duration
	// DialTimeout bounds a connection's start.
	DialTimeout time.Duration
	// Log is told of connections that end in the middle of a message; nil drops it.
	Log func(format string, args ...any)
	// Dial connects; nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*dialled
	closed bool
}

// dialled is a connection that is there or being made.
type dialled struct {
	// end gives up making it.
	end   context.CancelFunc
	ready chan struct{}
	conn  *jsonrpc2.Conn
	err   error
}

// Call sends one message and waits for the answer. An error that wraps ErrDown
// says that the message may or may not have been handled.
func (p *Pool) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		return localError(err)
	}
	return nil
}

func (p *Pool) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	if p.conns == nil {
		p.conns = map[string]*dialled{}
	}
	if p.closed {
		p.mu.Unlock()
		return nil, Error.Wrap(ErrDown)
	}
	d := p.conns[addr]
	if d == nil {
		dialing, end := context.WithTimeout(context.Background(), p.DialTimeout)
		d = &dialled{ready: make(chan struct{}), end: end}
		p.conns[addr] = d
		go p.dial(dialing, addr, d)
	}
	p.mu.Unlock()
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, Error.Wrap(errors.Join(ErrDown, ctx.Err()))
	}
}

// dial makes the connection, and forgets it when it ends. One that was made while the pool
// closed is closed here.
func (p *Pool) dial(ctx context.Context, addr string, d *dialled) {
	d.conn, d.err = p.connect(ctx, addr)
	d.end()
	close(d.ready)
	if d.err == nil && p.isClosed() {
		_ = d.conn.Close()
	} else if d.err == nil {
		p.tend(d.conn)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == d {
		delete(p.conns, addr)
	}
}

func (p *Pool) connect(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	nc, err := p.netConn(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrDown, err))
	}
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(nc), jsonrpc2.AsyncHandler(noMethods{}),
		jsonrpc2.SetLogger(printer(p.Log)))
	if err := conn.Call(ctx, methodHello, hello{From: p.From, Secret: p.Security.Secret}, nil); err != nil {
		_ = conn.Close()
		return nil, localError(err)
	}
	return conn, nil
}

func (p *Pool) netConn(ctx context.Context, addr string) (net.Conn, error) {
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

// tend sends heartbeats until the connection ends. It guards against a connection
// that something in between has forgotten: nothing arrives any more, and no reset
// either. Then the heartbeats go unanswered, the connection is closed, and the
// next call makes a new one.
func (p *Pool) tend(conn *jsonrpc2.Conn) {
	t := time.NewTicker(p.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-t.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatsMissed*p.Heartbeat)
		err := conn.Call(ctx, methodPing, struct{}{}, nil)
		cancel()
		if err != nil {
			_ = conn.Close()
			return
		}
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, d := range p.conns {
		select {
		case <-d.ready:
			if d.conn != nil {
				_ = d.conn.Close()
			}
		default:
			d.end()
		}
	}
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Peers lists the addresses that are connected or being connected.
func (p *Pool) Peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for addr := range p.conns {
		out = append(out, addr)
	}
	return out
}

// noMethods refuses calls on connections that this process opened.
type noMethods struct{}

// Handle implements jsonrpc2.Handler.
func (noMethods) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method})
	}
}
