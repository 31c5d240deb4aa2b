package admission

import (
	"sync"
	"time"
)

// Lag estimates how long work waits for the VM's processor, by the delay of a periodic timer. It
// handles the same overload as Link, at a VM with a small share of a core, where everything that
// the process does is delayed by the same time. It is safe for concurrent use.
type Lag struct {
	// Period is the period of the timer.
	Period time.Duration

	mu         sync.Mutex
	lastTick   time.Time
	averageLag time.Duration
}

// Tick records that the timer fired.
func (l *Lag) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastTick.IsZero() {
		// Averaging two values keeps a single pause, such as a garbage collection, from counting
		// as lag.
		l.averageLag = (l.averageLag + max(0, now.Sub(l.lastTick)-l.Period)) / 2
	}
	l.lastTick = now
}

// Delay returns the estimated wait of work that arrives now. An overdue tick counts as well, since
// the timer cannot fire while the processor is unavailable.
func (l *Lag) Delay(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastTick.IsZero() {
		return 0
	}
	overdue := max(0, now.Sub(l.lastTick)-l.Period)
	return max(l.averageLag, overdue/2)
}
