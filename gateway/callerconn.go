package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/catalog"
)

// maxReadAhead limits the bytes of further requests that are read ahead on one connection. If a caller
// has sent more than that, or more than there is room for, its disconnect is only detected when its response is written.
const maxReadAhead = 64 << 10

const (
	// freeHeaderBytes is the size up to which a request's headers do not count for the memory for headers.
	freeHeaderBytes = 8 << 10
	// headerLineBytes is what a line of headers takes once it is parsed, beside its bytes.
	headerLineBytes = 128
	// headerMemoryShare is the part of the process's memory that larger headers may take together.
	headerMemoryShare = 1. / 16
)

// readAheadChunk is the maximum size of one read ahead.
const readAheadChunk = 4 << 10

// connPhase is the phase of a caller's connection, which determines its read deadline.
type connPhase int

// The phases of a caller's connection.
const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle connPhase = iota
	// phaseHeaders lasts while a request's headers are received.
	phaseHeaders
	// phaseServing lasts while a request is served: its body is read, then the connection is
	// only watched for the caller's disconnect.
	phaseServing
)

// callerConn is a connection of a caller. It does two things that http.Server does not.
//
// It enforces the operators' timeouts for headers and idle connections, which may change while the
// process runs; those of the server are fixed at its start.
//
// It detects a caller's disconnect even if bytes of a further request arrived before. The server
// detects the end of the connection by reading one byte in the background, and stops when that byte
// arrives; the upstream would then continue a request whose caller is gone. So from that byte on
// callerConn reads ahead into a bounded buffer, and the end of the connection cancels the context of
// the request that is being served.
type callerConn struct {
	net.Conn
	// limits returns the operators' current limits.
	limits func() catalog.Limits
	// onNoRoom is called when the connection ends since there is no room for the headers of its request.
	onNoRoom func()
	// conns holds the router's open connections.
	conns *callerConns
	// cancelRequests cancels the context of the connection's requests.
	cancelRequests context.CancelFunc

	mu            sync.Mutex
	readAheadCond *sync.Cond // buffered, readingAhead or readErr changed
	phase         connPhase
	phaseStart    time.Time // start of the phase
	buffered      []byte    // read ahead and not yet read by the server
	// memory is what the request's headers, and bytes that were read ahead, take of the memory for them; nil once the
	// connection is closed. headerCost is the headers' part.
	memory     *bounded.Share
	headerCost int64
	// closedIdle is set when the router closed the connection to make room; what is read from then on is dropped.
	closedIdle bool
	// readingAhead is set while a goroutine reads ahead; readErr is the error that ended it.
	readingAhead bool
	readErr      error
}

func newCallerConn(conn net.Conn, l callerListener) *callerConn {
	c := &callerConn{Conn: conn, limits: l.limits, onNoRoom: l.onNoRoom, conns: l.conns, memory: l.headers.Share(freeHeaderBytes),
		cancelRequests: func() {}, phaseStart: time.Now()}
	c.readAheadCond = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.setDeadlineLocked(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	for c.readingAhead && len(c.buffered) == 0 {
		c.readAheadCond.Wait()
	}
	if len(c.buffered) > 0 || c.readErr != nil {
		defer c.mu.Unlock()
		return c.readBufferedLocked(p)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	if noRoom := c.recordReadLocked(p[:n]); noRoom != nil {
		return 0, noRoom
	}
	if c.phase == phaseServing && len(p) == 1 && n == 1 {
		c.readingAhead = true
		go c.readAhead()
	}
	return n, err
}

// setDeadlineLocked sets the read deadline of the current phase.
func (c *callerConn) setDeadlineLocked() error {
	var limit time.Duration
	switch c.phase {
	case phaseIdle:
		limit = c.limits().IdleTimeout
	case phaseHeaders:
		limit = c.limits().HeaderTimeout
	case phaseServing:
		return nil
	}
	return c.SetReadDeadline(c.phaseStart.Add(limit))
}

// readBufferedLocked reads from the buffer; once that is empty, it returns the read-ahead error.
func (c *callerConn) readBufferedLocked(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.buffered)
	if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
		c.buffered = nil
	}
	if err := c.recordReadLocked(p[:n]); err != nil {
		return 0, err
	}
	return n, nil
}

