// Package directory maintains a process's list of live upstreams, from the entries that upstreams
// keep in the store.
package directory

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/lapse"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Upstream is one incarnation of an upstream process, as described by its entry.
type Upstream struct {
	Incarnation
	Service string
	// Version is the version of its software.
	Version string
	// VersionChanged is set by the directory if the entry of this incarnation has named another version before.
	VersionChanged bool
	// Registered is the revision at which its entry was created; set by the directory.
	Registered store.Revision
	Address    string
	Datacentre string
	Slots      int
	// Leaving upstreams are draining and get no new requests.
	Leaving bool
	// Cold is the remaining cold time when the upstream wrote its entry; ColdUntil is its end by
	// the local clock, set by the directory. A cold upstream has just started, is slow, and
	// crashes under high load.
	Cold      time.Duration
	ColdUntil time.Time
	// Returned is the time at which the drain of its data centre was last canceled, zero if it
	// never was; set by the directory. Upstreams there may be cold although their entries do not
	// say so.
	Returned time.Time
}

// StreamVersion returns the version of the software that begins streams at the upstream, or "" if it is not
// known: an incarnation has one version, so one of two that its entry named is wrong.
func (u Upstream) StreamVersion() string {
	if u.VersionChanged {
		return ""
	}
	return u.Version
}

// missingGrace is how long entries that disappeared around an outage of the store are kept. Leases
// expire while their owners cannot renew them, and the platform guarantees that live owners
// register again about two seconds after the store's return. Dropping the entries at once would
// cause all requests to be refused until then.
const missingGrace = 2200 * time.Millisecond

// Reporter receives the changes of a directory.
type Reporter interface {
	// UpstreamChanged is called for each new or changed entry.
	UpstreamChanged(u Upstream)
	// UpstreamMissing is called when an entry is missing after the store could not be reached.
	// live reports whether the missing upstreams are treated as live for a while, which depends on
	// how many entries are missing and how many survived the loss.
	UpstreamMissing(u Upstream, live bool, missing, surviving int)
	// UpstreamReappeared is called for an entry that had been removed and is listed again because the store was restored from
	// an older copy. It is not used for the time of the doubt, unless it is written again.
	UpstreamReappeared(u Upstream, doubt time.Duration)
	// UpstreamGone is called when an upstream is no longer treated as live.
	UpstreamGone(u Upstream, reason string)
	// DirectoryLost is called when the watch of the entries fails, DirectoryRead when all of them
	// were read again.
	DirectoryLost(err error)
	DirectoryRead(count int)
	// UpstreamUnreadable is called once for each revision of an entry that cannot be decoded.
	UpstreamUnreadable(err error)
}

// Directory implements mirror.Reader. It is safe for concurrent use.
type Directory struct {
	// Decode decodes one entry.
	Decode func(store.Item) (Upstream, error)
	Report Reporter
	// Now is the clock.
	Now func() time.Time
	// ConfirmedAt returns a time up to which this directory has all changes. Nil means that it has all of them at any time.
	ConfirmedAt func() time.Time

	mu      sync.Mutex
	entries map[string]*entry // by key
	// unreadable holds the revisions of the entries that could not be decoded, by key.
	unreadable map[string]store.Revision
	// services holds the upstreams that accept new requests. It is replaced on each change and
	// never modified.
	services map[string][]Upstream
	// drained holds the data centres that get no new requests, undrainedAt the times at which the
	// drains of others were canceled.
	drained     map[string]bool
	undrainedAt map[string]time.Time
	// outage reports whether the store failed since the last Reset, restored whether it was restored from an
	// older copy.
	outage, restored bool
	// lapseDetector decides whether entries that are missing after an outage have expired.
	lapseDetector lapse.Detector
	read          bool
	history       versionHistory
	// leaving holds the incarnations that said that they leave, or whose entries did, with the time at which they were
	// last listed. removed holds those whose entries were removed, with the time of that.
	leaving, removed map[Incarnation]time.Time
}

type entry struct {
	Upstream
	// revision is the revision of the entry's last change, created that of its creation; see
	// store.Item.
	revision, created store.Revision
	// survived reports whether the entry existed both before and after the last loss of the store.
	survived bool
	// missingUntil is the time at which a missing entry is dropped; zero for present ones. lostByStore
	// reports whether the entry is missing because the store was restored.
	missingUntil time.Time
	lostByStore  bool
	// doubtfulUntil is the time until which an entry that reappeared is not used; zero if it did not.
	doubtfulUntil time.Time
	// rejected reports whether another process answered at the address.
	rejected bool
	// supersededBy is the incarnation that registered at the same address later; zero if there is
	// none.
	supersededBy Incarnation
}

var _ mirror.Reader = (*Directory)(nil)

// Reset implements mirror.Reader.
func (d *Directory) Reset(items []store.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.outage {
		d.lapseDetector.StartGrace(now, missingGrace)
	}
	if d.outage || !d.read || d.unseenLocked(now) > maxUnseen {
		d.history.since = now
	}
	restored := d.restored
	d.outage, d.restored, d.read = false, false, true
	old := d.entries
	for _, e := range old {
		d.recordListedLocked(now, e.Upstream)
	}
	d.entries = map[string]*entry{}
	listed := map[string]bool{}
	for _, it := range items {
		listed[it.Key] = true
		d.putLocked(it, old[it.Key])
		d.noteListedAgainLocked(now, it.Key, restored)
	}
	d.countSurvivorsLocked(old)
	for key, e := range old {
		if !listed[key] {
			e.lostByStore = e.lostByStore || restored
			d.handleMissingLocked(now, key, e)
		}
	}
	maps.DeleteFunc(d.unreadable, func(key string, _ store.Revision) bool { return !listed[key] })
	d.rebuildIndexLocked(now)
	d.Report.DirectoryRead(len(items))
}

