package settlement_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
)

const (
	prefix = "lends/"
	page   = "p/00000"
	budget = "team"
)

// world is a lender with a hundred tokens, all of a budget, and its borrowers.
type world struct {
	t         *testing.T
	store     *memstore.Store
	lender    *grant.Holder
	pages     *grant.StoreGranter
	register  *settlement.BorrowerRegistry
	borrowers map[string]*grant.Holder
	over      map[string]bool
	settler   *settlement.Settler
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: memstore.New(), borrowers: map[string]*grant.Holder{}, over: map[string]bool{}}
	layout := account.Layout{Prefix: "p/", Pages: 1}
	w.lender = grant.NewHolder("lender/1", layout, grant.HorizonPolicy{Horizon: time.Second, LargestRequests: 1, Share: 1})
	w.lender.UseMinimalRows(func(string) bool { return false })
	w.pages = &grant.StoreGranter{Holder: w.lender, Store: w.store, Layout: layout, Timeout: time.Second, Now: time.Now,
		Prepare: func(_ string, p *account.Page) bool {
			if p.Accounts[budget] != nil {
				return false
			}
			p.Accounts[budget] = &account.Account{Team: budget}
			return p.Accounts[budget].SetPrepaid(1, 100)
		}}
	w.register = &settlement.BorrowerRegistry{Store: w.store, Key: prefix + "lender/1"}
	w.settler = &settlement.Settler{Store: w.store, Prefix: prefix, Answers: &settlement.AnswerCache{}, Ended: func(b string) bool { return w.over[b] },
		AskBorrower: func(_ context.Context, borrower, lender string) (grant.Borrowed, error) {
			if w.borrowers[borrower] == nil {
				return grant.Borrowed{}, errors.New("no answer")
			}
			return w.borrowers[borrower].BorrowedFrom(lender), nil
		}}
	return w
}

// borrow lends n tokens of the lender's to a router.
func (w *world) borrow(router string, n int64) error {
	if err := w.register.Admit(w.t.Context(), router); err != nil {
		return err
	}
	own := &grant.Acquirer{Holder: w.lender, Now: time.Now, Chain: []grant.Granter{w.pages}}
	l, err := own.Lend(w.t.Context(), budget, router, router, n, 0)
	require.NoError(w.t, err)
	if w.borrowers[router] == nil {
		w.borrowers[router] = grant.NewHolder(router, account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	}
	w.borrowers[router].Borrow(time.Now(), budget, l)
	return nil
}

// The VM of a lender is gone, with the tokens of a team. Its routers live and know what they
// used: one has given its lot back to nobody, the other never used its own. All the rest can
// be spent again; before, a tenth of what the team had paid was lost.
func TestRestIsFreed(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	require.NoError(t, w.borrow("router/2", 30))
	r, err := w.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	w.borrowers["router/1"].Settle(time.Now(), r, 25)
	w.borrowers["router/1"].CloseLots(time.Now())
	done, err := w.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 25, done.Used[budget])
	item, err := w.store.Get(t.Context(), page)
	require.NoError(t, err)
	p, err := account.Decode(item.Value)
	require.NoError(t, err)
	require.EqualValues(t, 75, p.Accounts[budget].Free())
	done, err = w.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.Empty(t, done.Freed, "once is enough")
}

// A request still runs on a lot of the dead lender. The settlement waits for it, or counts
// all that it set aside: it may yet use that.
func TestRunningRequestsCountInFull(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	_, err := w.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	_, err = w.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	done, err := w.settler.Settle(t.Context(), "lender/1", page, false)
	require.NoError(t, err)
	require.EqualValues(t, 40, done.Used[budget])
}

// A lender was paused and is taken for dead. Its rest is freed, and granted to others. When it
// wakes it still believes that it has tokens: nobody takes them, neither the router that has
// given its word nor one that has just started.
func TestLenderThatOnlySeemedDead(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	require.NoError(t, w.pages.Sync(t.Context(), page)) // it takes some more ahead of need
	_, err := w.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.ErrorIs(t, w.borrow("router/2", 10), settlement.ErrSealed)
	l, err := w.lender.Lend(time.Now(), budget, "again", "router/1", 10, 0)
	require.NoError(t, err, "it does not know yet")
	w.borrowers["router/1"].Borrow(time.Now(), budget, l)
	_, err = w.borrowers["router/1"].Reserve(time.Now(), budget, 10)
	require.ErrorIs(t, err, grant.ErrInsufficientTokens)
	require.ErrorIs(t, w.pages.Sync(t.Context(), page), grant.ErrFenced)
}

// A lender dies. One of its two borrowers cannot be reached for some seconds; the other one tells
// what it used, and dies before the first is back. Its word is kept: it had taken nothing more since
// it gave it. Asked anew each time, all that the lender held counted as used, up to a tenth of what a
// team had paid (lender_not_settled, "a borrower's word is missing for good").
func TestWordOutlivesItsBorrower(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	require.NoError(t, w.borrow("router/2", 30))
	r, err := w.borrowers["router/2"].Reserve(time.Now(), budget, 20)
	require.NoError(t, err)
	first := w.borrowers["router/1"]
	delete(w.borrowers, "router/1")
	_, err = w.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	w.borrowers["router/2"].Settle(time.Now(), r, 5)
	delete(w.borrowers, "router/2")
	w.over["router/2"] = true
	w.borrowers["router/1"] = first
	done, err := w.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 20, done.Used[budget], "what it had set aside when it was heard last")
}

// A borrower tells what it used while a request of it still runs, and starts again before that ended.
// The new life is asked at the old address and knows of nothing. The word of the life before stands.
func TestNextLifeOfABorrowerKnowsNothing(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	_, err := w.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	_, err = w.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	w.settler.AskBorrower = func(context.Context, string, string) (grant.Borrowed, error) { return grant.Borrowed{}, nil }
	w.over["router/1"] = true
	done, err := w.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 40, done.Used[budget])
}

// One of two borrowers does not answer, then is known to be gone; or the lender has no list.
// Nothing is freed: what nobody can tell counts as used.
func TestMissingWord(t *testing.T) {
	w := newWorld(t)
	require.NoError(t, w.borrow("router/1", 40))
	require.NoError(t, w.borrow("router/2", 40))
	delete(w.borrowers, "router/2")
	_, err := w.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	w.over["router/2"] = true
	_, err = w.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsageUnknown)
	require.NoError(t, w.register.Remove(t.Context()))
	_, err = w.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsageUnknown)
}
