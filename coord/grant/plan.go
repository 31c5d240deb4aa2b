package grant

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Timing holds the intervals at which a holder syncs with the pages.
type Timing struct {
	// Rebalance is the longest time between two syncs of the page of a budget
	// in use.
	Rebalance time.Duration
	// Report is the longest time for which settled tokens stay unreported.
	Report time.Duration
	// RemoveIdleAfter is the time without use after which the row is removed.
	RemoveIdleAfter time.Duration
	// ExhaustedBackoff is the time for which requests of an exhausted budget are refused
	// without another sync.
	ExhaustedBackoff time.Duration
	// LowBackoff is the shortest time between two syncs of the page of a budget
	// that runs low. It doubles up to Rebalance while there is nothing to take,
	// which bounds the store calls when the pool is empty.
	LowBackoff time.Duration
}

// DefaultTiming returns the timing for a fleet of a few routers.
func DefaultTiming() Timing {
	return Timing{Rebalance: time.Minute, Report: 5 * time.Minute, RemoveIdleAfter: 30 * time.Minute,
		ExhaustedBackoff: time.Second, LowBackoff: 2 * time.Second}
}

// commit is the change that a planned page write makes to a local budget once it is durable.
type commit struct {
	budget     *localBudget
	granted    int64
	row        account.Row
	needsWrite bool
	rowRemoved bool
	exhausted  bool
	tookTokens bool
	// view and decision are the policy's input and output.
	view     View
	decision Decision
	// insufficient says that requests wait for more than is available.
	insufficient bool
}

// plan applies the holder's reports, takes and returns to a page. It returns what to
// commit and whether the page must be written. It may be called again for the same
// page after a conflict or a lost answer.
func (h *Holder) plan(now time.Time, t Timing, key string, rev store.Revision, p *account.Page) (commits []commit, write bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision = max(h.revision, int64(rev))
	if h.fenced {
		return nil, false, Error.Wrap(ErrFenced)
	}
	if !h.stopping {
		h.adoptLocked(key, p)
	}
	h.recordOthersLocked(p)
	for budget, b := range h.pages[key] {
		a := p.Accounts[budget]
		b.absent = a == nil
		if b.absent {
			continue
		}
		c, err := h.planBudgetLocked(now, t, a, b, false)
		if err != nil {
			return nil, false, err
		}
		commits = append(commits, c)
		write = write || c.needsWrite
	}
	if write {
		err = h.planRemainingLocked(now, t, p, commits)
	}
	return commits, write, err
}

// planRemainingLocked plans again, without tolerance, for the budgets that are near their
// targets, now that the page is written for others. Otherwise each of ten budgets would soon
// cause a write of its own: primary lenders of four pages made 13 writes a second each while
// budgets ran low, and store calls are rate-limited and billed.
func (h *Holder) planRemainingLocked(now time.Time, t Timing, p *account.Page, commits []commit) error {
	for i, c := range commits {
		if c.needsWrite || c.decision != (Decision{}) {
			continue
		}
		replanned, err := h.planBudgetLocked(now, t, p.Accounts[c.budget.name], c.budget, true)
		if err != nil {
			return err
		}
		commits[i] = replanned
	}
	return nil
}

// adoptLocked adds budgets of the page that other holders use, so that this holder
// has tokens of them before a partition begins.
func (h *Holder) adoptLocked(key string, p *account.Page) {
	for budget, a := range p.Accounts {
		if h.budgets[budget] != nil || a.Unspent() <= 0 {
			continue
		}
		var others float64
		for _, r := range a.Rows {
			others += r.Demand
		}
		if h.policy.Adopt(others, len(a.Rows)) && h.pageOf(budget) == key {
			h.budgetLocked(budget)
		}
	}
}

// recordOthersLocked records the other holders on a page, among which recovery looks
// for dead ones.
func (h *Holder) recordOthersLocked(p *account.Page) {
	for _, a := range p.Accounts {
		for id := range a.Rows {
			if id != h.id {
				h.otherHolders[id] = struct{}{}
			}
		}
	}
}

