package grant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Holder keeps one incarnation's side of all its budgets. It makes no calls and
// reads no clock: callers pass the time. It is safe for concurrent use.
type Holder struct {
	id     string
	policy Policy

	mu  sync.Mutex
	seq int64
	// revision is the newest store revision seen.
	revision int64
	fenced   bool
	books    map[string]*book
	// returns are closed lots that their lenders have not acknowledged.
	returns  map[Part]LotReturn
	disowned map[Part]struct{}
	// shutOut are holders that were found dead.
	shutOut map[string]struct{}
	// lenders is what was used of each lender; forgotLenders says that it lacks some.
	lenders       map[string]*lenderUse
	forgotLenders bool
	// others are the holders with rows on the pages seen.
	others map[string]struct{}
	// expected is how many holders the fleet has, whether they have rows or not.
	expected int
	// window is the time constant of the average of demand.
	window time.Duration
	// lean holders have rows only for what they were granted; see Lean.
	lean bool
	dead func(holder string) bool
	// stopping folds every row as soon as nothing is open on it.
	stopping bool
	// exposureLimited says that books' limits of exposure are in force.
	exposureLimited bool
	byPage          func(budget string) string
	pages           map[string]map[string]*book
}

// LotReturn settles a borrowed lot with its lender.
type LotReturn struct {
	Lender string `json:"lender"`
	Budget string `json:"budget"`
	Seq    int64  `json:"seq"`
	Used   int64  `json:"used"`
	// Since is a store revision from before the lot was made.
	Since int64 `json:"since,omitempty"`
}

// Lot is a lender's answer: tokens out of its own row, and its durable watermark.
type Lot struct {
	Part    Part  `json:"part"`
	Through int64 `json:"through"`
}

// NewHolder returns an empty holder. The id must be unique for the incarnation.
func NewHolder(id string, layout account.Layout, policy Policy) *Holder {
	return &Holder{
		id:       id,
		policy:   policy,
		books:    map[string]*book{},
		returns:  map[Part]LotReturn{},
		disowned: map[Part]struct{}{},
		shutOut:  map[string]struct{}{},
		lenders:  map[string]*lenderUse{},
		others:   map[string]struct{}{},
		window:   defaultDemandWindow,
		byPage:   layout.Key,
		pages:    map[string]map[string]*book{},
	}
}

// ID returns the holder's id.
func (h *Holder) ID() string { return h.id }

// SetExpectedHolders tells how many holders the fleet has. Without it the first holder that
// comes to a new budget would take all of it, and every other one would have to
// borrow until the next rebalance.
func (h *Holder) SetExpectedHolders(holders int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected = holders
}

// SetDemandWindow sets the time constant of the average of demand, before the first
// request. A short one follows a team whose traffic jumps, a long one spares calls.
func (h *Holder) SetDemandWindow(window time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.window = window
}

// UseMinimalRows makes rows as small as they can be, for fleets that take a dead life's rest as
// spent instead of recovering it by evidence. A row is made with the first grant and not
// before. Reports count every settled reservation, also those numbered after one that is
// still open; that keeps small what a dead life leaves unreported, but such a row does
// not say which reservations it covers. Demand is counted when tokens are set aside: a
// cut may come before the first long streams have ended. What rows of dead holders have
// left counts as spent; dead reports whether a holder is known to be so.
func (h *Holder) UseMinimalRows(dead func(holder string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lean, h.dead = true, dead
}

// Revision returns the newest store revision that the holder has seen.
func (h *Holder) Revision() store.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return store.Revision(h.revision)
}

// Fenced reports whether the holder may spend nothing more.
func (h *Holder) Fenced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fenced
}

// Fence makes the holder spend nothing more.
func (h *Holder) Fence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fenced = true
}

// worstDecay is the part of the largest recent request that is forgotten with each
// smaller one: it halves in some 44 requests.
const worstDecay = 64

// Reserve sets n tokens aside for one request, from the own row first and from
// lots after it. With too few at hand it takes nothing and returns ErrShort.
func (h *Holder) Reserve(now time.Time, budget string, n int64) (Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced {
		return Reservation{}, Error.Wrap(ErrFenced)
	}
	b := h.bookLocked(budget)
	b.lastUse = now
	b.worst = max(n, b.worst-b.worst/worstDecay)
	if n <= 0 || b.atHand() < n {
		return Reservation{}, Error.Wrap(ErrInsufficientTokens)
	}
	if h.lean {
		b.spend(now, n)
	}
	return Reservation{Budget: budget, Parts: h.takeLocked(now, b, n)}, nil
}

