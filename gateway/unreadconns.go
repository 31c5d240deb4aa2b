package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// unreadReason is why a caller's connection was closed without an answer to its request.
type unreadReason string

// headersWithoutRoom means that there was no room for the headers of the request.
const headersWithoutRoom unreadReason = "headers_without_room"

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
