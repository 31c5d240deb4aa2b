// Package pool is what a router knows of its upstreams by its own requests: how many
// run there, how much they have to read, what they probably have cached, and how they
// failed. It asks nobody.
package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/warmup"
)

// How failing upstreams are left alone.
const (
	// avoidFirst is for how long an upstream is avoided after it could not be
	// reached or did not answer; it doubles with each further failure up to
	// avoidMost, which bounds how late a returned one gets work again.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 2 * time.Second
	// failureWeight is the weight of one answer in the share of failures: some
	// ten answers decide.
	failureWeight = 0.1
	// failureHalfLife is the time in which the share of failures halves without
	// further answers, so that an avoided upstream is tried again.
	failureHalfLife = 2 * time.Second
	// failureForgotten is the share below which it counts as none: between idle
	// upstreams the smallest difference would decide for ever.
	failureForgotten = 0.01
)

// cacheShare is the part of an engine's memory that is believed to hold cached parts
// of this router's requests. The rest is for running requests and for what other
// routers send; to believe too much costs a prompt read again, to believe too little
// scatters requests.
const cacheShare = 0.5

// Pool chooses upstreams by this router's own experience.
type Pool struct {
	Directory *directory.Directory
	// PrefillPerMs is the tokens that an engine reads in a millisecond, by the
	// settings.
	PrefillPerMs float64
	// Routers returns how many routers there are.
	Routers func() int
	// Datacentre is the router's data centre.
	Datacentre string
	// Announce tells the process beside an engine of a prompt; false if nobody answered.
	// Withdraw takes that back. Both may be nil.
	Announce      func(address string, a prefill.Announcement) (prefill.AnnounceReply, bool)
	Withdraw func(address string, a prefill.Announcement, told prefill.AnnounceReply)
	// ReportRemotePrefill tells the process beside an engine that another one reads parts of a prompt
	// which prefers that engine. It may be nil.
	ReportRemotePrefill func(address string, e prefill.RemotePrefill)
	// OnStallProne, if set, is told when an engine is to be left to short prompts and when not
	// any more, and what decided it: how long streams of its service are held up, as a share
	// of their goal, and how many times as long as others it takes. It must not block.
	OnStallProne func(life directory.Incarnation, exposed bool, heldUp, slowness float64)
	// Limits shares and tells the limits that upstreams name.
	Limits Limits
	// Region returns the region of a data centre, "" if it is not known.
	Region func(datacentre string) string
	// Cold bounds what cold upstreams are sent.
	Cold warmup.Tolerance
	// HasLender reports whether a process beside the upstream at an address is known, which gives
	// leave to send prompts there. It may be nil.
	HasLender func(address string) bool
	// ColdShare is how many of the requests in a second that a cold upstream bears are this
	// router's, where there is nobody to give leave.
	ColdShare func(upstream string, most int) int
	// Now is the clock.
	Now func() time.Time

	mu     sync.Mutex
	states map[directory.Incarnation]*state

	// pauses are those of streams, readings the rates of reading, by service.
	pauses   sync.Map // string to *pauses
	readings sync.Map // string to *reading
}

// state is what is known of one life of an upstream.
type state struct {
	running   int
	unread    int64
	fails     int
	avoid     time.Time
	failShare float64
	failAt    time.Time
	cache     prefill.Cache
	// pace is the time for an event of a stream that nothing holds up, eventTime that for
	// any; 0 if not known.
	pace, eventTime time.Duration
	// reports is how many reports of streams made them.
	reports int
	// slowness is how many times as long as usual it takes, as of the last choice; exposed
	// says that its streams are held up too long while it reads prompts.
	slowness float64
	exposed  bool
	// sent are the requests without leave while it is cold.
	sent warmup.Window
	// limiter holds what goes there without leave to this router's share of the limit that it names.
	limiter ratelimit.Limiter
	// limitError is why the last limit that it named cannot be read; "" if it can.
	limitError string
	// denial is the last one of the process beside it for that limit.
	denial denial
}

// shareOfTime is the part of the time left that one attempt gets when the request may
// be tried at another upstream after it.
const shareOfTime = 0.5

