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

// reappearedDoubt is how long an entry is not used that was removed and reappeared when the store was restored from an older
// copy, unless it is written again before. It outlasts the entry's lease, if its upstream is gone.
const reappearedDoubt = 10 * time.Second

// noteListedAgainLocked records that an entry is listed. One that had been removed is either registered again, or, if the store
// was restored, outdated: it is not used for a while.
func (d *Directory) noteListedAgainLocked(now time.Time, key string, restored bool) {
	e := d.entries[key]
	if e == nil || !d.wasRemovedLocked(e.Incarnation) {
		return
	}
	switch {
	case restored:
		e.doubtfulUntil = now.Add(reappearedDoubt)
		d.Report.UpstreamReappeared(e.Upstream, reappearedDoubt)
	case e.doubtfulUntil.IsZero():
		delete(d.removed, e.Incarnation)
	}
}

func (d *Directory) wasRemovedLocked(i Incarnation) bool {
	_, removed := d.removed[i]
	return removed
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
		d.Report.UpstreamMissing(e.Upstream, e.lostByStore || d.lapseDetector.Lapsed(now), missing, surviving)
	default:
		d.recordRemovedLocked(now, e.Upstream)
		d.Report.UpstreamGone(e.Upstream, "entry removed")
	}
}

// Expire drops missing entries whose grace period is over, and uses entries again that are no longer doubtful; it must be
// called a few times a second.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for _, e := range d.entries {
		if isOver(now, e.missingUntil) || isOver(now, e.doubtfulUntil) {
			d.rebuildIndexLocked(now)
			return
		}
	}
}

// isOver reports whether a period with an end is over.
func isOver(now, end time.Time) bool { return !end.IsZero() && !now.Before(end) }
