// Package memstore implements an in-memory store.Store for tests and for stand-ins
// of the platform. It can inject the platform's failures.
package memstore

import (
	"context"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Faults are the failures to inject. The zero value injects none.
type Faults struct {
	// Down makes every call fail without effect, with store.ErrUnknown.
	Down bool `json:"down"`
	// LoseResponses is the number of subsequent writes that take effect and then
	// return store.ErrUnknown, as if the response were lost.
	LoseResponses int `json:"lose_writes"`
	// Delay is the latency added to each call.
	Delay time.Duration `json:"delay_ns"`
}

// Calls counts the calls so far, including failed ones.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// WrittenBytes is the total size of the values in all write calls.
	WrittenBytes int64 `json:"written_bytes"`
	// ReadBytes is the total size of the values that all read calls returned.
	ReadBytes int64 `json:"read_bytes"`
}

type entry struct {
	value        []byte
	rev, created int64
	lease        store.LeaseID
}

func (e entry) item(key string, era store.Era) store.Item {
	if e.rev == 0 {
		return store.Item{Key: key}
	}
	return store.Item{Key: key, Value: e.value, Revision: store.NewRevision(era, e.rev), Created: store.NewRevision(era, e.created)}
}

// change is one write or removal of a key.
type change struct {
	key string
	entry
	deleted bool
}

func (c change) event(era store.Era) store.Event {
	return store.Event{Item: c.item(c.key, era), Deleted: c.deleted}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory store.Store. New creates one; the zero value is not usable.
type Store struct {
	mu       sync.Mutex
	era      store.Era
	rev      int64 // number of the last write
	entries  map[string]entry
	keys     []string // sorted
	leases   map[store.LeaseID]*lease
	watchers map[*watcher]struct{}
	// history holds the newest writes, oldest first. Those up to number
	// compacted are discarded.
	history   []change
	compacted int64
	faults    Faults
	calls     Calls
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		entries:  map[string]entry{},
		leases:   map[store.LeaseID]*lease{},
		watchers: map[*watcher]struct{}{},
	}
}

// SetFaults replaces the failures to inject. Down also closes all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		for w := range s.watchers {
			s.closeWatchLocked(w)
		}
	}
}

// Calls returns the call counters.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// beginCall counts a call, injects the faults that precede its effect and removes
// expired leases.
func (s *Store) beginCall(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return store.Error.Wrap(store.ErrUnknown)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return store.Error.Wrap(store.ErrUnknown)
	}
	s.expireLocked(time.Now())
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return backoff.Sleep(ctx, d)
}

// loseResponseLocked reports whether the response of the current write is lost.
func (s *Store) loseResponseLocked() bool {
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	s.calls.ReadBytes += int64(len(e.value))
	return e.item(key, s.era), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix, from string, limit int) ([]store.Item, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []store.Item
	for i := sort.SearchStrings(s.keys, max(prefix, from)); i < len(s.keys) && len(items) < limit; i++ {
		k := s.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		e := s.entries[k]
		s.calls.ReadBytes += int64(len(e.value))
		items = append(items, e.item(k, s.era))
	}
	return items, nil
}

// Snapshot implements store.Store.
func (s *Store) Snapshot(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	// Read the revision first, so that the watch sends a write between the two
	// reads again instead of missing it.
	rev := s.Revision()
	items, err := s.List(ctx, prefix, "", math.MaxInt)
	return items, rev, err
}

// StaleSnapshot implements store.Store.
func (s *Store) StaleSnapshot(ctx context.Context, prefix string) ([]store.Item, error) {
	return s.List(ctx, prefix, "", math.MaxInt)
}

// Revision returns the revision of the last write.
func (s *Store) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked()
}

func (s *Store) revisionLocked() store.Revision { return store.NewRevision(s.era, s.rev) }

// isAtLocked reports whether a key is at a revision.
func (s *Store) isAtLocked(key string, expect store.Revision) bool {
	return s.entries[key].item(key, s.era).Revision == expect
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.Error.Wrap(store.ErrTooLarge)
	}
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++; c.WrittenBytes += int64(len(value)) }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isAtLocked(key, expect) {
		return 0, store.Error.Wrap(store.ErrConflict)
	}
	if id != 0 && s.leases[id] == nil {
		return 0, store.Error.Wrap(store.ErrNoLease)
	}
	s.putLocked(key, value, id)
	if s.loseResponseLocked() {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return s.revisionLocked(), nil
}

// Commit writes all items if every condition's key is at its revision, and returns the new revision of
// the last one. It counts as one call.
func (s *Store) Commit(ctx context.Context, conditions, puts []store.Item) (store.Revision, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conditions {
		if !s.isAtLocked(c.Key, c.Revision) {
			return 0, store.Error.Wrap(store.ErrConflict)
		}
	}
	for _, p := range puts {
		s.calls.WrittenBytes += int64(len(p.Value))
		s.putLocked(p.Key, p.Value, 0)
	}
	if s.loseResponseLocked() {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return s.revisionLocked(), nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isAtLocked(key, expect) {
		return store.Error.Wrap(store.ErrConflict)
	}
	s.deleteLocked(key)
	if s.loseResponseLocked() {
		return store.Error.Wrap(store.ErrUnknown)
	}
	return nil
}

func (s *Store) putLocked(key string, value []byte, id store.LeaseID) {
	s.rev++
	old, ok := s.entries[key]
	if !ok {
		old.created = s.rev
		i := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = key
	}
	e := entry{value: append([]byte(nil), value...), rev: s.rev, created: old.created, lease: id}
	s.entries[key] = e
	s.notifyLocked(change{key: key, entry: e})
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.rev++
	delete(s.entries, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
	s.notifyLocked(change{key: key, entry: entry{rev: s.rev}, deleted: true})
}
