package grant

import (
	"context"
	"errors"
	"slices"
	"time"
)

const (
	// maxLendWait bounds how long a request waits for reserved tokens, whatever its message asks for.
	maxLendWait = time.Second
	// scarceFor is how long a budget counts as scarce after a request found all of it reserved. Reservations of such a budget
	// end several times in this time.
	scarceFor = 2 * time.Second
	// lotTimeDecay is the weight, as 1/lotTimeDecay, of the last lot in the average time that lots stay open. maxLotTime bounds
	// what one lot counts: those of routers that are gone stay open for far longer than a request.
	lotTimeDecay = 16
	maxLotTime   = 10 * time.Second
)

// WaitEnd describes a request for a lot that waited because all that was left was reserved.
type WaitEnd struct {
	Budget, Borrower string
	// Rank is the request's priority, Need its tokens.
	Rank int
	Need int64
	// Waited is how long it waited, of at most Bound.
	Waited, Bound time.Duration
	// Err is nil if the tokens were lent. CallerGone is set if nobody waits for the reply any more.
	Err        error
	CallerGone bool
}

// lendQueued lends like Lend, but a request for which all tokens are reserved waits for the time of its urgency. Requests that
// wait get tokens that come back in the order of the queue, and newer ones take none before them.
func (q *Acquirer) lendQueued(ctx context.Context, budget, id, borrower string, need, want int64) (Lot, error) {
	u := UrgencyOf(ctx)
	w := &waiter{budget: budget, id: id, borrower: borrower, need: need, rank: u.Rank, since: q.Now(), wait: min(u.Wait, maxLendWait),
		exposureLimited: make(chan struct{}, 1)}
	answered, wake := context.WithCancel(ctx)
	defer wake()
	w.wake = wake
	if l, err := q.Holder.lendOrEnqueue(q.Now(), w, want); !errors.Is(err, errEnqueued) {
		return l, err
	}
	defer q.Holder.addWaiting(budget, need)()
	reason := q.await(answered, w)
	return q.Holder.leaveQueue(q.Now(), w, ctx.Err() != nil, reason, q.OnWaited)
}

// await fetches tokens and then waits for those that come back, until the request is answered or must not wait any longer. It
// returns why the request is refused if it is not answered.
func (q *Acquirer) await(answered context.Context, w *waiter) error {
	fetched := make(chan error, 1)
	fetch := func() { fetched <- q.fetchMissing(answered, w) }
	go fetch()
	var timeOver <-chan time.Time
	for fetches := 1; ; {
		// A raised limit goes before the end of the time: the tokens are there.
		select {
		case <-w.exposureLimited:
			if err := q.expose(answered, w); err != nil {
				return err
			}
			continue
		default:
		}
		select {
		case <-w.exposureLimited:
			if err := q.expose(answered, w); err != nil {
				return err
			}
		case err := <-fetched:
			switch {
			case err != nil && !isReserved(err):
				return err
			case err == nil && fetches < maxFetches && q.Holder.lacksTokens(w):
				fetches++ // requests before this one took what was fetched
				go fetch()
				continue
			case !q.Holder.mayComeBack(q.Now(), w):
				return q.Holder.reservedError(w.budget)
			}
			timeOver = time.After(w.wait)
		case <-timeOver:
			return q.Holder.reservedError(w.budget)
		case <-answered.Done():
			return q.Holder.reservedError(w.budget)
		}
	}
}

// fetchMissing calls the granters for what a request lacks beyond the tokens that the holder has for those before it.
func (q *Acquirer) fetchMissing(ctx context.Context, w *waiter) error {
	if q.Holder.ownShortfall(w.budget, w.need) <= 0 {
		return nil // it waits for requests before it, or for its exposure limit
	}
	return q.fetch(ctx, w.budget, w.need)
}

