package directory

import "time"

// countSurvivorsLocked counts the old entries whose leases survived and those whose leases
// expired: an expired lease removes its entry, and the owner creates a new one.
func (d *Directory) countSurvivorsLocked(old map[string]*entry) {
	survived, recreated := 0, 0
	for key, e := range d.entries {
		was := old[key]
		if was == nil || !was.missingUntil.IsZero() {
			continue
		}
		if e.survived = was.created == e.created; e.survived {
			survived++
		} else {
			recreated++
		}
	}
	d.lapseDetector.RecordRead(survived, recreated)
}

// handleMissingLocked drops an entry, or keeps it for a while if its lease may have expired only
// because of an outage of the store.
func (d *Directory) handleMissingLocked(now time.Time, key string, e *entry) {
	switch {
	case now.Before(e.missingUntil):
		d.entries[key] = e
	case e.missingUntil.IsZero() && d.lapseDetector.InGrace(now) && !d.leavesLocked(e.Upstream):
		e.missingUntil = d.lapseDetector.GraceEnd()
		d.entries[key] = e
		d.lapseDetector.RecordMissing(e.survived)
		e.survived = false
		missing, surviving := d.lapseDetector.Counts()
		d.Report.UpstreamMissing(e.Upstream, d.lapseDetector.Lapsed(now), missing, surviving)
	default:
		d.Report.UpstreamGone(e.Upstream, "entry removed")
	}
}

// Expire drops missing entries whose grace period is over; it must be called a few times a second.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for _, e := range d.entries {
		if !e.missingUntil.IsZero() && !now.Before(e.missingUntil) {
			d.rebuildIndexLocked(now)
			return
		}
	}
}
