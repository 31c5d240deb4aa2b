package grant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Holder keeps one incarnation's local state of all its budgets. It makes no calls
// and reads no clock: callers pass the time. It is safe for concurrent use.
type Holder struct {
	id     string
	policy Policy

	mu  sync.Mutex
	seq int64
	// revision is the newest store revision seen.
	revision int64
	fenced   bool
	budgets  map[string]*localBudget
	// returns are closed lots that their lenders have not acknowledged.
	returns  map[Part]LotReturn
	disowned map[Part]struct{}
	// excluded are holders that were declared dead; see ExcludeHolder.
	excluded map[string]struct{}
	// removedSettled is what the holder used under rows that were removed, by budget.
	removedSettled map[string]int64
	// lenders is the use of closed lots by lender; lendersIncomplete is set once a lender was
	// omitted because of maxLenders.
	lenders           map[string]*lenderUse
	lendersIncomplete bool
	// otherHolders are the other holders seen with rows on the synced pages.
	otherHolders map[string]struct{}
	// expectedHolders is the fleet's number of holders, with or without rows.
	expectedHolders int
	// demandWindow is the time constant of the demand average.
	demandWindow time.Duration
	// minimalRows limits rows to what was granted; see UseMinimalRows.
	minimalRows bool
	isDead      func(holder string) bool
	isUnsettled func(holder string) bool
	// stopping removes each row as soon as nothing is open on it.
	stopping bool
	// exposureLimited says that exposure limits are enforced.
	exposureLimited bool
	pageOf          func(budget string) string
	pages           map[string]map[string]*localBudget
}

// LotReturn settles a borrowed lot with its lender.
type LotReturn struct {
	Lender string `json:"lender"`
	Budget string `json:"budget"`
	Seq    int64  `json:"seq"`
	Used   int64  `json:"used"`
	// Since is a store revision from before the lot was lent.
	Since int64 `json:"since,omitempty"`
}

// Lot is a lender's answer: tokens from its own row, and its durable watermark.
type Lot struct {
	Part    Part  `json:"part"`
	Through int64 `json:"through"`
	// Scarce says that requests wait for tokens of the budget, or soon will: what is not used should be returned at once.
	Scarce bool `json:"scarce,omitempty"`
}

// NewHolder returns an empty holder. The id must be unique to the incarnation.
func NewHolder(id string, layout account.Layout, policy Policy) *Holder {
	return &Holder{
		id:             id,
		policy:         policy,
		budgets:        map[string]*localBudget{},
		returns:        map[Part]LotReturn{},
		disowned:       map[Part]struct{}{},
		excluded:       map[string]struct{}{},
		removedSettled: map[string]int64{},
		lenders:        map[string]*lenderUse{},
		otherHolders:   map[string]struct{}{},
		demandWindow:   defaultDemandWindow,
		pageOf:         layout.Key,
		pages:          map[string]map[string]*localBudget{},
	}
}

// ID returns the holder's id.
func (h *Holder) ID() string { return h.id }

// SetExpectedHolders sets the fleet's number of holders. Without it the first holder of a new
// budget would take all of it, and every other one would have to borrow until the
// next rebalance.
func (h *Holder) SetExpectedHolders(holders int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expectedHolders = holders
}

// SetDemandWindow sets the time constant of the demand average. Call it before the first
// request. A short one follows bursty traffic of a team, a long one saves store calls.
func (h *Holder) SetDemandWindow(window time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demandWindow = window
}

// UseMinimalRows keeps rows minimal, for fleets that count a dead incarnation's balance as spent
// instead of recovering it by evidence. A row is created only with the first grant. Reports
// include every settled reservation, also those numbered after an open one; that
// minimizes what a dead incarnation leaves unreported, but such a row does not show
// which reservations it covers. Demand is counted when tokens are reserved, since a
// partition may begin before the first long streams end. The balance of dead holders'
// rows counts as spent; dead reports whether a holder is known to be dead.
func (h *Holder) UseMinimalRows(dead func(holder string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minimalRows, h.isDead = true, dead
}

// SetUnsettled sets the function that reports whether a holder has ended and its rows can never be settled. Call it
// before the first request.
func (h *Holder) SetUnsettled(unsettled func(holder string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isUnsettled = unsettled
}

// Revision returns the newest store revision seen by the holder.
func (h *Holder) Revision() store.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return store.Revision(h.revision)
}

// Fenced reports whether the holder is fenced and must not spend any more.
func (h *Holder) Fenced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fenced
}

// Fence stops all further spending by the holder.
func (h *Holder) Fence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fenced = true
}

// largestRecentDecay is the decay of largestRecent: each smaller request lowers it by
// 1/largestRecentDecay of itself, so it halves in about 44 requests.
const largestRecentDecay = 64

// Reserve reserves n tokens for one request, from the holder's own row first and then from
// lots. If too few are spendable it reserves nothing and returns ErrInsufficientTokens.
func (h *Holder) Reserve(now time.Time, budget string, n int64) (Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced {
		return Reservation{}, Error.Wrap(ErrFenced)
	}
	b := h.budgetLocked(budget)
	b.lastUse = now
	b.largestRecent = max(n, b.largestRecent-b.largestRecent/largestRecentDecay)
	if n <= 0 || b.spendable() < n {
		return Reservation{}, Error.Wrap(ErrInsufficientTokens)
	}
	if h.minimalRows {
		b.recordUse(now, n)
	}
	return Reservation{Budget: budget, Parts: h.reserveLocked(now, b, n)}, nil
}

