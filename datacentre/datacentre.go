// Package datacentre orders the VMs of a fleet by the distance of their data centres.
package datacentre

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/vm"
)

// Topology groups data centres into regions. Data centres of one region are near each other.
type Topology struct {
	// Local is this process's data centre.
	Local string
	// Regions maps a data centre to its region; a data centre that is missing
	// forms its own region.
	Regions map[string]string
	// BetweenRegions is the round trip between two regions; 0 means DefaultBetweenRegions.
	BetweenRegions time.Duration
}

// Assumed round trips between VMs, each with what the charge for their traffic is worth in time.
const (
	// WithinRegion is the round trip between two data centres of a region.
	WithinRegion = 3 * time.Millisecond
	// DefaultBetweenRegions is the round trip between two regions.
	DefaultBetweenRegions = 20 * time.Millisecond
)

// Distances, in increasing order.
const (
	sameDatacentre = iota
	sameRegion
	otherRegion
)

// Distance returns the distance of a data centre from Local; lower is nearer.
func (t Topology) Distance(dc string) int {
	switch {
	case dc == t.Local:
		return sameDatacentre
	case t.region(dc) == t.region(t.Local):
		return sameRegion
	}
	return otherRegion
}

func (t Topology) region(dc string) string {
	if r := t.Regions[dc]; r != "" {
		return r
	}
	return dc
}

// SpansRegions reports whether the data centres lie in more than one named region.
func (t Topology) SpansRegions() bool {
	first := ""
	for _, r := range t.Regions {
		if r != "" && first != "" && r != first {
			return true
		}
		first = cmp.Or(first, r)
	}
	return false
}

// RoundTrip returns the assumed round trip between Local and a data centre.
func (t Topology) RoundTrip(dc string) time.Duration { return t.Between(t.Local, dc) }

// Between returns the assumed round trip between two data centres. Unless the topology spans several regions, all
// data centres are equally far from each other.
func (t Topology) Between(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case t.Crosses(a, b):
		return cmp.Or(t.BetweenRegions, DefaultBetweenRegions)
	}
	return WithinRegion
}

// Crosses reports whether two data centres lie in different regions, in a topology that spans several.
func (t Topology) Crosses(a, b string) bool {
	if ra, rb := t.Regions[a], t.Regions[b]; ra != "" && rb != "" {
		return ra != rb
	}
	return t.region(a) != t.region(b) && t.SpansRegions()
}

// Region returns the region of a data centre.
func (t Topology) Region(dc string) string { return t.region(dc) }

// SortByDistance returns the VMs ordered by distance, and at equal distance by rendezvous hashing
// of key, so that all processes of a data centre use the same VM for a key.
func (t Topology) SortByDistance(key string, vms []vm.VM) []vm.VM {
	ids := make([]string, len(vms))
	for i, v := range vms {
		ids[i] = v.ID
	}
	rank := map[string]int{}
	for i, id := range rendezvous.Rank(key, ids) {
		rank[id] = i
	}
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b vm.VM) int {
		return cmp.Or(
			cmp.Compare(t.Distance(a.Datacentre), t.Distance(b.Datacentre)),
			cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return out
}
