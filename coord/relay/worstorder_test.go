package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/assert"
)

// applyWithin is the time within which a process that reaches the store must have a change, whatever
// happens to its relays.
const applyWithin = 2 * time.Second

// relayFault is a fault of one relay, as its followers observe it.
type relayFault struct {
	name  string
	apply func(tc *testCluster, relay int)
}

var relayFaults = []relayFault{
	{"none", func(*testCluster, int) {}},
	{"unresponsive", func(tc *testCluster, relay int) {
		for _, conns := range tc.hubConns {
			conns[relay].unresponsive.Store(true)
		}
	}},
	{"disconnected", func(tc *testCluster, relay int) {
		for _, conns := range tc.hubConns {
			conns[relay].disconnected.Store(true)
		}
	}},
	{"store silent", func(tc *testCluster, relay int) { tc.storeConns[relay].unresponsive.Store(true) }},
	{"store refuses", func(tc *testCluster, relay int) { tc.storeConns[relay].disconnected.Store(true) }},
}

// changeLog checks that followers receive changes in time.
type changeLog struct {
	tc   *testCluster
	last store.Revision
	puts []putChange
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

// run writes a change each interval for a while, and fails the test for each follower that lacks a
// change when it must have it.
func (l *changeLog) run(d, interval time.Duration) {
	const step = 50 * time.Millisecond
	checked := 0
	for end, next := time.Now().Add(d), time.Now(); time.Now().Before(end); time.Sleep(step) {
		if !time.Now().Before(next) {
			l.put()
			next = next.Add(interval)
		}
		for ; checked < len(l.puts) && time.Since(l.puts[checked].at) >= applyWithin; checked++ {
			for i, c := range l.tc.copies {
				assert.GreaterOrEqual(l.tc.t, c.revision("a"), l.puts[checked].revision, "follower %d, change %d of %d", i, checked, len(l.puts))
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
							first.apply(tc, 0)
							l.run(offset, 500*time.Millisecond)
							second.apply(tc, 1)
							l.run(8*time.Second, 500*time.Millisecond)
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
				l.run(15*time.Second, 500*time.Millisecond)
				_, losses := tc.copies[0].lossState()
				assert.Zero(t, losses)
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
