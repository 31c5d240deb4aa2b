package grant

import (
	"context"
	"time"
)

// claim holds the tokens that were obtained for one waiting request, so that other requests of the same holder do not take
// them before it has all that it needs.
type claim struct {
	budget string
	need   int64
	parts  []Part
}

func (c *claim) reservation() Reservation { return Reservation{Budget: c.budget, Parts: c.parts} }

// missing returns how many tokens the request still lacks.
func (c *claim) missing() int64 { return c.need - c.reservation().Tokens() }

type claimKey struct{}

func withClaim(ctx context.Context, c *claim) context.Context {
	return context.WithValue(ctx, claimKey{}, c)
}

// borrow adds a peer's lot, which was lent for the request of the context.
func (h *Holder) borrow(ctx context.Context, now time.Time, budget string, l Lot) {
	c, _ := ctx.Value(claimKey{}).(*claim)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.borrowLocked(now, budget, l)
	if c == nil || b == nil {
		return
	}
	b.scarce = l.Scarce
	if t := b.reserveLot(now, l.Part, c.missing()); t > 0 {
		c.parts = append(c.parts, Part{Holder: l.Part.Holder, Seq: l.Part.Seq, Tokens: t})
	}
}

// reserveLot reserves up to n tokens of one lot and returns how many.
func (b *localBudget) reserveLot(now time.Time, p Part, n int64) int64 {
	for _, l := range b.lots {
		if l.Holder == p.Holder && l.Seq == p.Seq {
			t := max(0, min(n, l.left()))
			l.reserved += t
			l.lastUse = now
			return t
		}
	}
	return 0
}

// extendClaim reserves for a claim what the holder has, up to what it lacks. While tokens are scarce it reserves all or
// nothing: a part would be held while the rest is waited for, and the lender lends it to a request that it suffices for.
func (h *Holder) extendClaim(now time.Time, c *claim) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced {
		return Error.Wrap(ErrFenced)
	}
	b := h.budgetLocked(c.budget)
	n := min(c.missing(), b.spendable())
	if n > 0 && (!b.scarce || n == c.missing()) {
		c.parts = append(c.parts, h.reserveLocked(now, b, n)...)
	}
	return nil
}

// completeClaim returns the reservation of a claim that lacks nothing.
func (h *Holder) completeClaim(now time.Time, c *claim) Reservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minimalRows {
		h.budgetLocked(c.budget).recordUse(now, c.need)
	}
	return c.reservation()
}

// releaseClaim makes the tokens of a request that is refused available again.
func (h *Holder) releaseClaim(now time.Time, c *claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(c.budget)
	for _, p := range c.parts {
		if p.Holder == h.id {
			b.settle(p.Seq, 0)
			continue
		}
		b.settleLot(p, 0)
	}
	c.parts = nil
	h.serveQueueLocked(now, b)
}

// noteReserved records that all that is left of a budget is reserved.
func (h *Holder) noteReserved(budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budgetLocked(budget).scarce = true
}

// Scarce reports whether the lender of a budget's lots has few tokens left: then lots go back as soon as they are idle.
func (h *Holder) Scarce(budget string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	return b != nil && b.scarce
}

// CloseScarceLots closes the idle lots of scarce budgets. It returns those that their lenders have yet to acknowledge, like
// CloseLots.
func (h *Holder) CloseScarceLots() []LotReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		if b.scarce {
			b.lots = h.closeLotsLocked(b, maxTime)
		}
	}
	return h.returnsLocked()
}

// maxTime is later than any use of a lot.
var maxTime = time.Unix(1<<40, 0)
