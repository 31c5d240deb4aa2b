package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
