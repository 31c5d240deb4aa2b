// Package admission decides which requests a router takes on. Its decisions are pure:
// the time and what was measured come in.
package admission

import (
	"sync"
	"time"
)

// Link estimates how long bytes wait at the VM's own network link. The load pattern it
// answers: one team sends many times its usual, its callers all come through one small
// VM, and the queue at that VM's link delays every request, lease and control message
// of the VM by seconds until their timeouts end them. It is safe for concurrent use.
type Link struct {
	// BytesPerSecond is the link's rate; 0 stands for one that never fills.
	BytesPerSecond float64

	mu      sync.Mutex
	backlog float64 // bytes believed to wait, as of at
	at      time.Time
}

// Sent notes bytes that were handed to the network.
func (l *Link) Sent(now time.Time, bytes int) {
	if l.BytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog = l.leftLocked(now) + float64(bytes)
	l.at = now
}

// Delay is how long a byte that is sent now is believed to wait.
func (l *Link) Delay(now time.Time) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.leftLocked(now) / l.BytesPerSecond * float64(time.Second))
}

func (l *Link) leftLocked(now time.Time) float64 {
	return max(0, l.backlog-now.Sub(l.at).Seconds()*l.BytesPerSecond)
}

// Bounds of the wait at the link and for the processor. A stream's pauses may last some 400 ms and half a
// second of waiting counts as a choked link, so even the most urgent requests are turned
// away well before; less urgent ones go first.
const (
	mostDelay = 240 * time.Millisecond
	rankDelay = 60 * time.Millisecond
	// ranksShed is the number of ranks that differ; all above are alike.
	ranksShed = 3
	// smallBytes is the size up to which requests are always taken: turning them
	// away costs the link as much as passing them on.
	smallBytes = 2 << 10
)

// Admit reports whether a request of this rank (0 is the most urgent) and size may be
// taken while work waits that long at this VM.
func Admit(delay time.Duration, rank int, bytes int64) bool {
	if bytes <= smallBytes {
		return true
	}
	return delay <= mostDelay-time.Duration(min(max(rank, 0), ranksShed))*rankDelay
}
