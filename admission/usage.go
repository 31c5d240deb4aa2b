package admission

import (
	"sync"
	"time"
)

// Usage detects that a VM's link has been overloaded in either direction for too long. The inbound
// queue cannot be measured here, only the bytes that arrive, but a link at its full rate has a
// queue. During an overload the balancer should send new callers to other VMs: refusing requests
// does not help, since their bytes have been received by then. It is safe for concurrent use.
type Usage struct {
	// BytesPerSecond is the link's rate in each direction; 0 is unlimited.
	BytesPerSecond float64

	mu              sync.Mutex
	in, out         int
	windowStart     time.Time
	fullSince       time.Time // zero if the link is not full
	overloadedUntil time.Time // new callers go elsewhere until then
}

const (
	// usageWindow is the duration over which usage is measured.
	usageWindow = 500 * time.Millisecond
	// fullThreshold is the share of the rate from which a link counts as full: queues grow long
	// before the whole rate is used, since traffic is bursty.
	fullThreshold = 0.75
	// overloadDelay is how long a link must be full before it counts as overloaded; a short burst
	// is over before the balancer reacts.
	overloadDelay = time.Second
	// overloadHold is how long new callers go elsewhere after that. The callers that left return
	// together, so it is longer than usual bursts.
	overloadHold = 8 * time.Second
)

// Received records bytes that were received.
func (u *Usage) Received(now time.Time, bytes int) { u.recordBytes(now, bytes, 0) }

// Sent records bytes that were sent.
func (u *Usage) Sent(now time.Time, bytes int) { u.recordBytes(now, 0, bytes) }

func (u *Usage) recordBytes(now time.Time, in, out int) {
	if u.BytesPerSecond <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endWindowLocked(now)
	u.in += in
	u.out += out
}

// endWindowLocked evaluates the window if it is over.
func (u *Usage) endWindowLocked(now time.Time) {
	elapsed := now.Sub(u.windowStart)
	if elapsed < usageWindow {
		return
	}
	used := float64(max(u.in, u.out)) / elapsed.Seconds() / u.BytesPerSecond
	u.in, u.out, u.windowStart = 0, 0, now
	switch {
	case used < fullThreshold:
		u.fullSince = time.Time{}
	case u.fullSince.IsZero():
		u.fullSince = now.Add(-elapsed)
	}
	if !u.fullSince.IsZero() && now.Sub(u.fullSince) >= overloadDelay {
		u.overloadedUntil = now.Add(overloadHold)
	}
}

// Overloaded reports whether new callers should be sent to other VMs.
func (u *Usage) Overloaded(now time.Time) bool {
	if u.BytesPerSecond <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endWindowLocked(now)
	return now.Before(u.overloadedUntil)
}
