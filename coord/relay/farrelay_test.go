package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// farDelay is the round trip to a relay in another region.
	farDelay = 16 * time.Millisecond
	// applyFarWithin is the time within which a process whose region does not reach the store must have a change.
	applyFarWithin = 4 * time.Second
)

// withRegion runs a test on two relays of a region, a relay of another region and followers.
func withRegion(t *testing.T, followers int, test func(tc *testCluster)) {
	withFarRelays(t, 2, 1, followers, func(tc *testCluster) {
		for _, conns := range tc.hubConns {
			conns[2].setDelay(farDelay)
		}
		test(tc)
	})
}

// Guards against late changes at a process that reaches the store all the while: both relays of its region fail, each in
// one of five ways, beside a relay of another region that fails too.
func TestChangesArriveInTimeWhateverARelayOfAnotherRegionDoes(t *testing.T) {
	for _, far := range relayFaults {
		for _, first := range relayFaults[1:] {
			for _, second := range relayFaults[1:] {
				t.Run(fmt.Sprintf("%s, then %s, far %s", first.name, second.name, far.name), func(t *testing.T) {
					for offset := time.Duration(0); offset <= 2*time.Second; offset += time.Second {
						withRegion(t, 1, func(tc *testCluster) {
							l := &changeLog{tc: tc}
							l.run(3*time.Second, time.Second)
							far.set(tc, 2, true)
							first.set(tc, 0, true)
							l.run(offset, 500*time.Millisecond)
							second.set(tc, 1, true)
							l.run(8*time.Second, 500*time.Millisecond)
							assert.Empty(t, l.late, "second fault after %s", offset)
						})
					}
				})
			}
		}
	}
}

// cutFromStore cuts the region's two relays and all followers off the store, or ends that.
func (tc *testCluster) cutFromStore(silent, on bool) {
	for i, conn := range tc.storeConns {
		switch {
		case i == 2: // the far relay
		case silent:
			conn.unresponsive.Store(on)
		default:
			conn.disconnected.Store(on)
		}
	}
}

// Guards against a region that is cut off the store and goes on without its changes although relays of other regions
// have them.
func TestRegionWithoutTheStoreFollowsAnotherRegion(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 3, func(tc *testCluster) {
				tc.put("a", "before")
				time.Sleep(3 * time.Second)
				tc.cutFromStore(silent, true)
				for i := range 10 {
					tc.put("a", fmt.Sprint("during ", i))
					time.Sleep(applyFarWithin)
					tc.requireConverged()
				}
				for _, c := range tc.copies {
					lost, _ := c.lossState()
					require.False(t, lost)
				}
				tc.cutFromStore(silent, false)
				tc.put("a", "after")
				time.Sleep(applyFarWithin + maxCooldown)
				tc.requireConverged()
				for _, f := range tc.followers {
					require.NotEqual(t, "relay-2", f.State().Source, "back at the relays of its region")
				}
			})
		})
	}
}

// Guards against older entries of a region that comes back: its relays, which just lost the store, still have a copy, and its followers
// have newer changes from another region.
func TestRegionThatComesBackBringsNoOlderEntries(t *testing.T) {
	withRegion(t, 3, func(tc *testCluster) {
		tc.put("a", "before")
		time.Sleep(3 * time.Second)
		tc.setNear(true)
		time.Sleep(3 * time.Second)
		tc.storeConns[0].unresponsive.Store(true)
		tc.storeConns[1].unresponsive.Store(true)
		for i := range 10 {
			tc.put("a", fmt.Sprint("during ", i))
			time.Sleep(50 * time.Millisecond)
		}
		for i := range tc.hubConns {
			tc.hubConns[i][0].disconnected.Store(false)
			tc.hubConns[i][1].disconnected.Store(false)
		}
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, c := range tc.copies {
				require.Empty(t, c.wentBack())
			}
		}
		tc.requireConverged()
		tc.storeConns[0].unresponsive.Store(false)
		tc.storeConns[1].unresponsive.Store(false)
		tc.setNear(false)
		tc.put("a", "after")
		time.Sleep(applyFarWithin)
		tc.requireConverged()
	})
}

// setNear interrupts the followers' connections to the relays of their region and to the store, or ends that.
func (tc *testCluster) setNear(off bool) {
	for i, conns := range tc.hubConns {
		conns[0].disconnected.Store(off)
		conns[1].disconnected.Store(off)
		tc.storeConns[len(tc.hubs)+i].disconnected.Store(off)
	}
}

// Guards against followers that report the store as reached, or go on asking, while their region reaches neither the store nor
// other regions; what they know stays, and they follow again when one of the two is back.
func TestRegionWithoutTheStoreAndOtherRegions(t *testing.T) {
	for name, returns := range map[string]func(tc *testCluster){
		"store returns":        func(tc *testCluster) { tc.cutFromStore(false, false) },
		"other regions return": func(tc *testCluster) { tc.setFar(false) },
		"both return":          func(tc *testCluster) { tc.cutFromStore(false, false); tc.setFar(false) },
		"only towards the far relay, which lost the store": func(tc *testCluster) {
			tc.storeConns[2].disconnected.Store(true)
			tc.setFar(false)
			time.Sleep(applyFarWithin)
			tc.storeConns[2].disconnected.Store(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 2, func(tc *testCluster) {
				tc.put("a", "before")
				time.Sleep(3 * time.Second)
				tc.setFar(true)
				tc.cutFromStore(false, true)
				tc.put("a", "during")
				time.Sleep(10 * time.Second)
				for _, c := range tc.copies {
					require.Equal(t, "before", c.values()[keys+"a"], "the last copy stays")
					lost, _ := c.lossState()
					require.True(t, lost)
				}
				returns(tc)
				time.Sleep(maxCooldown + applyFarWithin)
				tc.requireConverged()
				for _, c := range tc.copies {
					lost, _ := c.lossState()
					require.False(t, lost)
				}
			})
		})
	}
}

// setFar interrupts the followers' connections to the far relay, or ends that.
func (tc *testCluster) setFar(off bool) {
	for _, conns := range tc.hubConns {
		conns[2].disconnected.Store(off)
	}
}
