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
