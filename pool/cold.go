package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
)

// entryDelay is how late the entry of an upstream tells that it has become cold: upstreams write
// about once a second, and the change has its way through a relay.
const entryDelay = 2 * time.Second

// cold reports whether an upstream may be cold: by its entry, or because its data centre has just
// been taken back from being emptied, when it may not have said so yet.
func (p *Pool) cold(now time.Time, r *serving.Request, u directory.Upstream) bool {
	if r.Service.Cold.PerSecond <= 0 {
		return false
	}
	back := u.Returned.Add(entryDelay + r.Service.Cold.Duration)
	return now.Before(u.ColdUntil) || !u.Returned.IsZero() && now.Before(back)
}

// asksLeave reports whether there is a process beside the upstream that counts the requests which
// are sent there. Those without a prompt are not announced to it.
func (p *Pool) asksLeave(r *serving.Request, u directory.Upstream) bool {
	return p.Announce != nil && r.Prompt > 0 && p.HasLender != nil && p.HasLender(u.Address)
}

// needsLeave reports whether a request must not go to an upstream without leave: it is cold, and
// what it bears is given out by the process beside it.
func (p *Pool) needsLeave(r *serving.Request, u directory.Upstream) bool {
	return p.cold(p.Now(), r, u) && p.asksLeave(r, u)
}

// closedLocked reports whether this router's share of a cold upstream is used up. Where a process
// beside it gives leave, that decides.
func (p *Pool) closedLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) bool {
	if !p.cold(now, r, u) || p.asksLeave(r, u) {
		return false
	}
	most := p.Cold.MaxRequests(r.Service.Cold.PerSecond)
	return !s.sent.HasCapacity(now, p.ColdShare(u.Incarnation.String(), most))
}
