// Package warmup bounds what an upstream is sent that has just started, or has become cold
// otherwise. The load pattern that it answers: a data centre's upstreams come back together,
// idle, and all routers find them the least loaded at the same moment. A cold upstream bears a
// few requests a second from all routers together, and ends at a rate well above that; its
// callers' requests fail, and it comes back cold.
//
// Routers do not hear of each other's requests. So the process beside an upstream, to which each
// prompt is announced, counts them and gives leave (Window). Where no such process is known, a few
// routers share the bound (Share).
package warmup

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
)

// Tolerance is what cold upstreams bear beyond the rate that their service names, the same for all
// services.
type Tolerance struct {
	// Overshoot multiplies the rate.
	Overshoot float64
	// Slack is the requests in a second that are added to that.
	Slack float64
}

// MaxRequests is how many requests in any second a cold upstream bears whose service names that rate; 0
// is no bound, for services that name none.
func (b Tolerance) MaxRequests(perSecond float64) int {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int(perSecond*b.Overshoot+b.Slack))
}

// span is the time in which requests are counted.
const span = time.Second

// Window counts the requests of the last second. The zero value is empty. It is not safe for
// concurrent use.
type Window struct {
	times []time.Time // oldest first
}

// Take counts a request if fewer than most were counted in the last second, and reports whether
// it did.
func (w *Window) Take(now time.Time, most int) bool {
	if !w.HasCapacity(now, most) {
		return false
	}
	w.Count(now)
	return true
}

// HasCapacity reports whether fewer than most requests were counted in the last second.
func (w *Window) HasCapacity(now time.Time, most int) bool {
	w.Trim(now)
	return len(w.times) < most
}

// Count notes a request whatever the bound.
func (w *Window) Count(now time.Time) {
	w.Trim(now)
	w.times = append(w.times, now)
}

// Return takes the newest request back: it went elsewhere.
func (w *Window) Return() {
	if n := len(w.times); n > 0 {
		w.times = w.times[:n-1]
	}
}

// Trim forgets the requests that were counted more than a second ago.
func (w *Window) Trim(now time.Time) {
	old, _ := slices.BinarySearchFunc(w.times, now.Add(-span), func(t, bound time.Time) int {
		if t.After(bound) {
			return 1
		}
		return -1
	})
	w.times = slices.Delete(w.times, 0, old)
}

// leaveShare is the part of what a cold upstream bears that is given by leave. The rest is for
// routers that know of nobody to ask: while a process beside an upstream is just becoming known,
// some have leave and others their share, and together these must not pass the bound. Requests
// also arrive some milliseconds after they got leave, so that those of a little more than a second
// may arrive in one.
const leaveShare = 0.6

// PermitLimit is how many requests in any second get leave, of most that an upstream bears.
func PermitLimit(most int) int { return max(1, int(leaveShare*float64(most))) }

// sharers is how many routers share the bound of one cold upstream. With one, its death leaves
// the upstream without work; with more, routers that know different members and so find others
// would pass the bound.
const sharers = 3

// Share is how many requests in any second a router may send to a cold upstream for which nobody
// gives leave. All routers that know the same routers find the same few for it, without a
// message. One that has been listed among them for less than a second has no share yet: an earlier
// life of it may just have used it.
func Share(router string, listedFor time.Duration, routers []string, upstream string, most int) int {
	if listedFor < span {
		return 0
	}
	rest := max(1, most-PermitLimit(most))
	ranked := rendezvous.Rank(upstream, routers)
	ranked = ranked[:min(len(ranked), sharers, rest)]
	if !slices.Contains(ranked, router) {
		return 0
	}
	return rest / len(ranked)
}