// recordReadLocked starts the headers phase when the first bytes of a request were read, and counts the bytes of headers. It
// returns an error if there is no room for them.
func (c *callerConn) recordReadLocked(b []byte) error {
	if len(b) > 0 && c.phase == phaseIdle {
		c.phase, c.phaseStart = phaseHeaders, time.Now()
		c.conns.used(c)
	}
	if c.phase != phaseHeaders {
		return nil
	}
	headers, _, _ := bytes.Cut(b, []byte("\n\r\n")) // the rest belongs to the body
	c.headerCost += int64(len(headers) + headerLineBytes*bytes.Count(headers, []byte("\n")))
	if err := c.resizeLocked(); err != nil {
		c.onNoRoom()
		// The server answers other errors with status 400; this one closes the connection.
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return nil
}

// resizeLocked counts what the connection takes of the memory for headers and bytes that were read ahead.
func (c *callerConn) resizeLocked() error {
	return c.memory.Resize(c.headerCost + int64(cap(c.buffered)))
}

// setPhase starts a phase. The server's connection states start the idle and serving phases.
func (c *callerConn) setPhase(p connPhase) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart = p, time.Now()
	if p == phaseServing {
		c.conns.used(c)
		return c.SetReadDeadline(time.Time{})
	}
	c.conns.idle(c)
	c.headerCost = 0
	return c.resizeLocked()
}

// readAhead reads into the buffer until the connection ends, its deadline passes or the buffer is full.
func (c *callerConn) readAhead() {
	buf := make([]byte, readAheadChunk)
	for {
		n, err := c.Conn.Read(buf)
		if !c.bufferRead(buf[:n], err) {
			return
		}
	}
}

// bufferRead stores the result of one read ahead, and reports whether another one should follow.
func (c *callerConn) bufferRead(b []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.readAheadCond.Broadcast()
	c.buffered = append(c.buffered, b...)
	c.readingAhead = err == nil && len(c.buffered) < maxReadAhead && c.resizeLocked() == nil
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
		c.cancelRequests()
	}
	return c.readingAhead
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.cancelRequests()
	c.mu.Lock()
	c.memory.Release()
	c.memory = nil // a read that has not returned counts nothing
	c.mu.Unlock()
	c.conns.closed(c)
	return c.Conn.Close()
}

// closeIdle closes the connection if it waits for a request. It returns false if a request, or a part of one, was read.
func (c *callerConn) closeIdle() bool {
	c.mu.Lock()
	idle := c.phase == phaseIdle && len(c.buffered) == 0 && !c.readingAhead
	c.closedIdle = idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // there is nothing to do about an error
	}
	return idle
}

// callerListener accepts callers' connections as callerConn.
type callerListener struct {
	net.Listener
	limits func() catalog.Limits
	// headers limits what the headers of all callers, and bytes that were read ahead, take together.
	headers  *bounded.Sum
	onNoRoom func()
	conns    *callerConns
}

// callerListener returns the listener for callers.
func (g *Gateway) callerListener(l net.Listener) callerListener {
	headers := bounded.NewSum(int64(headerMemoryShare * float64(g.settings.Limits.MemoryMB<<20)))
	g.callerConns.unread = unreadConnections{log: g.Log, metrics: g.metrics}
	return callerListener{Listener: l, limits: g.callerLimits, headers: headers,
		onNoRoom: func() { g.callerConns.unread.record(headersWithoutRoom, headers.Held()) },
		conns:    g.callerConns}
}

// Accept implements net.Listener. It closes connections for which there is no room: those that wait to be accepted take
// memory for what callers send, and their callers are better served elsewhere.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := newCallerConn(c, l); l.conns.open(conn) {
			return conn, nil
		}
		_ = c.Close() // there is nothing to do about an error
	}
}

// callerServer returns the HTTP server for callers.
func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler:        g,
		MaxHeaderBytes: maxHeaderBytes,
		BaseContext:    func(net.Listener) context.Context { return g.requestsContext },
		ConnContext:    callerConnContext,
		ConnState:      g.onConnState,
	}
}

// callerConnContext returns the context of a connection's requests.
func callerConnContext(ctx context.Context, conn net.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	conn.(*callerConn).cancelRequests = cancel
	return ctx
}

// onConnState is the server's callback for a connection's new state; it sets the phase.
func (g *Gateway) onConnState(conn net.Conn, state http.ConnState) {
	phase := phaseIdle
	switch state {
	case http.StateActive:
		phase = phaseServing
	case http.StateIdle:
	default:
		return
	}
	if err := conn.(*callerConn).setPhase(phase); err != nil {
		g.Log.Debug().Err(err).Msg("caller_connection_ended") // the next read fails, too
	}
}

// callerLimits returns the operators' current limits, with defaults for those that are not set.
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
		l.HeaderBytes = maxHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = maxBodyBytes
	}
	return l
}

// headerSize returns the size of a request's line and headers on the wire, which counts towards the
// operators' limit.
func headerSize(req *http.Request) int {
	const separators = len(": \r\n")
	n := len(req.Method) + len(req.RequestURI) + len(req.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
