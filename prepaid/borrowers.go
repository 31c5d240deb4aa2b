package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
)

// A router that has ended returns none of its lots. Upstreams may have run the requests that it had sent on them, and nobody else has a
// record of these, so the lots count as used in full: as soon as the router has certainly ended, since their tokens look reserved until
// then, and callers are told to come again for them.

// settlementReason says why a borrower's lots are settled without its report. Its values are those of logs and metrics.
type settlementReason string

const (
	// borrowerAnnounced is the reason if the borrower has announced its end.
	borrowerAnnounced settlementReason = "announced"
	// borrowerReplaced is the reason if its VM has a newer incarnation.
	borrowerReplaced settlementReason = "replaced"
	// borrowerAbsent is the reason if it has been unlisted for absenceTimeout. It may be cut off, and still run.
	borrowerAbsent settlementReason = "absent"
)

// settleBorrowers settles the lots of borrowers that will not return them.
func (b *Budgets) settleBorrowers(ctx context.Context) {
	b.absent.drop(b.isListed) // also of members that nothing else asks for
	concurrently(maps.Keys(b.holder.LentLots()), func(borrower string) {
		if reason := b.endOf(ctx, borrower); reason != "" {
			b.settleLots(time.Now(), borrower, reason)
		}
	})
}

func (b *Budgets) isListed(incarnation string) bool {
	_, listed := b.members.Get(incarnation)
	return listed
}

// endOf returns why a borrower's lots are settled, "" if they are not.
func (b *Budgets) endOf(ctx context.Context, borrower string) settlementReason {
	switch {
	case b.endedLately.within(borrower, recentRetention):
		return borrowerAnnounced
	case b.members.HasSuccessor(borrower) && !b.isRunning(ctx, borrower):
		return borrowerReplaced
	case b.storeOutage.ongoing():
		// missing members cannot be detected without the store
	case b.absent.heldFor(time.Now(), borrower, !b.isListed(borrower)) >= absenceTimeout:
		return borrowerAbsent
	}
	return ""
}

// withSettlementTime adds to a refusal when tokens of members that are gone will be settled, if all that is reserved is theirs. Running
// members may return tokens at any time.
func (b *Budgets) withSettlementTime(budget string, err error) error {
	if !errors.Is(err, grant.ErrAllReserved) {
		return err
	}
	borrowers, holders := b.holder.ReservedBy(budget)
	due := time.Duration(math.MaxInt64)
	for _, borrower := range borrowers {
		if due = min(due, b.borrowerSettledIn(borrower)); due <= 0 {
			return err
		}
	}
	for _, holder := range holders {
		if due = min(due, b.lenderSettledIn(holder)); due <= 0 {
			return err
		}
	}
	if due == math.MaxInt64 {
		return err
	}
	return grant.Error.Wrap(&grant.ReservedError{RetryAfter: due})
}

// borrowerSettledIn returns the time until the lots of a borrower are settled, 0 if it is listed and has not ended.
func (b *Budgets) borrowerSettledIn(borrower string) time.Duration {
	if b.endedLately.within(borrower, recentRetention) || b.members.HasSuccessor(borrower) {
		return settleInterval
	}
	return b.absenceLeft(borrower)
}

// lenderSettledIn returns the time until the rows of a lender are settled, 0 if it is listed and has not ended. One that cannot be
// settled is not waited for.
func (b *Budgets) lenderSettledIn(lender string) time.Duration {
	switch {
	case b.unsettled.has(lender):
		return math.MaxInt64
	case b.hasEnded(lender):
		return max(settleInterval, settleWait-b.settling.elapsed(time.Now(), lender))
	}
	return b.absenceLeft(lender)
}

// absenceLeft returns the rest of absenceTimeout of a member that is not listed, 0 if it is listed.
func (b *Budgets) absenceLeft(incarnation string) time.Duration {
	if b.isListed(incarnation) {
		return 0
	}
	return max(settleInterval, absenceTimeout-b.absent.elapsed(time.Now(), incarnation))
}

// isRunning reports whether an incarnation answers. One that the list shows as replaced may run if an entry of an earlier one was
// written late, or the store was restored.
func (b *Budgets) isRunning(ctx context.Context, incarnation string) bool {
	address, known := b.addressOf(incarnation)
	if !known {
		return false
	}
	reply, err := b.endpoint.AskConfirmation(ctx, address, link.ConfirmRequest{Holder: incarnation, Era: b.era(), Since: store.MaxEra})
	if err != nil || !reply.Known {
		return false
	}
	b.log.Warn().Str("member", incarnation).Msg("replaced_member_answers")
	return true
}

func (b *Budgets) settleLots(now time.Time, borrower string, reason settlementReason) {
	for _, lost := range b.holder.SettleLots(borrower) {
		b.countSettled(lost, reason)
		b.log.Warn().Str("borrower", borrower).Str("why", string(reason)).Str("budget", lost.Budget).Int("lots", lost.Lots).
			Int64("reserved", lost.Tokens).Int64("used", lost.Tokens).Int64("returned", 0).Int64("oldest_ms", now.Sub(lost.Oldest).Milliseconds()).
			Msg("lots_of_gone_member_counted_as_used")
	}
}

func (b *Budgets) countSettled(lost grant.LostLots, reason settlementReason) {
	b.metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_budget_settled_lots_total{why=%q}", reason)).Add(lost.Lots)
	b.metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_budget_settled_tokens_total{why=%q}", reason)).AddInt64(lost.Tokens)
}
