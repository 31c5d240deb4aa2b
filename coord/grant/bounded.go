package grant

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// mostFailures bounds the calls of one sync that fail. A store that refuses connections
// fails within a millisecond, and calls are paid for also when they fail.
const mostFailures = 3

// boundedStore bounds the calls of one sync: the time of each, and how many may fail.
type boundedStore struct {
	store.Store
	each time.Duration
	// end ends the sync.
	end      context.CancelFunc
	failures int
}

// Get implements store.Store.
func (s *boundedStore) Get(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.each)
	defer cancel()
	item, err := s.Store.Get(ctx, key)
	s.note(err)
	return item, err
}

// CompareAndSwap implements store.Store.
func (s *boundedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.each)
	defer cancel()
	rev, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.note(err)
	return rev, err
}

func (s *boundedStore) note(err error) {
	if !errors.Is(err, store.ErrUnknown) {
		return
	}
	if s.failures++; s.failures == mostFailures {
		s.end()
	}
}
