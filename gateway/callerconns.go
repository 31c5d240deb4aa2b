package gateway

import (
	"container/list"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxBusyShare is the share of the connections with a request above which new callers go to other routers.
	maxBusyShare = 7. / 8
	// minIdle is how long a connection waits for a request before it may be closed to make room for another one: a request
	// that crosses the close is lost.
	minIdle = time.Second
)

// callerConns holds the open connections of callers, at most limit. A connection beyond the limit takes the place of the one
// that has waited the longest for a request, and is refused if none has waited for minIdle.
type callerConns struct {
	limit  int
	unread unreadConnections

	mu sync.Mutex
	// conns holds all open connections with their places among the waiting ones, nil while they have a request.
	conns map[*callerConn]*list.Element
	// waiting holds the waitingConn of those that wait for a request, the longest first.
	waiting list.List
}

// waitingConn is a connection that has waited for a request since a time.
type waitingConn struct {
	conn  *callerConn
	since time.Time
}

func newCallerConns(limit int) *callerConns {
	return &callerConns{limit: limit, conns: map[*callerConn]*list.Element{}}
}

// open adds a connection. It returns false if there is no room for it.
func (s *callerConns) open(c *callerConn) bool {
	for !s.add(c) {
		oldest := s.longestWaiting()
		if oldest == nil {
			s.unread.record(tooManyConnections, int64(s.limit))
			return false
		}
		if oldest.closeIdle() {
			s.unread.record(idleConnection, int64(s.limit))
		}
	}
	return true
}

// add adds a connection if fewer than the limit are open.
func (s *callerConns) add(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limit {
		return false
	}
	s.conns[c] = s.waiting.PushBack(waitingConn{c, time.Now()})
	return true
}

// longestWaiting takes the connection that has waited the longest off the list, or returns nil if none has for minIdle.
func (s *callerConns) longestWaiting() *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.waiting.Front()
	if first == nil || time.Since(first.Value.(waitingConn).since) < minIdle {
		return nil
	}
	conn := first.Value.(waitingConn).conn
	s.usedLocked(conn)
	return conn
}

// used records that a request, or a part of one, was read on a connection.
func (s *callerConns) used(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedLocked(c)
}

func (s *callerConns) usedLocked(c *callerConn) {
	if place := s.conns[c]; place != nil {
		s.waiting.Remove(place)
		s.conns[c] = nil
	}
}

// idle records that a connection waits for its next request.
func (s *callerConns) idle(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place, open := s.conns[c]; open && place == nil {
		s.conns[c] = s.waiting.PushBack(waitingConn{c, time.Now()})
	}
}

// closed removes a connection.
func (s *callerConns) closed(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedLocked(c)
	delete(s.conns, c)
}

// counts returns the number of open connections, and of those with a request or a part of one.
func (s *callerConns) counts() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), len(s.conns) - s.waiting.Len()
}

// runOut reports whether new callers should go to other routers before this one has to close their connections.
func (s *callerConns) runOut() bool {
	_, busy := s.counts()
	return float64(busy) > maxBusyShare*float64(s.limit)
}

// unreadReason is why a caller's connection was closed without an answer to its request.
type unreadReason string

const (
	// headersWithoutRoom means that there was no room for the headers of the request.
	headersWithoutRoom unreadReason = "headers_without_room"
	// tooManyConnections means that callers have limits.connections open, and none has waited for a request for long enough.
	tooManyConnections unreadReason = "too_many_connections"
	// idleConnection means that a connection without a request was closed to make room for another one.
	idleConnection unreadReason = "idle"
)

// unreadLogInterval is the minimum time between log lines about unread connections.
const unreadLogInterval = time.Second

// unreadConnections reports callers' connections that are closed without an answer, since the router has no room for them:
// each is counted, and the first one after unreadLogInterval is logged with the number since the last line.
type unreadConnections struct {
	log     zerolog.Logger
	metrics *gatewayMetrics

	mu       sync.Mutex
	lastLine time.Time
	since    int
}

// record records one connection; held is what fills the room.
func (u *unreadConnections) record(r unreadReason, held int64) {
	u.metrics.connectionUnread(r)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.since++
	if now := time.Now(); now.Sub(u.lastLine) >= unreadLogInterval {
		u.log.Warn().Str("reason", string(r)).Int64("held", held).Int("closed", u.since).Msg("caller_connection_unread")
		u.lastLine, u.since = now, 0
	}
}
