// Package pool tracks the state of a router's upstreams, as observed from the router's own
// requests: how many run there, how many prompt tokens are pending, what is probably cached, and
// which requests failed. Calls to lenders go through functions that are set in Pool.
package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/warmup"
)

// Back-off from failing upstreams.
const (
	// initialAvoid is how long an upstream is avoided after it could not be
	// reached or did not answer; it doubles with each further failure up to
	// maxAvoid, which bounds how late a recovered one gets work again.
	initialAvoid = 250 * time.Millisecond
	maxAvoid     = 2 * time.Second
	// failureWeight is the weight of one answer in the moving share of failures, which
	// covers about ten answers.
	failureWeight = 0.1
	// failureHalfLife is the time in which the share of failures halves without
	// further answers, so that an avoided upstream is tried again.
	failureHalfLife = 2 * time.Second
	// minFailureShare is the share below which it counts as 0: between idle
	// upstreams any remaining difference would decide every choice.
	minFailureShare = 0.01
)

// cacheShare is the share of an engine's memory that is assumed to hold cached parts
// of this router's requests. The rest is for running requests and other routers'
// prompts. Too high a share costs repeated prefills, too low a share scatters requests
// over engines.
const cacheShare = 0.5

// Pool chooses upstreams by the outcomes and load of this router's own requests.
type Pool struct {
	Directory *directory.Directory
	// PrefillPerMs is the prefill rate in the settings, in tokens per millisecond.
	PrefillPerMs float64
	// Routers returns the number of routers.
	Routers func() int
	// Datacentre is the router's data centre.
	Datacentre string
	// Topology has the distance of the router from each data centre; nil if the fleet does not span several regions.
	Topology *datacentre.Topology
	// Announce announces a prompt to an engine's lender; it returns false without an answer, at the
	// request's deadline at the latest. Withdraw revokes an announcement. Both may be nil.
	Announce func(deadline time.Time, address string, a prefill.Announcement) (prefill.AnnounceReply, bool)
	Withdraw func(address string, a prefill.Announcement, reply prefill.AnnounceReply)
	// ReportRemotePrefill informs the lender of a prompt's preferred engine that another engine prefills
	// parts of the prompt. It may be nil.
	ReportRemotePrefill func(address string, e prefill.RemotePrefill)
	// OnStallProne, if set, is called when an engine becomes reserved for short prompts or is no longer,
	// with the reasons: gapShare is how long prefills delay streams of its service, as a share of
	// their gap goal, and slowness the ratio of its event interval to the usual one. It must not block.
	OnStallProne func(incarnation directory.Incarnation, stallProne bool, gapShare, slowness float64)
	// Limits divides and reports the limits that upstreams state.
	Limits Limits
	// OnStatement, if set, is called with an upstream's statement that it leaves or wants to rest, unless it is
	// known, or that cannot be parsed, and the id of the answered request. It must not block.
	OnStatement func(incarnation directory.Incarnation, request string, s serving.Statement)
	// Region returns the region of a data centre, "" if unknown.
	Region func(datacentre string) string
	// Versions restricts requests to versions of their service; it may be nil.
	Versions Versions
	// Cold bounds the request rate to cold upstreams.
	Cold warmup.Tolerance
	// HasLender reports whether the upstream at an address has a known lender, which admits the
	// prompts sent there. It may be nil.
	HasLender func(address string) bool
	// ColdShare returns this router's share of maxRequests, the number of requests per second that a
	// cold upstream can take. It applies to upstreams without a lender.
	ColdShare func(upstream string, maxRequests int) int
	// MeasureWork makes WorkRatio available.
	MeasureWork bool
	// Now returns the current time.
	Now func() time.Time

	mu     sync.Mutex
	states map[directory.Incarnation]*state

	// work is this router's share of the prompts of all routers.
	work workRatio

	// gaps and prefillRates are keyed by service.
	gaps         sync.Map // string to *serviceGaps
	prefillRates sync.Map // string to *prefillRate
}