func (h *Holder) reserveLocked(now time.Time, b *localBudget, n int64) []Part {
	var parts []Part
	if own := min(n, b.available()); own > 0 {
		h.seq++
		b.reserve(h.seq, own, h.revision)
		parts = append(parts, Part{Holder: h.id, Seq: h.seq, Tokens: own})
		n -= own
	}
	for _, l := range b.lots {
		if t := min(n, l.left()); t > 0 {
			l.reserved += t
			l.lastUse = now
			parts = append(parts, Part{Holder: l.Holder, Seq: l.Seq, Tokens: t})
			n -= t
		}
	}
	return parts
}

// Settle closes a reservation: used tokens are spent, the rest becomes available again.
func (h *Holder) Settle(now time.Time, r Reservation, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(r.Budget)
	split := r.Split(used)
	for i, p := range r.Parts {
		if p.Holder == h.id {
			b.settle(p.Seq, split[i].Tokens)
			continue
		}
		b.settleLot(p, split[i].Tokens)
	}
	if !h.minimalRows {
		b.recordUse(now, min(used, r.Tokens()))
	}
	h.serveQueueLocked(now, b)
}

// settleLot settles a reservation's part from a borrowed lot.
func (b *localBudget) settleLot(p Part, used int64) {
	for _, l := range b.lots {
		if l.Holder == p.Holder && l.Seq == p.Seq {
			l.reserved -= p.Tokens
			l.used += used
			return
		}
	}
}

// Watermarks returns the watermark that is durable in the store, for each holder whose
// row backs reservations on the budget. Outcomes of reservations up to it need not be
// kept.
func (h *Holder) Watermarks(budget string) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int64{}
	b := h.budgets[budget]
	if b == nil {
		return out
	}
	out[h.id] = b.durableThrough
	for _, l := range b.lots {
		out[l.Holder] = max(out[l.Holder], l.through)
	}
	return out
}

func (h *Holder) budgetLocked(budget string) *localBudget {
	b := h.budgets[budget]
	if b == nil {
		b = &localBudget{name: budget, through: h.seq, durableThrough: h.seq, demandWindow: h.demandWindow, minimalRows: h.minimalRows}
		h.budgets[budget] = b
		page := h.pageOf(budget)
		if h.pages[page] == nil {
			h.pages[page] = map[string]*localBudget{}
		}
		h.pages[page][budget] = b
	}
	return b
}

func (h *Holder) removeBudgetLocked(b *localBudget) {
	delete(h.budgets, b.name)
	page := h.pageOf(b.name)
	delete(h.pages[page], b.name)
	if len(h.pages[page]) == 0 {
		delete(h.pages, page)
	}
}

// Pages lists the pages of the budgets that the holder has state of.
func (h *Holder) Pages() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.pages))
}

// Empty reports whether the holder has nothing to give back.
func (h *Holder) Empty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.returns) == 0 && !slices.ContainsFunc(slices.Collect(maps.Values(h.budgets)), func(b *localBudget) bool {
		return b.granted > 0 || !b.idle()
	})
}

// OtherHolders lists the other holders seen with rows on the synced pages.
func (h *Holder) OtherHolders() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.otherHolders))
}

// ForgetRecovered removes a holder whose recovery is complete from OtherHolders.
func (h *Holder) ForgetRecovered(holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.otherHolders, holder)
}

// syncRetryDelay is the delay after a failed sync.
const syncRetryDelay = time.Second

// Postpone delays the next sync of a page after a failed one.
func (h *Holder) Postpone(now time.Time, page string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.pages[page] {
		b.lastSync, b.nextSync = now, now.Add(syncRetryDelay)
	}
}

// ReportNow makes the next sync of the budgets' pages write all unreported totals.
func (h *Holder) ReportNow(budgets []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range budgets {
		if b := h.budgets[id]; b != nil {
			b.lastReport = time.Time{}
		}
	}
}

// BudgetState is the local state of a budget for dumps. Amounts are tokens.
type BudgetState struct {
	Budget    string  `json:"budget"`
	Granted   int64   `json:"granted"`
	Returned  int64   `json:"returned"`
	Settled   int64   `json:"settled"`
	Reserved  int64   `json:"reserved"`
	Available int64   `json:"available"`
	Spendable int64   `json:"at_hand"`
	Lots      int     `json:"lots"`
	Lent      int     `json:"lent"`
	Through   int64   `json:"through"`
	Demand    float64 `json:"demand_tokens_per_second"`
	// Waiting is the number of peers' requests that wait for reserved tokens, LotMS how long lent lots stay open on average
	// (ms). Scarce is set if lenders of the own lots have none left.
	Waiting int   `json:"waiting_requests,omitempty"`
	LotMS   int64 `json:"lot_ms,omitempty"`
	Scarce  bool  `json:"scarce,omitempty"`
}

// State lists the local state of all budgets.
func (h *Holder) State(now time.Time) []BudgetState {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]BudgetState, 0, len(h.budgets))
	for _, b := range h.budgets {
		out = append(out, BudgetState{
			Budget: b.name, Granted: b.granted, Returned: b.returned, Settled: b.settled,
			Reserved: b.reserved, Available: b.available(), Spendable: b.spendable(),
			Lots: len(b.lots), Lent: len(b.lent), Through: b.through, Demand: b.currentDemand(now),
			Waiting: len(b.waiters.waiters), LotMS: b.lotTime.Milliseconds(), Scarce: b.scarce,
		})
	}
	return out
}
