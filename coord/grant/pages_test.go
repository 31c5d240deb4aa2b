package grant_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// storeHolder is a holder that takes grants of one budget from a store.
type storeHolder struct {
	store *memstore.Store
	pages *grant.StoreGranter
	// usingStore is the result of HorizonPolicy.UsingStore; borrows selects the borrower role.
	usingStore, borrows bool
}

func newStoreHolder(t *testing.T, credit int64) *storeHolder {
	h := &storeHolder{store: memstore.New()}
	layout := account.Layout{Prefix: "p/", Pages: 1}
	role := func(string) grant.Role {
		if h.borrows {
			return grant.RoleBorrower
		}
		return grant.RolePrimary
	}
	holder := grant.NewHolder("home/1", layout, grant.HorizonPolicy{Horizon: time.Second, LargestRequests: 1, Share: 1, Slack: 0.25,
		Role: role, UsingStore: func(string) bool { return h.usingStore }})
	holder.UseMinimalRows(func(string) bool { return false })
	h.pages = &grant.StoreGranter{Holder: holder, Store: h.store, Layout: layout, Timeout: 400 * time.Millisecond,
		PageCacheTTL: 10 * time.Second, MaxFreshAge: 500 * time.Millisecond, Now: time.Now,
		Timing: grant.Timing{Rebalance: time.Second, Report: time.Second, RemoveIdleAfter: time.Hour, ExhaustedBackoff: time.Millisecond, LowBackoff: time.Second},
		Prepare: func(_ string, p *account.Page) bool {
			if p.Accounts["team"] != nil {
				return false
			}
			p.Accounts["team"] = &account.Account{Team: "team"}
			return p.Accounts["team"].SetPrepaid(1, credit)
		}}
	return h
}

func (h *storeHolder) acquirer() *grant.Acquirer {
	return &grant.Acquirer{Holder: h.pages.Holder, Now: time.Now, Chain: []grant.Granter{h.pages}}
}

// Guards against a store read per refused request when a team's budget is nearly used up and its
// callers keep sending requests. The store's rate limit and cost are shared by the fleet.
func TestReadsNearTheEndOfABudgetAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100)
		a := h.acquirer()
		_, err := a.Acquire(t.Context(), "team", 90)
		require.NoError(t, err)
		before := h.store.Calls().Reads
		for range 100 {
			_, err := a.Acquire(t.Context(), "team", 50)
			require.Error(t, err)
			time.Sleep(20 * time.Millisecond)
		}
		reads := h.store.Calls().Reads - before
		require.LessOrEqual(t, reads, int64(5), "in two seconds")
		require.GreaterOrEqual(t, reads, int64(3), "what other holders give back must be found")
	})
}

// Guards against a sync of a slow store that ends with the short deadline of the request that
// started it: all requests that wait for it would be refused, and the store would count as
// unreachable.
func TestSyncHasItsOwnTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100)
		var ended []error
		h.pages.OnSyncEnd = func(_ time.Duration, err error) { ended = append(ended, err) }
		h.store.SetFaults(memstore.Faults{Delay: 50 * time.Millisecond})
		a := h.acquirer()
		go func() {
			shortCtx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			_, err := a.Acquire(shortCtx, "team", 10)
			require.ErrorIs(t, err, grant.ErrUnreachable)
		}()
		time.Sleep(5 * time.Millisecond)
		_, err := a.Acquire(t.Context(), "team", 20)
		require.NoError(t, err)
		h.pages.Wait()
		for _, err := range ended {
			require.NoError(t, err)
		}
	})
}

// Guards against a process that ends late because a sync of a silent store is in flight, or begins, when it stops.
func TestStopCancelsSyncs(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100)
		h.store.SetFaults(memstore.Faults{Delay: time.Hour})
		key := h.pages.Layout.Key("team")
		go func() { require.Error(t, h.pages.Sync(t.Context(), key)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		h.pages.Stop(ctx)
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		require.Error(t, h.pages.Sync(t.Context(), key))
		require.Equal(t, 100*time.Millisecond, time.Since(began))
	})
}

