package grant

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/zeebo/errs"
)

// ErrExposureLimit says that a row has the tokens, but must not lend them to this borrower before
// the borrower's exposure limit is raised.
var ErrExposureLimit = errs.New("exposure limit reached")

// ExposureLimits bound what each borrower has used and may still use of a holder's current rows,
// in tokens by budget and borrower. They may include use of earlier rows, and do not fall when
// those are removed.
type ExposureLimits map[string]map[string]int64

// Merge raises limits that are lower than in other.
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

// exposure is one borrower's use and limit of one budget.
type exposure struct {
	// used is what closed lots returned as used, reserved what open lots hold.
	used, reserved int64
	// limit bounds the sum of both while limits are enforced.
	limit int64
	// lentRate is the average of lent tokens a second, as of lentAt.
	lentRate float64
	lentAt   time.Time
}

// lentWindow is the time constant of lentRate. It is short since limits must follow a router
// whose callers come and go within seconds.
const lentWindow = 2 * time.Second

// addLot adds a lot that was lent.
func (e *exposure) addLot(now time.Time, tokens int64) {
	e.reserved += tokens
	e.lentRate = e.rate(now) + float64(tokens)/lentWindow.Seconds()
	e.lentAt = now
}

func (e *exposure) rate(now time.Time) float64 {
	return e.lentRate * math.Exp(-max(0, now.Sub(e.lentAt).Seconds())/lentWindow.Seconds())
}

// raiseStep returns the tokens expected to be lent in the time ahead. Limits are raised by this much
// in advance.
func (e *exposure) raiseStep(now time.Time, ahead time.Duration) int64 {
	return int64(e.rate(now) * ahead.Seconds())
}

func (e *exposure) total() int64 { return e.used + e.reserved }

func (e *exposure) headroom() int64 { return e.limit - e.total() }

// closeLot moves a lot's used tokens from reserved to used.
func (e *exposure) closeLot(tokens, used int64) {
	e.reserved -= tokens
	e.used += max(0, min(used, tokens))
}

// LimitExposure makes the holder lend each borrower no more than RaiseExposure allows. Limits that
// are stored elsewhere bound what a dead holder's borrowers can have used, even if one of them died
// with it. The first limits cover what is already lent.
func (h *Holder) LimitExposure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exposureLimited {
		return
	}
	h.exposureLimited = true
	for _, b := range h.budgets {
		for _, e := range b.exposures {
			e.limit = e.total()
		}
	}
}

// ExposureLimits returns the limits of all budgets and borrowers.
func (h *Holder) ExposureLimits() ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := ExposureLimits{}
	for _, b := range h.budgets {
		for borrower, e := range b.exposures {
			out.set(b.name, borrower, e.limit)
		}
	}
	return out
}

// RaiseExposure raises limits that are lower than the given ones.
func (h *Holder) RaiseExposure(limits ExposureLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for budget, byBorrower := range limits {
		b := h.budgets[budget]
		if b == nil {
			continue // removed meanwhile; limits start again with the next lot
		}
		for borrower, limit := range byBorrower {
			e := b.exposureOf(borrower)
			e.limit = max(e.limit, limit)
		}
	}
}

// ExposureWanted returns the limits to raise now: those whose headroom is below what the borrower
// is expected to be lent in the time ahead.
func (h *Holder) ExposureWanted(now time.Time, ahead time.Duration) ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := ExposureLimits{}
	if !h.exposureLimited {
		return out
	}
	for _, b := range h.budgets {
		for borrower, e := range b.exposures {
			step := e.raiseStep(now, ahead)
			if headroom := e.headroom(); headroom < step && headroom < b.available() {
				out.set(b.name, borrower, e.total()+min(b.available(), 2*step))
			}
		}
	}
	return out
}

// ExposureFor returns the limit that a lot of n tokens needs, plus what the borrower is expected to
// be lent in the time ahead.
func (h *Holder) ExposureFor(now time.Time, budget, borrower string, n int64, ahead time.Duration) ExposureLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.budgetLocked(budget).exposureOf(borrower)
	out := ExposureLimits{}
	out.set(budget, borrower, e.total()+n+e.raiseStep(now, ahead))
	return out
}

func (b *localBudget) exposureOf(borrower string) *exposure {
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

// lendableLocked returns what may be lent to a borrower from the holder's own row.
func (h *Holder) lendableLocked(b *localBudget, borrower string) int64 {
	if !h.exposureLimited {
		return b.available()
	}
	return min(b.available(), b.exposureOf(borrower).headroom())
}

// Exposer raises a borrower's exposure limit when a lot needs it.
type Exposer interface {
	// Expose returns nil once n more tokens of the budget may be lent to the borrower.
	Expose(ctx context.Context, budget, borrower string, n int64) error
}
