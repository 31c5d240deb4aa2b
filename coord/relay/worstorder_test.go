package relay

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyWithin is the time within which a process that reaches the store must have a change, whatever
// happens to its relays.
const applyWithin = 2 * time.Second

// relayFault is a fault of one relay, as its followers observe it.
type relayFault struct {
	name string
	set  func(tc *testCluster, relay int, on bool)
}

var relayFaults = []relayFault{
	{"none", func(*testCluster, int, bool) {}},
	{"unresponsive", func(tc *testCluster, relay int, on bool) {
		for _, conns := range tc.hubConns {
			conns[relay].unresponsive.Store(on)
		}
	}},
	{"disconnected", func(tc *testCluster, relay int, on bool) {
		for _, conns := range tc.hubConns {
			conns[relay].disconnected.Store(on)
		}
	}},
	{"store silent", func(tc *testCluster, relay int, on bool) { tc.storeConns[relay].unresponsive.Store(on) }},
	{"store refuses", func(tc *testCluster, relay int, on bool) { tc.storeConns[relay].disconnected.Store(on) }},
}

// changeLog checks that followers receive changes in time.
type changeLog struct {
	tc *testCluster
	// within replaces applyWithin if it is set.
	within time.Duration
	puts   []putChange
	// checked is the number of changes that were checked, late lists those that a follower lacked.
	checked int
	late    []string
}

type putChange struct {
	revision store.Revision
	at       time.Time
}

// put writes the next change.
func (l *changeLog) put() {
	l.tc.put("a", fmt.Sprint("value ", len(l.puts)))
	item, err := l.tc.store.Get(l.tc.ctx, keys+"a")
	assert.NoError(l.tc.t, err)
	l.puts = append(l.puts, putChange{item.Revision, time.Now()})
}

// run writes a change each interval for a while, and records each follower that lacks a change when it
// must have it.
func (l *changeLog) run(d, interval time.Duration) {
	const step = 50 * time.Millisecond
	for end, next := time.Now().Add(d), time.Now(); time.Now().Before(end); time.Sleep(step) {
		if !time.Now().Before(next) {
			l.put()
			next = next.Add(interval)
		}
		l.check()
	}
}

// check checks the changes that followers must have by now.
func (l *changeLog) check() {
	for ; l.checked < len(l.puts) && time.Since(l.puts[l.checked].at) >= cmp.Or(l.within, applyWithin); l.checked++ {
		for i, c := range l.tc.copies {
			if have, want := c.revision("a"), l.puts[l.checked].revision; have < want {
				l.late = append(l.late, fmt.Sprintf("follower %d has revision %d, change %d of %d is %d", i, have, l.checked, len(l.puts), want))
			}
		}
	}
}

// revision returns the newest revision of a key that the copy has received.
func (c *copyReader) revision(key string) store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest[keys+key]
}

