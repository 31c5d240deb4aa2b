package grant

import "time"

// Lend reserves a lot for a peer out of the own row: at least need tokens, or
// as many as there are, and up to want when the policy can spare them. The id names
// the peer's request; a repeated id gets the same lot, so an answer that was lost
// strands nothing.
func (h *Holder) Lend(now time.Time, budget, id, borrower string, need, want int64) (Lot, error) {
	return h.lend(now, budget, id, borrower, 1, need, want)
}

// lend is Lend, but lends nothing if there are fewer tokens than least.
func (h *Holder) lend(now time.Time, budget, id, borrower string, least, need, want int64) (Lot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced {
		return Lot{}, Error.Wrap(ErrFenced)
	}
	if h.stopping {
		return Lot{}, Error.Wrap(ErrInsufficientTokens)
	}
	b := h.books[budget]
	// Guard against a holder that asks itself, at the address of an earlier life: a
	// lot of its own row would be settled whole with the first request on it.
	if _, dead := h.shutOut[borrower]; dead || b == nil || borrower == h.id {
		return Lot{}, Error.Wrap(ErrInsufficientTokens)
	}
	b.worst = max(need, b.worst-b.worst/worstDecay)
	b.lastUse = now
	if have := b.lent[id]; have != nil {
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
	if h.lean {
		b.spend(now, n)
	}
	b.exposureOf(borrower).lend(now, n)
	return h.lendLocked(b, id, borrower, n), nil
}

func (h *Holder) lendLocked(b *book, id, borrower string, n int64) Lot {
	h.seq++
	b.issue(h.seq, n, h.revision)
	if b.lent == nil {
		b.lent = map[string]*lent{}
	}
	p := Part{Holder: h.id, Seq: h.seq, Tokens: n}
	b.lent[id] = &lent{part: p, borrower: borrower, since: h.revision}
	return Lot{Part: p, Through: b.durableThrough}
}

// Borrow adds a peer's lot. A lot that is already there is not added again.
func (h *Holder) Borrow(now time.Time, budget string, l Lot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, closed := h.returns[l.Part]; closed || l.Part.Holder == h.id {
		return
	}
	// An answer that comes after the lender was told that this lot is not
	// here must not bring it back: the lender spends it again.
	if _, gone := h.disowned[l.Part]; gone {
		return
	}
	if _, dead := h.shutOut[l.Part.Holder]; dead {
		return
	}
	b := h.bookLocked(budget)
	for _, have := range b.lots {
		if have.Holder == l.Part.Holder && have.Seq == l.Part.Seq {
			return
		}
	}
	b.lots = append(b.lots, &lot{Part: l.Part, through: l.Through, lastUse: now})
}

// TakeBack settles a lot that this holder lent. Settling it again has no effect.
func (h *Holder) TakeBack(now time.Time, r LotReturn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.books[r.Budget]
	if b == nil {
		return
	}
	lentTokens := b.tokensOf(r.Seq)
	if b.settle(r.Seq, r.Used) {
		b.spendLent(now, lentTokens, r.Used)
	}
	for id, l := range b.lent {
		if l.part.Seq == r.Seq {
			b.exposureOf(l.borrower).close(l.part.Tokens, r.Used)
			delete(b.lent, id)
		}
	}
}

// TakeBackLost settles a lot whose borrower never got it.
func (h *Holder) TakeBackLost(now time.Time, p Part) {
	h.mu.Lock()
	budget := ""
	for _, b := range h.books {
		if b.find(p.Seq) >= 0 {
			budget = b.budget
		}
	}
	h.mu.Unlock()
	h.TakeBack(now, LotReturn{Lender: h.id, Budget: budget, Seq: p.Seq})
}

// LentTo lists the open lots that a borrower has, for recovery after its death.
func (h *Holder) LentTo(borrower string) []LotReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LotReturn
	for _, b := range h.books {
		for _, l := range b.lent {
			if l.borrower == borrower {
				out = append(out, LotReturn{Lender: h.id, Budget: b.budget, Seq: l.part.Seq, Since: l.since})
			}
		}
	}
	return out
}

// ReleaseLots makes the unused lots of a budget go back with the next returns.
func (h *Holder) ReleaseLots(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.bookLocked(budget).lots {
		l.lastUse = time.Time{}
	}
}

// CloseLots closes borrowed lots without open reservations that were not used
// since idleSince, and returns all closed lots that lenders have yet to
// acknowledge. Send each until Acknowledge.
func (h *Holder) CloseLots(idleSince time.Time) []LotReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.books {
		b.lots = h.closeLocked(b, idleSince)
	}
	out := make([]LotReturn, 0, len(h.returns))
	for _, r := range h.returns {
		out = append(out, r)
	}
	return out
}

func (h *Holder) closeLocked(b *book, idleSince time.Time) []*lot {
	kept := b.lots[:0]
	for _, l := range b.lots {
		spent := l.left() == 0
		if l.reserved > 0 || (!spent && l.lastUse.After(idleSince)) {
			kept = append(kept, l)
			continue
		}
		h.noteClosedLocked(b.budget, l)
		h.returns[l.Part] = LotReturn{Lender: l.Holder, Budget: b.budget, Seq: l.Seq, Used: l.used}
	}
	return kept
}

// Disown lists which of the given lots this holder does not have, and makes sure
// that it never will: a lender takes those back whose answers were lost.
func (h *Holder) Disown(parts []Part) []Part {
	h.mu.Lock()
	defer h.mu.Unlock()
	var none []Part
	for _, p := range parts {
		if !h.hasLocked(p) {
			h.disowned[p] = struct{}{}
			none = append(none, p)
		}
	}
	return none
}

func (h *Holder) hasLocked(p Part) bool {
	if _, ok := h.returns[p]; ok {
		return true
	}
	for _, b := range h.books {
		for _, l := range b.lots {
			if l.Holder == p.Holder && l.Seq == p.Seq {
				return true
			}
		}
	}
	return false
}

// LentLots lists the open lots by borrower.
func (h *Holder) LentLots() map[string][]Part {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]Part{}
	for _, b := range h.books {
		for _, l := range b.lent {
			out[l.borrower] = append(out[l.borrower], l.part)
		}
	}
	return out
}

// Acknowledge forgets a closed lot that its lender has taken back.
func (h *Holder) Acknowledge(r LotReturn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.returns {
		if p.Holder == r.Lender && p.Seq == r.Seq {
			delete(h.returns, p)
		}
	}
}

// ExcludeHolder uses the lots of a holder that was found dead no more, since agents refuse
// them now, and lends it nothing: what is lent to it at this moment is what its
// recovery settles. Its lots are still settled with it, for it may be alive after
// all: forgetting them would let it take them back as unused and spend them again.
func (h *Holder) ExcludeHolder(lender string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shutOut[lender] = struct{}{}
	for _, b := range h.books {
		for _, l := range b.lots {
			l.barred = l.barred || l.Holder == lender
		}
	}
}
