package directory

import (
	"maps"
	"slices"
	"time"
)

// SetDrained says which data centres are to get nothing new, by the operators' newest orders:
// their upstreams leave the lists at once. Those of a data centre that is no longer among them
// are listed again, with the time of its return.
func (d *Directory) SetDrained(datacentres []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.returned == nil {
		d.returned = map[string]time.Time{}
	}
	for datacentre := range d.emptied {
		if !slices.Contains(datacentres, datacentre) {
			d.returned[datacentre] = now
		}
	}
	d.emptied = map[string]bool{}
	for _, datacentre := range datacentres {
		d.emptied[datacentre] = true
	}
	d.indexLocked(now)
}

// Drained lists the data centres that get nothing new, in order.
func (d *Directory) Drained() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.emptied))
}

// CountInDatacentre is how many upstreams are known in a data centre, whether or not they get work.
func (d *Directory) CountInDatacentre(datacentre string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.entries {
		if e.Datacentre == datacentre {
			n++
		}
	}
	return n
}

// Accepts reports whether an upstream takes new work now. Between a choice and the send that
// follows it, the process beside the upstream is asked, which may take a while.
func (d *Directory) Accepts(u Upstream) bool {
	return slices.ContainsFunc(d.ForService(u.Service), func(other Upstream) bool { return other.Incarnation == u.Incarnation })
}
