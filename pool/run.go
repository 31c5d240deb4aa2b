package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
)

// run follows one attempt, from the choice of its upstream to its end. One goroutine uses it.
type run struct {
	pool     *Pool
	upstream directory.Incarnation
	address  string
	// under is what was known of the upstream's limit when the request was let go.
	under  ratelimit.Mark
	choice placement.Choice
	// goal is that of the route for pauses; slowness is the engine's at the choice.
	goal     time.Duration
	slowness float64
	pauses   *pauses
	reading  *reading
	// sent is when the upstream was chosen.
	sent time.Time

	last  time.Time // of the last event
	read  bool      // the prompt was read
	pause serving.Gap
	pace  pace
}

// limit implements serving.Target's Limit.
func (r *run) limit(perSecond float64, err error) { r.pool.limitNamed(r, perSecond, err) }

// event implements serving.Target's Event.
func (r *run) event(now time.Time) {
	if r.last.IsZero() && r.choice.Backlog == 0 && r.choice.FetchFrom < 0 && r.choice.PrefillTokens > 0 {
		r.reading.note(r.choice.PrefillTokens, now.Sub(r.sent))
	}
	r.haveRead()
	if !r.last.IsZero() {
		r.paused(now, now.Sub(r.last))
	}
	r.last = now
	if r.pace.came(now) {
		r.pool.paced(r.upstream, r.pace)
	}
}

// haveRead notes once that the prompt was read: the first event came, or the end.
func (r *run) haveRead() {
	if !r.read {
		r.read = true
		r.pool.read(r.upstream, r.choice.PrefillTokens)
	}
}

// paused notes a pause between two events.
func (r *run) paused(now time.Time, pause time.Duration) {
	if pause > r.pause.Duration {
		r.pause = serving.Gap{Duration: pause, ConcurrentLoad: r.pool.load(r.upstream)}
	}
	if r.goal > 0 {
		r.pauses.note(now, float64(pause)/float64(r.goal)/r.slowness)
	}
}

// done implements serving.Target's Done.
func (r *run) done(a serving.Attempt) serving.Attempt {
	r.haveRead()
	r.pool.done(r.upstream, a)
	a.Cost, a.PendingPrefill, a.Pause = r.choice.Cost, r.choice.PrefillTokens, r.pause
	return a
}
