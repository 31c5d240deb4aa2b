package member

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// entry is the entry of an incarnation on a VM, written at a revision.
func entry(t *testing.T, role, vm string, revision int64) store.Item {
	m := Member{ID: fmt.Sprintf("%s/%d", vm, revision), Role: role, VM: vm, Address: vm + ":1"}
	value, err := json.Marshal(m)
	require.NoError(t, err)
	return store.Item{Key: "m/" + m.ID, Value: value, Revision: store.NewRevision(0, revision)}
}

func TestHasSuccessorFollowsTheList(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := &Group{Prefix: "m/", Report: nopReporter{}}
		first, beside, next := entry(t, "router", "r1", 1), entry(t, "lender", "r1", 2), entry(t, "router", "r1", 3)
		require.False(t, g.HasSuccessor("r1/1"), "never listed")
		g.Reset([]store.Item{first, beside})
		require.False(t, g.HasSuccessor("r1/1"), "another role")
		g.Changed(store.Event{Item: next})
		require.True(t, g.HasSuccessor("r1/1"))
		require.False(t, g.HasSuccessor("r1/3"))
		g.Changed(store.Event{Item: next, Deleted: true})
		require.True(t, g.HasSuccessor("r1/1"), "its successor has left")
		time.Sleep(formerRetention + time.Second)
		g.cleanUp(time.Now())
		require.False(t, g.HasSuccessor("r1/1"), "its successor is forgotten")
	})
}

// Guards against a lender that scans all members for each of its borrowers, each second and for each refusal: in a fleet of 330 routers and
// 1,300 lenders that takes some 20 ms each time, and four times as long in one of twice the size.
func TestHasSuccessorTakesNoLongerInALargeFleet(t *testing.T) {
	took := func(members int) time.Duration {
		g := &Group{Prefix: "m/", Report: nopReporter{}}
		var items []store.Item
		for n := range members {
			items = append(items, entry(t, "router", fmt.Sprint("router-", n), int64(n+1)))
		}
		g.Reset(items)
		least := time.Duration(math.MaxInt64) // the machine may be busy
		for range 20 {
			began := time.Now()
			for range 100 {
				g.HasSuccessor("router-0/1")
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	small, large := took(200), took(8000)
	require.Less(t, large, 10*small, "40 times as many members")
}
