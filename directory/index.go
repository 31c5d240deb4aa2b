package directory

import "time"

// indexLocked makes the lists by service anew.
func (d *Directory) indexLocked(now time.Time) {
	services := map[string][]Upstream{}
	bornTold, lapsed := d.bornIsToldLocked(), d.lapses.Lapsed(now)
	d.replaceLocked()
	for key, e := range d.entries {
		missing := !e.missingUntil.IsZero()
		switch {
		case missing && !now.Before(e.missingUntil):
			delete(d.entries, key)
			d.Report.UpstreamGone(e.Upstream, "entry did not return after the store could not be reached")
			continue
		case missing && !lapsed:
			continue
		}
		if e.Leaving || e.rejected || e.replaced != (Incarnation{}) || d.emptied[e.Datacentre] || bornTold && e.StartUnixMS == 0 {
			continue
		}
		e.Returned = d.returned[e.Datacentre]
		services[e.Service] = append(services[e.Service], e.Upstream)
	}
	d.services = services
}

// bornIsToldLocked reports whether the upstreams here tell when they started. On one platform
// all do or none does, so the few entries that differ are those of another writer: where most
// tell it, one that does not names nothing to use.
func (d *Directory) bornIsToldLocked() bool {
	told := 0
	for _, e := range d.entries {
		if e.StartUnixMS != 0 {
			told++
		}
	}
	return 2*told > len(d.entries)
}

// replaceLocked finds the entries whose address another one has registered at since. Upstreams that
// lose power start again at their addresses, and the entries of their lives before stay until
// their leases run out: requests sent there find another process, and a few in a row end the
// request. An entry that was shown to be false replaces nothing.
func (d *Directory) replaceLocked() {
	newest := map[string]*entry{} // by address
	for _, e := range d.entries {
		if have := newest[e.Address]; !e.rejected && (have == nil || e.created > have.created) {
			newest[e.Address] = e
		}
	}
	for _, e := range d.entries {
		by := newest[e.Address]
		if by == nil || by.created <= e.created || e.replaced != (Incarnation{}) || e.rejected {
			continue
		}
		e.replaced = by.Incarnation
		d.Report.UpstreamGone(e.Upstream, "a later one has its address")
	}
}

// ForService lists the upstreams of a service that take new work. The caller must not change
// the list.
func (d *Directory) ForService(service string) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[service]
}
