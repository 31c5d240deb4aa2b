package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// losses are how the router that decides is lost.
var losses = []struct {
	name       string
	begin, end func(r *rolloutFleet, vm int)
}{
	{name: "killed", begin: func(r *rolloutFleet, vm int) { r.kill(vm) }, end: func(*rolloutFleet, int) {}},
	{name: "cut off", begin: func(r *rolloutFleet, vm int) { r.disconnect(vm) }, end: func(r *rolloutFleet, vm int) { r.reconnect(vm) }},
	{name: "unreachable without a sign", begin: func(r *rolloutFleet, vm int) {
		r.network.SetBlackholed(address(vm, linkPort), true)
		r.disconnected.Store(vm, true)
	}, end: func(r *rolloutFleet, vm int) {
		r.reconnect(vm)
		r.joinLink(address(vm, linkPort))
	}},
}

// Guards against a roll-out that breaks its bounds since the router that decides and the store are lost at once: nobody may take over
// until the store is back.
func TestDeciderAndStoreAreLostTogether(t *testing.T) {
	for _, loss := range losses {
		for _, v := range forced(rolloutVersions, rolloutVersions[:3]...) {
			for _, at := range forced([]int{300, 2000, 4200, 5500, 7350, 7600}, 4200) {
				at := time.Duration(at) * time.Millisecond
				t.Run(fmt.Sprintf("%s/%s/%v", loss.name, v.name, at), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						r := startRolloutFleet(f, 61, 6)
						mode := v.mode
						if v.after > 0 {
							mode = standin.Serve
						}
						r.order(mode, v.slowdown)
						const away = 1500 * time.Millisecond
						vm, back := 0, false
						r.play(r.duration+6*time.Second, func(elapsed time.Duration) {
							if v.after > 0 && elapsed >= v.after {
								for _, u := range r.new {
									u.SetMode(v.mode)
								}
							}
							if vm == 0 && elapsed >= at {
								vm = r.candidate(0)
								f.store.SetUnresponsive(true)
								loss.begin(r, vm)
							}
							if !back && elapsed >= at+away {
								back = true
								f.store.SetUnresponsive(false)
								loss.end(r, vm)
							}
						})
						t.Logf("%s after %v; new version got %d", r.state, r.endedAt.Sub(r.ordered), r.count(r.new, r.ordered, r.ordered.Add(r.duration)))
						if v.name != "good" {
							require.Equal(t, "rolled_back", r.state, r.reasons())
							r.checkBound()
							return
						}
						require.Equal(t, "completed", r.state, r.reasons())
						if at+away < 7*time.Second {
							require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
						}
					})
				})
			}
		}
	}
}

// Guards against a verdict that is lost, or turned into the other one, since the store is restored from an older copy around it.
func TestStoreRestoredAroundTheVerdict(t *testing.T) {
	for _, v := range forced(rolloutVersions, rolloutVersions[:2]...) {
		for _, copied := range forced(copyTimes, copyTimes[0]) {
			for _, afterVerdict := range forced([]time.Duration{-100 * time.Millisecond, 0, 30 * time.Millisecond, 400 * time.Millisecond}, 0) {
				t.Run(fmt.Sprintf("%s, copied at %v, restored %v after the verdict", v.name, copied, afterVerdict), func(t *testing.T) {
					withFleet(t, func(f *fleet) { playRestoredAroundTheVerdict(f, v, copied, afterVerdict) })
				})
			}
		}
	}
}

// verdictTimes are when the verdict on a version comes in a play without a failure, by its name.
var verdictTimes = map[string]time.Duration{"good": 7650 * time.Millisecond, "fails": 700 * time.Millisecond, "fails later": 4900 * time.Millisecond,
	"loses answers": 700 * time.Millisecond, "slow": 800 * time.Millisecond}

func playRestoredAroundTheVerdict(f *fleet, v rolloutVersion, copied, afterVerdict time.Duration) {
	r := startRolloutFleet(f, 62, 5)
	var older memstore.Copy
	older = f.store.Copy()
	mode, at, restored := v.mode, verdictTimes[v.name]+afterVerdict, false
	if v.after > 0 {
		mode = standin.Serve
	}
	r.order(mode, v.slowdown)
	r.play(r.duration+8*time.Second, func(elapsed time.Duration) {
		if v.after > 0 && elapsed >= v.after {
			for _, u := range r.new {
				u.SetMode(v.mode)
			}
		}
		if elapsed < min(copied, at-50*time.Millisecond) {
			older = f.store.Copy()
		}
		if !restored && elapsed >= at {
			restored = true
			f.t.Logf("%q when the store is restored", r.state)
			r.restoreRollout(older, copied < 0)
		}
	})
	f.t.Logf("%s after %v", r.state, r.endedAt.Sub(r.ordered))
	if v.name != "good" {
		require.Equal(f.t, "rolled_back", r.state, r.reasons())
		r.checkBound()
		return
	}
	require.Equal(f.t, "completed", r.state, r.reasons())
	r.checkOldStopped()
}
