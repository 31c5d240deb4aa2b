package account_test

import (
	"fmt"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against overspending and lost tokens: any order of operations, retries included,
// keeps settled + outstanding + forfeited within the credits.
func TestInvariantUnderAnyOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &account.Account{Team: "pilots"}
		holder := rapid.SampledFrom([]string{"a#1", "b#1", "b#2"})
		amount := rapid.Int64Range(0, 500)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h, n := holder.Draw(t, "holder"), amount.Draw(t, "amount")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				_, _ = a.TopUp(fmt.Sprint(n%7), n)
			case 1:
				require.LessOrEqual(t, a.Grant(h, n), n)
			case 2:
				report(a, h, n)
			case 3:
				_, err := a.Recover(h, n, n/3)
				require.NoError(t, err)
			case 4:
				_, _ = a.Release(fmt.Sprint(n%5), n)
			case 5:
				a.RemoveRow(h)
			}
			require.NoError(t, a.Check())
			require.Equal(t, a.Credit(), a.Settled()+a.Outstanding()+a.Forfeited+a.Free())
		}
	})
}

// report settles up to n more and returns up to n more.
func report(a *account.Account, h string, n int64) {
	r := a.Rows[h]
	if r == nil {
		return
	}
	next := *r
	next.Settled += min(n, r.Balance())
	next.Through += n
	next.Returned += min(n/2, next.Balance())
	_ = a.Report(h, next)
}

// Guards against granting and spending tokens twice: a holder's late report arrives after
// a newer one and would lower what is settled.
func TestLateReportIsRejected(t *testing.T) {
	a := &account.Account{}
	_, err := a.TopUp("x", 100)
	require.NoError(t, err)
	a.Grant("r#1", 100)
	require.NoError(t, a.Report("r#1", account.Row{Settled: 60, Through: 6}))
	require.ErrorIs(t, a.Report("r#1", account.Row{Settled: 40, Through: 9}), account.ErrTotalDecreased)
	require.Error(t, a.Report("r#1", account.Row{Settled: 101, Through: 9}))
}

// Guards against overspending from a page in the store that violates the invariant after
// a fault or a manual edit: it must be rejected when it is read.
func TestInvalidPageIsRejected(t *testing.T) {
	_, err := account.Decode([]byte(`{"accounts":{"b":{"team":"t","credits":{"x":10},"rows":{"r#1":{"g":11}}}}}`))
	require.ErrorIs(t, err, account.ErrInvariantViolated)
	require.ErrorContains(t, err, `"b"`)
}

// Guards against a page that can no longer be written and stops every team on it: budgets
// are created until their page nears the store's limit of a megabyte. New ones must be
// refused while the existing ones still have space.
func TestPageNearStoreLimit(t *testing.T) {
	ctx := t.Context()
	admin := account.AdminClient{Store: memstore.New(), Layout: account.Layout{Prefix: "p/", Pages: 1}}
	id := func(i int) string { return fmt.Sprintf("team/%0200d", i) }
	old := &account.Page{Accounts: map[string]*account.Account{}}
	for i := range 2300 {
		old.Accounts[id(i)] = &account.Account{Team: "team", Credits: map[string]int64{"first": 1000}}
	}
	value, err := old.Encode()
	require.NoError(t, err)
	require.Greater(t, len(value), account.PageFullBytes)
	_, err = admin.Store.CompareAndSwap(ctx, admin.Layout.PageKey(0), 0, value, 0)
	require.NoError(t, err)
	require.ErrorIs(t, admin.Create(ctx, "team/new", "team"), account.ErrPageFull)
	require.NoError(t, admin.Create(ctx, id(7), "team"), "the budget exists already")
	require.NoError(t, admin.TopUp(ctx, id(0), "second", 1000))
	for h := range 33 {
		err := admin.Update(ctx, id(0), func(a *account.Account) error {
			a.Grant(fmt.Sprintf("router-%d#1", h), 10)
			return nil
		})
		require.NoError(t, err)
	}
	item, err := admin.Store.Get(ctx, admin.Layout.PageKey(0))
	require.NoError(t, err)
	require.Less(t, len(item.Value), store.MaxValueBytes)
}
