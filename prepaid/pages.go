package prepaid

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Stop waits for calls of the store in progress until the context ends, and cancels the remaining ones. It is called after the
// periodic tasks have ended.
func (b *Budgets) Stop(ctx context.Context) { b.pages.Stop(ctx) }

// recovering reports whether an outage of the store ended recently.
func (b *Budgets) recovering() bool { return b.storeOutage.endedWithin(recoveryTime) }

// storeDegraded reports whether the store is or recently was slow or unreachable.
func (b *Budgets) storeDegraded() bool {
	return b.pages.SyncOverdue(slowSync) || b.slowSyncs.within(storeName, degradedFor) || b.storeOutage.endedWithin(degradedFor)
}

// prepare applies the operators' limits to the accounts of a page.
func (b *Budgets) prepare(key string, p *account.Page) bool {
	changed := false
	b.limits.Each(func(budget string, version, tokens int64) {
		if b.layout.Key(budget) != key {
			return
		}
		a := p.Accounts[budget]
		if a == nil {
			a = &account.Account{Team: budget}
			p.Accounts[budget] = a
		}
		changed = a.SetPrepaid(version, tokens) || changed
	})
	return changed
}

// Obtain implements grant.Granter with the store, unless the store just failed or a sync is
// overdue. Otherwise a store that stops answering would cost each request its whole wait, at one
// process after the other, before it is refused.
func (b *Budgets) Obtain(ctx context.Context, budget string, shortfall int64) (err error) {
	began := time.Now()
	defer func() { grant.NoteAsked(ctx, storeName, time.Since(began), err) }()
	if b.storeOutage.ongoing() || b.pages.SyncOverdue(b.timeout) {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	defer b.storeRequests.begin(budget)()
	err = b.pages.Obtain(ctx, budget, shortfall)
	if errors.Is(err, grant.ErrInsufficientTokens) {
		// The store is the last source of tokens.
		return grant.Error.Wrap(grant.ErrAllReserved)
	}
	return err
}

// syncEnded records the duration and result of a sync.
func (b *Budgets) syncEnded(took time.Duration, err error) {
	if took >= slowSync {
		b.slowSyncs.record(storeName)
	}
	b.recordOutage(&b.storeOutage, "store", "", err, store.ErrUnknown)
}

// logTransfer logs tokens that this process took or returned.
func (b *Budgets) logTransfer(d grant.Decision, v grant.View) {
	role := b.role(v.Budget)
	b.log.Info().Str("budget", v.Budget).Bool("home", role == grant.RolePrimary || role == grant.RoleRegional).Int64("took", d.Take).Int64("gave", d.Give).
		Int64("free", v.Free).Int64("unspent", v.Unspent).Int64("available", v.Available).Int64("reserved", v.Reserved).
		Int64("waiting", v.Waiting).Int64("largest", v.LargestRecent).Int64("demand_per_s", int64(v.Demand)).Msg("tokens_moved")
}

// exhaustedLogInterval is the shortest time between two log lines about one exhausted budget;
// otherwise each request of its team would write one.
const exhaustedLogInterval = 10 * time.Second

// logExhausted logs that a page has too little left of a budget for a waiting request. Tokens held by
// dead incarnations count as spent: if they would have sufficed, the refusal is due to a failure in
// the fleet and not to the end of the budget.
func (b *Budgets) logExhausted(v grant.View) {
	if b.exhaustedLogged.within(v.Budget, exhaustedLogInterval) {
		return
	}
	b.exhaustedLogged.record(v.Budget)
	b.log.Info().Str("budget", v.Budget).Int64("unspent", v.Unspent).Int64("lost_with_dead", v.HeldByDead).Int64("credit", v.Credit).
		Int64("wanted", v.SmallestWaiting).Bool("would_have_sufficed", v.Unspent+v.HeldByDead >= v.SmallestWaiting).Msg("budget_used_up")
}

// recordOutage records whether the store or a peer answers, and logs when that changes. An err that
// matches outageErr is a failure.
func (b *Budgets) recordOutage(o *outage, kind, name string, err, outageErr error) {
	failed := errors.Is(err, outageErr)
	if !o.record(failed) {
		return
	}
	if failed {
		b.log.Warn().Err(err).Str("of", kind).Str("name", name).Msg("tokens_lost")
		return
	}
	b.log.Info().Str("of", kind).Str("name", name).Msg("tokens_regained")
}

// syncOrProbe syncs the pages that are due, or probes a store that failed.
func (b *Budgets) syncOrProbe(ctx context.Context) {
	switch {
	case !b.storeOutage.ongoing():
		b.syncPages(ctx, b.holder.Due(time.Now()))
	case !b.storeOutage.failedWithin(probeInterval):
		b.probeStore(ctx)
	}
}

// probeStore checks with a cheap read whether a store that failed answers again.
func (b *Budgets) probeStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := b.pages.Store.StaleSnapshot(ctx, PagePrefix+"none")
	b.recordOutage(&b.storeOutage, "store", "", err, store.ErrUnknown)
}

func (b *Budgets) syncPages(ctx context.Context, keys []string) {
	for _, key := range keys {
		if b.storeOutage.ongoing() {
			return // failed calls are billed too
		}
		ctx, cancel := context.WithTimeout(ctx, b.timeout)
		err := b.pages.Sync(ctx, key)
		cancel()
		if err != nil {
			b.holder.Postpone(time.Now(), key)
		}
	}
}

// returnInterval is the pause between two rounds of returning tokens at a planned stop; each round
// writes each page.
const returnInterval = 500 * time.Millisecond

// ReturnTokens returns all tokens that are not reserved, and the rest as it becomes free, until
// nothing is left or the context ends. It is the end of a planned stop: tokens that are still lent
// afterwards count as used, so it waits for the borrowers' requests to end.
func (b *Budgets) ReturnTokens(ctx context.Context) error {
	for {
		if err := b.returnOnce(ctx); err != nil {
			return err
		}
		if b.holder.Empty() {
			return b.removeBorrowerList(ctx)
		}
		if err := backoff.Sleep(ctx, returnInterval); err != nil {
			return err
		}
	}
}

// removeBorrowerList removes the list of this process's borrowers once it has no rows left.
func (b *Budgets) removeBorrowerList(ctx context.Context) error {
	if b.registry == nil {
		return nil
	}
	return b.registry.Remove(ctx)
}

func (b *Budgets) returnOnce(ctx context.Context) error {
	b.endpoint.ReturnLots(ctx, 0)
	b.holder.ReturnAll()
	for _, key := range b.holder.Pages() {
		if err := b.pages.Sync(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