// Guards against late changes at a process that reaches the store all the while: two relays fail, each in
// one of five ways, the second one up to 2.5 s after the first.
func TestChangesArriveInTimeInWhateverOrderRelaysFail(t *testing.T) {
	for _, first := range relayFaults {
		for _, second := range relayFaults {
			for _, followers := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, then %s, %d followers", first.name, second.name, followers), func(t *testing.T) {
					for offset := time.Duration(0); offset <= 2500*time.Millisecond; offset += 500 * time.Millisecond {
						withCluster(t, 2, followers, func(tc *testCluster) {
							l := &changeLog{tc: tc}
							l.run(5*time.Second, time.Second)
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

// Guards against a follower that abandons all its sources because its own link or processor delays every
// message by nearly half a second: no source is to blame, and the changes must arrive with that delay.
func TestFollowerBehindASlowLinkReceivesChanges(t *testing.T) {
	for _, delay := range []time.Duration{200, 350, 450, 600} {
		t.Run(fmt.Sprint(int64(delay), " ms"), func(t *testing.T) {
			withCluster(t, 2, 1, func(tc *testCluster) {
				l := &changeLog{tc: tc}
				l.run(5*time.Second, time.Second)
				for _, conn := range append(tc.hubConns[0], tc.storeConns[2]) {
					conn.setDelay(delay * time.Millisecond)
				}
				l.run(10*time.Second, 500*time.Millisecond)
				l.run(20*time.Second, 3*time.Second)
				assert.Empty(t, l.late)
				_, losses := tc.copies[0].lossState()
				assert.Zero(t, losses)
			})
		})
	}
}

// Guards against a follower that gives up each answer that would bring it a change, since all of its messages take seconds: changes must
// arrive within the time of an answer that has just missed them and of the next one, and nobody has lost the store.
func TestLateAnswersAreNotGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{1000, 1500, 2200, 2800, 4000} {
		t.Run(fmt.Sprint(int64(delay), " ms"), func(t *testing.T) {
			withCluster(t, 2, 1, func(tc *testCluster) {
				l := &changeLog{tc: tc, within: watchDelay + pollWait + 2*delay*time.Millisecond}
				l.run(5*time.Second, time.Second)
				for _, conn := range append(tc.hubConns[0], tc.storeConns[2]) {
					conn.setDelay(delay * time.Millisecond)
				}
				l.run(10*time.Second, 500*time.Millisecond)
				l.run(30*time.Second, 3*time.Second)
				assert.Empty(t, l.late)
				if delay <= 1500 {
					_, losses := tc.copies[0].lossState()
					assert.Zero(t, losses)
				}
			})
		})
	}
}

// Guards against a relay that counts as followed although it has read nothing: a follower returns to its
// relay, which starts to read a store that does not answer it.
func TestRelayThatHasReadNothingDelaysNoChanges(t *testing.T) {
	withCluster(t, 2, 1, func(tc *testCluster) {
		l := &changeLog{tc: tc}
		l.run(3*time.Second, time.Second)
		tc.hubConns[0][0].disconnected.Store(true)
		l.run(idleTimeout+2*idleCheckInterval, time.Second) // the relay stops following
		tc.storeConns[0].unresponsive.Store(true)
		tc.hubConns[0][0].disconnected.Store(false)
		for range 20 {
			l.put()
			time.Sleep(watchDelay)
			assert.GreaterOrEqual(t, tc.copies[0].revision("a"), l.puts[len(l.puts)-1].revision)
		}
	})
}

// Guards against late changes at a process that reaches the store all the while, whatever its relays do: they
// fail and recover in any order, in each of the ways of relayFaults.
func TestChangesArriveInTimeBesideRelaysThatComeAndGo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			fault int
			relay int
			end   bool
			pause time.Duration
		}
		steps := make([]step, rapid.IntRange(5, 30).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = step{
				fault: rapid.IntRange(1, len(relayFaults)-1).Draw(rt, "fault"),
				relay: rapid.IntRange(0, 1).Draw(rt, "relay"),
				end:   rapid.Bool().Draw(rt, "end"),
				pause: time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause ms")) * time.Millisecond,
			}
		}
		followers := rapid.IntRange(1, 2).Draw(rt, "followers")
		var late []string
		withCluster(t, 2, followers, func(tc *testCluster) {
			l := &changeLog{tc: tc}
			l.run(5*time.Second, time.Second)
			for _, s := range steps {
				relayFaults[s.fault].set(tc, s.relay, !s.end)
				l.run(s.pause, 300*time.Millisecond)
			}
			l.run(applyWithin, time.Second)
			late = l.late
		})
		require.Empty(rt, late)
	})
}

// Guards against a copy that counts as confirmed although it lacks a change: relays fail and recover in any order while the follower's
// messages take any time. Without faults the copy is confirmed all the while.
func TestConfirmedCopyLacksNoChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ fault, relay, delay, pause int }
		steps := make([]step, rapid.IntRange(3, 15).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = step{rapid.IntRange(0, len(relayFaults)-1).Draw(rt, "fault"), rapid.IntRange(0, 1).Draw(rt, "relay"),
				rapid.IntRange(0, 1500).Draw(rt, "delay ms"), rapid.IntRange(0, 2500).Draw(rt, "pause ms")}
		}
		var lacking []string
		var oldest time.Duration
		withCluster(t, 2, 1, func(tc *testCluster) {
			l := &changeLog{tc: tc, within: time.Hour}
			run := func(d time.Duration) (oldest time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); {
					l.run(150*time.Millisecond, 100*time.Millisecond)
					confirmed := tc.followers[0].ConfirmedAt(keys)
					oldest = max(oldest, time.Since(confirmed))
					lacking = append(lacking, l.lackingAt(confirmed)...)
				}
				return oldest
			}
			run(5 * time.Second)
			oldest = run(5 * time.Second)
			for _, s := range steps {
				for _, conn := range append(tc.hubConns[0], tc.storeConns[2]) {
					conn.setDelay(time.Duration(s.delay) * time.Millisecond)
				}
				relayFaults[s.fault].set(tc, s.relay, true)
				run(time.Duration(s.pause) * time.Millisecond)
				relayFaults[s.fault].set(tc, s.relay, false)
			}
		})
		require.Empty(rt, lacking)
		require.Less(rt, oldest, applyWithin)
	})
}

// lackingAt lists the changes before a time that the first follower lacks.
func (l *changeLog) lackingAt(confirmed time.Time) (out []string) {
	for _, put := range l.puts {
		if have := l.tc.copies[0].revision("a"); put.at.Before(confirmed) && have < put.revision {
			out = append(out, fmt.Sprintf("revision %d lacks %d of %s before, from %s", have, put.revision, confirmed.Sub(put.at), l.tc.followers[0].State().Source))
		}
	}
	return out
}