// state is the observed state of one incarnation of an upstream.
type state struct {
	running        int
	pendingPrefill int64
	fails          int
	avoidUntil     time.Time
	failShare      float64
	failShareAt    time.Time
	cache          prefill.Cache
	// baseInterval is the time between two events of a stream that nothing delays, eventInterval
	// that of all streams; 0 if unknown.
	baseInterval, eventInterval time.Duration
	// reports is the number of stream reports that the intervals are based on.
	reports int
	// slowness is the ratio of its event interval to the usual one, as of the last choice;
	// stallProne is set if prefills delay its streams for too long.
	slowness   float64
	stallProne bool
	// unadmitted counts the requests sent without admission while it is cold.
	unadmitted warmup.Window
	// limiter limits the requests sent without admission to this router's share of the upstream's limit.
	limiter ratelimit.Limiter
	// limitError is the parse error of the last stated limit, or "".
	limitError string
	// saysLeaving is set if an answer said that it leaves, restUntil is the end of the time for which it wants
	// nothing from this router.
	saysLeaving bool
	restUntil   time.Time
	// invalid is the error of the last of these statements that could not be parsed, or "".
	invalid string
	// denial is its lender's latest denial for that limit.
	denial denial
}

// attemptTimeShare is the share of the remaining time that one attempt gets when the request may
// be retried at another upstream.
const attemptTimeShare = 0.5

// views returns the upstreams as inputs of a placement, and a summary of those excluded by limits.
func (p *Pool) views(r *serving.Request, ups []directory.Upstream) ([]placement.Upstream, LimitedChoice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	views, states := make([]placement.Upstream, len(ups)), make([]*state, len(ups))
	choice := LimitedChoice{Eligible: len(ups)}
	for i, u := range ups {
		states[i] = p.stateLocked(u.Incarnation)
		views[i] = p.viewLocked(now, r, u, states[i])
		if limited, retryAfter := p.limitedLocked(now, r, u, states[i]); limited {
			views[i].Excluded = true
			choice.add(retryAfter)
			continue
		}
		if remaining := states[i].rests(now); remaining > 0 {
			views[i].Excluded = true
			choice.add(remaining)
		}
	}
	p.addIntervalsLocked(r.Service.Name, views, states)
	return views, choice
}

// addIntervalsLocked adds the event intervals of a service's upstreams, and whether they are stall-prone.
func (p *Pool) addIntervalsLocked(service string, views []placement.Upstream, states []*state) {
	baseIntervals := make([]time.Duration, len(views))
	intervals := make([]time.Duration, len(views))
	for i, s := range states {
		baseIntervals[i], intervals[i] = s.baseInterval, s.eventInterval
	}
	usualBase, usualInterval := baselineInterval(slices.Clone(baseIntervals)), baselineInterval(slices.Clone(intervals))
	gapShare := p.gapsOf(service).share()
	for i, s := range states {
		s.slowness = slowness(baseIntervals[i], usualBase)
		p.updateStallProneLocked(views[i].Incarnation, s, gapShare)
		views[i].StallProne = s.stallProne
		views[i].EventInterval = cmp.Or(intervals[i], usualInterval)
	}
}

// updateStallProneLocked decides whether prefills delay an engine's streams for too long.
func (p *Pool) updateStallProneLocked(incarnation directory.Incarnation, s *state, gapShare float64) {
	stallProne := s.reports >= minReports && placement.StallProne(s.stallProne, gapShare, s.slowness)
	if stallProne == s.stallProne {
		return
	}
	s.stallProne = stallProne
	if p.OnStallProne != nil {
		p.OnStallProne(incarnation, stallProne, gapShare, s.slowness)
	}
}

// gapsOf returns the gaps of a service's streams.
func (p *Pool) gapsOf(service string) *serviceGaps { return loadOrNew[serviceGaps](&p.gaps, service) }

// prefillRateOf returns the estimate of the prefill rate of a service's engines.
func (p *Pool) prefillRateOf(service string) *prefillRate {
	return loadOrNew[prefillRate](&p.prefillRates, service)
}

