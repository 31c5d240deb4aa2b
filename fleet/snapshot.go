package fleet

import (
	"slices"
	"sync/atomic"

	"github.com/arbutusmill/arbutusmill/team"
)

// Snapshot is an active document, indexed for requests. It is immutable; a request
// uses the snapshot that admitted it until it ends.
type Snapshot struct {
	Generation int64
	Document   *Document
	Teams      *team.Directory
	Preset     *Preset

	byModel map[string]*Service
	byName  map[string]*Service
}

// NewSnapshot indexes a validated document.
func NewSnapshot(generation int64, d *Document) *Snapshot {
	s := &Snapshot{Generation: generation, Document: d, Teams: team.NewDirectory(d.Teams),
		byModel: map[string]*Service{}, byName: map[string]*Service{}}
	for _, sv := range d.Services {
		s.byName[sv.Name] = sv
		for _, m := range sv.Models {
			s.byModel[m] = sv
		}
	}
	i := slices.IndexFunc(d.Presets, func(p *Preset) bool { return p.Name == d.Preset })
	s.Preset = d.Presets[i]
	return s
}

// ByModel returns the engine service that serves a model, and false if there is none.
func (s *Snapshot) ByModel(model string) (*Service, bool) {
	sv, ok := s.byModel[model]
	return sv, ok
}

// ByName returns the service with a name, and false if there is none.
func (s *Snapshot) ByName(name string) (*Service, bool) {
	sv, ok := s.byName[name]
	return sv, ok
}

// Current holds the active snapshot of one process.
type Current struct{ p atomic.Pointer[Snapshot] }

// Load returns the active snapshot, or nil before the first one.
func (c *Current) Load() *Snapshot { return c.p.Load() }

// UpdateIfNewer activates a snapshot if its generation is higher than the active one's, and
// reports whether it did. A slow or restored source may return an older document after
// a newer one; configuration must never go back.
func (c *Current) UpdateIfNewer(s *Snapshot) bool {
	for {
		have := c.p.Load()
		if have != nil && have.Generation >= s.Generation {
			return false
		}
		if c.p.CompareAndSwap(have, s) {
			return true
		}
	}
}
