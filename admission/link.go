// Package admission decides which requests a router accepts. Its decisions depend only on their
// inputs: the time and measurements are passed in.
package admission

import (
	"sync"
	"time"
)

// Link estimates how long bytes wait at the VM's own network link. It handles an overload in which
// one team sends many times its usual load and all its callers use one small VM: the queue at that
// VM's link delays every request, lease and control message of the VM by seconds until they time
// out. It is safe for concurrent use.
type Link struct {
	// BytesPerSecond is the link's rate; 0 is unlimited.
	BytesPerSecond float64

	mu        sync.Mutex
	backlog   float64 // estimated bytes in the queue, as of updatedAt
	updatedAt time.Time
}

// Sent records bytes that were passed to the network.
func (l *Link) Sent(now time.Time, bytes int) {
	if l.BytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog = l.backlogLocked(now) + float64(bytes)
	l.updatedAt = now
}

// Delay returns the estimated wait of a byte that is sent now.
func (l *Link) Delay(now time.Time) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.backlogLocked(now) / l.BytesPerSecond * float64(time.Second))
}

func (l *Link) backlogLocked(now time.Time) float64 {
	return max(0, l.backlog-now.Sub(l.updatedAt).Seconds()*l.BytesPerSecond)
}

// Bounds of the wait at the link and for the processor. A stream may pause for some 400 ms and a
// wait of half a second counts as a congested link, so even the most urgent requests are refused
// well before; less urgent ones are refused first.
const (
	maxDelay     = 240 * time.Millisecond
	delayPerRank = 60 * time.Millisecond
	// maxRankSteps is the first rank with the lowest bound; all less urgent ranks share it.
	maxRankSteps = 3
	// alwaysAdmittedBytes is the size up to which requests are always accepted: refusing them
	// costs the link as much as passing them on.
	alwaysAdmittedBytes = 2 << 10
)

// Admit reports whether a request of this rank (0 is the most urgent) and size may be accepted
// when work at this VM waits for delay.
func Admit(delay time.Duration, rank int, bytes int64) bool {
	if bytes <= alwaysAdmittedBytes {
		return true
	}
	return delay <= maxDelay-time.Duration(min(max(rank, 0), maxRankSteps))*delayPerRank
}
