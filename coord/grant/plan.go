package grant

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Timing of the work between a holder and the pages.
type Timing struct {
	// Rebalance is the longest time between two looks at the page of a budget
	// in use.
	Rebalance time.Duration
	// Report is the longest time that settled tokens stay unreported.
	Report time.Duration
	// RemoveIdleAfter is the time without use after which the row is removed.
	RemoveIdleAfter time.Duration
	// ExhaustedBackoff is the time for which an exhausted budget is not asked for again.
	ExhaustedBackoff time.Duration
	// LowBackoff is the shortest time between two looks at the page of a budget
	// that runs low. It doubles up to Rebalance while there is nothing to take,
	// which bounds the store calls when the pool is empty.
	LowBackoff time.Duration
}

// DefaultTiming suits a fleet of a few routers.
func DefaultTiming() Timing {
	return Timing{Rebalance: time.Minute, Report: 5 * time.Minute, RemoveIdleAfter: 30 * time.Minute,
		ExhaustedBackoff: time.Second, LowBackoff: 2 * time.Second}
}

// commit is what a planned page write changes in the books once it is durable.
type commit struct {
	book    *book
	granted int64
	row     account.Row
	wrote   bool
	folded  bool
	empty   bool
	took    bool
	// view and decision are what the policy saw and wanted.
	view     View
	decision Decision
	// lacking says that requests wait for more than there is.
	lacking bool
}

// plan applies the holder's reports, takes and returns to a page, and says what
// to commit and whether the page must be written. It may be called again for the
// same page after a conflict or a lost answer.
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
	h.noteOthersLocked(p)
	for budget, b := range h.pages[key] {
		a := p.Accounts[budget]
		b.absent = a == nil
		if b.absent {
			continue
		}
		c, err := h.planOne(now, t, a, b, false)
		if err != nil {
			return nil, false, err
		}
		commits = append(commits, c)
		write = write || c.wrote
	}
	if write {
		err = h.levelLocked(now, t, p, commits)
	}
	return commits, write, err
}

// levelLocked plans again for the budgets that are near enough to their targets, now that the
// page is written for others. Each of ten budgets would else make a write of its own soon: the
// homes of four pages made 13 writes a second each while budgets ran low, and calls of the store
// are limited and paid for.
func (h *Holder) levelLocked(now time.Time, t Timing, p *account.Page, commits []commit) error {
	for i, c := range commits {
		if c.wrote || c.decision != (Decision{}) {
			continue
		}
		level, err := h.planOne(now, t, p.Accounts[c.book.budget], c.book, true)
		if err != nil {
			return err
		}
		commits[i] = level
	}
	return nil
}

// adoptLocked makes books for budgets of the page that others use, so that the
// holder has tokens of them before a partition and not after it began.
func (h *Holder) adoptLocked(key string, p *account.Page) {
	for budget, a := range p.Accounts {
		if h.books[budget] != nil || a.Unspent() <= 0 {
			continue
		}
		var others float64
		for _, r := range a.Rows {
			others += r.Demand
		}
		if h.policy.Adopt(others, len(a.Rows)) && h.byPage(budget) == key {
			h.bookLocked(budget)
		}
	}
}

// noteOthersLocked keeps the names of the other holders on a page, among which
// recovery looks for dead ones.
func (h *Holder) noteOthersLocked(p *account.Page) {
	for _, a := range p.Accounts {
		for id := range a.Rows {
			if id != h.id {
				h.others[id] = struct{}{}
			}
		}
	}
}

