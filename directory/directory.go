// Package directory is the list of live upstreams as a process believes it, made from
// the entries that upstreams keep in the store.
package directory

import (
	"errors"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Upstream is one incarnation of an upstream process.
type Upstream struct {
	// ID is the incarnation; it appears nowhere but in the entry's key.
	ID         string
	Service    string
	Address    string
	Datacentre string
	Slots      int
	// Leaving upstreams get no new work.
	Leaving bool
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
	// UpstreamGone is called when an entry is believed no longer.
	UpstreamGone(u Upstream, why string)
	// DirectoryLost and DirectoryRead say that the entries are not followed, and
	// that they were read afresh.
	DirectoryLost(err error)
	DirectoryRead(count int)
	// UpstreamUnreadable is called for an entry that cannot be decoded.
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
	// services holds the upstreams that take new work; it is made anew on each
	// change and never written after that.
	services map[string][]Upstream
	// outage says that the store failed since the last Reset.
	outage bool
	// doubtUntil is the end of the time in which removals may be lapses.
	doubtUntil time.Time
	read       bool
}

type entry struct {
	Upstream
	// missingUntil is when a vanished entry is dropped; zero for present ones.
	missingUntil time.Time
	// rejected says that another process answered at the address.
	rejected bool
}

var _ mirror.Reader = (*Directory)(nil)

// Reset implements mirror.Reader.
func (d *Directory) Reset(items []store.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.outage {
		d.doubtUntil = now.Add(lapseGrace)
	}
	d.outage, d.read = false, true
	old := d.entries
	d.entries = map[string]*entry{}
	for _, it := range items {
		d.putLocked(it, old[it.Key])
	}
	for key, e := range old {
		if d.entries[key] == nil {
			d.missLocked(now, key, e)
		}
	}
	d.indexLocked(now)
	d.Report.DirectoryRead(len(items))
}

// Changed implements mirror.Reader.
func (d *Directory) Changed(ev store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	have := d.entries[ev.Key]
	switch {
	case !ev.Deleted:
		d.putLocked(ev.Item, have)
	case have != nil:
		delete(d.entries, ev.Key)
		d.missLocked(now, ev.Key, have)
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

func (d *Directory) putLocked(it store.Item, have *entry) {
	u, err := d.Decode(it)
	if err != nil {
		d.Report.UpstreamUnreadable(err)
		return
	}
	e := &entry{Upstream: u}
	if have != nil {
		e.rejected = have.rejected
	}
	d.entries[it.Key] = e
	if have == nil || have.Upstream != u {
		d.Report.UpstreamChanged(u)
	}
}

// missLocked drops an entry, or keeps it for a while when it may have lapsed only
// because the store was away.
func (d *Directory) missLocked(now time.Time, key string, e *entry) {
	if !e.missingUntil.IsZero() && now.Before(e.missingUntil) {
		d.entries[key] = e
		return
	}
	if e.missingUntil.IsZero() && now.Before(d.doubtUntil) && !e.Leaving {
		e.missingUntil = d.doubtUntil
		d.entries[key] = e
		return
	}
	d.Report.UpstreamGone(e.Upstream, "entry removed")
}

// indexLocked makes the lists by service anew.
func (d *Directory) indexLocked(now time.Time) {
	services := map[string][]Upstream{}
	for key, e := range d.entries {
		if !e.missingUntil.IsZero() && !now.Before(e.missingUntil) {
			delete(d.entries, key)
			d.Report.UpstreamGone(e.Upstream, "entry did not return after an outage of the store")
			continue
		}
		if !e.Leaving && !e.rejected {
			services[e.Service] = append(services[e.Service], e.Upstream)
		}
	}
	d.services = services
}

// Expire drops entries that did not return; call it a few times a second.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for _, e := range d.entries {
		if !e.missingUntil.IsZero() && !now.Before(e.missingUntil) {
			d.indexLocked(now)
			return
		}
	}
}

// Reject notes that another process answered at the upstream's address: this
// incarnation is gone, however long its entry stays.
func (d *Directory) Reject(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.ID == id && !e.rejected {
			e.rejected = true
			d.Report.UpstreamGone(e.Upstream, "another process answers at its address")
		}
	}
	d.indexLocked(d.Now())
}

// Of lists the upstreams of a service that take new work. The caller must not change
// the list.
func (d *Directory) Of(service string) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[service]
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
