package ledger

import (
	"context"
	"time"
)

// Batcher batches the charges that reach a shard's owner within one interval into one
// append, so that the store receives about one write per second and shard whatever
// the request rate.
type Batcher struct {
	shard    *Shard
	interval time.Duration
	requests chan appendRequest
}

type appendRequest struct {
	charges []Charge
	done    chan error
}

// appendQueueSize bounds the appends queued for a flush and those in one flush.
const appendQueueSize = 1024

// NewBatcher returns a Batcher for the shard. Append blocks unless Run is running.
func NewBatcher(s *Shard, interval time.Duration) *Batcher {
	return &Batcher{shard: s, interval: interval, requests: make(chan appendRequest, appendQueueSize)}
}

// Append waits until the charges are durable and returns the shard's last segment.
// After an error the outcome is unknown.
func (b *Batcher) Append(ctx context.Context, charges []Charge) (int64, error) {
	r := appendRequest{charges: charges, done: make(chan error, 1)}
	select {
	case b.requests <- r:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case err := <-r.done:
		return b.shard.Last(), err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Waiting returns the number of appends queued for a flush and the queue's capacity.
// Appends beyond the capacity are not dropped: their callers block until their
// contexts end.
func (b *Batcher) Waiting() (n, capacity int) { return len(b.requests), cap(b.requests) }

// Run flushes queued appends once per interval until ctx is done.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.requests:
			b.flush(ctx, b.collect(ctx, first))
		}
	}
}

// collect returns first and the requests that arrive within the interval after it.
func (b *Batcher) collect(ctx context.Context, first appendRequest) []appendRequest {
	batch := []appendRequest{first}
	t := time.NewTimer(b.interval)
	defer t.Stop()
	for len(batch) < appendQueueSize {
		select {
		case r := <-b.requests:
			batch = append(batch, r)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (b *Batcher) flush(ctx context.Context, batch []appendRequest) {
	var all []Charge
	for _, r := range batch {
		all = append(all, r.charges...)
	}
	err := b.shard.Append(ctx, all)
	for _, r := range batch {
		r.done <- err
	}
}
