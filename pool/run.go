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
	pool *Pool
	// request is the id of the request.
	request  string
	upstream directory.Incarnation
	// version is the version of the upstream's software.
	version string
	address string
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
	// versionDone is Versions.Begin's result.
	versionDone func(result serving.Result, first, ran time.Duration)

	firstEvent time.Time
	lastEvent  time.Time
	prefilled  bool
	longestGap serving.Gap
	intervals  eventIntervals
}

// observe implements serving.Target's Observe.
func (att *attempt) observe(s serving.Statement) {
	att.pool.observeLimit(att, s.Limit, s.LimitError)
	att.pool.recordStatement(att, s)
}

// event implements serving.Target's Event.
func (att *attempt) event(now time.Time) {
	if att.lastEvent.IsZero() && att.choice.Backlog == 0 && att.choice.FetchFrom < 0 && att.choice.PrefillTokens > 0 {
		att.prefillRate.observe(att.choice.PrefillTokens, now.Sub(att.sent))
	}
	att.prefillDone()
	if att.firstEvent.IsZero() {
		att.firstEvent = now
	}
	if !att.lastEvent.IsZero() {
		att.observeGap(now, now.Sub(att.lastEvent))
	}
	att.lastEvent = now
	if att.intervals.observe(now) {
		att.pool.observeIntervals(att.upstream, att.intervals)
	}
}

// prefillDone records once that the prompt is prefilled: the first event arrived, or the attempt ended.
func (att *attempt) prefillDone() {
	if !att.prefilled {
		att.prefilled = true
		att.pool.prefillDone(att.upstream, att.choice.PrefillTokens)
	}
}

// observeGap records the gap between two events.
func (att *attempt) observeGap(now time.Time, gap time.Duration) {
	if gap > att.longestGap.Duration {
		att.longestGap = serving.Gap{Duration: gap, ConcurrentLoad: att.pool.load(att.upstream)}
	}
	if att.goal > 0 {
		att.gaps.observe(now, float64(gap)/float64(att.goal)/att.slowness)
	}
}

// done implements serving.Target's Done.
func (att *attempt) done(a serving.Attempt) serving.Attempt {
	att.prefillDone()
	att.pool.attemptDone(att.upstream, a)
	if att.versionDone != nil {
		att.reportVersion(a)
	}
	a.Version = att.version
	a.Cost, a.PendingPrefill, a.Gap = att.choice.Cost, att.choice.PrefillTokens, att.longestGap
	a.Crossing = att.choice.Crossing
	return a
}

// reportVersion reports the result to Versions. A recalled attempt counts like one whose caller left.
func (att *attempt) reportVersion(a serving.Attempt) {
	result := a.Result
	if a.Recalled {
		result = serving.CallerGone
	}
	ran := att.pool.Now().Sub(att.sent)
	first := ran
	if !att.firstEvent.IsZero() {
		first = att.firstEvent.Sub(att.sent)
	}
	att.versionDone(result, first, ran)
}
