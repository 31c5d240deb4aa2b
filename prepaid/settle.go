package prepaid

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"golang.org/x/sync/singleflight"
)

// lendsPrefix begins the keys of the lenders' lists of borrowers.
const lendsPrefix = "arbutusmill/lends/"

const (
	// settleInterval is the pause between two checks for dead lenders.
	settleInterval = time.Second
	// settleWait is how long a settlement waits for requests that run on the dead
	// lender's tokens. Most streams end within it; what longer ones reserved counts as used.
	settleWait = 8 * time.Second
	// settlementTime is how long tokens of a dead lender may come free at a process that does not settle it itself.
	settlementTime = settleWait + 2*settleInterval
	// admitInterval is the pause between two attempts to register a router for which the store
	// took too long. The router's requests do not wait for these attempts: each request would
	// wait at each lender.
	admitInterval = time.Second
)

// ensureAdmitted registers a borrower in the store before anything is lent to it. All listed
// routers are registered together with the first one: one write instead of one for each.
// The request waits within its own timeout; the write continues for the following requests.
func (b *Budgets) ensureAdmitted(ctx context.Context, borrower string) error {
	if b.registry == nil || b.registry.Has(borrower) {
		return nil
	}
	if b.storeOutage.ongoing() {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	if b.admissionTimeouts.within(borrower, recentRetention) {
		b.retryAdmission(borrower)
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	select {
	case done := <-b.startAdmission(borrower):
		return done.Err
	case <-ctx.Done():
		b.admissionTimeouts.record(borrower)
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
}

func (b *Budgets) startAdmission(borrower string) <-chan singleflight.Result {
	return b.admissions.DoChan(borrower, func() (any, error) { return nil, b.admitListed(borrower) })
}

// retryAdmission retries at most once per admitInterval, for the following requests; no request
// waits for it.
func (b *Budgets) retryAdmission(borrower string) {
	if b.admissionTimeouts.within(borrower, admitInterval) {
		return
	}
	b.admissionTimeouts.record(borrower)
	b.startAdmission(borrower)
}

// admitListed registers borrowers and all routers that are listed.
func (b *Budgets) admitListed(names ...string) error {
	for _, m := range b.members.Members() {
		if m.Role == RoleRouter && !b.isDead(m.ID) {
			names = append(names, m.ID)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	err := b.registry.Admit(ctx, names...)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, settlement.ErrSealed):
		b.stopPresumedDead(err)
		return grant.Error.Wrap(grant.ErrFenced)
	}
	b.log.Warn().Err(err).Str("borrower", strings.Join(names, ",")).Msg("borrower_not_admitted")
	return grant.Error.Wrap(grant.ErrUnreachable)
}

// stopPresumedDead stops all lending: others presumed this incarnation dead and released its
// unused tokens.
func (b *Budgets) stopPresumedDead(err error) {
	b.holder.Fence()
	b.log.Error().Err(err).Msg("taken_for_dead")
}

// admitNewRouters registers newly listed routers in advance: a router whose first request comes
// while the store is unavailable could not borrow anything.
func (b *Budgets) admitNewRouters(context.Context) {
	if b.registry == nil || !b.registry.HasBorrowers() || b.storeOutage.ongoing() {
		return
	}
	if b.registry.Outdated() {
		_ = b.admitListed() // it logs errors, and the next run retries
		return
	}
	for _, m := range b.members.Members() {
		if m.Role == RoleRouter && !b.registry.Has(m.ID) && !b.isDead(m.ID) {
			_ = b.admitListed(m.ID) // it logs errors, and the next run retries
			return                  // all other listed routers were registered with it
		}
	}
}

// newSettler returns a settler of dead lenders.
func (b *Budgets) newSettler() *settlement.Settler {
	return &settlement.Settler{Store: b.pages.Store, Prefix: lendsPrefix, Answers: &b.answers, Ended: b.hasEnded, AskBorrower: b.endpoint.AskBorrowed,
		AskWitness: b.queryWitness, Routers: b.knownRouters}
}

// isForfeit reports whether what a holder has not used counts as spent: it is dead, and its settlement will free nothing.
func (b *Budgets) isForfeit(holder string) bool {
	dead := b.isDead(holder)
	deadFor := b.deadHolders.heldFor(time.Now(), holder, dead)
	return dead && (b.unsettled.has(holder) || deadFor >= settlementTime && !b.settling.holds(holder))
}

// settleDeadLenders settles the rows of lenders that are dead or have announced their end on the pages of which this process is the primary.
func (b *Budgets) settleDeadLenders(ctx context.Context) {
	if b.storeOutage.ongoing() {
		return // missing members cannot be detected without the store
	}
	others := b.holder.OtherHolders()
	b.unsettled.retain(others)
	b.deadHolders.retain(others)
	for _, lender := range others {
		if b.hasEnded(lender) && !b.unsettled.has(lender) {
			b.settleLender(ctx, lender)
		}
	}
}

func (b *Budgets) settleLender(ctx context.Context, lender string) {
	waitForRunning := b.settling.heldFor(time.Now(), lender, true) < settleWait
	complete := true
	for _, page := range b.settledPages() {
		if b.pageRole(page) == grant.RolePrimary {
			complete = b.settlePage(ctx, lender, page, waitForRunning) && complete
		}
	}
	if !complete {
		return
	}
	b.holder.ForgetRecovered(lender)
	b.answers.Forget(lender)
	b.settling.heldFor(time.Now(), lender, false)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := b.newSettler().Forget(ctx, lender, PagePrefix); err != nil {
		b.log.Warn().Err(err).Str("lender", lender).Msg("list_of_borrowers_not_removed") // a stale list is harmless
	}
}

// settlePage settles one page and reports whether nothing is left to settle there.
func (b *Budgets) settlePage(ctx context.Context, lender, page string, waitForRunning bool) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	done, err := b.newSettler().Settle(ctx, lender, page, waitForRunning)
	switch {
	case errors.Is(err, settlement.ErrUsagePending):
		return false
	case errors.Is(err, settlement.ErrUsageUnknown):
		b.unsettled.add(lender)
		b.answers.Forget(lender)
		b.log.Warn().Err(err).Str("lender", lender).Msg("lender_not_settled")
		return false
	case err != nil:
		b.log.Warn().Err(err).Str("lender", lender).Str("page", page).Msg("settlement_failed")
		return false
	}
	b.pages.InvalidatePage(page)
	for budget, freed := range done.Freed {
		b.log.Info().Str("lender", lender).Str("budget", budget).Int64("used", done.Used[budget]).Int64("freed", freed).
			Bool("patient", waitForRunning).Strs("missing", done.Missing).Msg("lender_settled")
	}
	return true
}

// knownRouters lists the routers that are listed, or were lately or at the restorations of the store after an era.
func (b *Budgets) knownRouters(since store.Era) (out []string) {
	for id, m := range b.reopening.processes(b.members, since) {
		if m.Role == RoleRouter {
			out = append(out, id)
		}
	}
	return out
}