// planBudgetLocked plans for one budget; written says that the page is written for another
// budget anyway.
func (h *Holder) planBudgetLocked(now time.Time, t Timing, a *account.Account, b *localBudget, written bool) (commit, error) {
	row := a.Rows[h.id]
	// Guards against a holder that was presumed dead, had its row recovered and
	// then resumed: its row is gone, and further spending would be overspend. Only
	// this holder or a recovery removes the row.
	if row == nil && b.removalPending {
		h.resetRowLocked(b) // the answer was lost
	}
	if row == nil && b.granted > 0 || row != nil && row.Granted < b.granted {
		h.fenced = true
		return commit{}, Error.Wrap(ErrFenced)
	}
	newRow := row == nil
	if newRow && (written || h.minimalRows && h.policy.Decide(h.view(now, a, b)).Take <= 0) {
		waits := len(b.waitingAmounts) > 0
		return commit{budget: b, view: h.view(now, a, b), insufficient: waits, exhausted: waits && h.unspentLocked(a) < b.smallestWaiting()}, nil
	}
	if newRow {
		a.AddHolder(h.id)
		row = a.Rows[h.id]
	}
	// After a write whose answer was lost, the row has more than the local state.
	b.granted = max(b.granted, row.Granted)
	v := h.view(now, a, b)
	v.PageWritten = written
	d := h.policy.Decide(v)
	b.returned += d.Give
	report := h.reportLocked(now, b)
	returned := report.Returned != row.Returned
	stale := report.Through > row.Through || report.Settled > row.Settled || demandChanged(row.Demand, report.Demand)
	due := stale && now.Sub(b.lastReport) >= t.Report
	if err := a.Report(h.id, report); err != nil {
		return commit{}, err
	}
	took := a.Grant(h.id, d.Take)
	d.Take = took
	c := commit{budget: b, granted: row.Granted, row: report, tookTokens: took > 0, view: v, decision: d}
	c.insufficient = b.waiting() > b.available()+took
	c.exhausted = took == 0 && len(b.waitingAmounts) > 0 && h.unspentLocked(a) < b.smallestWaiting()
	if c.exhausted {
		c.view.Unspent, c.view.HeldByDead = h.unspentAndDeadLocked(a) // includes the report above
	}
	unused := now.Sub(b.lastUse) > t.RemoveIdleAfter && !b.lastUse.IsZero()
	if b.idle() && (unused || h.stopping) || d.RemoveRow && b.ownRowIdle() {
		c.rowRemoved = h.removeRowLocked(a, b)
	}
	c.needsWrite = newRow || took > 0 || returned || due || c.rowRemoved
	return c, nil
}

// reportLocked returns the totals for the holder's row. Under minimalRows they include
// settlements after the watermark.
func (h *Holder) reportLocked(now time.Time, b *localBudget) account.Row {
	row := b.row(now, h.revision)
	if h.minimalRows {
		row.Settled = b.settled
	}
	return row
}

// unspentLocked returns what is left of a budget, without what dead incarnations hold.
func (h *Holder) unspentLocked(a *account.Account) int64 {
	unspent, _ := h.unspentAndDeadLocked(a)
	return unspent
}

// unspentAndDeadLocked returns what is left of a budget for spending, and what dead
// incarnations hold of it.
func (h *Holder) unspentAndDeadLocked(a *account.Account) (unspent, dead int64) {
	for id, r := range a.Rows {
		if id != h.id && h.isDead != nil && h.isDead(id) {
			dead += r.Balance()
		}
	}
	return a.Unspent() - dead, dead
}

// demandChanged reports whether a row's demand changed enough for a write.
func demandChanged(old, now float64) bool {
	const ratio, least = 0.5, 1.0
	return math.Abs(now-old) > ratio*max(old, now)+least
}

// removeRowLocked returns the whole balance to the pool and removes the row.
func (h *Holder) removeRowLocked(a *account.Account, b *localBudget) bool {
	b.removalPending, b.removedSettled = true, b.settled
	b.returned += b.available()
	if err := a.Report(h.id, h.reportLocked(b.lastUse, b)); err != nil {
		return false
	}
	return a.RemoveRow(h.id)
}

func (h *Holder) view(now time.Time, a *account.Account, b *localBudget) View {
	v := View{
		Now: now, Budget: b.name, Credit: a.Credit(), Free: a.Free(),
		Granted: b.granted, Available: b.available(), Reserved: b.reserved,
		Waiting: b.waiting(), SmallestWaiting: b.smallestWaiting(), LargestRecent: b.largestRecent, Demand: b.currentDemand(now), Holders: max(len(a.Rows), h.expectedHolders),
	}
	v.Unspent, v.HeldByDead = h.unspentAndDeadLocked(a)
	b.otherHolders = b.otherHolders[:0]
	for id, r := range a.Rows {
		if id == h.id {
			continue
		}
		v.OthersDemand += r.Demand
		if r.Balance() > 0 {
			b.otherHolders = append(b.otherHolders, id)
		}
		if h.isUnsettled != nil && h.isUnsettled(id) {
			v.Lost += r.Balance()
		}
	}
	if !b.lastUse.IsZero() {
		v.IdleFor = now.Sub(b.lastUse)
	}
	return v
}

// commit applies the planned changes once the page is known to be durable.
func (h *Holder) commit(now time.Time, t Timing, rev store.Revision, commits []commit, wrote bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision = max(h.revision, int64(rev))
	for _, c := range commits {
		b := c.budget
		b.lastSync, b.insufficient = now, c.insufficient
		b.poolFree = c.view.Free - c.decision.Take + c.decision.Give
		b.lowBackoff = min(max(t.LowBackoff, 2*b.lowBackoff), t.Rebalance)
		if c.tookTokens {
			b.lowBackoff = t.LowBackoff
		}
		b.nextSync = now.Add(t.Rebalance - h.syncOffset(b.name, t.Rebalance/4))
		if c.exhausted {
			b.exhaustedUntil, b.exhaustedUnspent = now.Add(t.ExhaustedBackoff), c.view.Unspent
			h.refuseExhaustedLocked(b, c.view.Unspent)
		}
		if !wrote {
			continue
		}
		if c.rowRemoved {
			h.rowRemovedLocked(b)
			continue
		}
		b.granted = c.granted
		b.durableThrough = c.row.Through
		b.lastReport = now
		h.serveQueueLocked(now, b)
	}
}

