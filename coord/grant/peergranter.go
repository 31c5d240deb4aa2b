package grant

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Lender sends lending requests to peers.
type Lender interface {
	// Lend asks the peer for a lot; the id makes a retry idempotent.
	Lend(ctx context.Context, peer, budget, id string, need, want int64) (Lot, error)
}

// PeerGranter borrows lots from peers, nearest first.
type PeerGranter struct {
	Holder *Holder
	Lender Lender
	// Peers lists the peers to ask for the budget, in order.
	Peers func(budget string) []string
	// Timeout bounds one call, in addition to the time that the request may wait at the peer.
	Timeout time.Duration
	Now     func() time.Time

	ids atomic.Int64
}

// Obtain implements Granter.
func (g *PeerGranter) Obtain(ctx context.Context, budget string, shortfall int64) error {
	want := g.Holder.wantedLotSize(g.Now(), budget)
	refusal := Error.Wrap(ErrInsufficientTokens)
	for _, peer := range g.Peers(budget) {
		began := g.Now()
		l, err := g.ask(ctx, peer, budget, shortfall, want)
		NoteAsked(ctx, peer, g.Now().Sub(began), err)
		if errors.Is(err, ErrExhausted) || errors.Is(err, ErrNoBudget) || errors.Is(err, ErrAllReserved) {
			return err // the peer has just checked the whole budget
		}
		if err != nil {
			if !errors.Is(err, ErrInsufficientTokens) {
				refusal = Error.Wrap(ErrUnreachable)
			}
			continue
		}
		g.Holder.borrow(ctx, g.Now(), budget, l)
		if shortfall -= l.Part.Tokens; shortfall <= 0 {
			return nil
		}
	}
	// The borrowed lots do not suffice; they go back with the next returns.
	g.Holder.ReleaseLots(budget)
	return refusal
}

func (g *PeerGranter) ask(ctx context.Context, peer, budget string, need, want int64) (Lot, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout+UrgencyOf(ctx).Wait)
	defer cancel()
	id := fmt.Sprintf("%s/%d", g.Holder.ID(), g.ids.Add(1))
	return g.Lender.Lend(ctx, peer, budget, id, need, want)
}
