// Package datacentre orders the data centres of a fleet by distance.
package datacentre

import (
	"cmp"
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/vm"
)

// Map tells how data centres are grouped. Those of one region are near.
type Map struct {
	// Here is the data centre of this process.
	Here string
	// Regions maps a data centre to its region; one that is missing is a
	// region of its own.
	Regions map[string]string
}

// Distances, from the nearest.
const (
	sameDatacentre = iota
	sameRegion
	elsewhere
)

// Distance ranks a data centre as seen from here.
func (m Map) Distance(dc string) int {
	switch {
	case dc == m.Here:
		return sameDatacentre
	case m.region(dc) == m.region(m.Here):
		return sameRegion
	}
	return elsewhere
}

func (m Map) region(dc string) string {
	if r := m.Regions[dc]; r != "" {
		return r
	}
	return dc
}

// Nearest orders VMs by distance, and within a distance by rendezvous for key, so
// that the processes of a data centre that ask for the same key ask the same VM.
func (m Map) Nearest(key string, vms []vm.VM) []vm.VM {
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
