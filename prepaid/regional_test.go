package prepaid

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/stretchr/testify/require"
)

// threeRegions is a fleet with four lenders in each of three regions.
var threeRegions = map[string]int{"a": 4, "b": 4, "c": 4}

// Guards against requests for tokens that cross regions while each region has lenders with tokens: of three, two would.
func TestRegionsServeTheirOwnRequests(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, threeRegions)
		f.limits.Record("team", 1, 1_000_000)
		got := f.load(20*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		for region, a := range got {
			require.Zero(t, a.refused+a.exhausted, region)
		}
		require.Zero(t, f.sent()[link.MethodLend], "requests for tokens between regions")
		f.requireWithin(1_000_000)
	})
}

// Guards against refusals in a region, or use beyond the budget, while regions do not reach each other, the store, or both, for
// a minute, in one direction or in both.
func TestRegionsAreCut(t *testing.T) {
	const limit = 2_000_000
	for _, c := range []struct {
		name string
		cut  func(f *regionFleet, lost bool)
		// refused is how many of the cut region's requests may be refused at most.
		refused int
	}{
		{"from the others", func(f *regionFleet, lost bool) { f.isolate("a", lost) }, 0},
		{"from the store", func(f *regionFleet, lost bool) { f.setStoreCut("a", lost) }, 0},
		{"one way, from it", func(f *regionFleet, lost bool) { f.setCut("a", "b", lost); f.setCut("a", "c", lost) }, 0},
		{"one way, to it", func(f *regionFleet, lost bool) { f.setCut("b", "a", lost); f.setCut("c", "a", lost) }, 0},
		{"from both", func(f *regionFleet, lost bool) { f.isolate("a", lost); f.setStoreCut("a", lost) }, 1 << 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newRegionFleet(t, threeRegions)
				f.limits.Record("team", 1, limit)
				f.load(10*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
				c.cut(f, true)
				cut := f.load(time.Minute, 100*time.Millisecond, "team", 100, "a", "b", "c")
				c.cut(f, false)
				for _, region := range []string{"b", "c"} {
					require.Zero(t, cut[region].refused+cut[region].exhausted, "region %s still has the store and its lenders", region)
				}
				require.Zero(t, cut["a"].exhausted, "the budget is not used up")
				require.Positive(t, cut["a"].served, "the primary of the region had tokens")
				require.LessOrEqual(t, cut["a"].refused, c.refused)
				time.Sleep(5 * time.Second)
				after := f.load(10*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
				for region, a := range after {
					require.Zero(t, a.refused+a.exhausted, region)
				}
				f.requireWithin(limit)
			})
		})
	}
}

// Guards against use beyond a budget that ends while regions are partitioned, and against the answer that it is used up while tokens
// are left: what is left is in use in another region when the partition ends.
func TestBudgetEndsWhileRegionsAreCut(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const limit = 100_000
		f := newRegionFleet(t, threeRegions)
		f.limits.Record("team", 1, limit)
		f.load(10*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		f.isolate("a", true)
		f.setStoreCut("a", true)
		f.load(time.Minute, 50*time.Millisecond, "team", 100, "a", "b", "c")
		f.requireWithin(limit)
		f.isolate("a", false)
		f.setStoreCut("a", false)
		time.Sleep(5 * time.Second)
		f.load(20*time.Second, 50*time.Millisecond, "team", 100, "a", "b", "c")
		f.requireWithin(limit)
		var used int64
		for _, p := range f.all() {
			used += p.served.Load()
		}
		require.Greater(t, used, int64(limit-100), "all of it is in use in the end")
	})
}