// rowRemovedLocked resets a local budget whose row is gone. A request that came in after
// the removal was planned finds it empty.
func (h *Holder) rowRemovedLocked(b *localBudget) {
	h.resetRowLocked(b)
	if b.idle() {
		h.removeBudgetLocked(b)
	}
}

// resetRowLocked begins a local budget's row anew, and records what was used under the old one.
func (h *Holder) resetRowLocked(b *localBudget) {
	if b.removedSettled > 0 {
		h.removedSettled[b.name] += b.removedSettled
	}
	b.reset()
}

// Due lists the pages to sync now: those with a budget below its low-water mark, or
// one not synced for the rebalance interval.
func (h *Holder) Due(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var keys []string
	for key, budgets := range h.pages {
		for _, b := range budgets {
			if h.dueLocked(now, b) {
				keys = append(keys, key)
				break
			}
		}
	}
	return keys
}

func (h *Holder) dueLocked(now time.Time, b *localBudget) bool {
	if h.minimalRows && b.granted == 0 {
		return false // it borrows; requests that need more call the store themselves
	}
	if !now.Before(b.nextSync) {
		return true
	}
	low := b.available() < h.policy.LowWater(b.name, b.currentDemand(now), b.largestRecent)
	return low && b.currentDemand(now) > 0 && now.Sub(b.lastSync) >= b.lowBackoff
}

// syncOffset returns a fixed fraction of span for this holder and budget, so that the
// holders of a page sync it at different times.
func (h *Holder) syncOffset(budget string, span time.Duration) time.Duration {
	const steps = 64
	return span * time.Duration(rendezvous.Bucket(h.id+"/"+budget, steps)) / steps
}

// moveApart delays the next syncs of a page's budgets that run low by up to a quarter of LowBackoff, after a write that conflicted: two
// holders that take at the same interval would conflict at each take. The delay varies with the page's revision, so that a holder that then
// coincides with a third one moves on.
func (h *Holder) moveApart(page string, t Timing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.pages[page] {
		b.lowBackoff += h.syncOffset(fmt.Sprint(b.name, "/", h.revision), t.LowBackoff/4)
	}
}

// addWaiting records that a request waits for n tokens, until done is called.
func (h *Holder) addWaiting(budget string, n int64) (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(budget)
	b.waitingAmounts = append(b.waitingAmounts, n)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		i := slices.Index(b.waitingAmounts, n)
		b.waitingAmounts = slices.Delete(b.waitingAmounts, i, i+1)
		if b.absent && b.idle() {
			h.removeBudgetLocked(b) // unknown budget names must not accumulate in memory
		}
	}
}

// scheduleSync makes the budget's page due after a refused request: what this holder
// has may serve another request elsewhere.
func (h *Holder) scheduleSync(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.budgets[budget]; b != nil && b.available() > 0 {
		b.nextSync = time.Time{}
	}
}

// shortage describes a budget for a waiting request.
type shortage struct {
	shortfall int64 // tokens missing for the reservation; negative if more are spendable
	exhausted bool  // a recent sync found that less than the reservation is left of the budget
	absent    bool  // the budget's page has no account for it
	// insufficient says that the page, at the last sync, had too little for all waiting requests.
	insufficient bool
}

func (h *Holder) shortage(now time.Time, budget string, n int64) shortage {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(budget)
	exhausted := now.Before(b.exhaustedUntil) && n > b.exhaustedUnspent
	return shortage{shortfall: n - b.spendable(), exhausted: exhausted, absent: b.absent, insufficient: b.insufficient}
}

// ownShortfall returns how many of n tokens the holder's own row does not have available.
func (h *Holder) ownShortfall(budget string, n int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return n - h.budgetLocked(budget).available()
}

// wantedLotSize returns the preferred size of a lot for this budget.
func (h *Holder) wantedLotSize(now time.Time, budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(budget)
	return h.policy.LotSize(b.currentDemand(now), b.largestRecent)
}

// ReturnAll makes the next sync of each page give back all available tokens. It is
// the last step of a planned shutdown.
func (h *Holder) ReturnAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy = returnAllPolicy{}
	h.stopping = true
	for _, b := range h.budgets {
		b.nextSync = time.Time{}
		h.refuseWaitingLocked(b, ErrInsufficientTokens)
	}
}

// returnAllPolicy gives back all available tokens.
type returnAllPolicy struct{ RequestPolicy }

// Decide implements Policy.
func (returnAllPolicy) Decide(v View) Decision { return Decision{Give: max(0, v.Available)} }
