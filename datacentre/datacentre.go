// Package datacentre orders the VMs of a fleet by the distance of their data centres.
package datacentre

import (
	"cmp"
	"slices"

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
}

// Distances, in increasing order.
const (
	sameDatacentre = iota
	sameRegion
	otherRegion
)

// Distance returns the distance of a data centre from Here; lower is nearer.
func (m Topology) Distance(dc string) int {
	switch {
	case dc == m.Local:
		return sameDatacentre
	case m.region(dc) == m.region(m.Local):
		return sameRegion
	}
	return otherRegion
}

func (m Topology) region(dc string) string {
	if r := m.Regions[dc]; r != "" {
		return r
	}
	return dc
}

// SortByDistance returns the VMs ordered by distance, and at equal distance by rendezvous hashing
// of key, so that all processes of a data centre use the same VM for a key.
func (m Topology) SortByDistance(key string, vms []vm.VM) []vm.VM {
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
			cmp.Compare(m.Distance(a.Datacentre), m.Distance(b.Datacentre)),
			cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return out
}
