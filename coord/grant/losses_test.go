package grant_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a tenth of what is left that is lost again with each loss of all processes: what was lost and can never
// be settled, and what is at risk, stay below a tenth together. A hundredth stays available.
func TestLossesReduceHeldTokens(t *testing.T) {
	p := grant.HorizonPolicy{Horizon: 4 * time.Second, LargestRequests: 1, Share: 0.9, MaxLoss: 0.1, MinHeld: 0.01, StoreDegraded: func() bool { return false }}
	v := grant.View{Credit: 2_000_000, Free: 400_000, Unspent: 400_000, Demand: 20_000, LargestRecent: 10_000}
	for lost, available := range map[int64]int64{0: 40_000, 15_000: 25_000, 35_000: 5_000, 100_000: 4_000} {
		v.Lost = lost
		require.Equal(t, available, p.Decide(v).Take, "after %d were lost", lost)
	}
	p.StoreDegraded = func() bool { return true }
	require.EqualValues(t, 90_000, p.Decide(v).Take, "an outage is likelier than a loss")
}

// Guards against a loss that makes a holder hold more, or less than the least share of what is left.
func TestHeldTokensFallWithLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		amount := func(name string) int64 { return rapid.Int64Range(0, 1_000_000).Draw(rt, name) }
		p := grant.HorizonPolicy{Horizon: time.Hour, LargestRequests: 1, Share: 0.9, MaxLoss: 0.1, MinHeld: 0.01, StoreDegraded: func() bool { return false }}
		v := grant.View{Unspent: amount("unspent"), Free: amount("free"), LargestRecent: amount("largest"), Demand: float64(amount("demand"))}
		v.Credit = v.Unspent
		before := p.Decide(v).Take
		v.Lost = amount("lost")
		after := p.Decide(v).Take
		require.LessOrEqual(rt, after, before)
		require.GreaterOrEqual(rt, after, min(before, v.Unspent/100), "the least share")
	})
}

// Guards against overspend while all lenders and routers end at the same moment, some of these lenders are settled, and the
// others hold less after it, beside partitions, lost answers, witnesses that end, and rising limits.
func TestNoOverspendWithLossesOfAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			f.settleLenders, f.boundsLosses = true, true
			f.witnesses = []*process{f.start("witness"), f.start("witness")}
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				if rapid.IntRange(0, 15).Draw(rt, "all end") == 0 {
					for i := range f.lenders {
						f.killLender(i)
						f.killRouter(i)
					}
				}
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // no call continues in the next step
				}
				synctest.Wait()
				f.forgetRemovedRows(t.Context())
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
		})
	})
}
