package grant_test

import (
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

// Guards against holders whose every write conflicts: they take at the same interval, and once two of them did so at the same
// moment, before the notice of the other's write arrived, they did so at each take, with two more calls of the store.
func TestHoldersThatConflictMoveApart(t *testing.T) {
	for _, holders := range []int{2, 3} {
		t.Run(fmt.Sprint(holders, " holders"), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				st := memstore.New()
				var all []*grant.StoreGranter
				written := map[*grant.StoreGranter]store.Item{}
				for n := range holders {
					g := newTakingHolder(st, n)
					g.OnWrite = func(page store.Item) { written[g] = page }
					all = append(all, g)
				}
				const ticks, settled = 600, 200
				var before int64
				for tick := range ticks {
					if tick == settled {
						before = st.Calls().Reads
					}
					for _, g := range all {
						requireServed(t, g)
						for _, page := range g.Holder.Due(time.Now()) {
							require.NoError(t, g.Sync(t.Context(), page))
						}
					}
					for from, page := range written {
						for _, to := range all {
							if to != from {
								to.ObservePage(page)
							}
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.LessOrEqual(t, st.Calls().Reads-before, int64(2), "a read follows each conflict")
			})
		})
	}
}

func newTakingHolder(st store.Store, n int) *grant.StoreGranter {
	layout := account.Layout{Prefix: "p/", Pages: 1}
	holder := grant.NewHolder(fmt.Sprint("home/", n), layout, grant.HorizonPolicy{Horizon: 4 * time.Second, LargestRequests: 1, Share: 0.9, Slack: 0.25,
		Role:     func(string) grant.Role { return grant.RoleRegional },
		Regional: &grant.RegionalPolicy{Lacking: func(string) bool { return false }, KeptHorizon: time.Second, IdleAfter: time.Second}})
	holder.SetDemandWindow(5 * time.Second)
	holder.UseMinimalRows(func(string) bool { return false })
	return &grant.StoreGranter{Holder: holder, Store: st, Layout: layout, Timeout: 400 * time.Millisecond, PageCacheTTL: 10 * time.Second, MaxFreshAge: 500 * time.Millisecond,
		Now:    time.Now,
		Timing: grant.Timing{Rebalance: 3 * time.Second, Report: 3 * time.Second, RemoveIdleAfter: time.Hour, ExhaustedBackoff: time.Second, LowBackoff: 900 * time.Millisecond},
		Prepare: func(_ string, p *account.Page) bool {
			if p.Accounts["team"] == nil {
				p.Accounts["team"] = &account.Account{Team: "team"}
			}
			return p.Accounts["team"].SetPrepaid(1, 10_000_000)
		}}
}

// requireServed makes a request for tokens, and uses them.
func requireServed(t *testing.T, g *grant.StoreGranter) {
	a := &grant.Acquirer{Holder: g.Holder, Now: time.Now, Chain: []grant.Granter{g}}
	res, err := a.Acquire(t.Context(), "team", 100)
	require.NoError(t, err)
	g.Holder.Settle(time.Now(), res, 100)
}
