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

// quiet hears reports and does nothing.
type quiet struct{}

func (quiet) UpstreamChanged(Upstream)                 {}
func (quiet) UpstreamGone(Upstream, string)            {}
func (quiet) UpstreamMissing(Upstream, bool, int, int) {}
func (quiet) DirectoryLost(error)                      {}
func (quiet) DirectoryRead(int)                        {}
func (quiet) UpstreamUnreadable(error)                 {}

func entryOf(id, state string) store.Item {
	return store.Item{Key: "u/" + id, Value: []byte(state), Revision: 1}
}

func directoryAt(now *time.Time) *Directory {
	return &Directory{Report: quiet{}, Now: func() time.Time { return *now },
		Decode: func(it store.Item) (Upstream, error) {
			if string(it.Value) == "spoiled" {
				return Upstream{}, errors.New("cannot be read")
			}
			u := Upstream{Incarnation: Incarnation{ID: it.Key[2:]}, Address: it.Key, Service: "s", Leaving: strings.HasPrefix(string(it.Value), "draining")}
			_, born, _ := strings.Cut(string(it.Value), "@")
			u.StartUnixMS, _ = strconv.ParseInt(born, 10, 64) // 0 is none
			return u, nil
		}}
}

func ids(d *Directory) (out []string) {
	for _, u := range d.ForService("s") {
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

	// Also where most have left.
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

// An upstream crashes and starts again under its id before its entry lapsed. Another process
// had answered at its address meanwhile, so its first life was shut out; the second one takes
// requests at once. What is told late of the first life changes nothing.
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
	require.Empty(t, ids(d), "the same life writes again")
	d.Changed(store.Event{Item: written("ready@2", 8)})
	require.Equal(t, []string{"a"}, ids(d))
	require.EqualValues(t, 2, d.ForService("s")[0].StartUnixMS)
	d.Changed(store.Event{Item: written("draining@1", 7)})
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 7}, Deleted: true})
	d.Reject(Incarnation{ID: "a", StartUnixMS: 1})
	require.EqualValues(t, 2, d.ForService("s")[0].StartUnixMS, "what is late or about the first life changes nothing")
}

// An upstream's life ends while the store is away, and its entry is one of a new life at the
// return. The old life, which was leaving, does not keep the new one from getting requests.
func TestRestartDuringAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "draining@1")})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{entryOf("a", "ready@2")})
	require.Equal(t, []string{"a"}, ids(d))
}

// All upstreams lose power and start again at their addresses, under new ids. The entries of their
// lives before stay for seconds, until their leases run out. Routers sent half of the prompts to
// those, were told four times in a row that another process answers ("misdirected"), and refused
// them for 2.5 s with 47 living upstreams at hand. An address is one process's: the newer entry of
// an address ends the older one.
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
	require.ElementsMatch(t, []string{"new", "other"}, ids(d), "what the life before wrote late changes nothing")

	// Another writer's entry names the address of a living upstream: the first request there shows it.
	d.Changed(store.Event{Item: created("false", 14)})
	require.ElementsMatch(t, []string{"new", "false"}, ids(d))
	d.Reject(Incarnation{ID: "false"})
	require.ElementsMatch(t, []string{"new", "other"}, ids(d))

	// The newer one leaves; the older one ended long ago.
	d.Changed(store.Event{Item: store.Item{Key: "u/new", Value: []byte("draining"), Revision: 20, Created: 9}})
	require.ElementsMatch(t, []string{"other"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/new", Revision: 21}, Deleted: true})
	require.ElementsMatch(t, []string{"other"}, ids(d))
}

// counting counts the entries that were said to be unreadable.
type counting struct {
	quiet
	unreadable int
}

func (c *counting) UpstreamUnreadable(error) { c.unreadable++ }

// Another writer spoils one entry. It names nothing to use from then on, also while the store
// is away; the others hold. The fault is said once, and a good entry is used at once.
func TestSpoiledEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	said := &counting{}
	d.Report = said
	both := func(a string) []store.Item { return []store.Item{entryOf("a", a), entryOf("b", "ready")} }
	d.Reset(both("ready"))
	d.Changed(store.Event{Item: entryOf("a", "spoiled")})
	require.Equal(t, []string{"b"}, ids(d))
	d.Lost(store.ErrUnknown)
	d.Reset(both("spoiled"))
	d.Reset(both("spoiled"))
	require.Equal(t, []string{"b"}, ids(d))
	require.Equal(t, 1, said.unreadable)
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Value: []byte("ready"), Revision: 9}})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Value: []byte("spoiled"), Revision: 10}})
	require.Equal(t, 2, said.unreadable)
}

