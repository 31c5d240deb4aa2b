package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// Guards against an upstream that gets requests again because its entry, an older copy of it, or an entry that lapsed and
// returned says that it is ready, after it has said itself that it leaves.
func TestUpstreamThatSaysItLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready@1"), entryOf("b", "ready@1")})
	d.SaysLeaving(Incarnation{ID: "a", StartUnixMS: 1})
	require.Equal(t, []string{"b"}, ids(d))
	d.Changed(store.Event{Item: entryOf("a", "ready@1")})
	require.Equal(t, []string{"b"}, ids(d))
	d.Lost(store.ErrUnknown)
	now = now.Add(4 * time.Second)
	d.Reset([]store.Item{entryOf("b", "ready@1")})
	d.Changed(store.Event{Item: entryOf("a", "ready@1")})
	require.Equal(t, []string{"b"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/a"}, Deleted: true})
	now = now.Add(leavingMemory - time.Second)
	d.SaysLeaving(Incarnation{ID: "c"})
	d.Changed(store.Event{Item: entryOf("a", "ready@1")})
	require.Equal(t, []string{"b"}, ids(d))

	d.Changed(store.Event{Item: entryOf("a", "ready@2")})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d), "a new incarnation")
	d.SaysLeaving(Incarnation{ID: "b", StartUnixMS: 7})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d), "another incarnation leaves")
	now = now.Add(2 * leavingMemory)
	d.SaysLeaving(Incarnation{ID: "d"})
	require.Len(t, d.leaving, 1, "what has left is forgotten")
	require.Contains(t, d.leaving, Incarnation{ID: "d"})
}
