package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// DocumentKey is the store key of the configuration.
const DocumentKey = "arbutusmill/config"

// ErrGenerationMismatch means that the document changed since the operator read it.
var ErrGenerationMismatch = errs.New("changed by another writer")

// Stored is the value under DocumentKey.
type Stored struct {
	Generation int64 `json:"generation"`
	// Op is the id of the apply that created this generation. A writer whose
	// answer was lost finds its id here if its write took effect.
	Op       string    `json:"op"`
	Document *Document `json:"document"`
}

// Registry reads and writes the configuration in the store.
type Registry struct{ Store store.Store }

// Get reads the stored document; Generation is 0 if there is none.
func (r Registry) Get(ctx context.Context) (Stored, error) {
	item, err := r.Store.Get(ctx, DocumentKey)
	if err != nil {
		return Stored{}, err
	}
	return decodeStored(item)
}

func decodeStored(item store.Item) (Stored, error) {
	var s Stored
	if item.Revision == 0 {
		return s, nil
	}
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return s, Error.New("stored document: %w", err)
	}
	if s.Document == nil {
		return s, Error.New("stored document is empty")
	}
	s.Document.setDefaults()
	return s, s.Document.Check()
}

// Apply replaces the document if the stored generation is still expect, and
// returns the new generation; otherwise the error wraps ErrGenerationMismatch. op
// identifies this apply, so that a retry after a lost answer is not another change.
func (r Registry) Apply(ctx context.Context, doc *Document, expect int64, op string) (int64, error) {
	if err := doc.Check(); err != nil {
		return 0, err
	}
	var generation int64
	_, err := store.Update(ctx, r.Store, DocumentKey, func(old store.Item) ([]byte, error) {
		have, err := decodeStored(old)
		if err != nil {
			return nil, err
		}
		if have.Op == op && have.Generation == expect+1 {
			generation = have.Generation
			return old.Value, nil
		}
		if have.Generation != expect {
			return nil, Error.New("generation is %d, not %d: %w", have.Generation, expect, ErrGenerationMismatch)
		}
		generation = expect + 1
		b, err := json.Marshal(Stored{Generation: generation, Op: op, Document: doc})
		return b, Error.Wrap(err)
	})
	return generation, err
}

// Bounds on a follower's backoff.
const (
	followPauseMin = 100 * time.Millisecond
	followPauseMax = 2 * time.Second
)

// Follow updates current to each newer stored document. It uses a watch and, in case
// the watch stops delivering events, a read per interval. It returns when the context
// ends. refused, if not nil, is called with the error of each failed read or watch and
// each invalid document.
func (r Registry) Follow(ctx context.Context, current *Current, interval time.Duration, refused func(error)) {
	pause := backoff.New(followPauseMin, followPauseMax)
	for ctx.Err() == nil {
		if err := r.followOnce(ctx, current, interval); err != nil && refused != nil && ctx.Err() == nil {
			refused(err)
		}
		_ = pause.Wait(ctx)
	}
}

// followOnce reads and then watches for one interval.
func (r Registry) followOnce(ctx context.Context, current *Current, interval time.Duration) error {
	read, cancelRead := context.WithTimeout(ctx, interval)
	defer cancelRead()
	item, err := r.Store.Get(read, DocumentKey)
	if err != nil {
		return err
	}
	if err := setIfNewer(current, item); err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, backoff.Jitter(interval))
	defer cancel()
	events, err := r.Store.Watch(watch, DocumentKey, item.Revision)
	if err != nil {
		return err
	}
	for ev := range events {
		if ev.Progress || ev.Deleted {
			continue
		}
		if err := setIfNewer(current, ev.Item); err != nil {
			return err
		}
	}
	return nil
}

func setIfNewer(current *Current, item store.Item) error {
	s, err := decodeStored(item)
	if err != nil || s.Generation == 0 {
		return err
	}
	current.UpdateIfNewer(NewSnapshot(s.Generation, s.Document))
	return nil
}
