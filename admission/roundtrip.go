package admission

import (
	"sync"
	"time"
)

// RoundTrip estimates how long messages to other VMs and their replies wait at this VM, by its heartbeats. It handles
// the queue at the VM's inbound link, which neither the bytes sent nor the processor's lag shows: responses of upstreams
// and requests of callers arrive late, and so does everything else. It is safe for concurrent use.
type RoundTrip struct {
	mu        sync.Mutex
	average   time.Duration
	updatedAt time.Time
}

const (
	// roundTripWeight is the weight of one heartbeat in the average: one process that does not answer for seconds
	// is no sign of a wait at this VM.
	roundTripWeight = 0.05
	// maxRoundTrip caps one heartbeat, for the same reason.
	maxRoundTrip = 300 * time.Millisecond
	// usualRoundTrip is the longest round trip between regions without any wait.
	usualRoundTrip = 25 * time.Millisecond
	// roundTripTTL is how long the average is used without an answered heartbeat; processes send one a second on
	// each connection.
	roundTripTTL = 2 * time.Second
)

// Observe records the round trip of an answered heartbeat.
func (r *RoundTrip) Observe(now time.Time, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.average += time.Duration(roundTripWeight * float64(min(took, maxRoundTrip)-r.average))
	r.updatedAt = now
}

// Delay returns the estimated wait of a message and its reply.
func (r *RoundTrip) Delay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.updatedAt) > roundTripTTL {
		return 0
	}
	return max(0, r.average-usualRoundTrip)
}
