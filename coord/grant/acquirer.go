package grant

import (
	"context"
	"errors"
	"time"
)

// Acquirer reserves tokens for requests: from what the holder has, else from each
// Granter in order within the request's deadline. It refuses as soon as the last one
// has failed.
type Acquirer struct {
	Holder *Holder
	Chain  []Granter
	// Exposer is required for holders with exposure limits.
	Exposer Exposer
	Now     func() time.Time
	// Queueing makes peers' requests wait for tokens that are reserved, and reserves tokens that were obtained for a request
	// for that request only.
	Queueing bool
	// OnWaited, if set, is called when a request has waited in the queue.
	OnWaited func(WaitEnd)
}

// Acquire reserves n tokens of the budget. Its errors are ErrExhausted,
// ErrUnreachable, ErrNoBudget and ErrFenced; with each of them nothing is reserved.
func (q *Acquirer) Acquire(ctx context.Context, budget string, n int64) (Reservation, error) {
	r, err := q.Holder.Reserve(q.Now(), budget, n)
	if err == nil || !errors.Is(err, ErrInsufficientTokens) {
		return r, err
	}
	if q.Queueing && n > 0 {
		return q.acquireClaimed(ctx, budget, n)
	}
	defer q.Holder.addWaiting(budget, n)()
	return q.obtain(ctx, budget, n)
}

// Lend reserves a lot for a peer like Holder.Lend, but first obtains what is missing for
// need. It lends at least need or nothing: a peer that got less would have to ask other
// peers, and the tokens would be missing here meanwhile.
func (q *Acquirer) Lend(ctx context.Context, budget, id, borrower string, need, want int64) (Lot, error) {
	if q.Queueing {
		return q.lendQueued(ctx, budget, id, borrower, need, want)
	}
	for fetches := 0; ; {
		l, err := q.Holder.lend(q.Now(), budget, id, borrower, need, need, want)
		switch {
		case errors.Is(err, ErrExposureLimit):
			// Other lots may use up a raised limit first; this one then waits for the next
			// raise until its request's deadline.
			err = q.Exposer.Expose(ctx, budget, borrower, need)
		case errors.Is(err, ErrInsufficientTokens) && fetches < maxFetches:
			fetches++
			done := q.Holder.addWaiting(budget, need)
			err = q.fetch(ctx, budget, need)
			done()
		default:
			return l, err
		}
		if err != nil {
			return Lot{}, err
		}
	}
}

// obtainAndReserve obtains the shortfall and reserves, and retries if another request took
// the obtained tokens.
func (q *Acquirer) obtainAndReserve(ctx context.Context, g Granter, budget string, n, shortfall int64) (Reservation, error) {
	for try := 1; ; try++ {
		obtainErr := g.Obtain(ctx, budget, shortfall)
		r, err := q.Holder.Reserve(q.Now(), budget, n)
		if err == nil || !errors.Is(err, ErrInsufficientTokens) {
			return r, err
		}
		if obtainErr != nil {
			return Reservation{}, obtainErr
		}
		if try == maxFetches {
			return Reservation{}, err
		}
		shortfall = q.Holder.shortage(q.Now(), budget, n).shortfall
	}
}

// maxFetches bounds how often tokens are fetched for one request: later requests may take what
// was fetched for it.
const maxFetches = 4

// fetch calls the granters in order until the holder's own row has need tokens available or one
// succeeds.
func (q *Acquirer) fetch(ctx context.Context, budget string, need int64) error {
	lastErr := Error.Wrap(ErrInsufficientTokens)
	for _, g := range q.Chain {
		err := g.Obtain(ctx, budget, q.Holder.ownShortfall(budget, need))
		if err == nil || q.Holder.ownShortfall(budget, need) <= 0 {
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// obtain calls the granters in order. A budget counts as exhausted only if a granter checked
// all of it and found too little left. What other holders have reserved may come back unused,
// and a caller would not retry after the error for an exhausted budget.
func (q *Acquirer) obtain(ctx context.Context, budget string, n int64) (Reservation, error) {
	refusal := Error.Wrap(ErrUnreachable)
	for _, g := range q.Chain {
		s := q.Holder.shortage(q.Now(), budget, n)
		if s.exhausted {
			refusal = Error.Wrap(ErrExhausted)
			break
		}
		r, err := q.obtainAndReserve(ctx, g, budget, n, s.shortfall)
		if errors.Is(err, ErrNoBudget) || errors.Is(err, ErrFenced) {
			return Reservation{}, err
		}
		if err == nil {
			return r, nil
		}
		if errors.Is(err, ErrExhausted) {
			refusal = err
			break
		}
		if errors.Is(err, ErrAllReserved) {
			break
		}
	}
	q.Holder.scheduleSync(budget)
	return Reservation{}, refusal
}

// acquireClaimed reserves for the request what the holder has, and calls the granters in order for the rest; what they provide
// is reserved for it at once. Refusals are those of obtain.
func (q *Acquirer) acquireClaimed(ctx context.Context, budget string, n int64) (Reservation, error) {
	c := &claim{budget: budget, need: n}
	if err := q.Holder.extendClaim(q.Now(), c); err != nil {
		return Reservation{}, err
	}
	defer q.Holder.addWaiting(budget, c.missing())()
	err := q.obtainClaimed(withClaim(ctx, c), c)
	if err == nil {
		return q.Holder.completeClaim(q.Now(), c), nil
	}
	q.Holder.releaseClaim(q.Now(), c)
	q.Holder.scheduleSync(budget)
	return Reservation{}, err
}

// obtainClaimed calls the granters in order until the claim lacks nothing.
func (q *Acquirer) obtainClaimed(ctx context.Context, c *claim) error {
	for _, g := range q.Chain {
		if q.Holder.shortage(q.Now(), c.budget, c.need).exhausted {
			return Error.Wrap(ErrExhausted)
		}
		err := q.obtainFrom(ctx, g, c)
		switch {
		case err == nil, errors.Is(err, ErrNoBudget), errors.Is(err, ErrFenced), errors.Is(err, ErrExhausted):
			return err
		case errors.Is(err, ErrAllReserved):
			q.Holder.noteReserved(c.budget)
			return Error.Wrap(errors.Join(ErrUnreachable, err))
		}
	}
	return Error.Wrap(ErrUnreachable)
}

// obtainFrom obtains what a claim lacks from one granter. Other requests may take tokens of the holder's own row before the
// claim has them.
func (q *Acquirer) obtainFrom(ctx context.Context, g Granter, c *claim) error {
	for try := 1; ; try++ {
		obtainErr := g.Obtain(ctx, c.budget, c.missing())
		if err := q.Holder.extendClaim(q.Now(), c); err != nil || c.missing() <= 0 {
			return err
		}
		if obtainErr != nil {
			return obtainErr
		}
		if try == maxFetches {
			return Error.Wrap(ErrInsufficientTokens)
		}
	}
}
