package ratelimit

import "time"

const (
	// burstSeconds is the time whose requests may come at once after a pause, beside one.
	burstSeconds = 0.5
	// ranks is the number of priorities that are told apart; 0 goes first.
	ranks = 10
	// holdRequests and mostHold bound for how long less urgent requests yield after a more urgent
	// one was turned away: it is told to come back within the time of that many requests.
	holdRequests = 2
	mostHold     = 4 * time.Second
)

// Limiter counts the requests to one upstream and lets through what its limit allows. While no limit
// is known it lets all through. It is not safe for concurrent use. The zero value is a router's own.
type Limiter struct {
	known State
	// level is how many requests may go at once, as of at.
	level float64
	at    time.Time
	// turnedAway is when a request of a rank was last turned away.
	turnedAway [ranks]time.Time
	// own is the number of the last mark of a router's own.
	own int64
}

// NewLimiter makes the limiter of the process that counts for an upstream, which knows of no limit.
func NewLimiter() Limiter { return Limiter{known: State{Mark: Mark{Source: newSource()}}} }

// State is what is known; the zero value as long as no limit ever was.
func (l *Limiter) State() State {
	if l.known.Mark.Number == 0 {
		return State{}
	}
	return l.known
}

// Limited reports whether a limit is known.
func (l *Limiter) Limited() bool { return l.known.PerSecond > 0 }

// Observe takes in what an answer said, and reports whether that changed the limit.
func (l *Limiter) Observe(now time.Time, w NamedLimit) bool {
	was := l.known.PerSecond
	if !l.known.hear(w) {
		return false
	}
	l.changed(now, was)
	return true
}

// ObserveLocal is Hear at a router, whose marks must not be taken for those of the process that counts.
func (l *Limiter) ObserveLocal(now time.Time, w NamedLimit) bool {
	if !l.Observe(now, w) {
		return false
	}
	l.own++
	l.known.Mark = Mark{Number: l.own}
	return true
}

// ObserveReported takes in what a router believes. It tells a process that has just started of a limit;
// what this process told itself is no news.
func (l *Limiter) ObserveReported(now time.Time, by State) bool {
	if by.PerSecond == 0 || by.Mark.Source == l.known.Mark.Source {
		return false
	}
	return l.Observe(now, NamedLimit{PerSecond: by.PerSecond})
}

// Adopt takes what the process that counts knows, and reports whether that changed the limit.
func (l *Limiter) Adopt(now time.Time, k State) bool {
	if k.Mark.Source == l.known.Mark.Source && k.Mark.Number < l.known.Mark.Number {
		return false // told late
	}
	was := l.known.PerSecond
	l.known = k
	if was == k.PerSecond {
		return false
	}
	l.changed(now, was)
	return true
}

// changed begins to count where none was: a fresh limit allows nothing at once, since what the
// upstream got just before was not counted.
func (l *Limiter) changed(now time.Time, was float64) {
	if was == 0 {
		l.level, l.at = 0, now
	}
}

// fill adds what has come free since the last look. share is the part of the limit that is this process's.
func (l *Limiter) fill(now time.Time, share float64) (rate float64) {
	rate = l.known.PerSecond * share
	l.level = min(most(rate), l.level+rate*max(0, now.Sub(l.at).Seconds()))
	l.at = now
	return rate
}

// most is how many requests may go at once at a rate.
func most(rate float64) float64 { return 1 + rate*burstSeconds }

// HasCapacity reports whether a request of a rank may go now.
func (l *Limiter) HasCapacity(now time.Time, share float64, rank int) bool {
	if !l.Limited() {
		return true
	}
	rate := l.fill(now, share)
	return l.level >= 1 && l.yields(now, rate, rank) == 0
}

// yields is how long a request of a rank still leaves what comes free to a more urgent one that was
// turned away.
func (l *Limiter) yields(now time.Time, rate float64, rank int) (left time.Duration) {
	hold := mostHold
	if rate > 0 {
		hold = min(hold, time.Duration(holdRequests/rate*float64(time.Second)))
	}
	for _, at := range l.turnedAway[:index(rank)] {
		if !at.IsZero() {
			left = max(left, at.Add(hold).Sub(now))
		}
	}
	return left
}

// Take lets a request of a rank through and counts it, or turns it away.
func (l *Limiter) Take(now time.Time, share float64, rank int) bool {
	if !l.HasCapacity(now, share, rank) {
		l.turnedAway[index(rank)] = now
		return false
	}
	if l.Limited() {
		l.level--
	}
	return true
}

// Return takes a request back that was let through and went elsewhere.
func (l *Limiter) Return(share float64) {
	if l.Limited() {
		l.level = min(most(l.known.PerSecond*share), l.level+1)
	}
}

// RetryAfter is in how long there may be room for one more request of a rank; 0 if it can't be told.
func (l *Limiter) RetryAfter(now time.Time, share float64, rank int) time.Duration {
	rate := l.fill(now, share)
	if rate <= 0 {
		return 0
	}
	fills := min(max(0, 1-l.level)/rate, mostNext.Seconds())
	return max(time.Millisecond, time.Duration(fills*float64(time.Second)), l.yields(now, rate, rank))
}

// mostNext bounds what Next tells, for limits near 0.
const mostNext = time.Minute

func index(rank int) int { return min(max(rank, 0), ranks-1) }
