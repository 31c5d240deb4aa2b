package directory

import "time"

// rebuildIndexLocked rebuilds the lists by service.
func (d *Directory) rebuildIndexLocked(now time.Time) {
	services := map[string][]Upstream{}
	startTimesExpected, lapsed := d.startTimesExpectedLocked(), d.lapseDetector.Lapsed(now)
	d.supersedeLocked()
	for key, e := range d.entries {
		missing := !e.missingUntil.IsZero()
		switch {
		case missing && !now.Before(e.missingUntil):
			delete(d.entries, key)
			d.recordListedLocked(now, e.Upstream)
			d.Report.UpstreamGone(e.Upstream, "entry did not return after the store could not be reached")
			continue
		case missing && !lapsed && !e.lostByStore:
			continue
		}
		if isOver(now, e.doubtfulUntil) {
			e.doubtfulUntil = time.Time{}
		}
		if d.leavesLocked(e.Upstream) || !e.doubtfulUntil.IsZero() || e.rejected || e.supersededBy != (Incarnation{}) || d.drained[e.Datacentre] || startTimesExpected && e.StartUnixMS == 0 {
			continue
		}
		e.Returned = d.undrainedAt[e.Datacentre]
		services[e.Service] = append(services[e.Service], e.Upstream)
	}
	d.services = services
}

// startTimesExpectedLocked reports whether most entries have a start time. On one platform all
// upstreams register it or none does, so the few entries that differ are from another writer: if
// most have a start time, entries without one are ignored.
func (d *Directory) startTimesExpectedLocked() bool {
	withStart := 0
	for _, e := range d.entries {
		if e.StartUnixMS != 0 {
			withStart++
		}
	}
	return 2*withStart > len(d.entries)
}

// supersedeLocked marks each entry whose address has a newer entry. Upstreams that lose power
// restart at their addresses, and their old entries remain until the leases expire. A request sent
// to such an entry reaches another process, and fails after a few such attempts in a row. A
// rejected entry supersedes nothing.
func (d *Directory) supersedeLocked() {
	newest := map[string]*entry{} // by address
	for _, e := range d.entries {
		if have := newest[e.Address]; !e.rejected && (have == nil || e.created > have.created) {
			newest[e.Address] = e
		}
	}
	for _, e := range d.entries {
		by := newest[e.Address]
		if by == nil || by.created <= e.created || e.supersededBy != (Incarnation{}) || e.rejected {
			continue
		}
		e.supersededBy = by.Incarnation
		d.Report.UpstreamGone(e.Upstream, "superseded by a later entry for its address")
	}
}

// ForService returns the upstreams of a service that accept new requests. The caller must not
// modify the list.
func (d *Directory) ForService(service string) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[service]
}
