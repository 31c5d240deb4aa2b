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
	replay := s.eventsAfterLocked(prefix, after)
	w := &watcher{prefix: prefix, events: make(chan store.Event, len(replay)+watchBuffer)}
	s.watchers[w] = struct{}{}
	for _, e := range replay {
		s.sendLocked(w, e)
	}
	if after < s.compacted || after > s.rev {
		s.sendLocked(w, store.Event{Err: store.Error.Wrap(store.ErrCompacted)})
		s.closeWatchLocked(w)
	}
	go s.sendProgressUntilDone(ctx, w)
	return w.events, nil
}

// eventsAfterLocked returns the events of a prefix in the history after a revision.
func (s *Store) eventsAfterLocked(prefix string, after store.Revision) []store.Event {
	if after < s.compacted {
		return nil
	}
	var out []store.Event
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
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
	s.sendLocked(w, store.Event{Item: store.Item{Revision: s.rev}, Progress: true})
	return !w.closed
}

func (s *Store) notifyLocked(ev store.Event) {
	s.history = append(s.history, ev)
	if over := len(s.history) - maxHistoryEvents; over > 0 {
		s.compacted = s.history[over-1].Revision
		s.history = append([]store.Event(nil), s.history[over:]...)
	}
	for w := range s.watchers {
		if strings.HasPrefix(ev.Key, w.prefix) {
			s.sendLocked(w, ev)
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
