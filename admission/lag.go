package admission

import (
	"sync"
	"time"
)

// Lag estimates how long work waits for the VM's processor, by how late a periodic timer
// comes. The load pattern it answers is that of Link, at a VM with a small share of a
// core: everything that the process does is late by the same time then. It is safe for
// concurrent use.
type Lag struct {
	// Period is that of the timer.
	Period time.Duration

	mu   sync.Mutex
	last time.Time // of the last tick
	late time.Duration
}

// Tick notes that the timer came.
func (l *Lag) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		// The mean of two spares a single pause, such as a collection, from
		// counting as lag.
		l.late = (l.late + max(0, now.Sub(l.last)-l.Period)) / 2
	}
	l.last = now
}

// Delay is how long work that comes now is believed to wait. A tick that is overdue
// counts as well, since it cannot come while the processor is not to be had.
func (l *Lag) Delay(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() {
		return 0
	}
	overdue := max(0, now.Sub(l.last)-l.Period)
	return max(l.late, overdue/2)
}
