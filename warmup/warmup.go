// Package warmup limits the requests sent to an upstream that has just started or has become cold
// for another reason. It handles a data centre whose upstreams return together: they are idle, and
// all routers choose them as the least loaded at the same moment. A cold upstream sustains a few
// requests per second from all routers together and crashes at a rate well above that; its callers'
// requests fail, and it returns cold.
//
// Routers do not exchange their request counts. So the lender on the upstream's VM, to which all
// prompts are announced, counts them and grants permits (Window). Where no lender is known, a few
// routers share the bound (Share).
package warmup

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
)

// Tolerance defines how far cold upstreams tolerate more requests than the rate that their service
// specifies. It is the same for all services.
type Tolerance struct {
	// Overshoot multiplies the rate.
	Overshoot float64
	// Slack is the number of requests per second added to that.
	Slack float64
}

// MaxRequests returns the maximum number of requests in any second for a cold upstream whose
// service specifies this rate; 0 is no bound, for services that specify none.
func (t Tolerance) MaxRequests(perSecond float64) int {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int(perSecond*t.Overshoot+t.Slack))
}

// windowLength is the duration in which requests are counted.
const windowLength = time.Second

// Window is a sliding-window counter of the requests of the last second. The zero value is empty.
// It is not safe for concurrent use.
type Window struct {
	times []time.Time // oldest first
}

// Take counts a request if fewer than maxRequests were counted in the last second, and reports
// whether it did.
func (w *Window) Take(now time.Time, maxRequests int) bool {
	if !w.HasCapacity(now, maxRequests) {
		return false
	}
	w.Count(now)
	return true
}

// HasCapacity reports whether fewer than maxRequests requests were counted in the last second.
func (w *Window) HasCapacity(now time.Time, maxRequests int) bool {
	w.Trim(now)
	return len(w.times) < maxRequests
}

// Count counts a request regardless of the bound.
func (w *Window) Count(now time.Time) {
	w.Trim(now)
	w.times = append(w.times, now)
}

// Len returns the number of requests that were counted in the last second.
func (w *Window) Len(now time.Time) int {
	w.Trim(now)
	return len(w.times)
}

// Return removes the newest request, which was sent elsewhere.
func (w *Window) Return() {
	if n := len(w.times); n > 0 {
		w.times = w.times[:n-1]
	}
}

// Trim removes the requests that were counted more than a second ago.
func (w *Window) Trim(now time.Time) {
	old, _ := slices.BinarySearchFunc(w.times, now.Add(-windowLength), func(t, bound time.Time) int {
		if t.After(bound) {
			return 1
		}
		return -1
	})
	w.times = slices.Delete(w.times, 0, old)
}

// permitShare is the part of a cold upstream's bound that is granted by permits. The rest is for
// routers that have no lender to query: just after a lender starts, some routers use permits and
// others still use their share, and together these must not exceed the bound. Requests also arrive some
// milliseconds after their permits, so those permitted in slightly more than a second may arrive
// within one.
const permitShare = 0.6

// PermitLimit returns the maximum number of permits in any second for an upstream with the bound
// maxRequests.
func PermitLimit(maxRequests int) int { return max(1, int(permitShare*float64(maxRequests))) }

// maxSharers is the number of routers that share the bound of one cold upstream. With one, its
// failure would leave the upstream idle; with more, routers with different views of the membership
// select different sharers and would exceed the bound.
const maxSharers = 3

// Share returns how many requests in any second a router may send to a cold upstream for which no
// process grants permits. Routers with the same view of the membership select the same sharers
// without communication. A router that has been listed for less than a second has no share yet: an
// earlier incarnation of it may just have used the share.
func Share(router string, listedFor time.Duration, routers []string, upstream string, maxRequests int) int {
	if listedFor < windowLength {
		return 0
	}
	rest := max(1, maxRequests-PermitLimit(maxRequests))
	ranked := rendezvous.Rank(upstream, routers)
	ranked = ranked[:min(len(ranked), maxSharers, rest)]
	if !slices.Contains(ranked, router) {
		return 0
	}
	return rest / len(ranked)
}
