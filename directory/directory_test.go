package directory

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// noopReporter ignores all reports.
type noopReporter struct{}

func (noopReporter) UpstreamChanged(Upstream)                 {}
func (noopReporter) UpstreamGone(Upstream, string)            {}
func (noopReporter) UpstreamMissing(Upstream, bool, int, int) {}

func (noopReporter) UpstreamReappeared(Upstream, time.Duration) {}
func (noopReporter) DirectoryLost(error)                        {}
func (noopReporter) DirectoryRead(int)                          {}
func (noopReporter) UpstreamUnreadable(error)                   {}

func entryOf(id, state string) store.Item {
	return store.Item{Key: "u/" + id, Value: []byte(state), Revision: 1}
}

func directoryAt(now *time.Time) *Directory {
	return &Directory{Report: noopReporter{}, Now: func() time.Time { return *now },
		Decode: func(it store.Item) (Upstream, error) {
			if string(it.Value) == "spoiled" {
				return Upstream{}, errors.New("cannot be read")
			}
			u := Upstream{Incarnation: Incarnation{ID: it.Key[2:]}, Address: it.Key, Service: "s", Leaving: strings.HasPrefix(string(it.Value), "draining")}
			_, startUnixMS, _ := strings.Cut(string(it.Value), "@")
			u.StartUnixMS, _ = strconv.ParseInt(startUnixMS, 10, 64) // 0 is unknown
			return u, nil
		}}
}

func ids(d *Directory) (out []string) {
	for _, u := range d.ForService("s") {
		out = append(out, u.ID)
	}
	return out
}

// Guards against refusing requests after an outage of the store. All leases expire during the
// outage, and the first read lists no entry; live upstreams register again within two seconds.
// Requests continue meanwhile, and entries still missing after that are dropped.
func TestExpiredEntriesAfterAnOutage(t *testing.T) {
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

// Guards against keeping removed upstreams after a compaction: the store was available all the
// time, so missing entries were removed.
func TestEntriesMissingAfterACompaction(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready")})
	d.Lost(store.Error.Wrap(store.ErrCompacted))
	d.Reset([]store.Item{entryOf("a", "ready")})
	require.Equal(t, []string{"a"}, ids(d))

	// Also if most upstreams were removed.
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
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
	d.Reject(Incarnation{ID: "c"})
	require.Equal(t, []string{"d"}, ids(d))
	d.Changed(store.Event{Item: entryOf("c", "ready")})
	require.Equal(t, []string{"d"}, ids(d), "a rejected incarnation stays rejected")
}

// Guards against treating a draining upstream as live because of an outage of the store.
func TestLeavingDuringAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "draining")})
	d.Lost(store.ErrUnknown)
	d.Reset(nil)
	require.Empty(t, ids(d))
	require.Empty(t, d.All())
}

// Guards against rejecting a restarted upstream. It crashes and restarts under its id before its
// lease expires, and its first incarnation was rejected because another process answered at its
// address. The second incarnation gets requests at once, and late events of the first one have no
// effect.
func TestRestartUnderTheSameID(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	written := func(state string, revision store.Revision) store.Item {
		return store.Item{Key: "u/a", Value: []byte(state), Revision: revision}
	}
	d.Reset([]store.Item{written("ready@1", 5)})
	d.Reject(Incarnation{ID: "a", StartUnixMS: 1})
	require.Empty(t, ids(d))
	d.Changed(store.Event{Item: written("ready@1", 6)})
	require.Empty(t, ids(d), "the same incarnation writes again")
	d.Changed(store.Event{Item: written("ready@2", 8)})
	require.Equal(t, []string{"a"}, ids(d))
	require.EqualValues(t, 2, d.ForService("s")[0].StartUnixMS)
	d.Changed(store.Event{Item: written("draining@1", 7)})
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 7}, Deleted: true})
	d.Reject(Incarnation{ID: "a", StartUnixMS: 1})
	require.EqualValues(t, 2, d.ForService("s")[0].StartUnixMS, "late events of the first incarnation have no effect")
}

// Guards against applying the state of an old incarnation to a new one. An upstream that was
// draining restarts during an outage of the store, and its new incarnation gets requests.
func TestRestartDuringAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "draining@1")})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{entryOf("a", "ready@2")})
	require.Equal(t, []string{"a"}, ids(d))
}