// Guards against a router that keeps its row, and takes more tokens from the store, after it
// reaches a lender again.
func TestBorrowerRemovesItsRow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100)
		h.borrows, h.usingStore = true, true
		r, err := h.acquirer().Acquire(t.Context(), "team", 10)
		require.NoError(t, err)
		h.usingStore = false
		row := func() *account.Row {
			item, err := h.store.Get(t.Context(), "p/00000")
			require.NoError(t, err)
			p, err := account.Decode(item.Value)
			require.NoError(t, err)
			return p.Accounts["team"].Rows["home/1"]
		}
		require.NotNil(t, row())
		h.pages.Holder.Settle(time.Now(), r, 7)
		time.Sleep(2 * time.Second)
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		require.Nil(t, row())
		_, err = h.acquirer().Acquire(t.Context(), "team", 10)
		require.Error(t, err, "its requests must wait for lenders")
		h.usingStore = true
		_, err = h.acquirer().Acquire(t.Context(), "team", 93)
		require.NoError(t, err, "only seven tokens were used")
	})
}

// contendedGranter is a Granter that lets other requests take all obtained tokens in the first
// calls.
type contendedGranter struct {
	*storeHolder
	times int
}

// Obtain implements grant.Granter.
func (g *contendedGranter) Obtain(ctx context.Context, budget string, shortfall int64) error {
	err := g.pages.Obtain(ctx, budget, shortfall)
	if g.times--; g.times < 0 {
		return err
	}
	for {
		if _, reserveErr := g.pages.Holder.Reserve(time.Now(), budget, 1); reserveErr != nil {
			return err
		}
	}
}

// Guards against refusing a request because later requests took the tokens obtained for it. The
// budget is nearly unused, so the tokens must be fetched again.
func TestTokensTakenMeanwhileAreFetchedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, lend := range []bool{false, true} {
			h := newStoreHolder(t, 100_000)
			a := &grant.Acquirer{Holder: h.pages.Holder, Now: time.Now, Chain: []grant.Granter{&contendedGranter{storeHolder: h, times: 2}}}
			var err error
			if lend {
				_, err = a.Lend(t.Context(), "team", "id", "router/1", 50, 50)
			} else {
				_, err = a.Acquire(t.Context(), "team", 50)
			}
			require.NoError(t, err, "lend %v", lend)
		}
	})
}

// Guards against refusing all requests while the store is slow by a factor of a hundred. Each call
// takes 450 ms, longer than the 400 ms that a request waits; if calls also ended at 400 ms, the
// store would count as unreachable. The first request is refused after 400 ms, requests during the
// sync at once, and after the sync there are tokens.
func TestSlowStoreStillGrantsTokens(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100_000)
		h.pages.CallTimeout, h.pages.SyncTimeout = 700*time.Millisecond, 2*time.Second
		var ended []error
		h.pages.OnSyncEnd = func(_ time.Duration, err error) { ended = append(ended, err) }
		h.store.SetFaults(memstore.Faults{Delay: 450 * time.Millisecond})
		a := h.acquirer()
		began := time.Now()
		_, err := a.Acquire(t.Context(), "team", 50)
		require.ErrorIs(t, err, grant.ErrUnreachable)
		require.Equal(t, 400*time.Millisecond, time.Since(began))
		began = time.Now()
		_, err = a.Acquire(t.Context(), "team", 50)
		require.ErrorIs(t, err, grant.ErrUnreachable)
		require.Zero(t, time.Since(began))
		h.pages.Wait()
		require.Equal(t, []error{nil}, ended)
		h.pages.Holder.Reserve(time.Now(), "team", 50) // demand makes the holder take tokens
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		_, err = a.Acquire(t.Context(), "team", 50)
		require.NoError(t, err)
	})
}

