package memstore

import (
	"context"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// watchBuffer is the number of events buffered for a slow watcher. A watch that falls
// further behind is closed, and its client must read the keys again.
const watchBuffer = 256

// progressInterval is the interval between progress events of a watch.
const progressInterval = time.Second

type watcher struct {
	prefix string
	events chan store.Event
	closed bool
}

// maxHistoryEvents is the number of events kept for watches from older revisions.
const maxHistoryEvents = 4096

// Watch implements store.Store. It starts with the events after the given revision; if
// these are no longer in the history, or the store does not have the revision, the watch ends
// with store.ErrCompacted.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := after.Number()
	replay := s.eventsAfterLocked(prefix, number)
	w := &watcher{prefix: prefix, events: make(chan store.Event, len(replay)+watchBuffer)}
	s.watchers[w] = struct{}{}
	for _, e := range replay {
		s.sendLocked(w, e)
	}
	if err := s.checkWatchLocked(after); err != nil {
		s.sendLocked(w, store.Event{Err: store.Error.Wrap(err)})
		s.closeWatchLocked(w)
	}
	go s.sendProgressUntilDone(ctx, w)
	return w.events, nil
}

// checkWatchLocked returns an error for a revision from which the store cannot continue a watch.
func (s *Store) checkWatchLocked(after store.Revision) error {
	switch number := after.Number(); {
	case after != 0 && after.Era() != s.era:
		return store.ErrRestored
	case number < s.compacted || number > s.rev:
		return store.ErrCompacted
	}
	return nil
}

// eventsAfterLocked returns the events of a prefix in the history after the write with a number.
func (s *Store) eventsAfterLocked(prefix string, number int64) []store.Event {
	if number < s.compacted {
		return nil
	}
	var out []store.Event
	for _, c := range s.history {
		if c.rev > number && strings.HasPrefix(c.key, prefix) {
			out = append(out, c.event(s.era))
		}
	}
	return out
}

// Compact discards the history and ends all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.rev
	for w := range s.watchers {
		s.closeWatchLocked(w)
	}
}

// sendProgressUntilDone sends progress events until the watch ends, and closes the
// watch when ctx is done.
func (s *Store) sendProgressUntilDone(ctx context.Context, w *watcher) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.closeWatchLocked(w)
			s.mu.Unlock()
			return
		case <-t.C:
			if !s.sendProgress(w) {
				return
			}
		}
	}
}

// sendProgress sends one progress event and reports whether the watch is still open.
func (s *Store) sendProgress(w *watcher) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	s.sendLocked(w, store.Event{Item: store.Item{Revision: s.revisionLocked()}, Progress: true, AsOf: time.Now()})
	return !w.closed
}

func (s *Store) notifyLocked(c change) {
	s.history = append(s.history, c)
	if over := len(s.history) - maxHistoryEvents; over > 0 {
		s.compacted = s.history[over-1].rev
		s.history = append([]change(nil), s.history[over:]...)
	}
	for w := range s.watchers {
		if strings.HasPrefix(c.key, w.prefix) {
			s.sendLocked(w, c.event(s.era))
		}
	}
}

func (s *Store) sendLocked(w *watcher, ev store.Event) {
	if w.closed {
		return
	}
	select {
	case w.events <- ev:
	default:
		s.closeWatchLocked(w)
	}
}

func (s *Store) closeWatchLocked(w *watcher) {
	if w.closed {
		return
	}
	w.closed = true
	close(w.events)
	delete(s.watchers, w)
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	id := store.LeaseID(s.rev)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, nil
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return store.Error.Wrap(store.ErrNoLease)
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// EndLease implements store.Store.
func (s *Store) EndLease(ctx context.Context, id store.LeaseID) error {
	if err := s.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.deleteLeasedLocked(id)
	return nil
}

// expireLocked removes expired leases and their keys.
func (s *Store) expireLocked(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			delete(s.leases, id)
			s.deleteLeasedLocked(id)
		}
	}
}

func (s *Store) deleteLeasedLocked(id store.LeaseID) {
	for k, e := range s.entries {
		if e.lease == id {
			s.deleteLocked(k)
		}
	}
}