// Guards against sending requests to entries of previous incarnations. After a power loss all
// upstreams restart at their addresses under new ids, and the old entries remain for seconds until
// their leases expire. Routers sent half of the prompts to those, found another process at the
// address four times in a row ("misdirected"), and refused the prompts for 2.5 s with 47 live
// upstreams available. A newer entry for an address supersedes the older one.
func TestEntriesOfOneAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	decode := d.Decode
	d.Decode = func(it store.Item) (Upstream, error) {
		u, err := decode(it)
		u.Address = map[string]string{"old": "x:1", "new": "x:1", "other": "y:1", "false": "y:1"}[u.ID]
		return u, err
	}
	created := func(id string, at store.Revision) store.Item {
		return store.Item{Key: "u/" + id, Value: []byte("ready"), Revision: at, Created: at}
	}
	d.Reset([]store.Item{created("old", 5), created("other", 6)})
	require.ElementsMatch(t, []string{"old", "other"}, ids(d))
	d.Changed(store.Event{Item: created("new", 9)})
	require.ElementsMatch(t, []string{"new", "other"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/old", Value: []byte("ready"), Revision: 12, Created: 5}})
	require.ElementsMatch(t, []string{"new", "other"}, ids(d), "a late write of the previous incarnation has no effect")

	// Another writer's entry has the address of a live upstream; it is rejected after the first
	// request sent there.
	d.Changed(store.Event{Item: created("false", 14)})
	require.ElementsMatch(t, []string{"new", "false"}, ids(d))
	d.Reject(Incarnation{ID: "false"})
	require.ElementsMatch(t, []string{"new", "other"}, ids(d))

	// The newer one drains and is removed; the older one stays superseded.
	d.Changed(store.Event{Item: store.Item{Key: "u/new", Value: []byte("draining"), Revision: 20, Created: 9}})
	require.ElementsMatch(t, []string{"other"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/new", Revision: 21}, Deleted: true})
	require.ElementsMatch(t, []string{"other"}, ids(d))
}

// countingReporter counts the entries reported as undecodable.
type countingReporter struct {
	noopReporter
	unreadable int
}

func (c *countingReporter) UpstreamUnreadable(error) { c.unreadable++ }

// Guards against using an entry overwritten by another writer. It is dropped at once, also while
// the store is unavailable, and other entries are unaffected. The error is reported once, and the
// next valid entry is used at once.
func TestUndecodableEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	reports := &countingReporter{}
	d.Report = reports
	both := func(a string) []store.Item { return []store.Item{entryOf("a", a), entryOf("b", "ready")} }
	d.Reset(both("ready"))
	d.Changed(store.Event{Item: entryOf("a", "spoiled")})
	require.Equal(t, []string{"b"}, ids(d))
	d.Lost(store.ErrUnknown)
	d.Reset(both("spoiled"))
	d.Reset(both("spoiled"))
	require.Equal(t, []string{"b"}, ids(d))
	require.Equal(t, 1, reports.unreadable)
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Value: []byte("ready"), Revision: 9}})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Value: []byte("spoiled"), Revision: 10}})
	require.Equal(t, 2, reports.unreadable)
}

// Guards against using entries made up by another writer. If most upstreams register their start
// time, an entry without one is ignored. If most do not, as on other platforms, all are used, and
// a single entry with a start time changes nothing.
func TestEntriesWithoutStartTime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready@1"), entryOf("b", "ready@1"), entryOf("made-up", "ready")})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("made-up", "ready@1")})
	require.ElementsMatch(t, []string{"a", "b", "made-up"}, ids(d))
}

// Guards against treating a partition of one router as an outage of the store. The router is
// disconnected from the store for 12 s while an upstream starts to drain and removes its entry. The
// router took its partition for an outage in which leases expire, kept the upstream for 2200 ms and
// sent it requests until 3.1 s after the partition. But the entries of all other upstreams were
// unchanged, so no lease had expired.
func TestUpstreamRemovedDuringAPartition(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
	d.Lost(store.ErrUnknown)
	now = now.Add(12 * time.Second)
	d.Reset([]store.Item{entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
	require.ElementsMatch(t, []string{"b", "c", "d"}, ids(d))
	now = now.Add(time.Second)
	d.Changed(store.Event{Item: store.Item{Key: "u/b", Revision: 2}, Deleted: true})
	require.ElementsMatch(t, []string{"c", "d"}, ids(d), "an upstream removed after the partition is dropped at once, too")
}

// created returns an entry created at one revision and last written at another.
func created(id, state string, at, last store.Revision) store.Item {
	it := entryOf(id, state)
	it.Created, it.Revision = at, last
	return it
}

// Guards against taking rewritten entries for new ones. Upstreams rewrite their entries during a
// partition, as cold ones do, and one removes its entry. The rewritten entries are the same, so no
// lease expired and the missing upstream gets no more requests.
func TestEntriesWrittenDuringAPartition(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{created("a", "ready", 1, 1), created("b", "ready", 2, 2), created("c", "ready", 3, 3)})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{created("b", "ready", 2, 7), created("c", "ready", 3, 8)})
	require.ElementsMatch(t, []string{"b", "c"}, ids(d))
}

// Guards against dropping a live upstream when others registered again first. All leases expire
// during an outage of the store. At the first read two of three upstreams have registered again;
// the third one is live too and gets requests.
func TestEntriesCreatedAgainAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{created("a", "ready", 1, 1), created("b", "ready", 2, 2), created("c", "ready", 3, 3)})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{created("b", "ready", 7, 7), created("c", "ready", 8, 8)})
	require.ElementsMatch(t, []string{"a", "b", "c"}, ids(d))
	now = now.Add(missingGrace)
	d.Expire()
	require.ElementsMatch(t, []string{"b", "c"}, ids(d))
}

// Guards against dropping live upstreams if the store removes expired entries only after the first
// read: the read lists all entries, and they disappear one by one a moment later. Requests
// continue, since nearly all are missing.
func TestLeasesThatExpireAfterTheFirstRead(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	all := []store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")}
	d.Reset(all)
	d.Lost(store.ErrUnknown)
	d.Reset(all)
	for _, it := range all {
		d.Changed(store.Event{Item: store.Item{Key: it.Key, Revision: 2}, Deleted: true})
	}
	require.ElementsMatch(t, []string{"a", "b", "c", "d"}, ids(d))
}

// Guards against dropping live upstreams on a second outage. The store is lost again a second
// after its return, when one of three expired upstreams has registered again. The other two are
// live as well and get requests until the grace period ends.
func TestTwoOutagesInARow(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{created("a", "ready", 1, 1), created("b", "ready", 2, 2), created("c", "ready", 3, 3)})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{created("a", "ready", 7, 7)})
	d.Lost(store.ErrUnknown)
	now = now.Add(time.Second)
	d.Reset([]store.Item{created("a", "ready", 7, 7)})
	require.ElementsMatch(t, []string{"a", "b", "c"}, ids(d))
	now = now.Add(missingGrace)
	d.Expire()
	require.Equal(t, []string{"a"}, ids(d))
}
