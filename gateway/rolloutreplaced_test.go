package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// nextVersion starts upstreams of one more version, with numbers from first on.
func (r *rolloutFleet) nextVersion(version string, first int, mode standin.Mode) (ups []*standin.Upstream) {
	for n := range rolloutUpstreams {
		id := fmt.Sprint("i-", first+n)
		u := &standin.Upstream{ID: id, Pause: 10 * time.Millisecond}
		u.SetMode(mode)
		r.serve(upstreamAddress(id), u)
		require.NoError(r.t, r.store.RegisterVersion(id, "plain", upstreamAddress(id), "bergen", "ready", version, 6, 0))
		ups = append(ups, u)
	}
	return ups
}

// orderVersion orders the next roll-out, whose states are observed from then on.
func (r *rolloutFleet) orderVersion(version string, duration time.Duration) {
	require.NoError(r.t, r.store.OrderRollout("plain", version, duration))
	r.version, r.state, r.ordered, r.duration = version, "", time.Now(), duration
	r.replacedAt = r.revision(platform.RolloutPrefix + "plain")
}

func (r *rolloutFleet) revision(key string) store.Revision {
	it, err := r.store.Get(context.Background(), key)
	require.NoError(r.t, err)
	return it.Revision
}

// isOfReplacedOrder reports whether the state that operators see is that of the order before.
func (r *rolloutFleet) isOfReplacedOrder() bool {
	return r.replacedAt > 0 && r.revision(platform.RolloutStatusPrefix+"plain") < r.replacedAt
}

// playFor plays for some time from now on.
func (r *rolloutFleet) playFor(d time.Duration) { r.play(time.Since(r.ordered)+d, nil) }

// Guards against a version that gets requests as a previous one, beyond its bound and without a comparison, since an order of another
// version replaced its own: in the middle, shortly before its deadline, or after it was rolled back. One that was completed serves on.
func TestOrderReplacedByOneOfAnotherVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		mode   standin.Mode
		at     time.Duration
		within time.Duration
		// completed is set if the first version is completed by then.
		completed bool
	}{
		{"bad, in the middle", standin.Fail, 300 * time.Millisecond, 8 * time.Second, false},
		{"good, in the middle", standin.Serve, 4 * time.Second, 8 * time.Second, false},
		{"good, near the end, shorter", standin.Serve, 7300 * time.Millisecond, 5 * time.Second, false},
		{"bad, after it was rolled back", standin.Fail, 3 * time.Second, 8 * time.Second, false},
		{"good, after it was completed", standin.Serve, 9 * time.Second, 8 * time.Second, true},
	} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, all routers restart %t", c.name, restarts), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.notice = 10 * time.Millisecond
					r := startRolloutFleet(f, 31, 5)
					r.order(c.mode, 0)
					r.play(c.at, nil)
					second, completedAt := r.new, r.endedAt
					require.Equal(t, c.completed, r.state == "completed")
					third := r.nextVersion("v3", 40, standin.Serve)
					r.orderVersion("v3", c.within)
					r.playFor(time.Second)
					if restarts {
						for vm := 1; vm <= r.routers; vm++ {
							r.restart(vm)
						}
					}
					r.play(r.duration+time.Second, func(time.Duration) { r.startStopped() })
					require.Equal(t, "completed", r.state, r.reasons())
					require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
					require.NotZero(t, r.count(third, r.ordered, time.Now()))
					if c.completed {
						require.Zero(t, r.count(r.old, completedAt.Add(time.Millisecond), time.Now()), "sent to stopped upstreams")
						return
					}
					require.Zero(t, r.count(second, r.ordered.Add(700*time.Millisecond), time.Now()), "sent to a version that was not completed")
				})
			})
		}
	}
}

