package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a version that gets requests again since another one was ordered after it, and against one that gets none although it
// was completed or ordered again.
func TestEarlierOrders(t *testing.T) {
	e := Earlier{}.Next("v2", RolledBack, 0, "v3")
	require.True(t, e.Rejects("v2"))
	require.False(t, e.Rejects("v1"))
	require.False(t, e.Rejects("v3"))
	e = e.Next("v3", InProgress, 0, "v2")
	require.Equal(t, []string{"v3"}, e.Rejected, "v2 is ordered again")
	e = e.Next("v2", Completed, 40, "v4")
	require.Equal(t, []string{"v3"}, e.Rejected)
	require.True(t, e.Stopped("v1", 40))
	require.False(t, e.Stopped("v1", 41), "it registered later")
	require.False(t, e.Stopped("v2", 3))
	require.False(t, Earlier{}.Stopped("v1", 0))
}

// Guards against a router that keeps its own state of the earlier order after a directive says how that ended.
func TestEarlierOrdersAsTheStoreHasThem(t *testing.T) {
	own := Earlier{}.Next("v2", InProgress, 0, "v3")
	merged := own.Merge(Earlier{Completed: "v2", CompletedAt: 9, Rejected: []string{"v0"}}, "v3")
	require.Equal(t, Earlier{Completed: "v2", CompletedAt: 9, Rejected: []string{"v0"}}, merged)
	require.Equal(t, own, own.Merge(Earlier{}, "v3"), "the store knows nothing of it")
}

// Guards against a record that grows with each order.
func TestNumberOfRejectedVersions(t *testing.T) {
	var e Earlier
	for n := range 3 * maxRejected {
		e = e.Next(string(rune('a'+n)), RolledBack, 0, "z")
	}
	require.Len(t, e.Rejected, maxRejected)
	require.True(t, e.Rejects(string(rune('a'+3*maxRejected-1))))
}
