package grant

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Lender is the way to one peer's holder.
type Lender interface {
	// Lend asks the peer for a lot; the id makes a repeat harmless.
	Lend(ctx context.Context, peer, budget, id string, need, want int64) (Lot, error)
}

// PeerGranter borrows lots from peers, nearest first.
type PeerGranter struct {
	Holder *Holder
	Lender Lender
	// Peers lists the peers to ask for the budget, in order.
	Peers func(budget string) []string
	// Timeout bounds one call.
	Timeout time.Duration
	Now     func() time.Time

	ids atomic.Int64
}

// Obtain implements Granter.
func (g *PeerGranter) Obtain(ctx context.Context, budget string, lack int64) error {
	want := g.Holder.lotWant(g.Now(), budget)
	verdict := Error.Wrap(ErrInsufficientTokens)
	for _, peer := range g.Peers(budget) {
		began := g.Now()
		l, err := g.ask(ctx, peer, budget, lack, want)
		NoteAsked(ctx, peer, g.Now().Sub(began), err)
		if errors.Is(err, ErrExhausted) || errors.Is(err, ErrNoBudget) || errors.Is(err, ErrAllReserved) {
			return err // a peer has just looked at the whole budget
		}
		if err != nil {
			if !errors.Is(err, ErrInsufficientTokens) {
				verdict = Error.Wrap(ErrUnreachable)
			}
			continue
		}
		g.Holder.Borrow(g.Now(), budget, l)
		if lack -= l.Part.Tokens; lack <= 0 {
			return nil
		}
	}
	// What was gathered does not suffice; it goes back with the next returns.
	g.Holder.ReleaseLots(budget)
	return verdict
}

func (g *PeerGranter) ask(ctx context.Context, peer, budget string, need, want int64) (Lot, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	id := fmt.Sprintf("%s/%d", g.Holder.ID(), g.ids.Add(1))
	return g.Lender.Lend(ctx, peer, budget, id, need, want)
}
