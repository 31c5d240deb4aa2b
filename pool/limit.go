package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
)

// Limits is what a Pool needs to hold upstreams to the limits that they name. Its methods must not
// block.
type Limits interface {
	// Share is the part of an upstream's limit that is this router's, where nobody counts for all.
	Share(upstream string, perSecond float64) float64
	// Report tells the process beside the upstream at an address what an answer of its life that started
	// at born said. known is called with what that process knows, if it answers.
	Report(address string, born int64, w ratelimit.NamedLimit, known func(ratelimit.State))
	// Changed is called when what is known of a limit has changed, in requests a second; 0 is none.
	// from says who told.
	Changed(life directory.Incarnation, was, now float64, from LimitSource)
	// Unparsable is called for each limit that cannot be read; again says that the last one was the
	// same. What was named before holds.
	Unparsable(life directory.Incarnation, err error, again bool)
	// Limited is called for each choice in which limits kept the request from some upstreams.
	Limited(r *serving.Request, h LimitedChoice)
}

// LimitSource is who told of a limit.
type LimitSource string

// The sources.
const (
	FromAnswer LimitSource = "answer"
	FromLender LimitSource = "beside"
)

// LimitedChoice is a choice that limits had a part in.
type LimitedChoice struct {
	// Limited is how many of the upstreams that might have served the request had no room.
	Limited, Eligible int
	// Chosen is the one that it goes to; nil if there is none.
	Chosen *directory.Incarnation
	// RetryAfter is in how long one of them may have room; 0 if that is not known.
	RetryAfter time.Duration
}

// add counts one more upstream, which may have room in that time; 0 is not known.
func (h *LimitedChoice) add(next time.Duration) {
	h.Limited++
	if next > 0 && (h.RetryAfter == 0 || next < h.RetryAfter) {
		h.RetryAfter = next
	}
}

// leastRetryAfter is about the time of a caller's way back and here again.
const leastRetryAfter = 50 * time.Millisecond

// mostLimitsAsked bounds the processes beside upstreams that may deny one prompt for a limit while
// others name none: each is a message that the caller waits for.
const mostLimitsAsked = 2

// limitNamed notes the limit that an answer of an upstream names.
func (p *Pool) limitNamed(r *run, perSecond float64, err error) {
	if err != nil {
		p.Limits.Unparsable(r.upstream, err, p.sameLimitError(r.upstream, err.Error()))
		return
	}
	word := ratelimit.NamedLimit{PerSecond: perSecond, KnownMark: r.under}
	p.mu.Lock()
	s := p.stateLocked(r.upstream)
	s.limitError = ""
	was := s.limiter.State().PerSecond
	changed := s.limiter.ObserveLocal(p.Now(), word)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.Limits.Changed(r.upstream, was, perSecond, FromAnswer)
	p.Limits.Report(r.address, r.upstream.StartUnixMS, word, func(k ratelimit.State) { p.adoptLimit(r.upstream, k) })
}

// sameLimitError notes why a limit cannot be read, and reports whether the last one could not for the
// same reason.
func (p *Pool) sameLimitError(life directory.Incarnation, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(life)
	same := s.limitError == text
	s.limitError = text
	return same
}

// adoptLimit takes what the process beside an upstream knows of its limit.
func (p *Pool) adoptLimit(life directory.Incarnation, k ratelimit.State) {
	if k.Mark.Source == 0 {
		return // it tells of no limits
	}
	p.mu.Lock()
	s := p.stateLocked(life)
	was := s.limiter.State().PerSecond
	changed := s.limiter.Adopt(p.Now(), k)
	p.mu.Unlock()
	if changed {
		p.Limits.Changed(life, was, k.PerSecond, FromLender)
	}
}

// limitKnown is what is known of an upstream's limit.
func (p *Pool) limitKnown(life directory.Incarnation) ratelimit.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateLocked(life).limiter.State()
}

// denial is the last word of the process beside an upstream that its limit had no room: for requests
// of that rank and less urgent ones it need not be asked again until then.
type denial struct {
	rank  int
	until time.Time
}

// left is for how long the denial holds for requests of a rank.
func (d denial) left(now time.Time, rank int) time.Duration {
	if rank < d.rank {
		return 0
	}
	return d.until.Sub(now)
}

// denied notes a denial.
func (p *Pool) denied(life directory.Incarnation, rank int, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(life).denial = denial{rank: rank, until: p.Now().Add(next)}
}

// limitShareLocked is the part of an upstream's limit that this router may use without leave.
func (p *Pool) limitShareLocked(r *serving.Request, u directory.Upstream, s *state) float64 {
	share := p.Limits.Share(u.Incarnation.String(), s.limiter.State().PerSecond)
	if p.asksLeave(r, u) {
		share *= ratelimit.UnreachableShare
	}
	return share
}

// limitedLocked reports whether an upstream's limit has no room for a request, and in how long it may.
func (p *Pool) limitedLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) (limited bool, next time.Duration) {
	if !s.limiter.Limited() {
		return false, 0
	}
	if p.asksLeave(r, u) {
		next = s.denial.left(now, r.Rank)
		return next > 0, next
	}
	share := p.limitShareLocked(r, u, s)
	if s.limiter.HasCapacity(now, share, r.Rank) {
		return false, 0
	}
	return true, s.limiter.RetryAfter(now, share, r.Rank)
}

// unreachedLimit reports whether a request may not go to an upstream whose limit is counted by a
// process that does not answer.
func (p *Pool) unreachedLimit(r *serving.Request, u directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(u.Incarnation)
	return s.limiter.Limited() && !s.limiter.HasCapacity(p.Now(), p.limitShareLocked(r, u, s), r.Rank)
}

// takeLimitLocked counts a request that goes to an upstream without leave, and reports whether it
// may: others may have taken the room since the choice was made.
func (p *Pool) takeLimitLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) bool {
	return !s.limiter.Limited() || s.limiter.Take(now, p.limitShareLocked(r, u, s), r.Rank)
}

// Limited implements serving.Upstreams: the refusal of a request which upstreams would serve but for
// the limits that they name.
func (p *Pool) Limited(r *serving.Request, attempts []serving.Attempt) *contract.Refusal {
	_, held := p.views(r, p.allowed(r, attempts))
	if held.Limited == 0 {
		return nil
	}
	refusal := contract.Refuse(contract.UpstreamLimit, "the upstreams of %s take no more requests now: %d of %d say so", r.Service.Name, held.Limited, held.Eligible)
	if held.RetryAfter > 0 {
		refusal = refusal.After(max(leastRetryAfter, held.RetryAfter+backoff.Jitter(held.RetryAfter)/2))
	}
	return refusal
}
