package grant

import (
	"maps"
	"slices"
	"time"
)

// Lend reserves a lot for a peer in the holder's own row. The lot has need tokens, or all
// that can be lent if that is less. Beyond need it has up to want tokens, but no more than
// half of what can be lent. The id identifies the peer's request; a retried id gets the same
// lot, so a lost answer strands no tokens.
func (h *Holder) Lend(now time.Time, budget, id, borrower string, need, want int64) (Lot, error) {
	return h.lend(now, budget, id, borrower, 1, need, want)
}

// lend is Lend with a minimum: it lends nothing if fewer than least tokens can be lent.
func (h *Holder) lend(now time.Time, budget, id, borrower string, least, need, want int64) (Lot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lendNowLocked(now, budget, id, borrower, least, need, want)
}

func (h *Holder) lendNowLocked(now time.Time, budget, id, borrower string, least, need, want int64) (Lot, error) {
	if h.fenced {
		return Lot{}, Error.Wrap(ErrFenced)
	}
	if h.stopping {
		return Lot{}, Error.Wrap(ErrInsufficientTokens)
	}
	b := h.budgets[budget]
	// Guards against a holder that borrows from itself, at the address of an earlier
	// incarnation: a lot from its own row would be settled in full with the first
	// request on it.
	if _, dead := h.excluded[borrower]; dead || b == nil || borrower == h.id {
		return Lot{}, Error.Wrap(ErrInsufficientTokens)
	}
	b.largestRecent = max(need, b.largestRecent-b.largestRecent/largestRecentDecay)
	b.lastUse = now
	if have := b.lent[id]; have != nil {
		have.requestedAgain = true
		return Lot{Part: have.part, Through: b.durableThrough}, nil
	}
	lendable := h.lendableLocked(b, borrower)
	n := min(lendable, max(need, min(want, lendable/2)))
	switch {
	case n < least && b.available() >= least:
		return Lot{}, Error.Wrap(ErrExposureLimit)
	case n < least:
		return Lot{}, Error.Wrap(ErrInsufficientTokens)
	}
	if h.minimalRows {
		b.recordUse(now, n)
	}
	b.exposureOf(borrower).addLot(now, n)
	return h.lendLocked(now, b, id, borrower, n), nil
}

func (h *Holder) lendLocked(now time.Time, b *localBudget, id, borrower string, n int64) Lot {
	h.seq++
	b.reserve(h.seq, n, h.revision)
	if b.lent == nil {
		b.lent = map[string]*lentLot{}
	}
	p := Part{Holder: h.id, Seq: h.seq, Tokens: n}
	b.lent[id] = &lentLot{part: p, borrower: borrower, sinceRevision: h.revision, at: now}
	return Lot{Part: p, Through: b.durableThrough}
}

// Borrow adds a peer's lot. A lot that the holder already has is not added again.
func (h *Holder) Borrow(now time.Time, budget string, l Lot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.borrowLocked(now, budget, l)
}

// borrowLocked returns the budget of a lot, nil if the lot must not be used.
func (h *Holder) borrowLocked(now time.Time, budget string, l Lot) *localBudget {
	if _, closed := h.returns[l.Part]; closed || l.Part.Holder == h.id {
		return nil
	}
	// An answer that arrives after Disown reported the lot as missing must not
	// add it: the lender may already have spent it again.
	if _, gone := h.disowned[l.Part]; gone {
		return nil
	}
	if _, dead := h.excluded[l.Part.Holder]; dead {
		return nil
	}
	b := h.budgetLocked(budget)
	for _, have := range b.lots {
		if have.Holder == l.Part.Holder && have.Seq == l.Part.Seq {
			return b
		}
	}
	b.lots = append(b.lots, &lot{Part: l.Part, through: l.Through, lastUse: now})
	return b
}

// TakeBack settles a lot that this holder lent. Settling it again has no effect.
func (h *Holder) TakeBack(now time.Time, r LotReturn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[r.Budget]
	if b == nil {
		return
	}
	for _, l := range b.lent {
		if l.part.Seq == r.Seq {
			b.recordLotTime(now.Sub(l.at))
		}
	}
	h.takeBackLocked(now, b, r)
	h.serveQueueLocked(now, b)
}

func (h *Holder) takeBackLocked(now time.Time, b *localBudget, r LotReturn) {
	lentTokens := b.tokensOf(r.Seq)
	if b.settle(r.Seq, r.Used) {
		b.recordLotUse(now, lentTokens, r.Used)
	}
	for id, l := range b.lent {
		if l.part.Seq == r.Seq {
			b.exposureOf(l.borrower).closeLot(l.part.Tokens, r.Used)
			delete(b.lent, id)
		}
	}
}

// TakeBackLost settles, as unused, a lot that its borrower never received.
func (h *Holder) TakeBackLost(now time.Time, p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		if b.find(p.Seq) >= 0 {
			h.takeBackLocked(now, b, LotReturn{Seq: p.Seq})
			h.serveQueueLocked(now, b)
			return
		}
	}
}

