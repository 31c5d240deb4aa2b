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

// fixture is a lender that holds a budget's 100 tokens, and its borrowers.
type fixture struct {
	t         *testing.T
	store     *memstore.Store
	lender    *grant.Holder
	pages     *grant.StoreGranter
	registry  *settlement.BorrowerRegistry
	borrowers map[string]*grant.Holder
	ended     map[string]bool
	settler   *settlement.Settler
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: memstore.New(), borrowers: map[string]*grant.Holder{}, ended: map[string]bool{}}
	layout := account.Layout{Prefix: "p/", Pages: 1}
	f.lender = grant.NewHolder("lender/1", layout, grant.HorizonPolicy{Horizon: time.Second, LargestRequests: 1, Share: 1})
	f.lender.UseMinimalRows(func(string) bool { return false })
	f.pages = &grant.StoreGranter{Holder: f.lender, Store: f.store, Layout: layout, Timeout: time.Second, Now: time.Now,
		Prepare: func(_ string, p *account.Page) bool {
			if p.Accounts[budget] != nil {
				return false
			}
			p.Accounts[budget] = &account.Account{Team: budget}
			return p.Accounts[budget].SetPrepaid(1, 100)
		}}
	f.registry = &settlement.BorrowerRegistry{Store: f.store, Key: prefix + "lender/1"}
	f.settler = &settlement.Settler{Store: f.store, Prefix: prefix, Answers: &settlement.AnswerCache{}, Ended: func(b string) bool { return f.ended[b] },
		AskBorrower: func(_ context.Context, borrower, lender string) (grant.Borrowed, error) {
			if f.borrowers[borrower] == nil {
				return grant.Borrowed{}, errors.New("no answer")
			}
			return f.borrowers[borrower].BorrowedFrom(lender), nil
		}}
	return f
}

// borrow lends n of the lender's tokens to a router.
func (f *fixture) borrow(router string, n int64) error {
	if err := f.registry.Admit(f.t.Context(), router); err != nil {
		return err
	}
	own := &grant.Acquirer{Holder: f.lender, Now: time.Now, Chain: []grant.Granter{f.pages}}
	l, err := own.Lend(f.t.Context(), budget, router, router, n, 0)
	require.NoError(f.t, err)
	if f.borrowers[router] == nil {
		f.borrowers[router] = grant.NewHolder(router, account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	}
	f.borrowers[router].Borrow(time.Now(), budget, l)
	return nil
}

// Guards against losing a tenth of what a team paid when the lender that holds it dies. Its borrowers
// are alive and report their usage: one closed its lot but could not return it, the other used
// nothing. All unused tokens become free again.
func TestUnusedTokensAreFreed(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	require.NoError(t, f.borrow("router/2", 30))
	r, err := f.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	f.borrowers["router/1"].Settle(time.Now(), r, 25)
	f.borrowers["router/1"].CloseLots(time.Now())
	done, err := f.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 25, done.Used[budget])
	item, err := f.store.Get(t.Context(), page)
	require.NoError(t, err)
	p, err := account.Decode(item.Value)
	require.NoError(t, err)
	require.EqualValues(t, 75, p.Accounts[budget].Free())
	done, err = f.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.Empty(t, done.Freed, "a second settlement frees nothing")
}

// Guards against freeing tokens that a running request on a dead lender's lot may still use. The
// settlement waits for the request or counts its whole reservation.
func TestRunningRequestsCountInFull(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	_, err := f.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	_, err = f.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	done, err := f.settler.Settle(t.Context(), "lender/1", page, false)
	require.NoError(t, err)
	require.EqualValues(t, 40, done.Used[budget])
}

// Guards against overspending when a paused lender is presumed dead: its unused tokens are freed and
// granted to others, and it resumes with stale state. Neither a router that has reported its usage
// nor one that has just started may spend its tokens.
func TestPausedLenderPresumedDead(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	require.NoError(t, f.pages.Sync(t.Context(), page)) // it is granted more ahead of demand
	_, err := f.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.ErrorIs(t, f.borrow("router/2", 10), settlement.ErrSealed)
	l, err := f.lender.Lend(time.Now(), budget, "again", "router/1", 10, 0)
	require.NoError(t, err, "its state is still stale")
	f.borrowers["router/1"].Borrow(time.Now(), budget, l)
	_, err = f.borrowers["router/1"].Reserve(time.Now(), budget, 10)
	require.ErrorIs(t, err, grant.ErrInsufficientTokens)
	require.ErrorIs(t, f.pages.Sync(t.Context(), page), grant.ErrFenced)
}

// Guards against losing all that a dead lender held, up to a tenth of what a team paid (event
// lender_not_settled, "borrower usage is permanently unknown"). One of two borrowers is unreachable
// for some seconds; the other reports its usage and dies before the first is back. Its report is
// kept, since a borrower accepts nothing more from the lender after it; querying all again at each
// attempt would find it missing.
func TestReportOutlivesBorrower(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	require.NoError(t, f.borrow("router/2", 30))
	r, err := f.borrowers["router/2"].Reserve(time.Now(), budget, 20)
	require.NoError(t, err)
	first := f.borrowers["router/1"]
	delete(f.borrowers, "router/1")
	_, err = f.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	f.borrowers["router/2"].Settle(time.Now(), r, 5)
	delete(f.borrowers, "router/2")
	f.ended["router/2"] = true
	f.borrowers["router/1"] = first
	done, err := f.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 20, done.Used[budget], "its reservation at the time of its last report")
}

// Guards against losing a borrower's report when it restarts: it reports while one of its requests
// runs, and its next incarnation answers at the same address without data. The earlier report stays.
func TestReportSurvivesBorrowerRestart(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	_, err := f.borrowers["router/1"].Reserve(time.Now(), budget, 40)
	require.NoError(t, err)
	_, err = f.settler.Settle(t.Context(), "lender/1", page, true)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	f.settler.AskBorrower = func(context.Context, string, string) (grant.Borrowed, error) { return grant.Borrowed{}, nil }
	f.ended["router/1"] = true
	done, err := f.settler.Settle(t.Context(), "lender/1", page, true)
	require.NoError(t, err)
	require.EqualValues(t, 40, done.Used[budget])
}

// Guards against freeing tokens whose usage is unknown: one of two borrowers does not answer and is
// then found to have ended, or the lender has no list.
func TestMissingReport(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.borrow("router/1", 40))
	require.NoError(t, f.borrow("router/2", 40))
	delete(f.borrowers, "router/2")
	_, err := f.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	f.ended["router/2"] = true
	_, err = f.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsageUnknown)
	require.NoError(t, f.registry.Remove(t.Context()))
	_, err = f.settler.Settle(t.Context(), "lender/1", page, false)
	require.ErrorIs(t, err, settlement.ErrUsageUnknown)
}