// All upstreams of this platform tell when they started, and one entry does not: another
// writer made it up. Where none tells it, as on other platforms, all are used; one entry that
// does changes nothing there.
func TestEntriesThatTellNoStart(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready@1"), entryOf("b", "ready@1"), entryOf("made-up", "ready")})
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("made-up", "ready@1")})
	require.ElementsMatch(t, []string{"a", "b", "made-up"}, ids(d))
}

// One router is cut off from the store for 12 s while the store serves all others. An upstream
// says that it leaves, and its entry is removed, all in that time. The router's log after the
// cut: "upstream_missing" "believed_for_ms":2200, and requests went to the upstream until
// "upstream_gone" "why":"entry did not return after an outage of the store", 3.1 s after the
// cut. The router took its own cut for an outage of the store, in which leases run out; but the
// entries of all other upstreams stood there unchanged, so no lease had run out.
func TestUpstreamThatLeftDuringACut(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
	d.Lost(store.ErrUnknown)
	now = now.Add(12 * time.Second)
	d.Reset([]store.Item{entryOf("b", "ready"), entryOf("c", "ready"), entryOf("d", "ready")})
	require.ElementsMatch(t, []string{"b", "c", "d"}, ids(d))
	now = now.Add(time.Second)
	d.Changed(store.Event{Item: store.Item{Key: "u/b", Revision: 2}, Deleted: true})
	require.ElementsMatch(t, []string{"c", "d"}, ids(d), "nor was there an outage for those that leave after the cut")
}

// created is an entry that its owner created at a revision, and wrote last at another one.
func created(id, state string, at, last store.Revision) store.Item {
	it := entryOf(id, state)
	it.Created, it.Revision = at, last
	return it
}

// Upstreams write their entries again while a router is cut off, as those that are cold do, and
// one leaves. The written ones are the same entries, so no lease ran out, and the one that is
// missing gets nothing more.
func TestEntriesWrittenDuringACut(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{created("a", "ready", 1, 1), created("b", "ready", 2, 2), created("c", "ready", 3, 3)})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{created("b", "ready", 2, 7), created("c", "ready", 3, 8)})
	require.ElementsMatch(t, []string{"b", "c"}, ids(d))
}

// The store is away until all leases have run out. At the first read after its return two of
// three upstreams have registered again already; the third one lives too, and gets requests.
func TestEntriesCreatedAgainAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	d.Reset([]store.Item{created("a", "ready", 1, 1), created("b", "ready", 2, 2), created("c", "ready", 3, 3)})
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{created("b", "ready", 7, 7), created("c", "ready", 8, 8)})
	require.ElementsMatch(t, []string{"a", "b", "c"}, ids(d))
	now = now.Add(lapseGrace)
	d.Expire()
	require.ElementsMatch(t, []string{"b", "c"}, ids(d))
}

// The store removes the entries whose leases ran out only after the first read that follows its
// return: the read lists them all, and a moment later they vanish one after the other. Requests
// go on, since nearly all of them are missing.
func TestLeasesThatRunOutAfterTheFirstRead(t *testing.T) {
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

// The store is lost again a second after its return, when one of three upstreams that lapsed has
// registered again. The other two live as well, and get requests until their time is over.
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
	now = now.Add(lapseGrace)
	d.Expire()
	require.Equal(t, []string{"a"}, ids(d))
}