// views is what is known of the upstreams, and what their limits hold back.
func (p *Pool) views(r *serving.Request, ups []directory.Upstream) ([]placement.Upstream, LimitedChoice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	views, states := make([]placement.Upstream, len(ups)), make([]*state, len(ups))
	held := LimitedChoice{Eligible: len(ups)}
	for i, u := range ups {
		states[i] = p.stateLocked(u.Incarnation)
		views[i] = p.viewLocked(now, r, u, states[i])
		if limited, next := p.limitedLocked(now, r, u, states[i]); limited {
			views[i].Excluded = true
			held.add(next)
		}
	}
	p.addSpeedLocked(r.Service.Name, views, states)
	return views, held
}

// addSpeedLocked adds what is known of how fast the upstreams of a service are.
func (p *Pool) addSpeedLocked(service string, views []placement.Upstream, states []*state) {
	paces := make([]time.Duration, len(views))
	eventTimes := make([]time.Duration, len(views))
	for i, s := range states {
		paces[i], eventTimes[i] = s.pace, s.eventTime
	}
	usual, usualEvent := usualPace(slices.Clone(paces)), usualPace(slices.Clone(eventTimes))
	held := p.pausesOf(service).share()
	for i, s := range states {
		s.slowness = slowness(paces[i], usual)
		p.judgeLocked(views[i].Life, s, held)
		views[i].StallProne = s.exposed
		views[i].EventInterval = cmp.Or(eventTimes[i], usualEvent)
	}
}

// judgeLocked decides whether an engine's streams are held up too long.
func (p *Pool) judgeLocked(life directory.Incarnation, s *state, held float64) {
	exposed := s.reports >= leastReports && placement.StallProne(s.exposed, held, s.slowness)
	if exposed == s.exposed {
		return
	}
	s.exposed = exposed
	if p.OnStallProne != nil {
		p.OnStallProne(life, exposed, held, s.slowness)
	}
}

// pausesOf are those of a service's streams.
func (p *Pool) pausesOf(service string) *pauses { return of[pauses](&p.pauses, service) }

// readingOf is how fast a service's engines read prompts.
func (p *Pool) readingOf(service string) *reading { return of[reading](&p.readings, service) }

// of returns a service's part of a map, made when it is first asked for.
func of[T any](all *sync.Map, service string) *T {
	if known, ok := all.Load(service); ok {
		return known.(*T)
	}
	made, _ := all.LoadOrStore(service, new(T))
	return made.(*T)
}

func (p *Pool) rates(r *serving.Request) placement.Rates {
	perMs, _ := p.readingOf(r.Service.Name).perMs(p.PrefillPerMs)
	rates := placement.Rates{
		PrefillPerMs: perMs,
		FetchPerMs:   perMs,
		Routers:      p.Routers(),
		Datacentre:         p.Datacentre,
	}
	if e := r.Service.Engine; e != nil && e.BytesPerToken > 0 && e.LinkMbps > 0 {
		bytesPerMs := e.LinkMbps * 1e6 / 8 / 1e3
		rates.FetchPerMs = bytesPerMs / float64(e.BytesPerToken)
	}
	return rates
}

func (p *Pool) viewLocked(now time.Time, r *serving.Request, u directory.Upstream, s *state) placement.Upstream {
	return placement.Upstream{
		Life:         u.Incarnation,
		Datacentre:   u.Datacentre,
		Slots:        u.Slots,
		Running:      s.running,
		PendingPrefill:       s.unread,
		Cached:       s.cache.Match(r.Parts),
		Avoid:        now.Before(s.avoid),
		FailureShare: s.failureShare(now),
		Excluded:       p.closedLocked(now, r, u, s),
	}
}

func (p *Pool) stateLocked(life directory.Incarnation) *state {
	if p.states == nil {
		p.states = map[directory.Incarnation]*state{}
	}
	s := p.states[life]
	if s == nil {
		s = &state{}
		p.states[life] = s
	}
	return s
}

