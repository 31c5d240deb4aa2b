// Package backoff spaces retries: pauses double up to a bound, with random jitter
// over half of each pause, so that clients that failed together do not retry together.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff yields the pauses of one retry loop. It is not safe for concurrent use.
type Backoff struct {
	min, max, next time.Duration
}

// New returns a Backoff whose first pause is at most min and whose later
// pauses double up to max.
func New(min, max time.Duration) *Backoff {
	return &Backoff{min: min, max: max, next: min}
}

// Next returns the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(b.max, 2*b.next)
	return Jitter(d)
}

// Reset restarts at the first pause.
func (b *Backoff) Reset() { b.next = b.min }

// Wait sleeps for the next pause; it returns early with the context's error.
func (b *Backoff) Wait(ctx context.Context) error { return Sleep(ctx, b.Next()) }

// Sleep waits for d; it returns early with the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter returns a random duration in [d/2, d].
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	half := d / 2
	return half + rand.N(d-half+1)
}