// Guards against a team that is refused in one region while its tokens lie idle in the others: in parts of which none is enough for
// one request, and after the page has none left. They must be in use within two seconds.
func TestIdleTokensAreUsedInAnotherRegion(t *testing.T) {
	for _, c := range []struct {
		name   string
		wanted int64
		// inUse says that the other regions use some of their tokens meanwhile.
		inUse bool
	}{{"one region covers it", 1000, false}, {"only several regions cover it", 4000, false}, {"other regions have requests", 4000, true}} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				const limit = 12_000
				f := newRegionFleet(t, threeRegions)
				f.limits.Record("team", 1, limit)
				for _, region := range []string{"b", "c"} {
					p := f.primary(region, "team")
					require.NoError(t, p.pages.Sync(t.Context(), p.layout.Key("team")))
					require.NoError(t, f.request(f.router(region), "team", 10))
					f.take(p, "team", 3000)
				}
				f.take(f.primary("a", "team"), "team", limit)
				require.NoError(t, f.request(f.router("a"), "team", 5000))
				require.Zero(t, f.page("team").Accounts["team"].Free(), "the page has none left")
				f.spend(f.router("a"), "team", 10)
				for _, region := range []string{"b", "c"} {
					if c.inUse {
						go f.load(3*time.Second, 300*time.Millisecond, "team", 1, region)
					}
				}
				began := time.Now()
				if f.request(f.router("a"), "team", c.wanted) != nil {
					time.Sleep(2 * syncInterval)
					require.Positive(t, f.page("team").Accounts["team"].Free(), "one request suffices, also if it is not repeated")
				}
				for f.request(f.router("a"), "team", c.wanted) != nil {
					time.Sleep(50 * time.Millisecond)
					require.Less(t, time.Since(began), 2*time.Second, "tokens are idle in another region")
				}
				time.Sleep(5 * time.Second)
				f.requireWithin(limit)
			})
		})
	}
}

// Guards against routers of a region that has no lender: they must be served by the others, also when the nearest primary is gone
// and still listed.
func TestRegionWithoutLenders(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, map[string]int{"a": 3, "b": 0, "c": nobody})
		f.limits.Record("team", 1, 1_000_000)
		require.NoError(t, f.request(f.router("b"), "team", 100))
		f.kill(f.first("team"))
		before := f.sent()[link.MethodLend]
		got := f.load(10*time.Second, 100*time.Millisecond, "team", 100, "b")
		require.LessOrEqual(t, got["b"].lastRefused, 2*time.Second)
		require.Greater(t, f.sent()[link.MethodLend]-before, got["b"].served, "lenders serve it, not the store")
		f.requireWithin(1_000_000)
	})
}

// Guards against refusals after all lenders of a region have ended at the same moment: requests go to the lenders of other regions
// while the ended ones are still listed, and afterwards.
func TestAllLendersOfARegionEnd(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, threeRegions)
		f.limits.Record("team", 1, 1_000_000)
		f.load(5*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		for _, p := range f.of(RoleLender, "a") {
			f.kill(p)
		}
		got := f.load(10*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		require.LessOrEqual(t, got["a"].lastRefused, 2*time.Second)
		require.Zero(t, got["b"].refused+got["c"].refused)
		f.list()
		before := f.sent()[link.MethodLend]
		got = f.load(10*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		require.Zero(t, got["a"].refused+got["b"].refused+got["c"].refused)
		// A request may ask both other regions.
		require.GreaterOrEqual(t, f.sent()[link.MethodLend]-before, got["a"].served, "lenders serve it, not the store")
		f.requireWithin(1_000_000)
	})
}

// Guards against use beyond a budget, or refusals, when a region was cut off for a minute and returns with the members and limits of
// before, while lenders of the others ended and started.
func TestRegionReturnsWithOlderEntries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const limit = 300_000
		f := newRegionFleet(t, threeRegions)
		f.limits.Record("team", 1, limit)
		f.load(5*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		f.isolate("a", true)
		f.setStoreCut("a", true)
		f.kill(f.primary("b", "team"))
		f.start(RoleLender, "b", 4)
		f.list("a")
		f.load(time.Minute, 100*time.Millisecond, "team", 100, "a", "b", "c")
		f.isolate("a", false)
		f.setStoreCut("a", false)
		time.Sleep(5 * time.Second)
		got := f.load(20*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		for region, a := range got {
			require.Zero(t, a.refused+a.exhausted, "region %s, one of them with an older list", region)
		}
		f.list()
		got = f.load(20*time.Second, 100*time.Millisecond, "team", 100, "a", "b", "c")
		for region, a := range got {
			require.Zero(t, a.refused+a.exhausted, region)
		}
		f.requireWithin(limit)
	})
}