// LentTo lists a borrower's open lots, for recovery after its death.
func (h *Holder) LentTo(borrower string) []LotReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LotReturn
	for _, b := range h.budgets {
		for _, l := range b.lent {
			if l.borrower == borrower {
				out = append(out, LotReturn{Lender: h.id, Budget: b.name, Seq: l.part.Seq, Since: l.sinceRevision})
			}
		}
	}
	return out
}

// LostLots are the open lots of one budget whose borrower does not return them.
type LostLots struct {
	Budget string
	Lots   int
	Tokens int64
	// Oldest is when the first of them was lent.
	Oldest time.Time
}

// ReservedBy lists the borrowers with open lots of a budget, and the other holders that had tokens of it at the last sync.
func (h *Holder) ReservedBy(budget string) (borrowers, holders []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b == nil {
		return nil, nil
	}
	lentTo := map[string]struct{}{}
	for _, l := range b.lent {
		lentTo[l.borrower] = struct{}{}
	}
	return slices.Collect(maps.Keys(lentTo)), slices.Clone(b.otherHolders)
}

// SettleLots settles the open lots of a borrower as used in full and lists them by budget. They count neither as demand nor in the
// average time that lots stay open.
func (h *Holder) SettleLots(borrower string) []LostLots {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LostLots
	for _, b := range h.budgets {
		if lost := b.settleLots(borrower); lost.Lots > 0 {
			b.nextSync = time.Time{}
			out = append(out, lost)
		}
	}
	return out
}

func (b *localBudget) settleLots(borrower string) LostLots {
	lost := LostLots{Budget: b.name}
	for id, l := range b.lent {
		if l.borrower != borrower {
			continue
		}
		if lost.Lots == 0 || l.at.Before(lost.Oldest) {
			lost.Oldest = l.at
		}
		lost.Lots++
		lost.Tokens += l.part.Tokens
		b.settle(l.part.Seq, l.part.Tokens)
		b.exposureOf(borrower).closeLot(l.part.Tokens, l.part.Tokens)
		delete(b.lent, id)
	}
	return lost
}

// ReleaseLots makes the idle lots of a budget go back with the next CloseLots.
func (h *Holder) ReleaseLots(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.budgetLocked(budget).lots {
		l.lastUse = time.Time{}
	}
}

// CloseLots closes borrowed lots without open reservations that are used up or were
// not used since idleSince. It returns all closed lots that lenders have yet to
// acknowledge; send each of them until Acknowledge is called for it.
func (h *Holder) CloseLots(idleSince time.Time) []LotReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		b.lots = h.closeLotsLocked(b, idleSince)
	}
	return h.returnsLocked()
}

func (h *Holder) returnsLocked() []LotReturn {
	out := make([]LotReturn, 0, len(h.returns))
	for _, r := range h.returns {
		out = append(out, r)
	}
	return out
}

func (h *Holder) closeLotsLocked(b *localBudget, idleSince time.Time) []*lot {
	kept := b.lots[:0]
	for _, l := range b.lots {
		spent := l.left() == 0
		if l.reserved > 0 || (!spent && l.lastUse.After(idleSince)) {
			kept = append(kept, l)
			continue
		}
		h.recordClosedLocked(b.name, l)
		h.returns[l.Part] = LotReturn{Lender: l.Holder, Budget: b.name, Seq: l.Seq, Used: l.used}
	}
	return kept
}

// Disown returns those of the given lots that this holder does not have, and rejects
// them from then on: their answers were lost, and the lender takes them back.
func (h *Holder) Disown(parts []Part) []Part {
	h.mu.Lock()
	defer h.mu.Unlock()
	var missing []Part
	for _, p := range parts {
		if !h.hasLotLocked(p) {
			h.disowned[p] = struct{}{}
			missing = append(missing, p)
		}
	}
	return missing
}

func (h *Holder) hasLotLocked(p Part) bool {
	if _, ok := h.returns[p]; ok {
		return true
	}
	for _, b := range h.budgets {
		for _, l := range b.lots {
			if l.Holder == p.Holder && l.Seq == p.Seq {
				return true
			}
		}
	}
	return false
}

// LentLots lists the open lent lots by borrower.
func (h *Holder) LentLots() map[string][]Part {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]Part{}
	for _, b := range h.budgets {
		for _, l := range b.lent {
			out[l.borrower] = append(out[l.borrower], l.part)
		}
	}
	return out
}

// Acknowledge removes a closed lot that its lender has taken back.
func (h *Holder) Acknowledge(r LotReturn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.returns {
		if p.Holder == r.Lender && p.Seq == r.Seq {
			delete(h.returns, p)
		}
	}
}

// ExcludeHolder excludes a holder that was declared dead. Its lots are not used any more,
// since agents now refuse them, and nothing more is lent to it: recovery settles what
// is lent to it at this moment. Its lots are still returned to it, since it may be
// alive: if they were dropped, it would take them back as unused and spend them again.
func (h *Holder) ExcludeHolder(lender string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.excluded[lender] = struct{}{}
	for _, b := range h.budgets {
		for _, l := range b.lots {
			l.blocked = l.blocked || l.Holder == lender
		}
	}
}
