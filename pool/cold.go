package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
)

// coldReportDelay is how late an upstream's entry shows that it has become cold: upstreams write
// about once a second, and the change passes through a relay.
const coldReportDelay = 2 * time.Second

// cold reports whether an upstream may be cold: by its entry, or because its drained data centre has
// just been returned to service and the entry may not show it yet.
func (p *Pool) cold(now time.Time, r *serving.Request, u directory.Upstream) bool {
	if r.Service.Cold.PerSecond <= 0 {
		return false
	}
	coldUntil := u.Returned.Add(coldReportDelay + r.Service.Cold.Duration)
	return now.Before(u.ColdUntil) || !u.Returned.IsZero() && now.Before(coldUntil)
}

// usesAdmission reports whether the upstream has a lender that counts the requests sent there.
// Requests without a prompt are not announced to it.
func (p *Pool) usesAdmission(r *serving.Request, u directory.Upstream) bool {
	return p.Announce != nil && r.Prompt > 0 && p.HasLender != nil && p.HasLender(u.Address)
}

// requiresAdmission reports whether a request needs the lender's admission: the upstream is cold, and
// its lender allots its capacity.
func (p *Pool) requiresAdmission(r *serving.Request, u directory.Upstream) bool {
	return p.cold(p.Now(), r, u) && p.usesAdmission(r, u)
}

// coldShareUsedLocked reports whether this router's share of a cold upstream is used up. Where a
// lender admits requests, the lender decides instead.
func (p *Pool) coldShareUsedLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) bool {
	if !p.cold(now, r, u) || p.usesAdmission(r, u) {
		return false
	}
	maxRequests := p.Cold.MaxRequests(r.Service.Cold.PerSecond)
	return !s.unadmitted.HasCapacity(now, p.ColdShare(u.Incarnation.String(), maxRequests))
}