// Guards against a refusal when the store applies a write and does not answer: after the timeout
// of one call the page must be read again, which shows the granted tokens.
func TestLostAnswerIsReadBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100_000)
		h.pages.Store = &silentWrites{Store: h.store, silent: 1}
		h.pages.Timeout, h.pages.CallTimeout, h.pages.SyncTimeout = time.Second, 700*time.Millisecond, 2*time.Second
		began := time.Now()
		_, err := h.acquirer().Acquire(t.Context(), "team", 50)
		require.NoError(t, err)
		require.InDelta(t, 700, time.Since(began).Milliseconds(), 5)
	})
}

// Guards against unbounded retries when the store refuses every connection at once: a sync that
// retries for two seconds would make fifteen billed calls for each page, where three suffice.
func TestFailingCallsOfASyncAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 100_000)
		h.pages.SyncTimeout = 2 * time.Second
		refused := &refusingStore{Store: h.store}
		h.pages.Store = refused
		_, err := h.acquirer().Acquire(t.Context(), "team", 50)
		require.Error(t, err)
		h.pages.Wait()
		require.Equal(t, 3, refused.calls)
	})
}

// refusingStore fails each read immediately.
type refusingStore struct {
	*memstore.Store
	calls int
}

// Get implements store.Store.
func (s *refusingStore) Get(context.Context, string) (store.Item, error) {
	s.calls++
	return store.Item{}, store.Error.Wrap(store.ErrUnknown)
}

// silentWrites applies all writes and does not answer the first ones.
type silentWrites struct {
	*memstore.Store
	silent int
}

// CompareAndSwap implements store.Store.
func (s *silentWrites) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	rev, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if s.silent--; s.silent < 0 {
		return rev, err
	}
	<-ctx.Done()
	return 0, store.Error.Wrap(store.ErrUnknown)
}

// Guards against losing most of a team's remaining budget when a primary lender that holds four
// seconds of demand dies near the budget's end. While the store is healthy it holds a tenth of the
// rest, or enough for the largest request; when the store is slow, as before an outage, it holds
// all four seconds.
func TestMaxLossBoundsHeldTokens(t *testing.T) {
	degraded := false
	p := grant.HorizonPolicy{Horizon: 4 * time.Second, LargestRequests: 1, Share: 0.9, MaxLoss: 0.1, StoreDegraded: func() bool { return degraded }}
	v := grant.View{Credit: 2_000_000, Free: 400_000, Unspent: 400_000, Demand: 20_000, LargestRecent: 10_000}
	require.EqualValues(t, 40_000, p.Decide(v).Take)
	v.LargestRecent = 60_000
	require.EqualValues(t, 60_000, p.Decide(v).Take)
	degraded = true
	require.EqualValues(t, 140_000, p.Decide(v).Take)
}

// Guards against one write per budget when ten budgets of a page are in use and run low one after
// the other: the write for the first one must refill all of them.
func TestOneWriteFillsAllBudgetsOfAPage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const teams, credit, largest = 10, 1_000_000, 1000
		h := newStoreHolder(t, credit)
		name := func(i int) string { return fmt.Sprint("team-", i) }
		h.pages.Prepare = func(_ string, p *account.Page) (changed bool) {
			for i := range teams {
				if p.Accounts[name(i)] == nil {
					p.Accounts[name(i)] = &account.Account{Team: name(i)}
					changed = p.Accounts[name(i)].SetPrepaid(1, credit) || changed
				}
			}
			return changed
		}
		a := h.acquirer()
		spend := func(i int, tokens int64) {
			res, err := a.Acquire(t.Context(), name(i), tokens)
			require.NoError(t, err)
			h.pages.Holder.Settle(time.Now(), res, tokens)
		}
		available := func() map[string]int64 {
			out := map[string]int64{}
			for _, s := range h.pages.Holder.State(time.Now()) {
				out[s.Budget] = s.Available
			}
			return out
		}
		for i := range teams {
			spend(i, largest)
		}
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		full := available()
		for i := range teams - 1 {
			spend(i, largest/10) // within the tolerance
		}
		spend(teams-1, largest/2)
		before := h.store.Calls().Writes
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		require.EqualValues(t, 1, h.store.Calls().Writes-before)
		for budget, n := range available() {
			require.GreaterOrEqual(t, n, full[budget], budget)
		}
	})
}
