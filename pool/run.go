package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
)

// attempt tracks one attempt from the choice of its upstream to its end. It is not safe for concurrent use.
type attempt struct {
	pool     *Pool
	upstream directory.Incarnation
	address  string
	// limitMark identifies the state of the upstream's limit when the request was sent.
	limitMark ratelimit.Mark
	choice    placement.Choice
	// goal is the route's goal for gaps between events; slowness is the engine's at the choice.
	goal        time.Duration
	slowness    float64
	gaps        *serviceGaps
	prefillRate *prefillRate
	// sent is when the upstream was chosen.
	sent time.Time

	lastEvent  time.Time
	prefilled  bool
	longestGap serving.Gap
	intervals  eventIntervals
}

// limit implements serving.Target's Limit.
func (r *attempt) limit(perSecond float64, err error) { r.pool.observeLimit(r, perSecond, err) }

// event implements serving.Target's Event.
func (r *attempt) event(now time.Time) {
	if r.lastEvent.IsZero() && r.choice.Backlog == 0 && r.choice.FetchFrom < 0 && r.choice.PrefillTokens > 0 {
		r.prefillRate.observe(r.choice.PrefillTokens, now.Sub(r.sent))
	}
	r.prefillDone()
	if !r.lastEvent.IsZero() {
		r.observeGap(now, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
	if r.intervals.observe(now) {
		r.pool.observeIntervals(r.upstream, r.intervals)
	}
}

// prefillDone records once that the prompt is prefilled: the first event arrived, or the attempt ended.
func (r *attempt) prefillDone() {
	if !r.prefilled {
		r.prefilled = true
		r.pool.prefillDone(r.upstream, r.choice.PrefillTokens)
	}
}

// observeGap records the gap between two events.
func (r *attempt) observeGap(now time.Time, gap time.Duration) {
	if gap > r.longestGap.Duration {
		r.longestGap = serving.Gap{Duration: gap, ConcurrentLoad: r.pool.load(r.upstream)}
	}
	if r.goal > 0 {
		r.gaps.observe(now, float64(gap)/float64(r.goal)/r.slowness)
	}
}

// done implements serving.Target's Done.
func (r *attempt) done(a serving.Attempt) serving.Attempt {
	r.prefillDone()
	r.pool.attemptDone(r.upstream, a)
	a.Cost, a.PendingPrefill, a.Pause = r.choice.Cost, r.choice.PrefillTokens, r.longestGap
	return a
}
