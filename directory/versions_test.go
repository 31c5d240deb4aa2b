package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

const takeUpWindow = 30 * time.Second

// versioned returns an entry whose upstream has a version.
func versioned(id, version string, revision store.Revision) store.Item {
	return store.Item{Key: "u/" + id, Value: []byte(version), Revision: revision}
}

func versionedDirectory(now *time.Time) *Directory {
	d := directoryAt(now)
	d.Decode = func(it store.Item) (Upstream, error) {
		return Upstream{Incarnation: Incarnation{ID: it.Key[2:], StartUnixMS: 1}, Address: it.Key, Service: "s", Version: string(it.Value)}, nil
	}
	return d
}

func requireSole(t *testing.T, d *Directory, want string) {
	t.Helper()
	version, ok := d.SoleVersion("s", takeUpWindow)
	require.Equal(t, want != "", ok)
	if ok {
		require.Equal(t, want, version)
	}
}

// Guards against a version that is taken for the only one although another one served a moment ago, or may have
// served unnoticed: before this process started, and while the store could not be reached.
func TestSoleVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	d := versionedDirectory(&now)
	requireSole(t, d, "")
	d.Reset([]store.Item{versioned("a", "v1", 1)})
	requireSole(t, d, "")
	now = now.Add(takeUpWindow)
	requireSole(t, d, "v1")

	d.Changed(store.Event{Item: versioned("b", "v2", 2)})
	requireSole(t, d, "")
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 3}, Deleted: true})
	now = now.Add(takeUpWindow - time.Second)
	requireSole(t, d, "")
	now = now.Add(time.Second)
	requireSole(t, d, "v2")

	d.Lost(store.ErrUnknown)
	requireSole(t, d, "")
	d.Reset([]store.Item{versioned("b", "v2", 2)})
	requireSole(t, d, "")
	now = now.Add(takeUpWindow)
	requireSole(t, d, "v2")

	d.Lost(store.ErrCompacted)
	d.Reset([]store.Item{versioned("b", "v3", 9)})
	requireSole(t, d, "")
}

// Guards against refusals in a fleet that has just started: no stream is older than the first configuration.
func TestSoleVersionInANewFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	d := versionedDirectory(&now)
	d.NoRequestsUntil(now)
	now = now.Add(time.Second)
	d.Reset([]store.Item{versioned("a", "v1", 1)})
	requireSole(t, d, "v1")

	d = versionedDirectory(&now)
	d.NoRequestsUntil(now)
	now = now.Add(maxUnseen + time.Second)
	d.Reset([]store.Item{versioned("a", "v1", 1)})
	requireSole(t, d, "")
}

// Guards against an entry that another writer has changed: one incarnation has one version, so neither is certain.
func TestEntryThatChangesItsVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	d := versionedDirectory(&now)
	d.Reset([]store.Item{versioned("a", "v1", 1)})
	require.Equal(t, "v1", d.ForService("s")[0].StreamVersion())
	d.Changed(store.Event{Item: versioned("a", "v2", 2)})
	require.Empty(t, d.ForService("s")[0].StreamVersion())
	d.Changed(store.Event{Item: versioned("a", "v1", 3)})
	require.Empty(t, d.ForService("s")[0].StreamVersion())
	require.Equal(t, "v1", d.ForService("s")[0].Version)
}

// Guards against a version that is taken for the only one by a process that stood still, was cut off or is behind: one that joined and ended
// meanwhile is in no entry any more, and the loss of the store is not detected yet.
func TestSoleVersionOfAViewThatIsBehind(t *testing.T) {
	now := time.Unix(1000, 0)
	d := versionedDirectory(&now)
	confirmed := now
	d.ConfirmedAt = func() time.Time { return confirmed }
	d.Reset([]store.Item{versioned("a", "v1", 1)})
	now = now.Add(takeUpWindow)
	confirmed = now.Add(-maxUnseen)
	requireSole(t, d, "v1")

	now = now.Add(time.Millisecond)
	requireSole(t, d, "")
	now = now.Add(4 * time.Second)
	requireSole(t, d, "")
	confirmed = now
	requireSole(t, d, "v1")
}

// Guards against a version that is taken for the only one although another one joined and ended between the changes that a process received and
// the whole list that it got next, as from another relay.
func TestSoleVersionAfterAWholeListThatSkipsChanges(t *testing.T) {
	for gap, want := range map[time.Duration]string{maxUnseen: "v1", maxUnseen + time.Millisecond: ""} {
		now := time.Unix(1000, 0)
		d := versionedDirectory(&now)
		confirmed := now
		d.ConfirmedAt = func() time.Time { return confirmed }
		d.Reset([]store.Item{versioned("a", "v1", 1)})
		now = now.Add(takeUpWindow)
		confirmed = now.Add(-gap)
		d.Reset([]store.Item{versioned("a", "v1", 1)})
		confirmed = now
		requireSole(t, d, want)
		now = now.Add(takeUpWindow)
		confirmed = now
		requireSole(t, d, "v1")
	}
}
