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

	mu    sync.Mutex
	last  time.Time // of the last tick
	late  time.Duration
	since time.Time // since when the VM has been busy, zero if it is not
	until time.Time // to when new callers go elsewhere
}

// busyLag is the wait for the processor from which a VM counts as busy. A request waits for it
// some five times on its way to the first event, so this is a quarter of the time that
// interactive callers give that.
const busyLag = 40 * time.Millisecond

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
	switch {
	case l.late < busyLag:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
	if !l.since.IsZero() && now.Sub(l.since) >= fullFor {
		l.until = now.Add(awayFor)
	}
}

// Overloaded reports whether new callers should go elsewhere: the VM has been busy for a while.
// The load pattern that it answers: the callers of one large team all come through one small VM,
// an eighth of a fleet's traffic through a seventh of a core. All requests there are late, also
// those of others, while the VMs beside it are idle.
func (l *Lag) Overloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
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
