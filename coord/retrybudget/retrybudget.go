// Package retrybudget bounds how often the processes of a fleet send requests more than
// once. Without a bound, a service that fails gets each request several times just when it
// can serve least, and its failure feeds itself.
package retrybudget

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Rule is the bound for a whole fleet. The sends beyond the first of each request that
// arrive in any window are at most Ratio x requests + Extra; the requests are those in that
// window or in the one before it, whichever has more.
type Rule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// transit is how long a send may take to arrive. Sends of more than a window can
	// arrive within one, so they count for this much longer.
	transit = time.Second
	// parts is the number of parts of a window in which what requests pay is kept.
	parts = 40
	// rounding is what a sum of fractions may lack of a whole number.
	rounding = 1e-9
)

// Share is how a process takes part in Extra.
type Share struct {
	// Processes is the number of processes that share it, 0 if it is not known.
	Processes int
	// Since is when this process became one of them.
	Since time.Time
}

// Decision is whether one more send of a request was allowed, and what decided it.
type Decision struct {
	Allowed bool
	// Balance is how many repeats the process's own requests had paid for.
	Balance float64
	// ExtraUsed is how many of its part of Extra it had used, of Part.
	ExtraUsed, ExtraShare int
}

// payment is what the requests of a part of a window paid for, in repeats.
type payment struct {
	began   time.Time
	repeats float64
}

// Budget is one process's share of the bound for one service. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// paid are the payments that have not been used, oldest first.
	paid []payment
	// used are the last repeats that took of Extra, oldest first.
	used []time.Time
}

// RecordRequest counts one request of a caller. It pays for half of what Ratio allows, and the
// payment ends before a window does: what arrives in a window was then paid for in that
// window and in the one before it, half in each, and never exceeds Ratio of the larger. The sum
// over all processes is bounded likewise, however callers move between them.
func (b *Budget) RecordRequest(now time.Time, r Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(now, r)
	if n := len(b.paid); n == 0 || now.Sub(b.paid[n-1].began) >= r.Window/parts {
		b.paid = append(b.paid, payment{began: now})
	}
	b.paid[len(b.paid)-1].repeats += r.Ratio / 2
}

// TryRetry decides whether one more repeat fits, and counts it if so. It is paid for by this
// process's own requests or taken from its part of Extra, so that no message is needed.
func (b *Budget) TryRetry(now time.Time, r Rule, share Share) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(now, r)
	d := Decision{Balance: b.sumLocked(), ExtraUsed: b.usedSinceLocked(now.Add(-r.Window - transit)), ExtraShare: r.part(now, share)}
	switch {
	case d.Balance >= 1-rounding:
		b.payLocked()
		d.Allowed = true
	case d.ExtraUsed < d.ExtraShare:
		b.takeLocked(now, r)
		d.Allowed = true
	}
	return d
}

// part is how many repeats of Extra a process may use in a window.
func (r Rule) part(now time.Time, share Share) int {
	if share.Processes <= 0 || now.Sub(share.Since) < r.Window+transit {
		// Nobody knows what an earlier life of this process used in the window, and
		// whether the others divide by one more already.
		return 0
	}
	return int(r.Extra / float64(share.Processes))
}

// expireLocked drops payments whose time has passed.
func (b *Budget) expireLocked(now time.Time, r Rule) {
	valid := slices.IndexFunc(b.paid, func(p payment) bool { return now.Sub(p.began) < r.Window-transit })
	if valid < 0 {
		valid = len(b.paid)
	}
	b.paid = b.paid[valid:]
}

func (b *Budget) sumLocked() (repeats float64) {
	for _, p := range b.paid {
		repeats += p.repeats
	}
	return repeats
}

// payLocked takes one repeat from the oldest payments.
func (b *Budget) payLocked() {
	for due := 1.0; due > rounding && len(b.paid) > 0; {
		oldest := &b.paid[0]
		taken := math.Min(due, oldest.repeats)
		due -= taken
		if oldest.repeats -= taken; oldest.repeats < rounding {
			b.paid = b.paid[1:]
		}
	}
}

func (b *Budget) usedSinceLocked(since time.Time) (n int) {
	for _, at := range b.used {
		if at.After(since) {
			n++
		}
	}
	return n
}

// takeLocked notes a repeat that takes of Extra. No more than Extra are kept, by their times:
// a window that operators make longer finds those that an earlier, shorter one was done with.
func (b *Budget) takeLocked(now time.Time, r Rule) {
	b.used = append(b.used, now)
	b.used = b.used[max(0, len(b.used)-int(r.Extra)):]
}
