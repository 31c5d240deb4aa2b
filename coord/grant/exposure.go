package grant

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/zeebo/errs"
)

// ErrExposureLimit says that a row has the tokens, but may not lend them to this borrower before its
// limit is raised.
var ErrExposureLimit = errs.New("beyond the limit of exposure")

// ExposureLimits bound what each borrower used and may still use of a holder's present rows, by
// budget and borrower in tokens. They may count earlier rows too, and never fall with them.
type ExposureLimits map[string]map[string]int64

// Merge raises the limits that are lower than other's.
func (l ExposureLimits) Merge(other ExposureLimits) {
	for budget, limits := range other {
		if l[budget] == nil {
			l[budget] = map[string]int64{}
		}
		for borrower, limit := range limits {
			l[budget][borrower] = max(l[budget][borrower], limit)
		}
	}
}

// Clone returns a deep copy.
func (l ExposureLimits) Clone() ExposureLimits {
	out := ExposureLimits{}
	for budget, limits := range l {
		out[budget] = maps.Clone(limits)
	}
	return out
}

func (l ExposureLimits) set(budget, borrower string, limit int64) {
	if l[budget] == nil {
		l[budget] = map[string]int64{}
	}
	l[budget][borrower] = limit
}

// exposure is what one borrower has of one budget.
type exposure struct {
	// used is what came back of closed lots as used, reserved what open lots hold.
	used, reserved int64
	// limit bounds the sum of both while limits are in force.
	limit int64
	// lentRate is the average of what was lent in tokens a second, as of lentAt.
	lentRate float64
	lentAt   time.Time
}

// lentWindow is the time constant of a borrower's lentRate: limits follow a router whose callers
// come and go within seconds.
const lentWindow = 2 * time.Second

// lend notes a lot.
func (e *exposure) lend(now time.Time, tokens int64) {
	e.reserved += tokens
	e.lentRate = e.rate(now) + float64(tokens)/lentWindow.Seconds()
	e.lentAt = now
}

func (e *exposure) rate(now time.Time) float64 {
	return e.lentRate * math.Exp(-max(0, now.Sub(e.lentAt).Seconds())/lentWindow.Seconds())
}

// step is how far ahead of need the limit is raised, in tokens.
func (e *exposure) step(now time.Time, ahead time.Duration) int64 {
	return int64(e.rate(now) * ahead.Seconds())
}

func (e *exposure) total() int64 { return e.used + e.reserved }

func (e *exposure) room() int64 { return e.limit - e.total() }

// close notes what was used of a lot.
func (e *exposure) close(tokens, used int64) {
	e.reserved -= tokens
	e.used += max(0, min(used, tokens))
}

// LimitExposure makes the holder lend each borrower no more than what RaiseExposure allows. Limits
// that others know bound what a dead holder's borrowers can have used, although one of them died
// with it. What is lent already is within the first limits.
func (h *Holder) LimitExposure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exposureLimited {
		return
	}
	h.exposureLimited = true
	for _, b := range h.books {
		for _, e := range b.exposures {
			e.limit = e.total()
		}
	}
}

// ExposureLimits returns all limits.
func (h *Holder) ExposureLimits() ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := ExposureLimits{}
	for _, b := range h.books {
		for borrower, e := range b.exposures {
			out.set(b.budget, borrower, e.limit)
		}
	}
	return out
}

// RaiseExposure raises limits that are lower than the given ones.
func (h *Holder) RaiseExposure(limits ExposureLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for budget, byBorrower := range limits {
		b := h.books[budget]
		if b == nil {
			continue // given up meanwhile; the limits begin anew with the next lot
		}
		for borrower, limit := range byBorrower {
			e := b.exposureOf(borrower)
			e.limit = max(e.limit, limit)
		}
	}
}

// ExposureWanted returns the limits that should be raised now: those whose room for new lots is
// below what the borrower is lent in the given time.
func (h *Holder) ExposureWanted(now time.Time, ahead time.Duration) ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := ExposureLimits{}
	if !h.exposureLimited {
		return out
	}
	for _, b := range h.books {
		for borrower, e := range b.exposures {
			step := e.step(now, ahead)
			if room := e.room(); room < step && room < b.available() {
				out.set(b.budget, borrower, e.total()+min(b.available(), 2*step))
			}
		}
	}
	return out
}

// ExposureFor returns the limit under which a lot of n tokens can be lent.
func (h *Holder) ExposureFor(now time.Time, budget, borrower string, n int64, ahead time.Duration) ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.bookLocked(budget).exposureOf(borrower)
	out := ExposureLimits{}
	out.set(budget, borrower, e.total()+n+e.step(now, ahead))
	return out
}

func (b *book) exposureOf(borrower string) *exposure {
	e := b.exposures[borrower]
	if e == nil {
		e = &exposure{}
		if b.exposures == nil {
			b.exposures = map[string]*exposure{}
		}
		b.exposures[borrower] = e
	}
	return e
}

// lendableLocked is what may be lent to a borrower out of the own row.
func (h *Holder) lendableLocked(b *book, borrower string) int64 {
	if !h.exposureLimited {
		return b.available()
	}
	return min(b.available(), b.exposureOf(borrower).room())
}

// Exposer raises a borrower's limit of exposure where a lot needs it.
type Exposer interface {
	// Expose returns nil when n more tokens of the budget may be lent to the borrower.
	Expose(ctx context.Context, budget, borrower string, n int64) error
}
