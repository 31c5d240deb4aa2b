// Package directory is the list of live upstreams as a process believes it, made from
// the entries that upstreams keep in the store.
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

// Upstream is one life of an upstream process, by its entry.
type Upstream struct {
	Incarnation
	Service    string
	Address    string
	Datacentre string
	Slots      int
	// Leaving upstreams get no new work.
	Leaving bool
	// Cold is how much longer the upstream was cold when it wrote its entry, ColdUntil when that
	// ends by the clock here; the directory fills it in. A cold upstream has just started, is
	// slow, and ends if it is sent much.
	Cold      time.Duration
	ColdUntil time.Time
	// Returned is when its data centre was last taken back from being emptied, zero if it was
	// not; the directory fills it in. An upstream there may be cold without having said so.
	Returned time.Time
}

// lapseGrace is how long entries that vanished around an outage of the store are
// believed. Entries lapse while their owners cannot renew them, and the platform
// promises that living ones are back about two seconds after the store's return; to
// drop them at once would turn away everything until then.
const lapseGrace = 2200 * time.Millisecond

// Reporter hears what a directory learns.
type Reporter interface {
	// UpstreamChanged is called for each entry that is new or changed.
	UpstreamChanged(u Upstream)
	// UpstreamMissing is called when an entry is not there any more after the store could not
	// be reached. The upstreams that are missing are believed to live for a while, or not: that
	// depends on how many entries are missing and how many outlived the loss.
	UpstreamMissing(u Upstream, believed bool, missing, kept int)
	// UpstreamGone is called when an entry is believed no longer.
	UpstreamGone(u Upstream, why string)
	// DirectoryLost and DirectoryRead say that the entries are not followed, and
	// that they were read afresh.
	DirectoryLost(err error)
	DirectoryRead(count int)
	// UpstreamUnreadable is called for an entry that cannot be decoded, once for each
	// revision of it.
	UpstreamUnreadable(err error)
}

// Directory implements mirror.Reader. It is safe for concurrent use.
type Directory struct {
	// Decode reads one entry.
	Decode func(store.Item) (Upstream, error)
	Report Reporter
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry // by key
	// unreadable are the revisions of the entries that could not be decoded, by key.
	unreadable map[string]store.Revision
	// services holds the upstreams that take new work; it is made anew on each
	// change and never written after that.
	services map[string][]Upstream
	// emptied are the data centres that get nothing, returned when others got work again.
	emptied  map[string]bool
	returned map[string]time.Time
	// outage says that the store failed since the last Reset.
	outage bool
	// lapses judges entries that are missing after that.
	lapses lapse.Detector
	read   bool
}

type entry struct {
	Upstream
	// revision is that of the entry's last change, created that of its creation; see store.Item.
	revision, created store.Revision
	// kept says that the entry was there before the last loss of the store and after it.
	kept bool
	// missingUntil is when a vanished entry is dropped; zero for present ones.
	missingUntil time.Time
	// rejected says that another process answered at the address.
	rejected bool
	// replaced is the life that registered at the same address later; zero if none did.
	replaced Incarnation
}

var _ mirror.Reader = (*Directory)(nil)

// Reset implements mirror.Reader.
func (d *Directory) Reset(items []store.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.outage {
		d.lapses.StartGrace(now, lapseGrace)
	}
	d.outage, d.read = false, true
	old := d.entries
	d.entries = map[string]*entry{}
	listed := map[string]bool{}
	for _, it := range items {
		listed[it.Key] = true
		d.putLocked(it, old[it.Key])
	}
	d.judgeReadLocked(old)
	for key, e := range old {
		if !listed[key] {
			d.missLocked(now, key, e)
		}
	}
	maps.DeleteFunc(d.unreadable, func(key string, _ store.Revision) bool { return !listed[key] })
	d.indexLocked(now)
	d.Report.DirectoryRead(len(items))
}

