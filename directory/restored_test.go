package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// writtenAt returns an entry by the era and number of its last write; it was created by the write with the number created.
func writtenAt(id, state string, era store.Era, number, created int64) store.Item {
	return store.Item{Key: "u/" + id, Value: []byte(state), Revision: store.NewRevision(era, number), Created: store.NewRevision(era, created)}
}

func restored(d *Directory, items ...store.Item) {
	d.Lost(store.Error.Wrap(store.ErrRestored))
	d.Reset(items)
}

// Guards against an upstream that gets requests again after its entry said that it leaves: the store was restored from an
// older copy, or the entry was read from a stale source.
func TestEntryThatSaysLeavingIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{writtenAt("a", "ready@1", 1, 3, 3), writtenAt("b", "ready@1", 1, 4, 4)})
	d.Changed(store.Event{Item: writtenAt("a", "draining@1", 1, 9, 3)})
	require.Equal(t, []string{"b"}, ids(d))
	restored(d, writtenAt("a", "ready@1", 2, 3, 3), writtenAt("b", "ready@1", 2, 4, 4))
	require.Equal(t, []string{"b"}, ids(d))
	d.Changed(store.Event{Item: writtenAt("a", "ready@1", 2, 12, 12)})
	require.Equal(t, []string{"b"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: store.NewRevision(2, 13)}, Deleted: true})
	restored(d, writtenAt("a", "ready@1", 3, 3, 3), writtenAt("b", "ready@1", 3, 4, 4))
	require.Equal(t, []string{"b"}, ids(d))
	d.Changed(store.Event{Item: writtenAt("a", "ready@2", 3, 14, 14)})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d), "a new incarnation")
}

// Guards against requests to an upstream whose entry was removed before the store was restored from an older copy that
// still has it. It is used again once it writes its entry.
func TestRemovedEntryThatReappears(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	all := []store.Item{writtenAt("a", "ready@1", 1, 3, 3), writtenAt("b", "ready@1", 1, 4, 4)}
	copied := []store.Item{writtenAt("a", "ready@1", 2, 3, 3), writtenAt("b", "ready@1", 2, 4, 4)}
	d.Reset(all)
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: store.NewRevision(1, 9)}, Deleted: true})
	restored(d, copied...)
	require.Equal(t, []string{"b"}, ids(d))
	d.Lost(store.ErrUnknown)
	d.Reset(copied)
	require.Equal(t, []string{"b"}, ids(d), "the same entry read again")
	d.Changed(store.Event{Item: writtenAt("a", "ready@1", 2, 10, 3)})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d), "written after the restoration")
}

// Guards against an upstream that stays without requests for good: its entry was removed while it could not reach the store, it
// is in the older copy, and the upstream finds nothing to write.
func TestReappearedEntryIsUsedAfterAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{writtenAt("a", "ready@1", 1, 3, 3)})
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: store.NewRevision(1, 9)}, Deleted: true})
	restored(d, writtenAt("a", "ready@1", 2, 3, 3))
	now = now.Add(reappearedDoubt - time.Second)
	d.Expire()
	require.Empty(t, ids(d))
	now = now.Add(time.Second)
	d.Expire()
	require.Equal(t, []string{"a"}, ids(d))
}

// Guards against refusals after the store was restored from an older copy that lacks the entries of live upstreams:
// their owners register again within two seconds. Entries that do not return are dropped then.
func TestEntriesThatTheCopyLacks(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{writtenAt("a", "ready@1", 1, 3, 3), writtenAt("b", "ready@1", 1, 8, 8), writtenAt("c", "ready@1", 1, 9, 9)})
	restored(d, writtenAt("a", "ready@1", 2, 3, 3))
	require.ElementsMatch(t, []string{"a", "b", "c"}, ids(d))
	now = now.Add(time.Second)
	d.Changed(store.Event{Item: writtenAt("b", "ready@1", 2, 7, 7)})
	now = now.Add(missingGrace)
	d.Expire()
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
}

// Guards against an ended incarnation that supersedes a live one of the same address: the store was restored from
// an older copy, and revisions were given out again.
func TestAddressAfterARestoration(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	decode := d.Decode
	d.Decode = func(it store.Item) (Upstream, error) {
		u, err := decode(it)
		u.Address = "same"
		return u, err
	}
	d.Reset([]store.Item{writtenAt("old", "ready@1", 1, 3, 3), writtenAt("new", "ready@2", 1, 9, 9)})
	require.Equal(t, []string{"new"}, ids(d))
	restored(d, writtenAt("old", "ready@1", 2, 3, 3))
	require.Equal(t, []string{"new"}, ids(d), "the copy is older than the new incarnation")
	require.Equal(t, store.NewRevision(1, 9), d.ForService("s")[0].Registered)
	d.Changed(store.Event{Item: writtenAt("new", "ready@2", 2, 5, 5)})
	require.Equal(t, []string{"new"}, ids(d))
}

// Guards against an upstream that counts as cold for longer because its unchanged entry is read again after a restoration.
func TestColdTimeIsNotExtendedByARestoration(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	decode := d.Decode
	d.Decode = func(it store.Item) (Upstream, error) {
		u, err := decode(it)
		u.Cold = 5 * time.Second
		return u, err
	}
	d.Reset([]store.Item{writtenAt("a", "ready@1", 1, 3, 3)})
	until := d.ForService("s")[0].ColdUntil
	now = now.Add(3 * time.Second)
	restored(d, writtenAt("a", "ready@1", 2, 3, 3))
	require.Equal(t, until, d.ForService("s")[0].ColdUntil)
}