func (h *Holder) takeLocked(now time.Time, b *book, n int64) []Part {
	var parts []Part
	if own := min(n, b.available()); own > 0 {
		h.seq++
		b.issue(h.seq, own, h.revision)
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

// Settle closes a reservation: used tokens are spent, the rest is available again.
func (h *Holder) Settle(now time.Time, r Reservation, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bookLocked(r.Budget)
	split := r.Split(used)
	for i, p := range r.Parts {
		if p.Holder == h.id {
			b.settle(p.Seq, split[i].Tokens)
			continue
		}
		b.settleLot(p, split[i].Tokens)
	}
	if !h.lean {
		b.spend(now, min(used, r.Tokens()))
	}
}

// settleLot settles a part of a borrowed lot.
func (b *book) settleLot(p Part, used int64) {
	for _, l := range b.lots {
		if l.Holder == p.Holder && l.Seq == p.Seq {
			l.reserved -= p.Tokens
			l.used += used
			return
		}
	}
}

// Watermarks returns, for each source that reservations on the budget may draw
// on, the watermark that is durable in the store: the outcomes of reservations up
// to it need not be kept by anyone.
func (h *Holder) Watermarks(budget string) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int64{}
	b := h.books[budget]
	if b == nil {
		return out
	}
	out[h.id] = b.durableThrough
	for _, l := range b.lots {
		out[l.Holder] = max(out[l.Holder], l.through)
	}
	return out
}

func (h *Holder) bookLocked(budget string) *book {
	b := h.books[budget]
	if b == nil {
		b = &book{budget: budget, through: h.seq, durableThrough: h.seq, window: h.window, lean: h.lean}
		h.books[budget] = b
		page := h.byPage(budget)
		if h.pages[page] == nil {
			h.pages[page] = map[string]*book{}
		}
		h.pages[page][budget] = b
	}
	return b
}

func (h *Holder) forgetLocked(b *book) {
	delete(h.books, b.budget)
	page := h.byPage(b.budget)
	delete(h.pages[page], b.budget)
	if len(h.pages[page]) == 0 {
		delete(h.pages, page)
	}
}

// Pages lists the pages of the budgets that the holder has books of.
func (h *Holder) Pages() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.pages))
}

// Empty reports whether the holder has nothing that it would have to give back.
func (h *Holder) Empty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.returns) == 0 && !slices.ContainsFunc(slices.Collect(maps.Values(h.books)), func(b *book) bool {
		return b.granted > 0 || !b.idle()
	})
}

// OtherHolders lists the other holders that had rows on the pages seen lately.
func (h *Holder) OtherHolders() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.others))
}

// ForgetRecovered forgets a holder whose recovery is complete.
func (h *Holder) ForgetRecovered(holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.others, holder)
}

// postpone is the pause after a failed sync.
const postpone = time.Second

// Postpone puts the next sync of a page off, after one that failed.
func (h *Holder) Postpone(now time.Time, page string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.pages[page] {
		b.lastSync, b.nextSync = now, now.Add(postpone)
	}
}

// ReportNow makes the next sync of the budgets' pages write what is unreported.
func (h *Holder) ReportNow(budgets []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range budgets {
		if b := h.books[id]; b != nil {
			b.lastReport = time.Time{}
		}
	}
}

// BudgetState is a book as dumps show it. Amounts are tokens.
type BudgetState struct {
	Budget    string  `json:"budget"`
	Granted   int64   `json:"granted"`
	Returned  int64   `json:"returned"`
	Settled   int64   `json:"settled"`
	Reserved  int64   `json:"reserved"`
	Available int64   `json:"available"`
	Spendable    int64   `json:"at_hand"`
	Lots      int     `json:"lots"`
	Lent      int     `json:"lent"`
	Through   int64   `json:"through"`
	Demand    float64 `json:"demand_tokens_per_second"`
}

// State lists the books.
func (h *Holder) State(now time.Time) []BudgetState {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]BudgetState, 0, len(h.books))
	for _, b := range h.books {
		out = append(out, BudgetState{
			Budget: b.budget, Granted: b.granted, Returned: b.returned, Settled: b.settled,
			Reserved: b.reserved, Available: b.available(), Spendable: b.atHand(),
			Lots: len(b.lots), Lent: len(b.lent), Through: b.through, Demand: b.demandNow(now),
		})
	}
	return out
}