// Guards against store calls that grow with the number of regions: several writers of a page would read it, or conflict, with each
// write.
func TestStoreCallsOfRegions(t *testing.T) {
	calls := map[int]int64{}
	for n, lenders := range map[int]map[string]int{1: {"a": 12}, 3: threeRegions} {
		virtualtime.Test(t, func(t *testing.T) {
			f := newRegionFleet(t, lenders)
			f.limits.Record("team", 1, 10_000_000)
			load := func(lasts time.Duration) {
				if n == 1 {
					f.load(lasts, 100*time.Millisecond/3, "team", 100, "a")
					return
				}
				f.load(lasts, 100*time.Millisecond, "team", 100, "a", "b", "c")
			}
			load(20 * time.Second)
			before := f.store.Calls()
			load(time.Minute)
			after := f.store.Calls()
			calls[n] = after.Reads - before.Reads + after.Writes - before.Writes
			t.Logf("%d regions: %d reads and %d writes a minute, messages between regions %v", n, after.Reads-before.Reads, after.Writes-before.Writes, f.sent())
		})
	}
	const eachFurther = 0.6 // of the calls of one region
	require.LessOrEqual(t, float64(calls[3]), (1+2*eachFurther)*float64(calls[1]))
}

// Guards against dead lenders of another region that are never settled: the page's first lender has nothing of a page that only
// another region uses, and must learn of its holders.
func TestLenderOfAnotherRegionIsSettled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, threeRegions)
		f.limits.Record("team", 1, 1_000_000)
		region := "a"
		if f.first("team").region == "a" {
			region = "b"
		}
		f.load(5*time.Second, 100*time.Millisecond, "team", 100, region)
		dead := f.primary(region, "team")
		f.kill(dead)
		f.list()
		require.NotNil(t, f.page("team").Accounts["team"].Rows[dead.self.ID])
		f.load(absenceTimeout+20*time.Second, time.Second, "team", 100, region)
		require.Nil(t, f.page("team").Accounts["team"].Rows[dead.self.ID], "it is settled")
	})
}

// Guards against witnesses of which none is left after the loss of a region.
func TestChooseRegionalWitnesses(t *testing.T) {
	at := func(vm, dc string) member.Member { return member.Member{ID: vm + "/1", VM: vm, Datacentre: dc} }
	topology := datacentre.Topology{Local: "a-1", Regions: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"}}
	self := at("self", "a-1")
	same, other, b, c := at("same", "a-1"), at("other", "a-2"), at("b", "b-1"), at("c", "c-1")
	for _, tc := range []struct {
		name              string
		reachable, ranked []member.Member
		unreachable       string
		want              []string
	}{
		{"other data centre, other region", nil, []member.Member{same, b, c, other}, "", []string{"b/1", "other/1"}},
		{"no other data centre in the region", nil, []member.Member{c, same, b}, "", []string{"c/1", "same/1"}},
		{"no lender in the region", nil, []member.Member{self, c, b}, "", []string{"b/1", "c/1"}},
		{"no lender in other regions", nil, []member.Member{same, other}, "", []string{"other/1", "same/1"}},
		{"no other lender", nil, []member.Member{self}, "", []string{}},
		{"reachable ones stay", []member.Member{same, c}, []member.Member{other, b, c, same}, "", []string{"c/1", "same/1"}},
		{"other regions are back", []member.Member{same, other}, []member.Member{same, other, b}, "", []string{"b/1", "same/1"}},
		{"other regions do not answer", []member.Member{other}, []member.Member{b, same, other}, "b/1", []string{"other/1", "same/1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, chooseRegionalWitnesses(self, topology, tc.reachable, tc.ranked, func(id string) bool { return id == tc.unreachable }))
		})
	}
}

// Guards against lenders that appoint witnesses without regard to regions.
func TestLendersHaveWitnessesInTwoRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, threeRegions)
		for _, p := range f.all() {
			if p.self.Role != RoleLender {
				continue
			}
			var own, others int
			for _, id := range p.exposure.Witnesses() {
				switch w := f.byID(id); {
				case w.region != p.region:
					others++
				case w.self.Datacentre != p.self.Datacentre:
					own++
				}
			}
			require.Equal(t, []int{1, 1}, []int{own, others}, "witnesses of %s", p.self.ID)
		}
	})
}

