package gateway

import (
	"sync"

	"github.com/rs/zerolog"
)

// maxUnreadNames limits the names of unread headers that are logged.
const maxUnreadNames = 32

// unreadHeaders reports the platform's headers in upstreams' responses that no code reads: each response
// is counted, and the first one with a name is logged.
type unreadHeaders struct {
	log     zerolog.Logger
	metrics *gatewayMetrics

	mu     sync.Mutex
	logged map[string]bool
}

// record records the unread names of one response to a request.
func (u *unreadHeaders) record(request, upstream string, names []string) {
	for _, name := range names {
		if !u.firstOf(name) {
			continue
		}
		u.log.Warn().Str("id", request).Str("upstream", upstream).Str("header", abbreviate(name)).Msg("header_not_read")
	}
	if len(names) > 0 {
		u.metrics.headersNotRead()
	}
}

// firstOf reports whether a name is new.
func (u *unreadHeaders) firstOf(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[name] || len(u.logged) >= maxUnreadNames {
		return false
	}
	if u.logged == nil {
		u.logged = map[string]bool{}
	}
	u.logged[name] = true
	return true
}
