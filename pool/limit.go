package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
)

// Limits divides the rate limits that upstreams state among routers, and reports changes of them.
// Its methods must not block.
type Limits interface {
	// Share returns this router's share of an upstream's limit, for upstreams without a lender.
	Share(upstream string, perSecond float64) float64
	// Report reports to the lender of the upstream at an address the limit that the incarnation started
	// at startUnixMS stated. onReply is called with the limit that the lender then has, if it answers.
	Report(address string, startUnixMS int64, n ratelimit.NamedLimit, onReply func(ratelimit.State))
	// Changed is called when a known limit has changed, in requests per second; 0 is none. from is the
	// source of the new value.
	Changed(incarnation directory.Incarnation, was, now float64, from LimitSource)
	// Unparsable is called for each limit that cannot be parsed; again is set if the previous one
	// failed in the same way. The limit stated before stays active.
	Unparsable(incarnation directory.Incarnation, err error, again bool)
	// ReportLimited is called for each choice in which limits excluded upstreams.
	ReportLimited(r *serving.Request, c LimitedChoice)
}

// LimitSource is the source of a limit.
type LimitSource string

// The sources: an answer of the upstream, or its lender.
const (
	FromAnswer LimitSource = "answer"
	FromLender LimitSource = "beside"
)

// LimitedChoice describes a choice in which limits, or the time of rest that upstreams asked for, excluded upstreams.
type LimitedChoice struct {
	// Limited is the number of upstreams that take no requests now, out of all eligible ones.
	Limited, Eligible int
	// Chosen is the upstream that gets the request; nil if there is none.
	Chosen *directory.Incarnation
	// RetryAfter is the time until one of them may have capacity; 0 if unknown.
	RetryAfter time.Duration
}

// add counts one more excluded upstream, which may have capacity after retryAfter; 0 is unknown.
func (c *LimitedChoice) add(retryAfter time.Duration) {
	c.Limited++
	if retryAfter > 0 && (c.RetryAfter == 0 || retryAfter < c.RetryAfter) {
		c.RetryAfter = retryAfter
	}
}

// minRetryAfter is about a caller's round-trip time.
const minRetryAfter = 50 * time.Millisecond

// When callers that were refused should come back.
const (
	// rankDelay is how much later than callers of one rank those of the next, less urgent one should come back, up to
	// maxRankDelays ranks.
	rankDelay     = 50 * time.Millisecond
	maxRankDelays = 9
	// maxSpread is twice the longest time over which callers of one rank are spread: all routers' callers in one moment
	// would fill the first upstream that takes requests again.
	maxSpread = time.Second
)

// maxLimitDenials bounds the lenders that may deny one prompt for a limit while other upstreams state
// none: each denial costs a message that the caller waits for.
const maxLimitDenials = 2

// observeLimit records the limit that an upstream's answer states.
func (p *Pool) observeLimit(att *attempt, perSecond float64, err error) {
	if err != nil {
		p.Limits.Unparsable(att.upstream, err, p.sameLimitError(att.upstream, err.Error()))
		return
	}
	report := ratelimit.NamedLimit{PerSecond: perSecond, KnownMark: att.limitMark}
	p.mu.Lock()
	s := p.stateLocked(att.upstream)
	s.limitError = ""
	was := s.limiter.State().PerSecond
	changed := s.limiter.ObserveLocal(p.Now(), report)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.Limits.Changed(att.upstream, was, perSecond, FromAnswer)
	p.Limits.Report(att.address, att.upstream.StartUnixMS, report, func(reported ratelimit.State) { p.adoptLimit(att.upstream, reported) })
}

// sameLimitError records why a limit cannot be parsed, and reports whether the previous one failed
// for the same reason.
func (p *Pool) sameLimitError(incarnation directory.Incarnation, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(incarnation)
	same := s.limitError == text
	s.limitError = text
	return same
}

// adoptLimit takes over the limit that an upstream's lender reports.
func (p *Pool) adoptLimit(incarnation directory.Incarnation, reported ratelimit.State) {
	if reported.Mark.Source == 0 {
		return // the lender reports no limits
	}
	p.mu.Lock()
	s := p.stateLocked(incarnation)
	was := s.limiter.State().PerSecond
	changed := s.limiter.Adopt(p.Now(), reported)
	p.mu.Unlock()
	if changed {
		p.Limits.Changed(incarnation, was, reported.PerSecond, FromLender)
	}
}

