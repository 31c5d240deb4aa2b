package ratelimit

import "time"

const (
	// burstSeconds is the duration whose requests may be sent as a burst after a pause, in
	// addition to one request.
	burstSeconds = 0.5
	// numRanks is the number of distinct priorities; 0 is the most urgent.
	numRanks = 10
	// yieldRequests and maxYield limit how long less urgent requests yield after a more urgent one
	// was denied: its client is told to retry within the time of yieldRequests requests.
	yieldRequests = 2
	maxYield      = 4 * time.Second
)

// Limiter is a token bucket for the requests to one upstream. While no limit is known it permits
// all requests. It is not safe for concurrent use. The zero value is for a router.
type Limiter struct {
	known State
	// tokens is the number of requests that may be sent at once, as of filledAt.
	tokens   float64
	filledAt time.Time
	// lastDenied is the time at which a request of each rank was last denied.
	lastDenied [numRanks]time.Time
	// ownMarks is the number of the last mark that a router created itself.
	ownMarks int64
}

// NewLimiter returns the limiter of the process that counts all requests to an upstream, without a
// limit.
func NewLimiter() Limiter { return Limiter{known: State{Mark: Mark{Source: newSource()}}} }

// State returns the current limit and its mark; the zero value until a limit has been named.
func (l *Limiter) State() State {
	if l.known.Mark.Number == 0 {
		return State{}
	}
	return l.known
}

// Limited reports whether there is a limit.
func (l *Limiter) Limited() bool { return l.known.PerSecond > 0 }

// Observe applies the limit named by an answer and reports whether that changed the limit.
func (l *Limiter) Observe(now time.Time, n NamedLimit) bool {
	was := l.known.PerSecond
	if !l.known.apply(n) {
		return false
	}
	l.resetIfNew(now, was)
	return true
}

// ObserveLocal is Observe at a router, whose marks must differ from those of the process that counts all
// requests.
func (l *Limiter) ObserveLocal(now time.Time, n NamedLimit) bool {
	if !l.Observe(now, n) {
		return false
	}
	l.ownMarks++
	l.known.Mark = Mark{Number: l.ownMarks}
	return true
}

// ObserveReported applies the limit that a router reports, so that a process that has just started
// has it. Reports that originate from this process are ignored.
func (l *Limiter) ObserveReported(now time.Time, by State) bool {
	if by.PerSecond == 0 || by.Mark.Source == l.known.Mark.Source {
		return false
	}
	return l.Observe(now, NamedLimit{PerSecond: by.PerSecond})
}

// Adopt replaces the state by that of the process that counts all requests, and reports whether
// that changed the limit.
func (l *Limiter) Adopt(now time.Time, s State) bool {
	if s.Mark.Source == l.known.Mark.Source && s.Mark.Number < l.known.Mark.Number {
		return false // outdated
	}
	was := l.known.PerSecond
	l.known = s
	if was == s.PerSecond {
		return false
	}
	l.resetIfNew(now, was)
	return true
}

// resetIfNew empties the bucket if there was no limit before: a new limit permits no burst, since
// the requests sent just before were not counted.
func (l *Limiter) resetIfNew(now time.Time, was float64) {
	if was == 0 {
		l.tokens, l.filledAt = 0, now
	}
}

// fill refills the bucket and returns the rate. share is this process's part of the limit.
func (l *Limiter) fill(now time.Time, share float64) (rate float64) {
	rate = l.known.PerSecond * share
	l.tokens = min(burst(rate), l.tokens+rate*max(0, now.Sub(l.filledAt).Seconds()))
	l.filledAt = now
	return rate
}

// burst returns the capacity of the bucket at a rate.
func burst(rate float64) float64 { return 1 + rate*burstSeconds }

// HasCapacity reports whether a request of a rank may be sent now.
func (l *Limiter) HasCapacity(now time.Time, share float64, rank int) bool {
	if !l.Limited() {
		return true
	}
	rate := l.fill(now, share)
	return l.tokens >= 1 && l.yieldFor(now, rate, rank) == 0
}

// yieldFor returns how long a request of a rank must still yield to more urgent ones that were
// denied.
func (l *Limiter) yieldFor(now time.Time, rate float64, rank int) (left time.Duration) {
	limit := maxYield
	if rate > 0 {
		limit = min(limit, time.Duration(yieldRequests/rate*float64(time.Second)))
	}
	for _, at := range l.lastDenied[:clampRank(rank)] {
		if !at.IsZero() {
			left = max(left, at.Add(limit).Sub(now))
		}
	}
	return left
}

// Take permits and counts a request of a rank, or denies it.
func (l *Limiter) Take(now time.Time, share float64, rank int) bool {
	if !l.HasCapacity(now, share, rank) {
		l.lastDenied[clampRank(rank)] = now
		return false
	}
	if l.Limited() {
		l.tokens--
	}
	return true
}

// Return gives back the permit of a request that was sent elsewhere.
func (l *Limiter) Return(share float64) {
	if l.Limited() {
		l.tokens = min(burst(l.known.PerSecond*share), l.tokens+1)
	}
}

// RetryAfter returns the time until one more request of a rank may be permitted; 0 if unknown.
func (l *Limiter) RetryAfter(now time.Time, share float64, rank int) time.Duration {
	rate := l.fill(now, share)
	if rate <= 0 {
		return 0
	}
	refill := min(max(0, 1-l.tokens)/rate, maxNext.Seconds())
	return max(time.Millisecond, time.Duration(refill*float64(time.Second)), l.yieldFor(now, rate, rank))
}

// maxNext limits the result of RetryAfter, for limits close to 0.
const maxNext = time.Minute

func clampRank(rank int) int { return min(max(rank, 0), numRanks-1) }
