package prepaid

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
)

const (
	// maxTokenWait bounds how long a request waits at a lender for reserved tokens.
	maxTokenWait = 300 * time.Millisecond
	// goalsPerWait bounds the same wait by a share of the route's goal: the rest is for the answer.
	goalsPerWait = 4
	// scarceReturnDelay collects the lots of scarce budgets that go back in one message to each lender.
	scarceReturnDelay = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait for reservations that end.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// urgency returns how a request waits for reserved tokens: not longer than a share of its route's goal and of the time that its
// caller still waits. The rank is the route's: a team's own rank is the same for all requests of its budget.
func urgency(now time.Time, r *serving.Request) grant.Urgency {
	wait := maxTokenWait
	if r.Route.Goal > 0 {
		wait = min(wait, r.Route.Goal/goalsPerWait)
	}
	if !r.Deadline.IsZero() {
		wait = min(wait, r.Deadline.Sub(now)/goalsPerWait)
	}
	return grant.Urgency{Rank: r.Route.Rank, Wait: max(0, wait)}
}

// startQueueing starts the return of scarce lots.
func (b *Budgets) startQueueing(tasks *process.TaskGroup) {
	if b.queueing {
		tasks.Go(b.returnScarceLots)
	}
}

// returnScarceLots returns the unused rest of scarce budgets' lots shortly after requests have ended: requests at other routers
// wait for it.
func (b *Budgets) returnScarceLots(ctx context.Context) {
	for {
		select {
		case <-b.scarceLots:
		case <-ctx.Done():
			return
		}
		if backoff.Sleep(ctx, scarceReturnDelay) != nil {
			return
		}
		b.endpoint.ReturnScarceLots(ctx)
	}
}

// requestEnded makes returnScarceLots run if the budget of a request that has ended is scarce.
func (b *Budgets) requestEnded(budget string) {
	if !b.queueing || !b.holder.Scarce(budget) {
		return
	}
	select {
	case b.scarceLots <- struct{}{}:
	default: // a run is due
	}
}

// recordWait counts a request that waited here for reserved tokens, and logs the refused ones.
func (b *Budgets) recordWait(w grant.WaitEnd) {
	w.Err = b.withSettlementTime(w.Budget, w.Err)
	result := waitResult(w)
	b.metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_budget_waits_total{result=%q}", result)).Inc()
	b.metrics.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_budget_wait_seconds{result=%q}", result)).Update(w.Waited.Seconds())
	if result != "refused" || w.Bound == 0 {
		return
	}
	b.log.Info().Err(w.Err).Str("budget", w.Budget).Str("borrower", w.Borrower).Int("rank", w.Rank).Int64("need", w.Need).
		Int64("waited_ms", w.Waited.Milliseconds()).Int64("bound_ms", w.Bound.Milliseconds()).Int("waiting", b.holder.WaitingRequests()).
		Int64("retry_after_ms", grant.RetryAfter(w.Err).Milliseconds()).Msg("refused_after_wait")
}

func waitResult(w grant.WaitEnd) string {
	switch {
	case w.CallerGone:
		return "caller_gone"
	case w.Err == nil:
		return "lent"
	case errors.Is(w.Err, grant.ErrExhausted):
		return "exhausted"
	}
	return "refused"
}
