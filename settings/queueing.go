package settings

import "github.com/arbutusmill/arbutusmill/datacentre"

// Queueing configures how work waits, and is turned away, while a budget or an upstream has no room.
// A part that is off sends each request on at once.
type Queueing struct {
	// Enabled switches the parts below on. Without a value they are on in a fleet of several regions,
	// where the retry of a refused request may cross to another region.
	Enabled *bool `yaml:"enabled"`
	// Budgets makes requests wait for tokens that other requests have reserved.
	Budgets Switch `yaml:"budgets"`
	// Connections makes a router with more than its share of the callers hand connections back.
	Connections Switch `yaml:"connections"`
}

// Switch is on unless it is set to false.
type Switch struct {
	On *bool `yaml:"on"`
}

// On reports whether a part is on in a fleet whose data centres lie in these regions.
func (q Queueing) On(part Switch, regions map[string]string) bool {
	enabled := datacentre.Topology{Regions: regions}.SpansRegions()
	if q.Enabled != nil {
		enabled = *q.Enabled
	}
	return enabled && (part.On == nil || *part.On)
}
