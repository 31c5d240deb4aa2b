package grant_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// home is a holder that takes grants of one budget from a store.
type home struct {
	store *memstore.Store
	pages *grant.StoreGranter
	// asking is what HorizonPolicy.Asking reports, borrows makes it a borrower.
	asking, borrows bool
}

func newHome(t *testing.T, credit int64) *home {
	h := &home{store: memstore.New()}
	layout := account.Layout{Prefix: "p/", Pages: 1}
	role := func(string) grant.Role {
		if h.borrows {
			return grant.RoleBorrower
		}
		return grant.RolePrimary
	}
	holder := grant.NewHolder("home/1", layout, grant.HorizonPolicy{Horizon: time.Second, LargestRequests: 1, Share: 1, Slack: 0.25,
		Role: role, UsingStore: func(string) bool { return h.asking }})
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

func (h *home) acquirer() *grant.Acquirer {
	return &grant.Acquirer{Holder: h.pages.Holder, Now: time.Now, Chain: []grant.Granter{h.pages}}
}

// Callers of a team go on asking when its budget is nearly used up. Each request that lacks
// tokens made a read of the page; the store's rate and its price are shared by the fleet.
func TestReadsNearTheEndOfABudgetAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100)
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
		require.GreaterOrEqual(t, reads, int64(3), "what others give back must be seen")
	})
}

// A request with little time left begins a call of a slow store, and others wait for the
// same call. It must not end with the first one's time: all would be refused, and the store
// would count as lost.
func TestCallHasItsOwnTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100)
		var ended []error
		h.pages.OnSyncEnd = func(_ time.Duration, err error) { ended = append(ended, err) }
		h.store.SetFaults(memstore.Faults{Delay: 50 * time.Millisecond})
		a := h.acquirer()
		go func() {
			hurried, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			_, err := a.Acquire(hurried, "team", 10)
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

// A router took tokens from the store while it reached no lender. When it does again it
// takes no more for requests that its lender serves, and gives its row up.
func TestBorrowerGivesItsRowUp(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100)
		h.borrows, h.asking = true, true
		r, err := h.acquirer().Acquire(t.Context(), "team", 10)
		require.NoError(t, err)
		h.asking = false
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
		require.Error(t, err, "its requests wait for what lenders have")
		h.asking = true
		_, err = h.acquirer().Acquire(t.Context(), "team", 93)
		require.NoError(t, err, "only seven were used")
	})
}

// thief is a Granter after which other requests take all that came, a few times.
type thief struct {
	*home
	times int
}

// Obtain implements grant.Granter.
func (f *thief) Obtain(ctx context.Context, budget string, lack int64) error {
	err := f.pages.Obtain(ctx, budget, lack)
	if f.times--; f.times < 0 {
		return err
	}
	for {
		if _, short := f.pages.Holder.Reserve(time.Now(), budget, 1); short != nil {
			return err
		}
	}
}

// A request waits for tokens. They come, and requests that came later take them first. The
// budget is nearly unused, so the first one must not be refused: its tokens are fetched again.
func TestTokensTakenMeanwhileAreFetchedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, lend := range []bool{false, true} {
			h := newHome(t, 100_000)
			a := &grant.Acquirer{Holder: h.pages.Holder, Now: time.Now, Chain: []grant.Granter{&thief{home: h, times: 2}}}
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

// A store is slow by a factor of a hundred: each call takes 450 ms, more than a request waits.
// Its calls were ended at 400 ms, the store counted as lost, and everything was refused until
// it was quick again. The first request is refused in time, those that come meanwhile at once
// since waiting is in vain, and a moment later there are tokens.
func TestSlowStoreStillBringsTokens(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100_000)
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
		h.pages.Holder.Reserve(time.Now(), "team", 50) // a demand to hold tokens for
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		_, err = a.Acquire(t.Context(), "team", 50)
		require.NoError(t, err)
	})
}

// The store does a write and its answer is lost, so that the connection is silent. After the
// time for one call the page is read again, and shows that the tokens came.
func TestLostAnswerIsReadBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100_000)
		h.pages.Store = &silentWrites{Store: h.store, silent: 1}
		h.pages.Timeout, h.pages.CallTimeout, h.pages.SyncTimeout = time.Second, 700*time.Millisecond, 2*time.Second
		began := time.Now()
		_, err := h.acquirer().Acquire(t.Context(), "team", 50)
		require.NoError(t, err)
		require.InDelta(t, 700, time.Since(began).Milliseconds(), 5)
	})
}

// A store refuses every connection at once. A sync that tries for two seconds would make
// fifteen calls for each page, all of them paid for; three tell as much.
func TestFailingCallsOfASyncAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHome(t, 100_000)
		h.pages.SyncTimeout = 2 * time.Second
		refused := &refusing{Store: h.store}
		h.pages.Store = refused
		_, err := h.acquirer().Acquire(t.Context(), "team", 50)
		require.Error(t, err)
		h.pages.Wait()
		require.Equal(t, 3, refused.calls)
	})
}

// refusing fails each read at once.
type refusing struct {
	*memstore.Store
	calls int
}

// Get implements store.Store.
func (s *refusing) Get(context.Context, string) (store.Item, error) {
	s.calls++
	return store.Item{}, store.Error.Wrap(store.ErrUnknown)
}

// silentWrites does writes and leaves the first ones without an answer.
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

// A home that holds four seconds of a team's demand loses most of what the team has left when
// it dies near the budget's end. While the store answers, it holds a tenth of the rest, or
// room for the largest request; when the store is slow, as before an outage, it holds all
// four seconds.
func TestLittleIsHeldWhileTheStoreAnswers(t *testing.T) {
	wary := false
	p := grant.HorizonPolicy{Horizon: 4 * time.Second, LargestRequests: 1, Share: 0.9, MaxLoss: 0.1, StoreDegraded: func() bool { return wary }}
	v := grant.View{Credit: 2_000_000, Free: 400_000, Unspent: 400_000, Demand: 20_000, LargestRecent: 10_000}
	require.EqualValues(t, 40_000, p.Decide(v).Take)
	v.LargestRecent = 60_000
	require.EqualValues(t, 60_000, p.Decide(v).Take)
	wary = true
	require.EqualValues(t, 140_000, p.Decide(v).Take)
}

// Ten budgets of a page are drawn on all the time. Each of them used to make a write of its own
// as it ran low. The first one that is low now makes a write that fills all of them.
func TestOneWriteFillsAllBudgetsOfAPage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const teams, credit, worst = 10, 1_000_000, 1000
		h := newHome(t, credit)
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
			spend(i, worst)
		}
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		full := available()
		for i := range teams - 1 {
			spend(i, worst/10) // less than what is left alone
		}
		spend(teams-1, worst/2)
		before := h.store.Calls().Writes
		require.NoError(t, h.pages.Sync(t.Context(), "p/00000"))
		require.EqualValues(t, 1, h.store.Calls().Writes-before)
		for budget, n := range available() {
			require.GreaterOrEqual(t, n, full[budget], budget)
		}
	})
}
