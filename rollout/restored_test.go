package rollout

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// Guards against upstreams that registered after the end of a roll-out and get no requests any more: the end was written again to a
// restored store, at a later revision.
func TestEndOfARollOutStaysWhenItIsWrittenAgain(t *testing.T) {
	first, again := store.NewRevision(1, 50), store.NewRevision(2, 9)
	f := Follower{Order: Order{Service: "s", Version: "v2", Revision: store.NewRevision(1, 20)}}
	f.Apply(time.Now(), Directive{Revision: f.Order.Revision, State: Completed, Ended: first})
	require.True(t, f.Ended())
	f.Rename(Order{Service: "s", Version: "v2", Revision: store.NewRevision(2, 5), Earlier: f.Order.Revision})
	require.False(t, f.Ended(), "the store may lack it")
	require.Equal(t, Completed, f.State())
	f.Apply(time.Now(), Directive{Revision: f.Order.Revision, State: Completed, Ended: again})
	require.True(t, f.Ended())
	require.Equal(t, first, f.EndedAt())
}

// Guards against a record that is taken for that of another order: the same version was ordered again before the restoration.
func TestRecordOfAnEarlierOrder(t *testing.T) {
	record := Record{Order: store.NewRevision(1, 20), Version: "v2", Duration: time.Minute}
	order := Order{Version: "v2", Duration: time.Minute, Revision: store.NewRevision(2, 5)}
	require.True(t, record.IsOf(order), "a process that knows no earlier revision")
	order.Earlier = store.NewRevision(1, 20)
	require.True(t, record.IsOf(order))
	order.Earlier = store.NewRevision(1, 40)
	require.False(t, record.IsOf(order))
	require.False(t, record.IsOf(Order{Version: "v2", Duration: time.Minute, Revision: store.NewRevision(1, 40)}), "ordered again in the same era")
	require.False(t, record.IsOf(Order{Version: "v3", Duration: time.Minute, Revision: store.NewRevision(2, 5)}))
	record.Version = ""
	require.False(t, record.IsOf(Order{Revision: store.NewRevision(2, 5)}), "written by an earlier version of the process")
}
