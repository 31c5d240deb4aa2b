package memstore

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Copy is the state of a store at one moment; see Restore.
type Copy struct {
	taken     time.Time
	rev       int64
	entries   map[string]entry
	leases    map[store.LeaseID]lease
	history   []change
	compacted int64
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	c := Copy{taken: time.Now(), rev: s.rev, entries: maps.Clone(s.entries), leases: map[store.LeaseID]lease{},
		history: slices.Clone(s.history), compacted: s.compacted}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the store's state by an older copy of it. What was written since then is lost, leases too, and
// its numbers of writes and leases are given out again. The leases of the copy have the time left that they had
// when it was taken. All watches end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.compacted = c.rev, c.compacted
	s.entries, s.history = maps.Clone(c.entries), slices.Clone(c.history)
	s.keys = slices.Sorted(maps.Keys(s.entries))
	s.leases = map[store.LeaseID]*lease{}
	for id, l := range c.leases {
		l.expires = l.expires.Add(time.Since(c.taken))
		s.leases[id] = &l
	}
	for w := range s.watchers {
		s.closeWatchLocked(w)
	}
}

// Era returns how often the store was restored.
func (s *Store) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