// expose raises the exposure limit of a request's borrower, and lends again.
func (q *Acquirer) expose(ctx context.Context, w *waiter) error {
	if err := q.Exposer.Expose(ctx, w.budget, w.borrower, w.need); err != nil {
		return err
	}
	q.Holder.serveQueue(q.Now(), w.budget)
	return nil
}

// isReserved reports whether a refusal of the granters leaves only tokens that are reserved now.
func isReserved(err error) bool {
	return errors.Is(err, ErrAllReserved) || errors.Is(err, ErrInsufficientTokens)
}

// errEnqueued says that a request was added to the queue.
var errEnqueued = errors.New("request waits for tokens")

// lendOrEnqueue lends at once if no request goes before this one and the tokens suffice; else it adds the request to the queue.
func (h *Holder) lendOrEnqueue(now time.Time, w *waiter, want int64) (Lot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(w.budget)
	if head := b.waiters.head(now); b.lent[w.id] != nil || head == nil || w.precedes(head, now) {
		l, err := h.lendToLocked(now, b, w, want)
		switch {
		case errors.Is(err, ErrExposureLimit):
			w.exposureLimited <- struct{}{}
		case !errors.Is(err, ErrInsufficientTokens) || !h.mayLendLocked(w.borrower):
			return l, err
		}
	}
	// A repeated request replaces the first one, whose caller is gone: each would return the same lot.
	if first := b.waiters.find(w.borrower, w.id); first != nil {
		b.waiters.answer(first, Lot{}, Error.Wrap(ErrInsufficientTokens))
	}
	if refused := b.waiters.push(w, now); refused != nil {
		b.waiters.answer(refused, Lot{}, b.reservedError())
	}
	return Lot{}, errEnqueued
}

// lendToLocked lends to a request if the tokens suffice, and says whether they are scarce.
func (h *Holder) lendToLocked(now time.Time, b *localBudget, w *waiter, want int64) (Lot, error) {
	l, err := h.lendNowLocked(now, b.name, w.id, w.borrower, w.need, w.need, want)
	if err == nil {
		l.Scarce = b.isScarce(now)
	}
	return l, err
}

// mayLendLocked reports whether the holder lends to a borrower at all.
func (h *Holder) mayLendLocked(borrower string) bool {
	_, dead := h.excluded[borrower]
	return !h.fenced && !h.stopping && !dead && borrower != h.id
}

// serveQueue lends available tokens to the requests that wait.
func (h *Holder) serveQueue(now time.Time, budget string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.budgets[budget]; b != nil {
		h.serveQueueLocked(now, b)
	}
}

// serveQueueLocked lends to the first request as long as there is enough for it. Later ones wait although less would do for
// them: otherwise a large request would never be served.
func (h *Holder) serveQueueLocked(now time.Time, b *localBudget) {
	for w := b.waiters.head(now); w != nil; w = b.waiters.head(now) {
		l, err := h.lendToLocked(now, b, w, 0)
		switch {
		case errors.Is(err, ErrExposureLimit):
			select {
			case w.exposureLimited <- struct{}{}:
			default:
			}
			return
		case errors.Is(err, ErrInsufficientTokens) && h.mayLendLocked(w.borrower):
			return
		}
		b.waiters.answer(w, l, err)
	}
}

// answer removes a request from the queue with a lot or an error, and ends its wait.
func (q *lendQueue) answer(w *waiter, l Lot, err error) {
	q.remove(w)
	w.answered, w.lot, w.err = true, l, err
	w.wake()
}

// leaveQueue returns the answer to a request, or the reason if it has none, and takes it out of the queue. A lot for a caller
// that is gone is taken back: nobody would return it.
func (h *Holder) leaveQueue(now time.Time, w *waiter, callerGone bool, reason error, onWaited func(WaitEnd)) (Lot, error) {
	l, err := h.endWait(now, w, callerGone, reason)
	if onWaited != nil {
		onWaited(WaitEnd{Budget: w.budget, Borrower: w.borrower, Rank: w.rank, Need: w.need, Waited: now.Sub(w.since), Bound: w.wait,
			Err: err, CallerGone: callerGone})
	}
	return l, err
}

