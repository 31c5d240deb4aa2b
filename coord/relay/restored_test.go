package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// restoredCase is a store that loses its newest writes.
type restoredCase struct {
	// lost is the number of writes that are lost, rewritten the number of keys that are written right after the
	// return, with revisions that were given out before.
	lost, rewritten int
	absence         time.Duration
}

func (c restoredCase) String() string {
	return fmt.Sprintf("%d lost, %d rewritten, away for %s", c.lost, c.rewritten, c.absence)
}

func restoredCases() (cases []restoredCase) {
	for _, absence := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		for _, rewritten := range []int{0, 2, 8, 30} {
			cases = append(cases, restoredCase{lost: 8, rewritten: rewritten, absence: absence})
		}
	}
	return cases
}

// restore makes the cluster's store lose its newest writes.
func (c restoredCase) restore(tc *testCluster) {
	older := tc.store.Copy()
	for n := range c.lost {
		tc.put(fmt.Sprint("lost ", n), "value")
	}
	tc.put("rewritten 0", "lost value")
	time.Sleep(2 * time.Second)
	for _, conn := range tc.storeConns {
		conn.disconnected.Store(c.absence > 0)
	}
	time.Sleep(c.absence)
	tc.store.Restore(older)
	for n := range c.rewritten {
		tc.put(fmt.Sprint("rewritten ", n), "value")
	}
	for _, conn := range tc.storeConns {
		conn.disconnected.Store(false)
	}
}

// Guards against followers that take no change after the store was restored from an older copy, or that go on as if nothing
// had happened: its revisions went back, and are given out again.
func TestChangesArriveAfterTheStoreWasRestored(t *testing.T) {
	for _, c := range restoredCases() {
		t.Run(c.String(), func(t *testing.T) {
			withCluster(t, 2, 3, func(tc *testCluster) {
				tc.put("a", "before")
				time.Sleep(3 * time.Second)
				c.restore(tc)
				for n := range 6 {
					tc.put("a", fmt.Sprint("after ", n))
					time.Sleep(applyWithin)
					for i, follower := range tc.copies {
						assert.Equal(t, tc.values(), follower.values(), "follower %d, change %d", i, n)
					}
				}
				for i, follower := range tc.copies {
					assert.Empty(t, follower.wentBack(), "follower %d", i)
				}
			})
		})
	}
}

// Guards against late changes at a process that reaches the store, whatever its relays do and however often the
// store is restored from an older copy.
func TestChangesArriveInTimeBesideRestoredStores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			restore bool
			restoredCase
			fault, relay int
			end          bool
			pause        time.Duration
		}
		steps := make([]step, rapid.IntRange(3, 16).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = step{
				restore: rapid.Bool().Draw(rt, "restore"),
				restoredCase: restoredCase{lost: rapid.IntRange(0, 20).Draw(rt, "lost"), rewritten: rapid.IntRange(0, 40).Draw(rt, "rewritten"),
					absence: time.Duration(rapid.IntRange(0, 2000).Draw(rt, "absence ms")) * time.Millisecond},
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
			l.run(4*time.Second, time.Second)
			for _, s := range steps {
				if s.restore {
					s.restoredCase.restore(tc)
					l.checked = len(l.puts) // what was written before may be late while the store was away
				} else {
					relayFaults[s.fault].set(tc, s.relay, !s.end)
				}
				l.run(s.pause, 300*time.Millisecond)
			}
			l.run(applyWithin, time.Second)
			late = l.late
			for _, follower := range tc.copies {
				require.Empty(rt, follower.wentBack())
			}
		})
		require.Empty(rt, late)
	})
}

// Guards against revisions with eras at a follower that knows none, as the processes of an earlier version: its next
// relay of that version would count as older.
func TestFollowerWithoutErasGetsTheStoresNumbers(t *testing.T) {
	withCluster(t, 1, 1, func(tc *testCluster) {
		tc.put("a", "before")
		older := tc.store.Copy()
		tc.put("a", "lost")
		tc.store.Restore(older)
		tc.put("b", "after")
		time.Sleep(2 * time.Second)
		ask := func(after store.Revision) Update {
			reply, err := tc.hubs[0].Serve(tc.ctx, Request{Store: "s", Positions: []Position{{Prefix: keys, After: after}}})
			require.NoError(t, err)
			return reply.Updates[0]
		}
		all := ask(0)
		require.Equal(t, tc.store.Revision().Number(), int64(all.At))
		require.Len(t, all.Changes, 2)
		require.Zero(t, all.Changes[0].Revision.Era())
		require.Equal(t, Update{Prefix: keys, At: all.At}, withoutTimes(ask(all.At)), "nothing new, and no whole copy")
		tc.put("c", "next")
		time.Sleep(time.Second)
		next := ask(all.At)
		require.False(t, next.Whole)
		require.Len(t, next.Changes, 1)
	})
}

func withoutTimes(u Update) Update {
	u.Due, u.Age, u.Lag, u.Held = 0, 0, 0, 0
	return u
}

// Guards against a follower that takes "nothing new" from a relay of an earlier era for good news: such a relay never
// catches up by further changes.
func TestRelayOfAnEarlierEraIsLeft(t *testing.T) {
	earlier, later := store.NewRevision(1, 9), store.NewRevision(2, 4)
	answer := func(own, after, at store.Revision) error {
		f := &Follower{Readers: map[string]mirror.Reader{keys: newCopy()}, Report: nopReporter{}, progress: map[string]*progress{keys: {at: own}}}
		return f.applyReply(Reply{Updates: []Update{{Prefix: keys, At: at}}},
			asked{positions: []Position{{Prefix: keys, After: after}}, revisions: map[string]store.Revision{keys: own}})
	}
	require.NoError(t, answer(earlier, earlier, earlier))
	require.ErrorIs(t, answer(later, later, earlier), ErrBehind)
	require.ErrorIs(t, answer(earlier, earlier, later), ErrInvalidReply, "a later era without all keys")
}