// loadOrNew returns a service's value in a map, created on first use.
func loadOrNew[T any](byService *sync.Map, service string) *T {
	if existing, ok := byService.Load(service); ok {
		return existing.(*T)
	}
	created, _ := byService.LoadOrStore(service, new(T))
	return created.(*T)
}

func (p *Pool) rates(r *serving.Request) placement.Rates {
	perMs, _ := p.prefillRateOf(r.Service.Name).tokensPerMs(p.PrefillPerMs)
	rates := placement.Rates{
		PrefillPerMs: perMs,
		FetchPerMs:   perMs,
		Routers:      p.Routers(),
		Datacentre:   p.Datacentre,
		Topology:     p.Topology,
	}
	if e := r.Service.Engine; e != nil && e.BytesPerToken > 0 && e.LinkMbps > 0 {
		bytesPerMs := e.LinkMbps * 1e6 / 8 / 1e3
		rates.FetchPerMs = bytesPerMs / float64(e.BytesPerToken)
	}
	return rates
}

func (p *Pool) viewLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) placement.Upstream {
	return placement.Upstream{
		Incarnation:    u.Incarnation,
		Datacentre:     u.Datacentre,
		Slots:          u.Slots,
		Running:        s.running,
		PendingPrefill: s.pendingPrefill,
		Cached:         s.cache.Match(r.Parts),
		Avoid:          now.Before(s.avoidUntil),
		FailureShare:   s.failureShare(now),
		Excluded:       p.coldShareUsedLocked(now, r, u, s),
	}
}

func (p *Pool) stateLocked(incarnation directory.Incarnation) *state {
	if p.states == nil {
		p.states = map[directory.Incarnation]*state{}
	}
	s := p.states[incarnation]
	if s == nil {
		s = &state{}
		p.states[incarnation] = s
	}
	return s
}

// beginAttemptLocked begins an attempt at the chosen upstream. It returns false if the upstream has asked for rest, or
// its limit has been used up, since the choice.
func (p *Pool) beginAttemptLocked(now time.Time, candidates *candidates, c placement.Choice) (serving.Target, bool) {
	r, ups := candidates.r, candidates.ups
	u := ups[c.Index]
	s := p.stateLocked(u.Incarnation)
	if s.rests(now) > 0 {
		return serving.Target{}, false
	}
	if !candidates.admitted && !p.takeLimitLocked(now, r, u, s) {
		return serving.Target{}, false
	}
	if p.cold(now, r, u) && !p.usesAdmission(r, u) {
		s.unadmitted.Count(now)
	}
	s.running++
	s.pendingPrefill += c.PrefillTokens
	if e := r.Service.Engine; e != nil {
		s.cache.Add(r.Parts, int64(cacheShare*float64(e.CacheTokens)))
	}
	version := u.StreamVersion()
	if candidates.restarted {
		version = ""
	}
	t := serving.Target{Incarnation: u.Incarnation, Address: u.Address, Version: version, Deadline: r.Deadline}
	if c.FetchFrom >= 0 {
		t.FetchFrom = ups[c.FetchFrom].Address
	}
	if r.Route.Idempotent() && r.Route.MaxRuns > 1 && r.Prompt <= 0 {
		t.Deadline = now.Add(time.Duration(attemptTimeShare * float64(r.Deadline.Sub(now))))
	}
	att := &attempt{pool: p, request: r.ID, upstream: u.Incarnation, version: version, address: u.Address, limitMark: s.limiter.State().Mark, choice: c, goal: r.Route.GapGoal, slowness: max(1, s.slowness), gaps: p.gapsOf(r.Service.Name),
		prefillRate: p.prefillRateOf(r.Service.Name), sent: now}
	if p.Versions != nil {
		perMs, _ := att.prefillRate.tokensPerMs(p.PrefillPerMs)
		att.versionDone = p.Versions.Begin(r, u, time.Duration(float64(c.PrefillTokens)/perMs*float64(time.Millisecond)))
	}
	t.Event, t.Observe, t.Done = att.event, att.observe, att.done
	return t, true
}

