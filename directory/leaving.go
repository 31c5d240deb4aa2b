package directory

import (
	"maps"
	"time"
)

// leavingMemory is how long it is remembered that an incarnation leaves after its entry was last listed: entries lapse
// and return while the store cannot be reached, and an upstream that leaves ends within seconds or minutes.
const leavingMemory = 10 * time.Minute

// SaysLeaving records that an upstream itself said that it leaves. It gets no new requests until the end of its
// incarnation, whatever its entry says: the store may learn of it much later.
func (d *Directory) SaysLeaving(incarnation Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLeavingLocked(incarnation)
	d.rebuildIndexLocked(d.Now())
}

// recordLeavingLocked records that an incarnation leaves. A later entry that says otherwise is outdated: it was read from a
// stale source, or from a store that was restored from an older copy.
func (d *Directory) recordLeavingLocked(incarnation Incarnation) {
	now := d.Now()
	if d.leaving == nil {
		d.leaving = map[Incarnation]time.Time{}
	}
	d.leaving[incarnation] = now
	d.forgetLeftLocked(now)
}

// leavesLocked reports whether an upstream leaves, by its entries so far or its own answers.
func (d *Directory) leavesLocked(u Upstream) bool {
	_, says := d.leaving[u.Incarnation]
	return u.Leaving || says
}

// recordRemovedLocked records that an entry was removed.
func (d *Directory) recordRemovedLocked(now time.Time, u Upstream) {
	if d.removed == nil {
		d.removed = map[Incarnation]time.Time{}
	}
	d.removed[u.Incarnation] = now
	d.forgetLeftLocked(now)
}

// recordListedLocked records that an entry was listed until now.
func (d *Directory) recordListedLocked(now time.Time, u Upstream) {
	d.history.record(now, u)
	if _, says := d.leaving[u.Incarnation]; says {
		d.leaving[u.Incarnation] = now
	}
}

// forgetLeftLocked drops the incarnations that have not been listed for long, and those whose removal is long ago.
func (d *Directory) forgetLeftLocked(now time.Time) {
	for _, e := range d.entries {
		d.recordListedLocked(now, e.Upstream)
	}
	old := func(_ Incarnation, last time.Time) bool { return now.Sub(last) > leavingMemory }
	maps.DeleteFunc(d.leaving, old)
	maps.DeleteFunc(d.removed, old)
}
