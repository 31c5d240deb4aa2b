package directory

import (
	"maps"
	"slices"
	"time"
)

// SetDrained sets the data centres that get no new requests, by the operators' latest drain
// orders: their upstreams are removed from the lists at once. Upstreams of a data centre whose
// drain is canceled are listed again, with the time of the cancellation.
func (d *Directory) SetDrained(datacentres []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.undrainedAt == nil {
		d.undrainedAt = map[string]time.Time{}
	}
	for datacentre := range d.drained {
		if !slices.Contains(datacentres, datacentre) {
			d.undrainedAt[datacentre] = now
		}
	}
	d.drained = map[string]bool{}
	for _, datacentre := range datacentres {
		d.drained[datacentre] = true
	}
	d.rebuildIndexLocked(now)
}

// Drained returns the drained data centres in sorted order.
func (d *Directory) Drained() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.drained))
}

// CountInDatacentre returns the number of known upstreams in a data centre, whether or not they get
// requests.
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

// Accepts reports whether an upstream accepts new requests now. It is checked again before the send,
// since asking the upstream's lender after the choice may take a while.
func (d *Directory) Accepts(u Upstream) bool {
	return slices.ContainsFunc(d.ForService(u.Service), func(other Upstream) bool { return other.Incarnation == u.Incarnation })
}