// takeLocked begins an attempt at the chosen upstream. granted says that the process beside it has
// given leave. It reports false if there is no room any more within the upstream's limit.
func (p *Pool) takeLocked(now time.Time, r *serving.Request, ups []directory.Upstream, c placement.Choice, granted bool) (serving.Target, bool) {
	u := ups[c.Index]
	s := p.stateLocked(u.Incarnation)
	if !granted && !p.takeLimitLocked(now, r, u, s) {
		return serving.Target{}, false
	}
	if p.cold(now, r, u) && !p.asksLeave(r, u) {
		s.sent.Count(now)
	}
	s.running++
	s.unread += c.PrefillTokens
	if e := r.Service.Engine; e != nil {
		s.cache.Add(r.Parts, int64(cacheShare*float64(e.CacheTokens)))
	}
	t := serving.Target{Life: u.Incarnation, Address: u.Address, Deadline: r.Deadline}
	if c.FetchFrom >= 0 {
		t.FetchFrom = ups[c.FetchFrom].Address
	}
	if r.Route.Idempotent() && r.Route.MaxRuns > 1 && r.Prompt <= 0 {
		t.Deadline = now.Add(time.Duration(shareOfTime * float64(r.Deadline.Sub(now))))
	}
	one := &run{pool: p, upstream: u.Incarnation, address: u.Address, under: s.limiter.State().Mark, choice: c, goal: r.Route.GapGoal, slowness: max(1, s.slowness), pauses: p.pausesOf(r.Service.Name),
		reading: p.readingOf(r.Service.Name), sent: now}
	t.Event, t.Limit, t.Done = one.event, one.limit, one.done
	return t, true
}

// read notes that a request's prompt was read: its first event came, or it ended.
func (p *Pool) read(life directory.Incarnation, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(life).unread -= tokens
}

// load is what this router has at an upstream.
func (p *Pool) load(life directory.Incarnation) serving.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(life)
	return serving.Load{Running: s.running, PendingPrefill: s.unread}
}

// paced notes the pace of an engine's stream.
func (p *Pool) paced(life directory.Incarnation, of pace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateLocked(life).paced(of)
}

// done notes how an attempt ended.
func (p *Pool) done(life directory.Incarnation, a serving.Attempt) {
	if a.Result == serving.Misdirected {
		p.Directory.Reject(life)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateLocked(life)
	s.running--
	now := p.Now()
	switch a.Result {
	case serving.Complete, serving.Declined:
		s.fails = 0
		s.answered(now, 0)
	case serving.Failed, serving.Broken:
		s.answered(now, 1)
	case serving.Unreached, serving.Unknown, serving.OutOfTime:
		s.answered(now, 1)
		s.avoid = now.Add(min(avoidMost, avoidFirst<<min(s.fails, 4)))
		s.fails++
	}
}

// answered moves the share of failures towards the newest answer.
func (s *state) answered(now time.Time, failed float64) {
	s.failShare = s.failureShare(now)*(1-failureWeight) + failed*failureWeight
	s.failAt = now
}

func (s *state) failureShare(now time.Time) float64 {
	if s.failShare == 0 {
		return 0
	}
	share := s.failShare * halved(now.Sub(s.failAt))
	if share < failureForgotten {
		return 0
	}
	return share
}

// halved is 1 at age 0 and halves each half-life.
func halved(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(failureHalfLife))
}

// Prune drops what is known of lives that are no longer listed and have
// nothing running; call it now and then.
func (p *Pool) Prune() {
	listed := map[directory.Incarnation]bool{}
	for _, u := range p.Directory.All() {
		listed[u.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, s := range p.states {
		if !listed[life] && s.running == 0 {
			delete(p.states, life)
		}
	}
}

// State is what is known of one upstream, for dumps.
type State struct {
	Upstream     string  `json:"upstream"`
	Running      int     `json:"running"`
	Unread       int64   `json:"unread_tokens"`
	Cached       int64   `json:"cached_tokens"`
	Fails        int     `json:"fails_in_a_row"`
	FailureShare float64 `json:"failure_share"`
	Slowness     float64 `json:"slowness"`
	StallProne      bool    `json:"left_to_short_prompts"`
	// Limit is the requests a second that it takes from all routers together, 0 if it names none.
	Limit float64 `json:"limit_per_second,omitempty"`
}

// States lists what is known of all upstreams.
func (p *Pool) States() []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	out := make([]State, 0, len(p.states))
	for life, s := range p.states {
		out = append(out, State{Upstream: life.String(), Running: s.running, Unread: s.unread,
			Cached: s.cache.Tokens(), Fails: s.fails, FailureShare: s.failureShare(now),
			Slowness: s.slowness, StallProne: s.exposed, Limit: s.limiter.State().PerSecond})
	}
	return out
}
