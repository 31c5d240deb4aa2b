package grant

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
)

// RegionalPolicy extends HorizonPolicy for fleets whose lenders lie in several regions: each region
// has a primary lender that takes grants from the pages itself.
type RegionalPolicy struct {
	// Lacking reports whether another region lately lacked tokens of a budget that this holder could
	// not lend.
	Lacking func(budget string) bool
	// KeptHorizon is the time whose demand a holder keeps while its tokens are needed elsewhere.
	KeptHorizon time.Duration
	// IdleAfter is the time without use after which a holder keeps no more than that of a page whose
	// free pool is empty.
	IdleAfter time.Duration
}

// isNeededElsewhere reports whether a holder keeps only what its region needs at once.
func (p *RegionalPolicy) isNeededElsewhere(v View) bool {
	return p.Lacking(v.Budget) || v.Free <= 0 && v.IdleFor > p.IdleAfter
}

// kept returns what a holder keeps then: nothing if it is too little for a large request. Parts of which none is enough would
// otherwise stay in each region at the end of a budget.
func (p *RegionalPolicy) kept(v View) float64 {
	kept := v.Demand * p.KeptHorizon.Seconds()
	if kept < float64(v.LargestRecent) {
		return 0
	}
	return kept
}

// unusable returns what a holder gives back although requests wait: they need more than it and the page have, and so do those of another
// region. Where requests always wait, nothing would be given back otherwise.
func (p *RegionalPolicy) unusable(v View, target int64) int64 {
	if p == nil || !p.Lacking(v.Budget) {
		return 0
	}
	return max(0, v.Available-target)
}

// shareOf returns the holder's share (0..1) of what one primary lender would hold. The primaries of
// all regions together then risk no more tokens than one would.
func (p *RegionalPolicy) shareOf(v View) float64 {
	if p == nil || v.Demand+v.OthersDemand <= 0 {
		return 1
	}
	return v.Demand / (v.Demand + v.OthersDemand)
}

// SyncSoon makes the budget's page due.
func (h *Holder) SyncSoon(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.budgets[budget]; b != nil {
		b.nextSync = time.Time{}
	}
}

// Available returns the unreserved tokens of the holder's own row.
func (h *Holder) Available(budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b == nil {
		return 0
	}
	return b.available()
}

// RecordHolders records the other holders on a page that another holder wrote, among which the
// settlement of dead ones looks.
func (h *Holder) RecordHolders(p *account.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordOthersLocked(p)
}
