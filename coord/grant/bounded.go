package grant

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// maxFailures bounds the failed calls of one sync. A store that refuses connections fails
// within a millisecond, and failed calls are billed too.
const maxFailures = 3

// boundedStore bounds the calls of one sync: the time of each, and the number of failures.
type boundedStore struct {
	store.Store
	callTimeout time.Duration
	cancelSync  context.CancelFunc
	failures    int
	// conflicted is set once another process had written in between.
	conflicted bool
}

// Get implements store.Store.
func (s *boundedStore) Get(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	item, err := s.Store.Get(ctx, key)
	s.countFailure(err)
	return item, err
}

// CompareAndSwap implements store.Store.
func (s *boundedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	rev, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.countFailure(err)
	s.conflicted = s.conflicted || errors.Is(err, store.ErrConflict)
	return rev, err
}

func (s *boundedStore) countFailure(err error) {
	if !errors.Is(err, store.ErrUnknown) {
		return
	}
	if s.failures++; s.failures == maxFailures {
		s.cancelSync()
	}
}
