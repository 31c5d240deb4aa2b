package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
)

// mostAhead bounds the bytes of further requests that are read ahead on one connection.
// A caller that has sent more than that is only seen to leave when its answer is written.
const mostAhead = 64 << 10

// aheadStep is what one read ahead takes at most.
const aheadStep = 4 << 10

// connPhase is what a caller's connection is being read for.
type connPhase int

// The phases.
const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle connPhase = iota
	// phaseHeaders is while a request's headers come in.
	phaseHeaders
	// phaseServing is while a request is served: its body is read, then only the
	// caller's leaving is watched.
	phaseServing
)

// callerConn is a connection of a caller. It does two things that http.Server does not.
//
// It keeps the operators' limits on headers and idle time, which may change while the
// process runs; the server's own are fixed at its start.
//
// It notices that a caller left although bytes of a further request were sent before.
// The server watches for the end of the connection by reading one byte, and stops
// watching when that byte comes; the upstream would then go on working for nobody. So
// from that byte on the rest is read ahead into a bounded buffer, and the end of the
// connection ends the context of the request that is being served.
type callerConn struct {
	net.Conn
	// limits returns the operators' limits in force.
	limits func() catalog.Limits
	// gone ends the context of the connection's requests.
	gone context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond // ahead, watching or failed changed
	phase   connPhase
	since   time.Time // when the phase began
	ahead   []byte    // read ahead and not yet taken by the server
	// watching says that a goroutine reads ahead, failed how it ended.
	watching bool
	failed   error
}

func newCallerConn(conn net.Conn, limits func() catalog.Limits) *callerConn {
	c := &callerConn{Conn: conn, limits: limits, gone: func() {}, since: time.Now()}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.boundLocked(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	for c.watching && len(c.ahead) == 0 {
		c.changed.Wait()
	}
	if len(c.ahead) > 0 || c.failed != nil {
		defer c.mu.Unlock()
		return c.takeLocked(p)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedLocked(n)
	if c.phase == phaseServing && len(p) == 1 && n == 1 {
		c.watching = true
		go c.watch()
	}
	return n, err
}

// boundLocked sets the time by which the bytes of this phase must come.
func (c *callerConn) boundLocked() error {
	var limit time.Duration
	switch c.phase {
	case phaseIdle:
		limit = c.limits().IdleTimeout
	case phaseHeaders:
		limit = c.limits().HeaderTimeout
	case phaseServing:
		return nil
	}
	return c.SetReadDeadline(c.since.Add(limit))
}

// takeLocked takes what was read ahead, then its error.
func (c *callerConn) takeLocked(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return 0, c.failed
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	c.arrivedLocked(n)
	return n, nil
}

// arrivedLocked notes bytes: the first of a request begin its headers.
func (c *callerConn) arrivedLocked(n int) {
	if n > 0 && c.phase == phaseIdle {
		c.phase, c.since = phaseHeaders, time.Now()
	}
}

// enter begins a phase; idle and serving are the server's to tell.
func (c *callerConn) enter(p connPhase) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if p != phaseServing {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}

// watch reads ahead until the connection ends, its deadline passes or the buffer is full.
func (c *callerConn) watch() {
	buf := make([]byte, aheadStep)
	for {
		n, err := c.Conn.Read(buf)
		if !c.keep(buf[:n], err) {
			return
		}
	}
}

// keep notes the result of one read ahead, and reports whether another one should follow.
func (c *callerConn) keep(b []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.ahead = append(c.ahead, b...)
	c.watching = err == nil && len(c.ahead) < mostAhead
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
		c.gone()
	}
	return c.watching
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.gone()
	return c.Conn.Close()
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	limits func() catalog.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c, l.limits), nil
}

// callerServer is the server for callers.
func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler:        g,
		MaxHeaderBytes: mostHeaderBytes,
		ConnContext:    callerContext,
		ConnState:      g.callerState,
	}
}

// callerContext is the context of a connection's requests.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	ctx, gone := context.WithCancel(ctx)
	conn.(*callerConn).gone = gone
	return ctx
}

// callerState hears from the server what a connection is used for.
func (g *Gateway) callerState(conn net.Conn, state http.ConnState) {
	phase := phaseIdle
	switch state {
	case http.StateActive:
		phase = phaseServing
	case http.StateIdle:
	default:
		return
	}
	if err := conn.(*callerConn).enter(phase); err != nil {
		g.Log.Debug().Err(err).Msg("caller_connection_ended") // the next read ends it
	}
}

// callerLimits are the operators' limits in force, with ours for those that are not set.
func (g *Gateway) callerLimits() catalog.Limits {
	l := catalog.Limits{}
	if t := g.catalog.Load(); t != nil {
		l = t.Limits
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = headerTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTimeout
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = mostHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = mostBodyBytes
	}
	return l
}

// sizeOfHeaders is what a request's line and headers took on the wire, by the bytes that
// count towards the operators' limit.
func sizeOfHeaders(req *http.Request) int {
	const separators = len(": \r\n")
	n := len(req.Method) + len(req.RequestURI) + len(req.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