// Guards against a closed page that the primaries of all regions open at once, each asking all processes for confirmations; and against
// one that stays closed while its first lender is gone and still listed.
func TestFirstLenderOpensPages(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newRegionFleet(t, threeRegions)
		page := f.router("a").layout.Key("team")
		first := f.first("team")
		region := "a"
		if first.region == "a" {
			region = "b"
		}
		regional, next := f.primary(region, "team"), f.byID(first.rankedLenders(page)[1].ID)
		asked := func() {
			for range 30 {
				regional.lendRequests.record(page)
				next.lendRequests.record(page)
				regional.opens(page)
				next.opens(page)
				time.Sleep(100 * time.Millisecond)
			}
		}
		require.True(t, first.opens(page))
		asked()
		require.False(t, regional.opens(page), "the first lender answers")
		require.False(t, next.opens(page))
		f.kill(first)
		asked()
		require.True(t, regional.opens(page), "the first lender does not answer")
		time.Sleep(standbyDuration)
		require.False(t, regional.opens(page), "nobody asks it any more")
	})
}

// Guards against a region's lenders that are asked in another order than their ranking, and against other regions that are asked too
// late or not at all.
func TestQueriedLenders(t *testing.T) {
	regions := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"}
	at := func(vm, dc string) member.Member { return member.Member{ID: vm, VM: vm, Datacentre: dc} }
	ranked := []member.Member{at("c1", "c-1"), at("a1", "a-1"), at("b1", "b-1"), at("c2", "c-1"), at("a2", "a-2"), at("a3", "a-1"), at("b2", "b-1")}
	for _, c := range []struct {
		name, local string
		ranked      []member.Member
		want        []string
		others      [][]string
	}{
		{"three regions", "a-2", ranked, []string{"a1", "a2"}, [][]string{{"c1"}, {"b1"}}},
		{"another region", "b-1", ranked, []string{"b1", "b2"}, [][]string{{"c1"}, {"a1"}}},
		{"two regions", "a-1", ranked[1:3], []string{"a1"}, [][]string{{"b1"}}},
		{"region without lenders", "a-1", []member.Member{ranked[0], ranked[2], ranked[3]}, nil, [][]string{{"c1", "c2"}, {"b1"}}},
		{"lenders in one region only", "a-1", []member.Member{ranked[1], ranked[4], ranked[5]}, []string{"a1", "a2", "a3"}, nil},
		{"no lenders", "a-1", nil, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			topology := datacentre.Topology{Local: c.local, Regions: regions}
			local, others := queriedLenders(topology.Region(c.local), rankRegions(topology, c.ranked))
			require.Equal(t, c.want, local)
			require.Equal(t, c.others, others)
		})
	}
}

// Guards against a fleet of one region, or without regions, in which requests or roles differ from the ranking of the whole fleet.
func TestOneRegionKeepsRankingsAndRoles(t *testing.T) {
	want := recordedRoles
	for name, regions := range map[string]map[string]string{"no regions": nil, "one region": {"a-1": "a", "a-2": "a"}} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newRegionFleet(t, map[string]int{"a": 6})
				var got []string
				for _, p := range f.all() {
					b := New(Parts{Incarnation: p.self.ID, Settings: defaultBudgets(), Store: f.store, Members: p.members, Links: regionLinks{p},
						Limits: &f.limits, LendsOnly: true, Topology: datacentre.Topology{Local: p.self.Datacentre, Regions: regions}})
					for n := range b.layout.Pages {
						page := b.layout.PageKey(n)
						got = append(got, fmt.Sprint(p.self.ID, " ", n, " ", b.pageRole(page)))
					}
					for _, team := range []string{"team", "other"} {
						got = append(got, fmt.Sprint(p.self.ID, " ", team, " ", b.lendersFor(team)))
					}
					require.Equal(t, b.pages.Timing, timingNow(b))
					require.Empty(t, b.Regions())
				}
				require.Equal(t, want, got)
			})
		})
	}
}

func timingNow(b *Budgets) grant.Timing {
	if b.pages.TimingOf == nil {
		return b.pages.Timing
	}
	return b.pages.TimingOf(b.layout.PageKey(0))
}