// planOne plans for one budget; written says that the page is written anyway.
func (h *Holder) planOne(now time.Time, t Timing, a *account.Account, b *book, written bool) (commit, error) {
	row := a.Rows[h.id]
	// Guard against a holder that was thought dead, had its row recovered,
	// and then woke up: its row is gone, and spending on would be overspend.
	// Nobody but this holder or a recovery removes the row.
	if row == nil && b.folding {
		b.clear() // the fold took effect and its answer was lost
	}
	if row == nil && b.granted > 0 {
		h.fenced = true
		return commit{}, Error.Wrap(ErrFenced)
	}
	join := row == nil
	if join && (written || h.lean && h.policy.Decide(h.view(now, a, b)).Take <= 0) {
		lacks := len(b.waits) > 0
		return commit{book: b, view: h.view(now, a, b), lacking: lacks, empty: lacks && h.unspentLocked(a) < b.smallest()}, nil
	}
	if join {
		a.AddHolder(h.id)
		row = a.Rows[h.id]
	}
	// A write whose answer was lost shows here: the row has more than the book.
	b.granted = max(b.granted, row.Granted)
	v := h.view(now, a, b)
	v.PageWritten = written
	d := h.policy.Decide(v)
	b.returned += d.Give
	report := h.reportLocked(now, b)
	returned := report.Returned != row.Returned
	stale := report.Through > row.Through || report.Settled > row.Settled || demandMoved(row.Demand, report.Demand)
	due := stale && now.Sub(b.lastReport) >= t.Report
	if err := a.Report(h.id, report); err != nil {
		return commit{}, err
	}
	took := a.Grant(h.id, d.Take)
	d.Take = took
	c := commit{book: b, granted: row.Granted, row: report, took: took > 0, view: v, decision: d}
	c.lacking = b.waiting() > b.available()+took
	c.empty = took == 0 && len(b.waits) > 0 && h.unspentLocked(a) < b.smallest()
	if c.empty {
		c.view.Unspent, c.view.HeldByDead = h.leftLocked(a) // the report above counts
	}
	unused := now.Sub(b.lastUse) > t.RemoveIdleAfter && !b.lastUse.IsZero()
	if b.idle() && (unused || h.stopping) || d.RemoveRow && b.rowIdle() {
		c.folded = h.foldLocked(a, b)
	}
	c.wrote = join || took > 0 || returned || due || c.folded
	return c, nil
}

// reportLocked is the holder's own totals for its row.
func (h *Holder) reportLocked(now time.Time, b *book) account.Row {
	row := b.row(now, h.revision)
	if h.lean {
		row.Settled = b.settled
	}
	return row
}

// unspentLocked is what is left of a budget and may still be spent.
func (h *Holder) unspentLocked(a *account.Account) int64 {
	unspent, _ := h.leftLocked(a)
	return unspent
}

// leftLocked is what is left of a budget and may still be spent, and what dead lives hold of it.
func (h *Holder) leftLocked(a *account.Account) (unspent, dead int64) {
	for id, r := range a.Rows {
		if id != h.id && h.dead != nil && h.dead(id) {
			dead += r.Balance()
		}
	}
	return a.Unspent() - dead, dead
}

// demandMoved reports whether a row's demand is worth a write.
func demandMoved(old, now float64) bool {
	const ratio, least = 0.5, 1.0
	return math.Abs(now-old) > ratio*max(old, now)+least
}

// foldLocked gives the whole balance back and removes the row.
func (h *Holder) foldLocked(a *account.Account, b *book) bool {
	b.folding = true
	b.returned += b.available()
	if err := a.Report(h.id, h.reportLocked(b.lastUse, b)); err != nil {
		return false
	}
	return a.Fold(h.id)
}

func (h *Holder) view(now time.Time, a *account.Account, b *book) View {
	v := View{
		Now: now, Budget: b.budget, Credit: a.Credit(), Free: a.Free(),
		Granted: b.granted, Available: b.available(), Reserved: b.reserved,
		Waiting: b.waiting(), SmallestWaiting: b.smallest(), LargestRecent: b.worst, Demand: b.demandNow(now), Holders: max(len(a.Rows), h.expected),
	}
	v.Unspent, v.HeldByDead = h.leftLocked(a)
	for id, r := range a.Rows {
		if id != h.id {
			v.OthersDemand += r.Demand
		}
	}
	if !b.lastUse.IsZero() {
		v.IdleFor = now.Sub(b.lastUse)
	}
	return v
}