// Guards against an order of the same version that is decided with what was known of another duration, and against requests to
// upstreams that have stopped after the version was completed.
func TestOrderReplacedByOneOfAnotherDuration(t *testing.T) {
	for _, c := range []struct {
		at, within time.Duration
	}{
		{4 * time.Second, 12 * time.Second}, {4 * time.Second, 3 * time.Second}, {7300 * time.Millisecond, 8 * time.Second},
		{7550 * time.Millisecond, 5 * time.Second}, {7700 * time.Millisecond, 5 * time.Second}, {9 * time.Second, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("at %v, %v", c.at, c.within), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRolloutFleet(f, 32, 5)
				r.order(standin.Serve, 0)
				r.play(c.at, nil)
				completed, completedAt := r.state == "completed", r.endedAt
				r.orderVersion("v2", c.within)
				r.play(r.duration+time.Second, nil)
				t.Logf("completed before %t; %s after %v", completed, r.state, r.endedAt.Sub(r.ordered))
				require.Equal(t, "completed", r.state, r.reasons())
				require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
				r.checkOldStopped()
				if completed {
					require.Zero(t, r.count(r.old, completedAt.Add(time.Millisecond), time.Now()), "sent to stopped upstreams")
				}
			})
		})
	}
}

// Guards against checks that take the end of the order before for that of the order given again: the state of the latter was stored
// while the fixture read the state and its revision.
func TestObservedStateIsOfTheLastOrder(t *testing.T) {
	withFleet(t, func(f *fleet) {
		const readTime = 20 * time.Millisecond
		r := &rolloutFleet{fleet: f}
		key := platform.RolloutStatusPrefix + "plain"
		put := func(state string, at store.Revision) {
			_, err := f.store.CompareAndSwap(context.Background(), key, at, fmt.Appendf(nil, `{"state":%q,"to":"v2"}`, state), 0)
			require.NoError(t, err)
		}
		put("rolled_back", 0)
		r.orderVersion("v2", time.Second)
		ended := r.revision(key)
		f.store.SetFaults(memstore.Faults{Delay: readTime})
		var writes sync.WaitGroup
		writes.Go(func() {
			time.Sleep(readTime / 2)
			put("in_progress", ended)
		})
		r.observeState()
		writes.Wait()
		r.observeState()
		require.Equal(t, "in_progress", r.state)
	})
}

// Guards against a bad version that is tested without end, or a good one that is not completed, since its order was removed and given
// again, and against requests to it in between.
func TestOrderWithdrawnAndGivenAgain(t *testing.T) {
	for _, mode := range []standin.Mode{standin.Serve, standin.Fail} {
		for _, pause := range []time.Duration{0, 40 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("mode %v, after %v", mode, pause), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					r := startRolloutFleet(f, 33, 5)
					r.order(standin.Serve, 0)
					r.play(3*time.Second, nil)
					require.NoError(t, f.store.WithdrawRollout("plain"))
					withdrawn := time.Now()
					r.playFor(pause)
					if pause > time.Second {
						require.Equal(t, "rolled_back", r.state)
						require.Zero(t, r.count(r.new, withdrawn.Add(500*time.Millisecond), time.Now()))
					}
					for _, u := range r.new {
						u.SetMode(mode)
					}
					r.orderVersion("v2", 8*time.Second)
					r.play(r.duration+time.Second, nil)
					if mode == standin.Fail {
						require.Equal(t, "rolled_back", r.state)
						r.checkBound()
						return
					}
					require.Equal(t, "completed", r.state, r.reasons())
					require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
					r.checkOldStopped()
				})
			})
		}
	}
}

// Guards against a service without upstreams since operators remove the order of a roll-out that was completed: the upstreams of the
// previous version have stopped.
func TestOrderWithdrawnAfterCompletion(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("the store is silent right after: ", silent), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRolloutFleet(f, 34, 5)
				r.order(standin.Serve, 0)
				r.play(r.duration+time.Second, nil)
				require.Equal(t, "completed", r.state)
				require.NoError(t, f.store.WithdrawRollout("plain"))
				if silent {
					time.Sleep(30 * time.Millisecond)
					f.store.SetUnresponsive(true)
				}
				r.playFor(3 * time.Second)
				f.store.SetUnresponsive(false)
				r.playFor(time.Second)
				r.checkOldStopped()
				require.Equal(t, "completed", r.state)
				require.Equal(t, map[int]int{200: r.statuses[200]}, r.statuses)
			})
		})
	}
}
