package settings

import (
	"time"

	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/fleet"
)

// Distances configures how far data centres are apart. It has no effect in a fleet of one region.
type Distances struct {
	// BetweenRegions is the round trip between two regions, with what the charge for traffic between them is worth in
	// time.
	BetweenRegions fleet.Duration `yaml:"between_regions"`
}

// defaultDistances returns the default values.
func defaultDistances() Distances {
	return Distances{BetweenRegions: fleet.Duration(datacentre.DefaultBetweenRegions)}
}

// Topology returns the distances from a process's data centre.
func (d Distances) Topology(local string, regions map[string]string) datacentre.Topology {
	return datacentre.Topology{Local: local, Regions: regions, BetweenRegions: time.Duration(d.BetweenRegions)}
}
