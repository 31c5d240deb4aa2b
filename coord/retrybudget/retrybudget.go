// Package retrybudget limits the retries of all processes of a fleet. Without a limit, a
// failing service receives each request several times when its capacity is lowest, and the
// additional load prolongs the failure.
package retrybudget

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Rule is the limit for a whole fleet. In any window, at most Ratio x requests + Extra
// retries arrive; the requests are those in that window or in the one before it, whichever
// has more. Every attempt of a request after the first counts as a retry.
type Rule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// maxTransit is how long an attempt may take to arrive. Attempts sent over a longer period
	// than a window can arrive within one window, so each counts for this much longer.
	maxTransit = time.Second
	// depositsPerWindow is the number of intervals in a window; the requests of one interval
	// share a deposit.
	depositsPerWindow = 40
	// epsilon is the tolerated rounding error of a sum of fractions.
	epsilon = 1e-9
)

// Share determines the part of Extra that a process may use.
type Share struct {
	// Processes is the number of processes that share Extra, 0 if unknown.
	Processes int
	// Since is the time at which this process became one of them.
	Since time.Time
}

// Decision is the result of a request for a retry and the figures that it is based on.
type Decision struct {
	Allowed bool
	// Balance is the number of retries that deposits of the process's own requests covered.
	Balance float64
	// ExtraUsed is the number of retries already taken from ExtraShare, the process's part of Extra.
	ExtraUsed, ExtraShare int
}

// deposit is the number of retries that the requests of one interval of a window cover.
type deposit struct {
	start   time.Time
	retries float64
}

// Budget is one process's share of the limit for one service. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// deposits holds the deposits that are not used up, oldest first.
	deposits []deposit
	// extraUsed holds the times of the last retries taken from Extra, oldest first.
	extraUsed []time.Time
}

// RecordRequest records one request of a caller. It deposits half of Ratio, and the deposit expires in
// less than a window: the retries that arrive in a window are covered by deposits of that
// window and of the one before it, half from each, and never exceed Ratio of the larger. The sum
// over all processes is limited in the same way, however callers move between them.
func (b *Budget) RecordRequest(now time.Time, r Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(now, r)
	if n := len(b.deposits); n == 0 || now.Sub(b.deposits[n-1].start) >= r.Window/depositsPerWindow {
		b.deposits = append(b.deposits, deposit{start: now})
	}
	b.deposits[len(b.deposits)-1].retries += r.Ratio / 2
}

// TryRetry decides whether one more retry is allowed, and counts it if so. It is covered by
// deposits of this process's own requests or by its part of Extra, so no message to other
// processes is needed.
func (b *Budget) TryRetry(now time.Time, r Rule, share Share) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(now, r)
	d := Decision{Balance: b.balanceLocked(), ExtraUsed: b.extraUsedSinceLocked(now.Add(-r.Window - maxTransit)), ExtraShare: r.extraShare(now, share)}
	switch {
	case d.Balance >= 1-epsilon:
		b.withdrawLocked()
		d.Allowed = true
	case d.ExtraUsed < d.ExtraShare:
		b.useExtraLocked(now, r)
		d.Allowed = true
	}
	return d
}

// extraShare returns how many retries of Extra a process may use in a window.
func (r Rule) extraShare(now time.Time, share Share) int {
	if share.Processes <= 0 || now.Sub(share.Since) < r.Window+maxTransit {
		// What an earlier incarnation of this process used in the window is unknown, as is
		// whether the other processes already count this one in their division.
		return 0
	}
	return int(r.Extra / float64(share.Processes))
}

// expireLocked drops expired deposits.
func (b *Budget) expireLocked(now time.Time, r Rule) {
	valid := slices.IndexFunc(b.deposits, func(d deposit) bool { return now.Sub(d.start) < r.Window-maxTransit })
	if valid < 0 {
		valid = len(b.deposits)
	}
	b.deposits = b.deposits[valid:]
}

func (b *Budget) balanceLocked() (total float64) {
	for _, d := range b.deposits {
		total += d.retries
	}
	return total
}

// withdrawLocked takes one retry from the oldest deposits.
func (b *Budget) withdrawLocked() {
	for due := 1.0; due > epsilon && len(b.deposits) > 0; {
		oldest := &b.deposits[0]
		taken := math.Min(due, oldest.retries)
		due -= taken
		if oldest.retries -= taken; oldest.retries < epsilon {
			b.deposits = b.deposits[1:]
		}
	}
}

func (b *Budget) extraUsedSinceLocked(since time.Time) (n int) {
	for _, at := range b.extraUsed {
		if at.After(since) {
			n++
		}
	}
	return n
}

// useExtraLocked records the time of a retry taken from Extra. It keeps the last Extra of these
// times, regardless of the window, so that they still count when operators lengthen the window.
func (b *Budget) useExtraLocked(now time.Time, r Rule) {
	b.extraUsed = append(b.extraUsed, now)
	b.extraUsed = b.extraUsed[max(0, len(b.extraUsed)-int(r.Extra)):]
}
