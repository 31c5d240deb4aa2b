// Package retrybudget bounds how often a process sends requests more than once. Without
// a bound, a service that fails gets each request several times just when it can serve
// least, and its failure feeds itself.
package retrybudget

import (
	"sync"
	"time"
)

// Rule is the bound for a whole fleet: in any window, the sends beyond the first of
// each request stay below Ratio x requests + Extra.
type Rule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// slices is the number of parts of a window; older parts leave one by one.
const slices = 10

// part is what was counted in one slice of the window.
type part struct {
	number   int64
	requests int
	repeats  int
}

// Share is how a process takes part in Extra.
type Share struct {
	// Among is the number of processes that share it, 0 if it is not known.
	Among int
	// Since is when this process became one of them.
	Since time.Time
}

// Decision is whether one more send of a request was allowed, and what decided it.
type Decision struct {
	Allowed bool
	// Requests and Repeats are those counted in the window before this one.
	Requests, Repeats int
	// Limit is the most repeats in the window.
	Limit float64
}

// Budget is one process's share for one service. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	start time.Time // of slice 0
	parts [slices]part
}

// Request counts one request of a caller.
func (b *Budget) Request(now time.Time, r Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now, r).requests++
}

// Repeat decides whether one more repeat fits, and counts it if so. Each process gets
// the part of Ratio that its own requests bring, and an equal share of Extra. Shares need
// no message, and their sum stays within the rule as long as none divides by too few.
func (b *Budget) Repeat(now time.Time, r Rule, share Share) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, repeats := b.sumLocked(now, r)
	d := Decision{Requests: requests, Repeats: repeats}
	d.Limit = r.Ratio*float64(requests) + r.Extra/float64(max(1, share.Among))
	d.Allowed = float64(repeats+1) <= d.Limit
	if d.Allowed {
		b.at(now, r).repeats++
	}
	return d
}

func (b *Budget) sumLocked(now time.Time, r Rule) (requests, repeats int) {
	current := b.number(now, r)
	for _, p := range b.parts {
		if p.number > current-slices && p.number <= current {
			requests += p.requests
			repeats += p.repeats
		}
	}
	return requests, repeats
}

// at returns the slice of this moment, emptied if it was last used a window ago.
func (b *Budget) at(now time.Time, r Rule) *part {
	n := b.number(now, r)
	p := &b.parts[n%slices]
	if p.number != n {
		*p = part{number: n}
	}
	return p
}

// number is that of the slice of this moment, counted from the first call.
func (b *Budget) number(now time.Time, r Rule) int64 {
	if b.start.IsZero() {
		b.start = now.Add(-r.Window)
	}
	return int64(now.Sub(b.start) / (r.Window / slices))
}