func (h *Holder) endWait(now time.Time, w *waiter, callerGone bool, reason error) (Lot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(w.budget)
	if !w.answered {
		b.waiters.remove(w)
		h.serveQueueLocked(now, b) // the next one may need less
		return Lot{}, reason
	}
	lent := b.lent[w.id]
	if w.err != nil || !callerGone || lent == nil || lent.requestedAgain {
		return w.lot, w.err
	}
	h.takeBackLocked(now, b, LotReturn{Seq: w.lot.Part.Seq})
	h.serveQueueLocked(now, b)
	return Lot{}, reason
}

// CancelLend ends a request of a borrower that does not wait for its reply any more and will not use the lot. It reports
// whether the request was known.
func (h *Holder) CancelLend(now time.Time, budget, id, borrower string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[budget]
	if b == nil {
		return false
	}
	if w := b.waiters.find(borrower, id); w != nil {
		b.waiters.answer(w, Lot{}, Error.Wrap(ErrInsufficientTokens))
		h.serveQueueLocked(now, b)
		return true
	}
	lent := b.lent[id]
	if lent == nil || lent.borrower != borrower {
		return false
	}
	h.takeBackLocked(now, b, LotReturn{Seq: lent.part.Seq})
	h.serveQueueLocked(now, b)
	return true
}

// refuseWaitingLocked refuses all requests that wait for a budget.
func (h *Holder) refuseWaitingLocked(b *localBudget, err error) {
	for _, w := range slices.Clone(b.waiters.waiters) {
		b.waiters.answer(w, Lot{}, Error.Wrap(err))
	}
}

// refuseExhaustedLocked refuses the requests that need more than is left of the whole budget.
func (h *Holder) refuseExhaustedLocked(b *localBudget, unspent int64) {
	for _, w := range slices.Clone(b.waiters.waiters) {
		if w.need > unspent {
			b.waiters.answer(w, Lot{}, Error.Wrap(ErrExhausted))
		}
	}
}

// mayComeBack records that a request found all tokens reserved, and reports whether the holder's open reservations suffice
// for it if nothing of them is used.
func (h *Holder) mayComeBack(now time.Time, w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetLocked(w.budget)
	if w.answered {
		return true
	}
	if b.available() < w.need || b.waiters.head(now) != w {
		b.lastReserved = now
	}
	return b.available()+b.reserved >= w.need
}

// lacksTokens reports whether a request is not answered and the holder has too few tokens for it.
func (h *Holder) lacksTokens(w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !w.answered && h.budgetLocked(w.budget).available() < w.need
}

// isScarce reports whether requests of peers wait for reserved tokens, found none lately, or will soon: less is left to reserve
// than is reserved.
func (b *localBudget) isScarce(now time.Time) bool {
	lately := !b.lastReserved.IsZero() && now.Sub(b.lastReserved) < scarceFor
	return lately || len(b.waiters.waiters) > 0 || b.available()+b.poolFree < b.reserved
}

// recordLotTime adds the time for which a lot was open to the average.
func (b *localBudget) recordLotTime(open time.Duration) {
	open = max(0, min(open, maxLotTime))
	if b.lotTime == 0 {
		b.lotTime = open
		return
	}
	b.lotTime += (open - b.lotTime) / lotTimeDecay
}

func (b *localBudget) reservedError() error { return Error.Wrap(&ReservedError{RetryAfter: b.lotTime}) }

// reservedError returns the refusal of a request for which all tokens are reserved.
func (h *Holder) reservedError(budget string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budgetLocked(budget).reservedError()
}

// WaitingRequests returns how many requests of peers wait for reserved tokens.
func (h *Holder) WaitingRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.budgets {
		n += len(b.waiters.waiters)
	}
	return n
}
