package grant

import (
	"context"
	"errors"
	"time"
)

// Acquirer reserves for requests: from what is at hand, else from each Granter in
// order within the request's deadline. It refuses the moment the last one failed.
type Acquirer struct {
	Holder *Holder
	Chain  []Granter
	// Exposer is needed by holders whose exposure is limited.
	Exposer Exposer
	Now     func() time.Time
}

// Acquire reserves n tokens of the budget. Its errors are ErrExhausted,
// ErrUnreachable, ErrNoBudget and ErrFenced; after each of them nothing is reserved.
func (q *Acquirer) Acquire(ctx context.Context, budget string, n int64) (Reservation, error) {
	r, err := q.Holder.Reserve(q.Now(), budget, n)
	if err == nil || !errors.Is(err, ErrInsufficientTokens) {
		return r, err
	}
	defer q.Holder.wait(budget, n)()
	return q.obtain(ctx, budget, n)
}

// Lend reserves a lot for a peer like Holder.Lend, and first brings what lacks for need.
// It lends need or nothing: a peer that got a part would have to ask on, and the part
// would be missing here meanwhile.
func (q *Acquirer) Lend(ctx context.Context, budget, id, borrower string, need, want int64) (Lot, error) {
	for fills := 0; ; {
		l, err := q.Holder.lend(q.Now(), budget, id, borrower, need, need, want)
		switch {
		case errors.Is(err, ErrExposureLimit):
			// Lots that came meanwhile may take a raise; this one waits for the next as long
			// as its request does.
			err = q.Exposer.Expose(ctx, budget, borrower, need)
		case errors.Is(err, ErrInsufficientTokens) && fills < mostFills:
			fills++
			done := q.Holder.wait(budget, need)
			err = q.fill(ctx, budget, need)
			done()
		default:
			return l, err
		}
		if err != nil {
			return Lot{}, err
		}
	}
}

// reserveAfter obtains what lacks and reserves, and does so again if the tokens came and
// another request took them.
func (q *Acquirer) reserveAfter(ctx context.Context, g Granter, budget string, n, lack int64) (Reservation, error) {
	for try := 1; ; try++ {
		obtained := g.Obtain(ctx, budget, lack)
		r, err := q.Holder.Reserve(q.Now(), budget, n)
		if err == nil || !errors.Is(err, ErrInsufficientTokens) {
			return r, err
		}
		if obtained != nil {
			return Reservation{}, obtained
		}
		if try == mostFills {
			return Reservation{}, err
		}
		lack = q.Holder.shortage(q.Now(), budget, n).lack
	}
}

// mostFills bounds how often tokens are fetched for one request: others that come meanwhile
// may take what was fetched for it.
const mostFills = 4

// fill asks along the chain until one way brought what the own row lacks for need.
func (q *Acquirer) fill(ctx context.Context, budget string, need int64) error {
	verdict := Error.Wrap(ErrInsufficientTokens)
	for _, g := range q.Chain {
		err := g.Obtain(ctx, budget, q.Holder.ownShortage(budget, need))
		if err == nil || q.Holder.ownShortage(budget, need) <= 0 {
			return nil
		}
		verdict = err
	}
	return verdict
}

// obtain asks along the chain. A budget counts as exhausted only when a way has looked at
// the whole of it and found too little left anywhere. What others hold at this moment may
// come back unused, and a caller told that its budget is used up would not return.
func (q *Acquirer) obtain(ctx context.Context, budget string, n int64) (Reservation, error) {
	verdict := Error.Wrap(ErrUnreachable)
	for _, g := range q.Chain {
		s := q.Holder.shortage(q.Now(), budget, n)
		if s.empty {
			verdict = Error.Wrap(ErrExhausted)
			break
		}
		r, err := q.reserveAfter(ctx, g, budget, n, s.lack)
		if errors.Is(err, ErrNoBudget) || errors.Is(err, ErrFenced) {
			return Reservation{}, err
		}
		if err == nil {
			return r, nil
		}
		if errors.Is(err, ErrExhausted) {
			verdict = err
			break
		}
		if errors.Is(err, ErrAllReserved) {
			break
		}
	}
	q.Holder.syncSoon(budget)
	return Reservation{}, verdict
}
