package settlement_test

import (
	"context"
	"sync"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
)

// Guards against a lender that lends to borrowers whose names a restored store lacks: nobody would ask them what they
// used.
func TestBorrowersAreStoredAgainAfterARestoration(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	r := settlement.BorrowerRegistry{Store: s, Key: "lends/l", Era: s.Era}
	require.NoError(t, r.Admit(ctx, "a"))
	e := &settlement.Exposure{Holder: grant.NewHolder("l", account.Layout{Prefix: "p/", Pages: 1}, grant.RequestPolicy{}), Registry: &r}
	require.NoError(t, e.Appoint(ctx, "w1"))
	older := s.Copy()
	require.NoError(t, r.Admit(ctx, "b"))
	require.NoError(t, e.Appoint(ctx, "w2"))
	require.NoError(t, e.Appoint(ctx, "w3"))
	s.Restore(older)
	require.True(t, r.Outdated())
	require.False(t, r.Has("a"))
	require.NoError(t, r.Admit(ctx))
	require.False(t, r.Outdated())
	require.True(t, r.Has("a", "b"))
	item, err := s.Get(ctx, "lends/l")
	require.NoError(t, err)
	require.JSONEq(t, `{"borrowers":["a","b"],"witnesses":["w3"],"term":3,"era":1}`, string(item.Value))
}

// Guards against a dead lender's row that is settled on a page that may lack what the lender was granted.
func TestRowsOfAClosedPageAreNotSettled(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	r := settlement.BorrowerRegistry{Store: s, Key: "lends/l"}
	require.NoError(t, r.Admit(ctx, "a"))
	page := &account.Page{Accounts: map[string]*account.Account{"b": {Prepaid: 1000, Rows: map[string]*account.Row{"l": {Granted: 300}}}}}
	write := func(expect store.Revision) store.Revision {
		value, err := page.Encode()
		require.NoError(t, err)
		revision, err := s.CompareAndSwap(ctx, "p/00000", expect, value, 0)
		require.NoError(t, err)
		return revision
	}
	write(0)
	s.Restore(s.Copy())
	var mu sync.Mutex
	asked := map[string]int{}
	settler := settlement.Settler{Store: s, Prefix: "lends/", Answers: &settlement.AnswerCache{}, Ended: func(string) bool { return false },
		Routers: func(store.Era) []string { return []string{"a", "c"} },
		AskBorrower: func(_ context.Context, borrower, _ string) (grant.Borrowed, error) {
			mu.Lock()
			defer mu.Unlock()
			asked[borrower]++
			return grant.Borrowed{Known: true, Used: map[string]int64{"b": 100}}, nil
		}}
	_, err := settler.Settle(ctx, "l", "p/00000", false)
	require.ErrorIs(t, err, settlement.ErrUsagePending)
	require.Equal(t, map[string]int{"a": 1, "c": 1}, asked, "a list from before the restoration may lack borrowers")
	item, err := s.Get(ctx, "p/00000")
	require.NoError(t, err)
	page.Era = s.Era()
	write(item.Revision)
	done, err := settler.Settle(ctx, "l", "p/00000", false)
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"b": 200}, done.Used)
}