// prefillDone records that a request's prompt is prefilled: its first event arrived, or it ended.
func (p *Pool) prefillDone(incarnation directory.Incarnation, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(incarnation).pendingPrefill -= tokens
}

// load returns the load of this router's requests at an upstream.
func (p *Pool) load(incarnation directory.Incarnation) serving.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(incarnation)
	return serving.Load{Running: s.running, PendingPrefill: s.pendingPrefill}
}

// observeIntervals records a report of the event intervals of an engine's stream.
func (p *Pool) observeIntervals(incarnation directory.Incarnation, iv eventIntervals) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(incarnation).observeIntervals(iv)
}

// attemptDone records the result of an attempt.
func (p *Pool) attemptDone(incarnation directory.Incarnation, a serving.Attempt) {
	if a.Result == serving.Misdirected {
		p.Directory.Reject(incarnation)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(incarnation)
	s.running--
	if a.Recalled {
		return
	}
	now := p.Now()
	switch a.Result {
	case serving.Complete, serving.Declined:
		s.fails = 0
		s.observeResult(now, 0)
	case serving.Failed, serving.Broken:
		s.observeResult(now, 1)
	case serving.Unreached, serving.Unknown, serving.OutOfTime:
		s.observeResult(now, 1)
		s.avoidUntil = now.Add(min(maxAvoid, initialAvoid<<min(s.fails, 4)))
		s.fails++
	}
}

// observeResult updates the moving share of failures with the newest answer.
func (s *state) observeResult(now time.Time, failed float64) {
	s.failShare = s.failureShare(now)*(1-failureWeight) + failed*failureWeight
	s.failShareAt = now
}

func (s *state) failureShare(now time.Time) float64 {
	if s.failShare == 0 {
		return 0
	}
	share := s.failShare * decay(now.Sub(s.failShareAt))
	if share < minFailureShare {
		return 0
	}
	return share
}

// decay returns 1 at age 0 and halves each half-life.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(failureHalfLife))
}

// Prune drops the state of incarnations that are no longer listed, have nothing running and do not rest: their
// entries may return. It must be called periodically.
func (p *Pool) Prune() {
	listed := map[directory.Incarnation]bool{}
	for _, u := range p.Directory.All() {
		listed[u.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for incarnation, s := range p.states {
		if !listed[incarnation] && s.running == 0 && s.rests(now) == 0 {
			delete(p.states, incarnation)
		}
	}
}

// State is the state of one upstream, for debug dumps.
type State struct {
	Upstream       string  `json:"upstream"`
	Running        int     `json:"running"`
	PendingPrefill int64   `json:"unread_tokens"`
	Cached         int64   `json:"cached_tokens"`
	Fails          int     `json:"fails_in_a_row"`
	FailureShare   float64 `json:"failure_share"`
	Slowness       float64 `json:"slowness"`
	StallProne     bool    `json:"left_to_short_prompts"`
	// Limit is the requests per second that it accepts from all routers together, 0 if it states none.
	Limit float64 `json:"limit_per_second,omitempty"`
	// SaysLeaving is set if an answer said that it leaves; RestMS is how much longer it wants nothing from this router.
	SaysLeaving bool  `json:"says_leaving,omitempty"`
	RestMS      int64 `json:"rest_ms,omitempty"`
}

// States returns the state of all known upstreams.
func (p *Pool) States() []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	out := make([]State, 0, len(p.states))
	for incarnation, s := range p.states {
		out = append(out, State{Upstream: incarnation.String(), Running: s.running, PendingPrefill: s.pendingPrefill,
			Cached: s.cache.Tokens(), Fails: s.fails, FailureShare: s.failureShare(now),
			Slowness: s.slowness, StallProne: s.stallProne, Limit: s.limiter.State().PerSecond,
			SaysLeaving: s.saysLeaving, RestMS: s.rests(now).Milliseconds()})
	}
	return out
}
