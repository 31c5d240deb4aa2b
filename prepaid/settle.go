package prepaid

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"golang.org/x/sync/singleflight"
)

// lendsPrefix begins the keys of the lenders' lists of borrowers.
const lendsPrefix = "arbutusmill/lends/"

const (
	// settlePause is the pause between two looks for dead lenders.
	settlePause = time.Second
	// settlePatience is for how long a settlement waits for requests that run on the dead
	// lender's tokens. Most streams end within it; what later ones set aside counts as used.
	settlePatience = 8 * time.Second
	// admitPause is the pause between two tries to name a router for which the store took
	// too long. Its requests do not wait for them: each would wait at each lender.
	admitPause = time.Second
)

// admit makes sure that the store names a borrower before anything is lent to it. All
// routers that are listed are named with the first one: one write instead of one for each.
// The request waits for its own time only; the write goes on, for those that come next.
func (b *Budgets) admit(ctx context.Context, borrower string) error {
	if b.register == nil || b.register.Has(borrower) {
		return nil
	}
	if b.store.lasts() {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	if b.notAdmitted.within(borrower, rememberAsked) {
		b.admitLater(borrower)
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	select {
	case done := <-b.startAdmitting(borrower):
		return done.Err
	case <-ctx.Done():
		b.notAdmitted.note(borrower)
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
}

func (b *Budgets) startAdmitting(borrower string) <-chan singleflight.Result {
	return b.admitting.DoChan(borrower, func() (any, error) { return nil, b.admitListed(borrower) })
}

// admitLater tries again, now and then, for the requests that come next; nobody waits for it.
func (b *Budgets) admitLater(borrower string) {
	if b.notAdmitted.within(borrower, admitPause) {
		return
	}
	b.notAdmitted.note(borrower)
	b.startAdmitting(borrower)
}

// admitListed names the borrower and all routers that are listed.
func (b *Budgets) admitListed(borrower string) error {
	names := []string{borrower}
	for _, m := range b.members.Members() {
		if m.Role == RoleRouter && !b.isDead(m.ID) {
			names = append(names, m.ID)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	err := b.register.Admit(ctx, names...)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, settlement.ErrSealed):
		b.takenForDead(err)
		return grant.Error.Wrap(grant.ErrFenced)
	}
	b.log.Warn().Err(err).Str("borrower", borrower).Msg("borrower_not_admitted")
	return grant.Error.Wrap(grant.ErrUnreachable)
}

// takenForDead ends all lending: others took this life for dead and freed its rest.
func (b *Budgets) takenForDead(err error) {
	b.holder.Fence()
	b.log.Error().Err(err).Msg("taken_for_dead")
}

// admitNew names routers that have just been listed, ahead of need: one that asks for the
// first time while the store is away could not be lent anything.
func (b *Budgets) admitNew(context.Context) {
	if b.register == nil || !b.register.HasBorrowers() || b.store.lasts() {
		return
	}
	for _, m := range b.members.Members() {
		if m.Role == RoleRouter && !b.register.Has(m.ID) && !b.isDead(m.ID) {
			_ = b.admitListed(m.ID) // it is logged there, and tried again
			return                  // all others that are listed were named with it
		}
	}
}

// newSettler is this process's side of settling others.
func (b *Budgets) newSettler() *settlement.Settler {
	return &settlement.Settler{Store: b.pages.Store, Prefix: lendsPrefix, Answers: &b.words, Ended: b.isDead, AskBorrower: b.desk.AskBorrowed,
		AskWitness: b.askWitness}
}

// settleDead settles the rows of dead lenders on the pages of which this process is the home.
func (b *Budgets) settleDead(ctx context.Context) {
	if b.store.lasts() {
		return // members cannot be told from missing ones now
	}
	others := b.holder.OtherHolders()
	b.unsettled.keep(others)
	for _, life := range others {
		if b.isDead(life) && !b.unsettled.has(life) {
			b.settleLife(ctx, life)
		}
	}
}

func (b *Budgets) settleLife(ctx context.Context, life string) {
	patient := b.settling.since(time.Now(), life, true) < settlePatience
	whole := true
	for _, page := range b.holder.Pages() {
		if b.pageRole(page) == grant.RolePrimary {
			whole = b.settlePage(ctx, life, page, patient) && whole
		}
	}
	if !whole {
		return
	}
	b.holder.ForgetRecovered(life)
	b.words.Forget(life)
	b.settling.since(time.Now(), life, false)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := b.newSettler().Forget(ctx, life, PagePrefix); err != nil {
		b.log.Warn().Err(err).Str("lender", life).Msg("list_of_borrowers_not_removed") // it does no harm
	}
}

// settlePage settles one page and reports whether nothing is left to do there.
func (b *Budgets) settlePage(ctx context.Context, life, page string, patient bool) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	done, err := b.newSettler().Settle(ctx, life, page, patient)
	switch {
	case errors.Is(err, settlement.ErrUsagePending):
		return false
	case errors.Is(err, settlement.ErrUsageUnknown):
		b.unsettled.add(life)
		b.words.Forget(life)
		b.log.Warn().Err(err).Str("lender", life).Msg("lender_not_settled")
		return false
	case err != nil:
		b.log.Warn().Err(err).Str("lender", life).Str("page", page).Msg("settlement_failed")
		return false
	}
	b.pages.InvalidatePage(page)
	for budget, freed := range done.Freed {
		b.log.Info().Str("lender", life).Str("budget", budget).Int64("used", done.Used[budget]).Int64("freed", freed).
			Bool("patient", patient).Strs("missing", done.Missing).Msg("lender_settled")
	}
	return true
}