// Changed implements mirror.Reader.
func (d *Directory) Changed(ev store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	have := d.entries[ev.Key]
	if have != nil && ev.Revision != 0 && ev.Revision < have.revision {
		return // told late: what is known is newer
	}
	switch {
	case !ev.Deleted:
		d.putLocked(ev.Item, have)
	case have != nil:
		delete(d.entries, ev.Key)
		d.missLocked(now, ev.Key, have)
	default:
		delete(d.unreadable, ev.Key)
	}
	d.indexLocked(now)
}

// Lost implements mirror.Reader. History that is gone is no outage: the store was
// there all the time, so what is missing in the next read has left.
func (d *Directory) Lost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !errors.Is(err, store.ErrCompacted) {
		d.outage = true
	}
	d.Report.DirectoryLost(err)
}

// putLocked takes an entry that was written. One of another life replaces the life before it
// with all that was noted of that: an upstream whose address another process had used would
// otherwise stay shut out after its restart.
func (d *Directory) putLocked(it store.Item, have *entry) {
	u, err := d.Decode(it)
	if err != nil {
		d.spoiledLocked(it, have, err)
		return
	}
	delete(d.unreadable, it.Key)
	e := &entry{Upstream: u, revision: it.Revision, created: it.Created}
	e.ColdUntil = d.coldUntil(u, it, have)
	if have != nil {
		e.kept = have.kept
	}
	switch {
	case have == nil:
	case have.Incarnation == u.Incarnation:
		e.rejected, e.replaced = have.rejected, have.replaced
	default:
		d.Report.UpstreamGone(have.Upstream, "it started again under its id")
	}
	d.entries[it.Key] = e
	if have == nil || have.Incarnation != u.Incarnation || have.differs(u) {
		d.Report.UpstreamChanged(u)
	}
}

// coldUntil is the end of the time for which an entry says that its upstream is cold. An entry
// that is read once more says nothing new.
func (d *Directory) coldUntil(u Upstream, it store.Item, have *entry) time.Time {
	switch {
	case u.Cold <= 0:
		return time.Time{}
	case have != nil && have.Incarnation == u.Incarnation && have.revision == it.Revision && it.Revision != 0:
		return have.ColdUntil
	}
	return d.Now().Add(u.Cold)
}

// differs reports whether another entry of the same life says something that is worth a line:
// that a cold upstream has become a little warmer is not.
func (u Upstream) differs(other Upstream) bool {
	cold := (u.Cold > 0) != (other.Cold > 0)
	return cold || u.Service != other.Service || u.Address != other.Address || u.Datacentre != other.Datacentre ||
		u.Slots != other.Slots || u.Leaving != other.Leaving
}

// spoiledLocked takes an entry that cannot be decoded. It may come from another writer, over
// that of a living upstream, so it names nothing to use: what stood there before may be gone.
// The next entry that can be decoded is used at once.
func (d *Directory) spoiledLocked(it store.Item, have *entry, err error) {
	delete(d.entries, it.Key)
	if have != nil {
		d.Report.UpstreamGone(have.Upstream, "its entry cannot be read any more")
	}
	if d.unreadable == nil {
		d.unreadable = map[string]store.Revision{}
	}
	if known, ok := d.unreadable[it.Key]; !ok || known != it.Revision {
		d.unreadable[it.Key] = it.Revision
		d.Report.UpstreamUnreadable(err)
	}
}

// Reject notes that another process answered at the upstream's address: this life is over,
// however long its entry stays.
func (d *Directory) Reject(life Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.Incarnation == life && !e.rejected {
			e.rejected = true
			d.Report.UpstreamGone(e.Upstream, "another process answers at its address")
		}
		if e.replaced == life {
			e.replaced = Incarnation{}
		}
	}
	d.indexLocked(d.Now())
}

// Read reports whether the entries were read at least once.
func (d *Directory) Read() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// All lists everything that is known, for dumps.
func (d *Directory) All() []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, e.Upstream)
	}
	return out
}
