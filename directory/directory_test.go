package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// quiet hears reports and does nothing.
type quiet struct{}

func (quiet) UpstreamChanged(Upstream)      {}
func (quiet) UpstreamGone(Upstream, string) {}
func (quiet) DirectoryLost(error)           {}
func (quiet) DirectoryRead(int)             {}
func (quiet) UpstreamUnreadable(error)      {}

func entryOf(id, state string) store.Item {
	return store.Item{Key: "u/" + id, Value: []byte(state), Revision: 1}
}

func directoryAt(now *time.Time) *Directory {
	return &Directory{Report: quiet{}, Now: func() time.Time { return *now },
		Decode: func(it store.Item) (Upstream, error) {
			return Upstream{ID: it.Key[2:], Service: "s", Leaving: string(it.Value) != "ready"}, nil
		}}
}

func ids(d *Directory) (out []string) {
	for _, u := range d.Of("s") {
		out = append(out, u.ID)
	}
	return out
}

// The store is away for some seconds and all entries lapse. Right after its return none
// is listed; the living upstreams are back within two seconds. Requests go on meanwhile,
// and what is still missing then is gone.
func TestEntriesThatLapsed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready")})
	d.Lost(store.ErrUnknown)
	now = now.Add(4 * time.Second)
	d.Reset(nil)
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	now = now.Add(time.Second)
	d.Changed(store.Event{Item: entryOf("a", "ready")})
	now = now.Add(2 * time.Second)
	d.Expire()
	require.Equal(t, []string{"a"}, ids(d))
}

// The store forgot its history but was never away: what is missing has left, and gets
// nothing more.
func TestEntriesMissingAfterACompaction(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready")})
	d.Lost(store.Error.Wrap(store.ErrCompacted))
	d.Reset([]store.Item{entryOf("a", "ready")})
	require.Equal(t, []string{"a"}, ids(d))
}

func TestLeavingUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
	d.Changed(store.Event{Item: entryOf("a", "draining")})
	d.Changed(store.Event{Item: store.Item{Key: "u/b"}, Deleted: true})
	d.Reject("c")
	require.Equal(t, []string{"d"}, ids(d))
	d.Changed(store.Event{Item: entryOf("c", "ready")})
	require.Equal(t, []string{"d"}, ids(d), "an incarnation whose address another one has does not return")
}

// An upstream that said that it leaves is not believed back by an outage of the store.
func TestLeavingDuringAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "draining")})
	d.Lost(store.ErrUnknown)
	d.Reset(nil)
	require.Empty(t, ids(d))
	require.Empty(t, d.All())
}
