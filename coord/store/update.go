package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
)

// Change computes a key's next value from the current item, whose value is nil when
// the key is absent. It is called again after each conflict and each unknown
// outcome, so it must be idempotent: given a value that already holds its effect,
// it returns that value unchanged.
type Change func(old Item) (next []byte, err error)

// Retry backoff of Update.
const (
	updateBackoffMin = 2 * time.Millisecond
	updateBackoffMax = 200 * time.Millisecond
)

// Update applies change to the key and retries until its effect is durable or the
// context ends. After a response that was lost although the write took effect, it
// reads the key again, and change finds its own effect there instead of applying
// it twice.
//
// If the context ends before the outcome is known, the error wraps ErrUnknown.
func Update(ctx context.Context, s Store, key string, change Change) (Item, error) {
	return UpdateFrom(ctx, s, key, Item{}, change)
}

// UpdateFrom is Update with a known item in place of the first read; an item with
// revision 0 counts as unknown. If the item is stale, the write conflicts and the key
// is read.
func UpdateFrom(ctx context.Context, s Store, key string, known Item, change Change) (Item, error) {
	pause := backoff.New(updateBackoffMin, updateBackoffMax)
	for {
		item, err := updateOnce(ctx, s, key, known, change)
		known = Item{}
		if err == nil || !retryable(err) {
			return item, err
		}
		if pause.Wait(ctx) != nil {
			return Item{}, err
		}
	}
}

func updateOnce(ctx context.Context, s Store, key string, old Item, change Change) (Item, error) {
	if old.Revision == 0 {
		var err error
		if old, err = s.Get(ctx, key); err != nil {
			return Item{}, err
		}
	}
	next, err := change(old)
	if err != nil {
		return Item{}, err
	}
	if old.Revision != 0 && bytes.Equal(old.Value, next) {
		return old, nil
	}
	rev, err := s.CompareAndSwap(ctx, key, old.Revision, next, 0)
	if err != nil {
		return Item{}, err
	}
	return Item{Key: key, Value: next, Revision: rev}, nil
}

func retryable(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrUnknown)
}
