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

// Wait waits for calls that are on their way, after the duties have ended.
func (b *Budgets) Wait() { b.pages.Wait() }

// recovering reports whether the store came back lately.
func (b *Budgets) recovering() bool { return b.store.endedWithin(recoveryTime) }

// wary reports whether the store was slow or silent lately, or is so now.
func (b *Budgets) wary() bool {
	return b.pages.SyncOverdue(slowSync) || b.slow.within(storeName, waryFor) || b.store.endedWithin(waryFor)
}

// prepare brings the accounts of a page up to the operators' limits.
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

// Obtain implements grant.Granter: the store, unless it just failed or is late for others. A
// store that has fallen silent would else cost each request its whole wait, at one process
// after the other, before it is refused.
func (b *Budgets) Obtain(ctx context.Context, budget string, lack int64) (err error) {
	began := time.Now()
	defer func() { grant.NoteAsked(ctx, storeName, time.Since(began), err) }()
	if b.store.lasts() || b.pages.SyncOverdue(b.timeout) {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	defer b.asking.begin(budget)()
	err = b.pages.Obtain(ctx, budget, lack)
	if errors.Is(err, grant.ErrInsufficientTokens) {
		// This was the last place where there could be some.
		return grant.Error.Wrap(grant.ErrAllReserved)
	}
	return err
}

// callEnded hears how the calls of a sync ended.
func (b *Budgets) callEnded(took time.Duration, err error) {
	if took >= slowSync {
		b.slow.note(storeName)
	}
	b.noteOutage(&b.store, "store", "", err, store.ErrUnknown)
}

// moved logs tokens that this process took or gave back.
func (b *Budgets) moved(d grant.Decision, v grant.View) {
	b.log.Info().Str("budget", v.Budget).Bool("home", b.role(v.Budget) == grant.RolePrimary).Int64("took", d.Take).Int64("gave", d.Give).
		Int64("free", v.Free).Int64("unspent", v.Unspent).Int64("available", v.Available).Int64("reserved", v.Reserved).
		Int64("waiting", v.Waiting).Int64("largest", v.LargestRecent).Int64("demand_per_s", int64(v.Demand)).Msg("tokens_moved")
}

// usedUpPause is the pause between two lines about one budget that is used up: each request of its
// team would else write one.
const usedUpPause = 10 * time.Second

// usedUp logs that a page has too little left of a budget for a request that waits. Tokens of lives
// that died with them count as spent: where they would have sufficed, the refusal is the fleet's
// fault and not the end of the budget.
func (b *Budgets) usedUp(v grant.View) {
	if b.saidUsedUp.within(v.Budget, usedUpPause) {
		return
	}
	b.saidUsedUp.note(v.Budget)
	b.log.Info().Str("budget", v.Budget).Int64("unspent", v.Unspent).Int64("lost_with_dead", v.HeldByDead).Int64("credit", v.Credit).
		Int64("wanted", v.SmallestWaiting).Bool("would_have_sufficed", v.Unspent+v.HeldByDead >= v.SmallestWaiting).Msg("budget_used_up")
}

// noteOutage keeps whether the store or a peer answers, and logs when that changes.
func (b *Budgets) noteOutage(o *outage, what, name string, err, sign error) {
	failed := errors.Is(err, sign)
	if !o.note(failed) {
		return
	}
	if failed {
		b.log.Warn().Err(err).Str("of", what).Str("name", name).Msg("tokens_lost")
		return
	}
	b.log.Info().Str("of", what).Str("name", name).Msg("tokens_regained")
}

// step keeps the pages in step, or looks whether a store that failed is back.
func (b *Budgets) step(ctx context.Context) {
	switch {
	case !b.store.lasts():
		b.sync(ctx, b.holder.Due(time.Now()))
	case !b.store.within(probePause):
		b.probe(ctx)
	}
}

// probe asks a store that failed whether it answers again, by a cheap read.
func (b *Budgets) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := b.pages.Store.StaleSnapshot(ctx, PagePrefix+"none")
	b.noteOutage(&b.store, "store", "", err, store.ErrUnknown)
}

func (b *Budgets) sync(ctx context.Context, keys []string) {
	for _, key := range keys {
		if b.store.lasts() {
			return // calls are paid for, also those that fail
		}
		ctx, cancel := context.WithTimeout(ctx, b.timeout)
		err := b.pages.Sync(ctx, key)
		cancel()
		if err != nil {
			b.holder.Postpone(time.Now(), key)
		}
	}
}

// drainPause is the pause between two rounds of giving back at a planned stop; each is a
// write for each page.
const drainPause = 500 * time.Millisecond

// GiveBack returns everything that is not reserved, and the rest as it becomes free, until
// nothing is left or the context ends. It is the end of a planned stop: what others have
// borrowed at its end counts as used, so it waits for their requests to end.
func (b *Budgets) GiveBack(ctx context.Context) error {
	for {
		if err := b.giveBackOnce(ctx); err != nil {
			return err
		}
		if b.holder.Empty() {
			return b.forgetBorrowers(ctx)
		}
		if err := backoff.Sleep(ctx, drainPause); err != nil {
			return err
		}
	}
}

// forgetBorrowers removes the list of those that this process lent to: it has no rows left.
func (b *Budgets) forgetBorrowers(ctx context.Context) error {
	if b.register == nil {
		return nil
	}
	return b.register.Remove(ctx)
}

func (b *Budgets) giveBackOnce(ctx context.Context) error {
	b.desk.ReturnLots(ctx, 0)
	b.holder.ReturnAll()
	for _, key := range b.holder.Pages() {
		if err := b.pages.Sync(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
