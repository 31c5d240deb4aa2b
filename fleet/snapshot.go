package fleet

import (
	"slices"
	"sync/atomic"

	"github.com/arbutusmill/arbutusmill/team"
)

// Snapshot is a document in force, indexed for requests. It never changes; a
// request keeps the snapshot that it was admitted under.
type Snapshot struct {
	Generation int64
	Document   *Document
	Teams      *team.Directory
	Preset     *Preset

	byModel map[string]*Service
	byName  map[string]*Service
}

// NewSnapshot indexes a checked document.
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

// ByModel returns the engine service that answers to a model name.
func (s *Snapshot) ByModel(model string) (*Service, bool) {
	sv, ok := s.byModel[model]
	return sv, ok
}

// ByName returns a service.
func (s *Snapshot) ByName(name string) (*Service, bool) {
	sv, ok := s.byName[name]
	return sv, ok
}

// Current holds the snapshot in force in one process.
type Current struct{ p atomic.Pointer[Snapshot] }

// Load returns the snapshot in force, nil before the first.
func (c *Current) Load() *Snapshot { return c.p.Load() }

// Raise puts a snapshot in force if its generation is higher than the present
// one's. It guards against a slow or restored source that brings an older
// document after a newer one: configuration never goes back.
func (c *Current) Raise(s *Snapshot) bool {
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
