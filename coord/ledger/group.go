package ledger

import (
	"context"
	"time"
)

// Batcher collects the charges that reach a shard's owner during one interval and
// appends them together, so that the store sees about one write a second for a
// shard whatever the request rate is.
type Batcher struct {
	shard    *Shard
	interval time.Duration
	requests chan groupRequest
}

type groupRequest struct {
	charges []Charge
	done    chan error
}

// groupQueue bounds the appends that wait for a flush.
const groupQueue = 1024

// NewBatcher returns the group commit of a shard. Run must be running for Append.
func NewBatcher(s *Shard, interval time.Duration) *Batcher {
	return &Batcher{shard: s, interval: interval, requests: make(chan groupRequest, groupQueue)}
}

// Append waits until the charges are durable and returns the last segment.
func (g *Batcher) Append(ctx context.Context, charges []Charge) (int64, error) {
	r := groupRequest{charges: charges, done: make(chan error, 1)}
	select {
	case g.requests <- r:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case err := <-r.done:
		return g.shard.Last(), err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Waiting counts the appends that wait for a flush, and the most that may. More than
// that are not dropped: their callers wait, within their contexts.
func (g *Batcher) Waiting() (n, most int) { return len(g.requests), cap(g.requests) }

// Run flushes once an interval until the context ends.
func (g *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.requests:
			g.flush(ctx, g.collect(ctx, first))
		}
	}
}

// collect gathers what comes within the interval after the first request.
func (g *Batcher) collect(ctx context.Context, first groupRequest) []groupRequest {
	batch := []groupRequest{first}
	t := time.NewTimer(g.interval)
	defer t.Stop()
	for len(batch) < groupQueue {
		select {
		case r := <-g.requests:
			batch = append(batch, r)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (g *Batcher) flush(ctx context.Context, batch []groupRequest) {
	var all []Charge
	for _, r := range batch {
		all = append(all, r.charges...)
	}
	err := g.shard.Append(ctx, all)
	for _, r := range batch {
		r.done <- err
	}
}