// commit records a page that is known to be durable as planned.
func (h *Holder) commit(now time.Time, t Timing, rev store.Revision, commits []commit, wrote bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision = max(h.revision, int64(rev))
	for _, c := range commits {
		b := c.book
		b.lastSync, b.lacking = now, c.lacking
		b.lowPause = min(max(t.LowBackoff, 2*b.lowPause), t.Rebalance)
		if c.took {
			b.lowPause = t.LowBackoff
		}
		b.nextSync = now.Add(t.Rebalance - h.phase(b.budget, t.Rebalance/4))
		if c.empty {
			b.emptyUntil = now.Add(t.ExhaustedBackoff)
		}
		if !wrote {
			continue
		}
		if c.folded {
			h.foldedLocked(b)
			continue
		}
		b.granted = c.granted
		b.durableThrough = c.row.Through
		b.lastReport = now
	}
}

// foldedLocked resets a book whose row is gone; a request may have come in since
// the fold was planned, and it then finds an empty book.
func (h *Holder) foldedLocked(b *book) {
	b.clear()
	if b.idle() {
		h.forgetLocked(b)
	}
}

// Due lists the pages that want a sync now: a budget is short ahead of need, or
// was not looked at for the rebalance interval.
func (h *Holder) Due(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var keys []string
	for key, books := range h.pages {
		for _, b := range books {
			if h.dueLocked(now, b) {
				keys = append(keys, key)
				break
			}
		}
	}
	return keys
}

func (h *Holder) dueLocked(now time.Time, b *book) bool {
	if h.lean && b.granted == 0 {
		return false // it borrows; a request that needs more asks by itself
	}
	if !now.Before(b.nextSync) {
		return true
	}
	low := b.available() < h.policy.LowWater(b.budget, b.demandNow(now), b.worst)
	return low && b.demandNow(now) > 0 && now.Sub(b.lastSync) >= b.lowPause
}

// phase is a fixed part of span for this holder and budget, so that the holders
// of a page come to it at different times.
func (h *Holder) phase(budget string, span time.Duration) time.Duration {
	const steps = 64
	return span * time.Duration(rendezvous.Bucket(h.id+"/"+budget, steps)) / steps
}

// wait notes that a request waits for n tokens; the returned func ends it.
func (h *Holder) wait(budget string, n int64) (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bookLocked(budget)
	b.waits = append(b.waits, n)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		i := slices.Index(b.waits, n)
		b.waits = slices.Delete(b.waits, i, i+1)
		if b.absent && b.idle() {
			h.forgetLocked(b) // names that do not exist must not fill the memory
		}
	}
}

// syncSoon makes the budget's page due: a request was refused, and what this holder
// has may serve another one elsewhere.
func (h *Holder) syncSoon(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.books[budget]; b != nil && b.available() > 0 {
		b.nextSync = time.Time{}
	}
}

// shortage is what a waiting request knows of its budget.
type shortage struct {
	lack   int64 // tokens that a reservation still lacks
	empty  bool  // the budget was just found exhausted
	absent bool  // the budget's page has no such budget
	// lacking says that the page, as last seen, had too little for all who waited.
	lacking bool
}

func (h *Holder) shortage(now time.Time, budget string, n int64) shortage {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bookLocked(budget)
	return shortage{lack: n - b.atHand(), empty: now.Before(b.emptyUntil), absent: b.absent, lacking: b.lacking}
}

// ownShortage returns how many tokens the own row lacks for n more.
func (h *Holder) ownShortage(budget string, n int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return n - h.bookLocked(budget).available()
}

// lotWant returns how much a lot for this budget should hold.
func (h *Holder) lotWant(now time.Time, budget string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bookLocked(budget)
	return h.policy.Spare(b.demandNow(now), b.worst)
}

// ReturnAll makes the next sync of each page give back whatever is available:
// the last step of a planned stop.
func (h *Holder) ReturnAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy = returnPolicy{}
	h.stopping = true
	for _, b := range h.books {
		b.nextSync = time.Time{}
	}
}

// returnPolicy keeps nothing.
type returnPolicy struct{ RequestPolicy }

// Decide implements Policy.
func (returnPolicy) Decide(v View) Decision { return Decision{Give: max(0, v.Available)} }
