package directory

import "time"

// judgeReadLocked counts the entries whose leases outlasted the time since the old ones were
// known, and those whose leases did not: a lease that runs out takes its entry with it, and the
// owner creates another one.
func (d *Directory) judgeReadLocked(old map[string]*entry) {
	kept, again := 0, 0
	for key, e := range d.entries {
		was := old[key]
		if was == nil || !was.missingUntil.IsZero() {
			continue
		}
		if e.kept = was.created == e.created; e.kept {
			kept++
		} else {
			again++
		}
	}
	d.lapses.RecordRead(kept, again)
}

// missLocked drops an entry, or keeps it for a while when it may have lapsed only
// because the store was away.
func (d *Directory) missLocked(now time.Time, key string, e *entry) {
	switch {
	case now.Before(e.missingUntil):
		d.entries[key] = e
	case e.missingUntil.IsZero() && d.lapses.InGrace(now) && !e.Leaving:
		e.missingUntil = d.lapses.GraceEnd()
		d.entries[key] = e
		d.lapses.RecordMissing(e.kept)
		e.kept = false
		missing, kept := d.lapses.Counts()
		d.Report.UpstreamMissing(e.Upstream, d.lapses.Lapsed(now), missing, kept)
	default:
		d.Report.UpstreamGone(e.Upstream, "entry removed")
	}
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
