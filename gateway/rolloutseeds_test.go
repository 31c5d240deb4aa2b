package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// A few seeds run in CI; many, with a fleet of 30 routers, by hand.
var (
	rolloutSeeds     = flag.Int("rollout.seeds", 3, "roll-outs to play")
	rolloutFirstSeed = flag.Uint64("rollout.first", 1, "seed of the first one")
	rolloutRouters   = flag.Int("rollout.routers", 6, "routers of the fleet")
)

// trouble is a failure that accompanies a roll-out.
type trouble struct {
	name string
	// begin starts it, end ends it; end may be nil.
	begin, end func(r *rolloutFleet)
	// degraded is set if machines lose the store, or the store fails: then a good version may be late
	// or rolled back, and a bad one has more time.
	degraded bool
}

// victim returns the VM of any router.
func (r *rolloutFleet) victim() int {
	return 1 + r.rng.IntN(r.routers)
}

func rolloutTroubles() []trouble {
	var vm int
	return []trouble{
		{name: "none"},
		{name: "all routers lose the decider", begin: func(r *rolloutFleet) { vm = r.decider(); r.disconnect(vm) },
			end: func(r *rolloutFleet) { r.reconnect(vm) }, degraded: true},
		{name: "decider restarted", begin: func(r *rolloutFleet) { r.restart(r.decider()) }},
		{name: "decider restarted again and again", begin: func(r *rolloutFleet) { r.restart(r.decider()) }, end: func(r *rolloutFleet) { r.restart(r.decider()) }},
		{name: "decider cut from the store", begin: func(r *rolloutFleet) { vm = r.decider(); r.disconnectFromStore(vm) },
			end: func(r *rolloutFleet) { r.reconnect(vm) }, degraded: true},
		{name: "router cut off", begin: func(r *rolloutFleet) { vm = r.victim(); r.disconnect(vm) },
			end: func(r *rolloutFleet) { r.reconnect(vm) }, degraded: true},
		{name: "store silent", begin: func(r *rolloutFleet) { r.store.SetUnresponsive(true) },
			end: func(r *rolloutFleet) { r.store.SetUnresponsive(false) }, degraded: true},
		{name: "store slow", begin: func(r *rolloutFleet) { r.store.SetFaults(memstore.Faults{Delay: 300 * time.Millisecond}) },
			end: func(r *rolloutFleet) { r.store.SetFaults(memstore.Faults{}) }, degraded: true},
		{name: "answers of the store lost", begin: func(r *rolloutFleet) { r.store.SetFaults(memstore.Faults{LoseResponses: 3}) },
			end: func(r *rolloutFleet) { r.store.SetFaults(memstore.Faults{}) }, degraded: true},
		{name: "all routers restarted", begin: func(r *rolloutFleet) {
			for vm := 1; vm <= r.routers; vm++ {
				r.restart(vm)
			}
		}},
		{name: "an upstream of the new version crashes", begin: func(r *rolloutFleet) { r.new[r.rng.IntN(len(r.new))].SetMode(standin.LoseAnswer) }},
	}
}

// decider returns the VM of the router that decides on the service.
func (r *rolloutFleet) decider() int {
	for vm, p := range r.gateways {
		if p.gateway.DecidesRollout("plain") {
			return vm
		}
	}
	return r.victim()
}

// restart stops a router as planned and starts it again once it has stopped.
func (r *rolloutFleet) restart(vm int) {
	p := r.gateways[vm]
	if p == nil {
		return // it is stopping already
	}
	delete(r.gateways, vm)
	p.stop()
	r.stopping[vm] = p
}

// startStopped starts the routers that have stopped.
func (r *rolloutFleet) startStopped() {
	for vm, p := range r.stopping {
		select {
		case err := <-p.done:
			require.NoError(r.t, err)
			delete(r.stopping, vm)
			r.startVM(vm)
		default:
		}
	}
}

// rolloutVersion is how a version behaves in a play.
type rolloutVersion struct {
	name     string
	mode     standin.Mode
	slowdown time.Duration
	after    time.Duration
}

var rolloutVersions = []rolloutVersion{
	{name: "good", mode: standin.Serve},
	{name: "fails", mode: standin.Fail},
	{name: "fails later", mode: standin.Fail, after: 4 * time.Second},
	{name: "loses answers", mode: standin.LoseAnswer},
	{name: "slow", mode: standin.Serve, slowdown: 70 * time.Millisecond},
}

// Guards against roll-outs that break their bounds while a process or the store fails: a bad version gets too
// much, a good one isn't completed, or requests go to upstreams that have stopped.
func TestRolloutsUnderFailures(t *testing.T) {
	for n := range *rolloutSeeds {
		seed := *rolloutFirstSeed + uint64(n)
		rng := rand.New(rand.NewPCG(seed, 3))
		troubles := rolloutTroubles()
		c, v := troubles[rng.IntN(len(troubles))], rolloutVersions[rng.IntN(len(rolloutVersions))]
		begin := time.Duration(rng.IntN(8000)) * time.Millisecond
		lasts := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		t.Run(fmt.Sprintf("seed-%d %s, %s at %v for %v", seed, v.name, c.name, begin, lasts), func(t *testing.T) {
			withFleet(t, func(f *fleet) { playRollout(f, seed, c, v, begin, lasts) })
		})
	}
}

func playRollout(f *fleet, seed uint64, c trouble, v rolloutVersion, begin, lasts time.Duration) {
	r := startRolloutFleet(f, seed, *rolloutRouters)
	mode := v.mode
	if v.after > 0 {
		mode = standin.Serve
	}
	r.order(mode, v.slowdown)
	began, ended := false, false
	r.play(r.duration+6*time.Second, func(elapsed time.Duration) {
		r.startStopped()
		if v.after > 0 && elapsed >= v.after {
			for _, u := range r.new {
				u.SetMode(v.mode)
			}
		}
		if !began && elapsed >= begin && c.begin != nil {
			began = true
			c.begin(r)
		}
		if began && !ended && elapsed >= begin+lasts && c.end != nil {
			ended = true
			c.end(r)
		}
	})
	if began && !ended && c.end != nil {
		c.end(r)
	}
	for len(r.stopping) > 0 {
		r.startStopped()
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Logf("%s, %v after the order; new version got %d of %d", r.state, r.endedAt.Sub(r.ordered),
		r.count(r.new, r.ordered, r.ordered.Add(r.duration)), r.count(append(r.new, r.old...), r.ordered, r.ordered.Add(r.duration)))
	if v.name == "good" {
		if !c.degraded {
			require.Equal(f.t, "completed", r.state, r.reasons())
		}
		if r.state == "completed" && !c.degraded {
			require.LessOrEqual(f.t, r.endedAt.Sub(r.ordered), r.duration)
			r.checkOldStopped()
		}
		return
	}
	r.checkBound()
	require.Equal(f.t, "rolled_back", r.state)
}

// Guards against a good version that is completed after its deadline since all routers, and with them all
// that was observed of it, ended a second before.
func TestGoodVersionIsCompletedAfterAllRoutersRestarted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 1096, *rolloutRouters)
		r.order(standin.Serve, 0)
		restarted := false
		r.play(r.duration+6*time.Second, func(elapsed time.Duration) {
			r.startStopped()
			if !restarted && elapsed >= 3705*time.Millisecond {
				restarted = true
				for vm := 1; vm <= r.routers; vm++ {
					r.restart(vm)
				}
			}
		})
		require.Equal(t, "completed", r.state)
		require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
	})
}
