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
	// OtherRegions, if set, lists the peers of each other region to ask, nearest first. A peer that has
	// checked the whole budget then answers only for the tokens that its own region can reach.
	OtherRegions func(budget string) [][]string
	// Timeout bounds one call, in addition to the time that the request may wait at the peer.
	Timeout time.Duration
	Now     func() time.Time

	ids atomic.Int64
}

// peerSearch is the search for tokens of one request.
type peerSearch struct {
	budget    string
	shortfall int64
	want      int64
	// refusal is the result if no peer lends.
	refusal error
}

// Obtain implements Granter.
func (g *PeerGranter) Obtain(ctx context.Context, budget string, shortfall int64) error {
	s := &peerSearch{budget: budget, shortfall: shortfall, want: g.Holder.wantedLotSize(g.Now(), budget), refusal: Error.Wrap(ErrInsufficientTokens)}
	var others [][]string
	if g.OtherRegions != nil {
		others = g.OtherRegions(budget)
	}
	own := g.Peers(budget)
	if len(others) == 0 {
		checked, ended, err := g.askRegion(ctx, s, own)
		if checked || ended {
			return err
		}
	} else if ended, err := g.askRegions(ctx, s, own, others); ended {
		return err
	}
	// The borrowed lots do not suffice; they go back with the next returns.
	g.Holder.ReleaseLots(budget)
	return s.refusal
}

// askRegions asks the own region, then the others, and at last waits in the own one if all that is left anywhere is
// reserved: tokens that idle in another region go before those that come back here.
func (g *PeerGranter) askRegions(ctx context.Context, s *peerSearch, own []string, others [][]string) (ended bool, err error) {
	u := UrgencyOf(ctx)
	waitless := WithUrgency(ctx, Urgency{Rank: u.Rank})
	var reserved error
	for _, peers := range append([][]string{own}, others...) {
		checked, ended, err := g.askRegion(waitless, s, peers)
		if ended {
			return true, err
		}
		if checked && reserved == nil {
			reserved = err
		}
	}
	if reserved != nil && u.Wait > 0 {
		if checked, ended, err := g.askRegion(ctx, s, own); checked || ended {
			return true, err
		}
	}
	if reserved != nil {
		g.Holder.ReleaseLots(s.budget)
		return true, reserved // one of them has checked the page: the store has nothing more
	}
	return false, nil
}

// askRegion asks the peers of one region in order, until one of them has checked the page. ended is
// set once the whole search has its result.
func (g *PeerGranter) askRegion(ctx context.Context, s *peerSearch, peers []string) (checked, ended bool, err error) {
	for _, peer := range peers {
		began := g.Now()
		l, err := g.ask(ctx, peer, s.budget, s.shortfall, s.want)
		NoteAsked(ctx, peer, g.Now().Sub(began), err)
		switch {
		case errors.Is(err, ErrExhausted) || errors.Is(err, ErrNoBudget):
			return true, true, err // the peer has just checked the whole budget
		case errors.Is(err, ErrAllReserved):
			return true, false, err
		case err != nil:
			if !errors.Is(err, ErrInsufficientTokens) {
				s.refusal = Error.Wrap(ErrUnreachable)
			}
			continue
		}
		g.Holder.borrow(ctx, g.Now(), s.budget, l)
		if s.shortfall -= l.Part.Tokens; s.shortfall <= 0 {
			return false, true, nil
		}
	}
	return false, false, nil
}

func (g *PeerGranter) ask(ctx context.Context, peer, budget string, need, want int64) (Lot, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout+UrgencyOf(ctx).Wait)
	defer cancel()
	id := fmt.Sprintf("%s/%d", g.Holder.ID(), g.ids.Add(1))
	return g.Lender.Lend(ctx, peer, budget, id, need, want)
}