// currentLimit returns the known limit of an upstream.
func (p *Pool) currentLimit(incarnation directory.Incarnation) ratelimit.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateLocked(incarnation).limiter.State()
}

// denial is the latest denial by an upstream's lender because of the limit. Until it expires, the
// lender is not asked again for requests of that rank or less urgent ones.
type denial struct {
	rank  int
	until time.Time
}

// remaining returns how much longer the denial holds for requests of a rank.
func (d denial) remaining(now time.Time, rank int) time.Duration {
	if rank < d.rank {
		return 0
	}
	return d.until.Sub(now)
}

// recordDenial records a denial that holds until retryAfter has passed.
func (p *Pool) recordDenial(incarnation directory.Incarnation, rank int, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(incarnation).denial = denial{rank: rank, until: p.Now().Add(retryAfter)}
}

// limitShareLocked returns the share of an upstream's limit that this router may use without admission.
func (p *Pool) limitShareLocked(r *serving.Request, u directory.Upstream, s *state) float64 {
	share := p.Limits.Share(u.Incarnation.String(), s.limiter.State().PerSecond)
	if p.usesAdmission(r, u) {
		share *= ratelimit.UnreachableShare
	}
	return share
}

// limitedLocked reports whether an upstream's limit excludes a request, and the time until it may allow it.
func (p *Pool) limitedLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) (limited bool, retryAfter time.Duration) {
	if !s.limiter.Limited() {
		return false, 0
	}
	if p.usesAdmission(r, u) {
		retryAfter = s.denial.remaining(now, r.Rank)
		return retryAfter > 0, retryAfter
	}
	share := p.limitShareLocked(r, u, s)
	if s.limiter.HasCapacity(now, share, r.Rank) {
		return false, 0
	}
	return true, s.limiter.RetryAfter(now, share, r.Rank)
}

// exceedsUnreachedLimit reports whether a request exceeds this router's share of the limit of an
// upstream whose lender does not answer.
func (p *Pool) exceedsUnreachedLimit(r *serving.Request, u directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(u.Incarnation)
	return s.limiter.Limited() && !s.limiter.HasCapacity(p.Now(), p.limitShareLocked(r, u, s), r.Rank)
}

// takeLimitLocked counts a request that goes to an upstream without admission, and reports whether the
// limit allows it: other requests may have used the capacity since the choice.
func (p *Pool) takeLimitLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) bool {
	return !s.limiter.Limited() || s.limiter.Take(now, p.limitShareLocked(r, u, s), r.Rank)
}

// Limited implements serving.Upstreams: it returns a refusal if limits exclude at least one eligible
// upstream, or nil if they exclude none.
func (p *Pool) Limited(r *serving.Request, attempts []serving.Attempt) *contract.Refusal {
	_, limited := p.views(r, p.eligible(r, attempts))
	if limited.Limited == 0 {
		return nil
	}
	refusal := contract.Refuse(contract.UpstreamLimit, "the upstreams of %s take no more requests now: %d of %d say so", r.Service.Name, limited.Limited, limited.Eligible)
	if limited.RetryAfter > 0 {
		refusal = refusal.WithRetryAfter(limited.retryAfter(r.Rank))
	}
	return refusal
}

// RetryAfter implements serving.Upstreams: it returns when the first of a request's upstreams may take it, false if one
// may now, or if that is not known.
func (p *Pool) RetryAfter(r *serving.Request) (time.Duration, bool) {
	_, limited := p.views(r, p.eligible(r, nil))
	if limited.Limited < limited.Eligible || limited.RetryAfter == 0 {
		return 0, false
	}
	return limited.retryAfter(r.Rank), true
}

// retryAfter returns when a caller should come back: at different times, the more urgent ones first.
func (c LimitedChoice) retryAfter(rank int) time.Duration {
	return max(minRetryAfter, c.RetryAfter+backoff.Jitter(min(c.RetryAfter, maxSpread))/2) + time.Duration(min(max(rank, 0), maxRankDelays))*rankDelay
}
