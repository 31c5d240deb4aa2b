package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// restoreRollout restores the store and writes again what others wrote: upstreams their entries, operators the order,
// after a moment, if the copy lacks it.
func (r *rolloutFleet) restoreRollout(older memstore.Copy, lacksOrder bool) {
	r.store.Restore(older)
	for n := range rolloutUpstreams {
		id := fmt.Sprint("i-", 20+n)
		require.NoError(r.t, r.store.RegisterVersion(id, "plain", upstreamAddress(id), "bergen", "ready", "v2", 6, 0))
	}
	if lacksOrder {
		time.AfterFunc(300*time.Millisecond, func() { _ = r.store.OrderRollout("plain", "v2", r.duration) })
	}
	r.state = "" // what operators see may be older, or gone, for a moment
}

// copyTime is when the copy is made, relative to the order.
var copyTimes = []time.Duration{-time.Second, 2 * time.Second, 5 * time.Second}

// Guards against a roll-out that begins anew after it was completed or rolled back: the store was restored from a copy that lacks the
// end, or the order, which operators write again.
func TestEndedRolloutStaysEndedAfterARestoration(t *testing.T) {
	for _, mode := range []standin.Mode{standin.Serve, standin.Fail} {
		for _, copied := range copyTimes {
			for _, restarts := range []bool{false, true} {
				t.Run(fmt.Sprintf("mode %v, copied at %s, a router restarts %t", mode, copied, restarts), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						r := startRolloutFleet(f, 1, 3)
						older := f.store.Copy()
						r.order(mode, 0)
						r.play(r.duration+time.Second, func(elapsed time.Duration) {
							if elapsed < copied {
								older = f.store.Copy()
							}
						})
						ended := r.state
						require.Contains(t, []string{"completed", "rolled_back"}, ended)
						r.restoreRollout(older, copied < 0)
						if restarts {
							f.stopVM(1)
							f.startVM(1)
							time.Sleep(time.Second)
						}
						restored := time.Now()
						r.play(time.Since(r.ordered)+5*time.Second, nil)
						require.Equal(t, ended, r.state, "what operators see")
						if ended == "completed" {
							require.Zero(t, r.count(r.old, restored, time.Now()), "sent to the previous version")
						} else {
							require.Zero(t, r.count(r.new, restored, time.Now()), "sent to the version that was rolled back")
						}
					})
				})
			}
		}
	}
}

// Guards against a roll-out that is rolled back, or completed late, because the store was restored while it runs.
func TestRolloutGoesOnAfterARestoration(t *testing.T) {
	for _, copied := range copyTimes {
		t.Run(fmt.Sprint("copied at ", copied), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRolloutFleet(f, 2, 3)
				older, restored := f.store.Copy(), false
				r.order(standin.Serve, 0)
				r.play(r.duration+time.Second, func(elapsed time.Duration) {
					if elapsed < copied {
						older = f.store.Copy()
					}
					if elapsed > 5500*time.Millisecond && !restored {
						restored = true
						r.restoreRollout(older, copied < 0)
					}
				})
				require.Equal(t, "completed", r.state, r.reasons())
				require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
				r.checkOldStopped()
			})
		})
	}
}

// Guards against a drained data centre that gets requests again, or one that gets none any more, because the copy from
// which the store was restored lacks an order or the end of one.
func TestDrainOrdersAfterARestoration(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		bergen := f.upstreamIn("bergen", "i-1", "plain", 0)
		oslo := f.upstreamIn("oslo", "i-2", "plain", 0)
		f.start()
		sendAll := func() (b, o int) {
			b, o = len(bergen.Requests()), len(oslo.Requests())
			for range 20 {
				require.Equal(t, 200, f.send(level("r")).status)
			}
			return len(bergen.Requests()) - b, len(oslo.Requests()) - o
		}
		older := f.store.Copy()
		require.NoError(t, f.store.OrderDrain("bergen"))
		f.settle()
		f.store.Restore(older)
		time.Sleep(time.Second)
		b, _ := sendAll()
		require.Zero(t, b, "the order will be written again")
		require.NoError(t, f.store.OrderDrain("bergen"))
		older = f.store.Copy()
		f.settle()
		require.NoError(t, f.store.EndDrain("bergen"))
		f.settle()
		b, _ = sendAll()
		require.Positive(t, b)
		f.store.Restore(older)
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, f.store.EndDrain("bergen"))
		require.NoError(t, f.store.OrderDrain("oslo"))
		time.Sleep(time.Second)
		b, o := sendAll()
		require.Positive(t, b)
		require.Zero(t, o)
	})
}

// Guards against a data centre that stays drained for good: the operators ended the drain while the store was away.
func TestDrainThatEndedWhileTheStoreWasAway(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		bergen := f.upstreamIn("bergen", "i-1", "plain", 0)
		f.upstreamIn("oslo", "i-2", "plain", 0)
		f.start()
		older := f.store.Copy()
		require.NoError(t, f.store.OrderDrain("bergen"))
		f.settle()
		f.store.Restore(older)
		time.Sleep(8 * time.Second)
		for range 20 {
			require.Equal(t, 200, f.send(level("r")).status)
		}
		require.NotEmpty(t, bergen.Requests())
	})
}
