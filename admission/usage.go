package admission

import (
	"sync"
	"time"
)

// Usage tells when a VM's link has carried too much for too long, in either direction.
// What waits inbound cannot be counted here, only what arrives; but a link at its rate
// has a queue. While it lasts the balancer should send new callers to other VMs: refusing
// does not help, since a request's bytes have come in by then. It is safe for concurrent
// use.
type Usage struct {
	// BytesPerSecond is the link's rate each way; 0 stands for one that never fills.
	BytesPerSecond float64

	mu      sync.Mutex
	in, out int
	began   time.Time // of this span
	full    time.Time // since when the link has been full, zero if it is not
	until   time.Time // to when new callers go elsewhere
}

const (
	// usageSpan is the span over which usage is taken.
	usageSpan = 500 * time.Millisecond
	// usageFull is the share of the rate from which a link counts as full: queues
	// grow long before all of it is used, as bytes come in bursts.
	usageFull = 0.75
	// fullFor is how long a link must be full before callers are sent elsewhere; a
	// burst of a moment is over before the balancer has noticed.
	fullFor = time.Second
	// awayFor is how long new callers then go elsewhere. Those that left come back
	// together, so it is longer than usual bursts.
	awayFor = 8 * time.Second
)

// Received and Sent note bytes.
func (u *Usage) Received(now time.Time, bytes int) { u.note(now, bytes, 0) }

// Sent notes bytes that were sent.
func (u *Usage) Sent(now time.Time, bytes int) { u.note(now, 0, bytes) }

func (u *Usage) note(now time.Time, in, out int) {
	if u.BytesPerSecond <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rollLocked(now)
	u.in += in
	u.out += out
}

// rollLocked judges a span that is over.
func (u *Usage) rollLocked(now time.Time) {
	span := now.Sub(u.began)
	if span < usageSpan {
		return
	}
	used := float64(max(u.in, u.out)) / span.Seconds() / u.BytesPerSecond
	u.in, u.out, u.began = 0, 0, now
	switch {
	case used < usageFull:
		u.full = time.Time{}
	case u.full.IsZero():
		u.full = now.Add(-span)
	}
	if !u.full.IsZero() && now.Sub(u.full) >= fullFor {
		u.until = now.Add(awayFor)
	}
}

// Overloaded reports whether new callers should go elsewhere.
func (u *Usage) Overloaded(now time.Time) bool {
	if u.BytesPerSecond <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rollLocked(now)
	return now.Before(u.until)
}