// Changed implements mirror.Reader.
func (d *Directory) Changed(ev store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	have := d.entries[ev.Key]
	if have != nil && ev.Revision != 0 && ev.Revision < have.revision {
		return // outdated event
	}
	if have != nil {
		d.recordListedLocked(now, have.Upstream)
	}
	switch {
	case !ev.Deleted:
		d.putLocked(ev.Item, have)
		d.noteListedAgainLocked(now, ev.Key, false)
	case have != nil:
		delete(d.entries, ev.Key)
		d.handleMissingLocked(now, ev.Key, have)
	default:
		delete(d.unreadable, ev.Key)
	}
	d.rebuildIndexLocked(now)
}

// Lost implements mirror.Reader. A compaction is no outage: the store was available all the time,
// so entries that are missing in the next read were removed.
func (d *Directory) Lost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !errors.Is(err, store.ErrCompacted) {
		d.outage = true
	}
	d.restored = d.restored || errors.Is(err, store.ErrRestored)
	d.Report.DirectoryLost(err)
}

// putLocked stores an entry that was written. An entry of another incarnation replaces the
// previous one with all its state: otherwise, an upstream that was rejected because another
// process used its address would stay rejected after its restart.
func (d *Directory) putLocked(it store.Item, have *entry) {
	u, err := d.Decode(it)
	if err != nil {
		d.putUndecodableLocked(it, have, err)
		return
	}
	delete(d.unreadable, it.Key)
	e := &entry{Upstream: u, revision: it.Revision, created: it.Created}
	e.ColdUntil = d.coldUntil(u, it, have)
	if have != nil {
		e.survived = have.survived
	}
	switch {
	case have == nil:
	case have.Incarnation == u.Incarnation:
		e.rejected, e.supersededBy = have.rejected, have.supersededBy
		if e.created.Number() == have.created.Number() {
			e.created = have.created // the same creation, read in a later era
		}
		if e.revision == have.revision {
			e.doubtfulUntil = have.doubtfulUntil
		}
		e.VersionChanged = have.VersionChanged || have.Version != u.Version
	default:
		d.Report.UpstreamGone(have.Upstream, "restarted under its id")
	}
	e.Registered = e.created
	d.entries[it.Key] = e
	if u.Leaving {
		d.recordLeavingLocked(u.Incarnation)
	}
	if have == nil || have.Incarnation != u.Incarnation || have.differsFrom(u) {
		d.Report.UpstreamChanged(e.Upstream)
	}
}

// coldUntil returns the time until which the entry's upstream is cold. Reading an unchanged entry
// again does not extend it, nor does reading it in a later era of the store.
func (d *Directory) coldUntil(u Upstream, it store.Item, have *entry) time.Time {
	switch {
	case u.Cold <= 0:
		return time.Time{}
	case have != nil && have.Incarnation == u.Incarnation && have.revision.Number() == it.Revision.Number() && it.Revision != 0:
		return have.ColdUntil
	}
	return d.Now().Add(u.Cold)
}

// differsFrom reports whether another entry of the same incarnation differs in a way that is worth
// a log line. A change of the remaining cold time is not.
func (u Upstream) differsFrom(other Upstream) bool {
	cold := (u.Cold > 0) != (other.Cold > 0)
	return cold || u.Service != other.Service || u.Version != other.Version || u.Address != other.Address || u.Datacentre != other.Datacentre ||
		u.Slots != other.Slots || u.Leaving != other.Leaving
}

// putUndecodableLocked handles an entry that cannot be decoded. Another writer may have
// overwritten the entry of a live upstream; the entry is dropped, since the upstream may be gone.
// The next entry that can be decoded is used at once.
func (d *Directory) putUndecodableLocked(it store.Item, have *entry, err error) {
	delete(d.entries, it.Key)
	if have != nil {
		d.Report.UpstreamGone(have.Upstream, "entry cannot be decoded")
	}
	if d.unreadable == nil {
		d.unreadable = map[string]store.Revision{}
	}
	if reported, ok := d.unreadable[it.Key]; !ok || reported != it.Revision {
		d.unreadable[it.Key] = it.Revision
		d.Report.UpstreamUnreadable(err)
	}
}

// Reject records that another process answered at the upstream's address: this incarnation has
// ended, even if its entry remains.
func (d *Directory) Reject(incarnation Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.Incarnation == incarnation && !e.rejected {
			e.rejected = true
			d.Report.UpstreamGone(e.Upstream, "another process answers at its address")
		}
		if e.supersededBy == incarnation {
			e.supersededBy = Incarnation{}
		}
	}
	d.rebuildIndexLocked(d.Now())
}

// Read reports whether the entries were read at least once.
func (d *Directory) Read() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// All returns all entries, for dumps.
func (d *Directory) All() []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, e.Upstream)
	}
	return out
}
