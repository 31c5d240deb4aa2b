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

// Gate counts the requests to one upstream and lets through what its limit allows. While no limit
// is known it lets all through. It is not safe for concurrent use. The zero value is a router's own.
type Gate struct {
	known Known
	// level is how many requests may go at once, as of at.
	level float64
	at    time.Time
	// turnedAway is when a request of a rank was last turned away.
	turnedAway [ranks]time.Time
	// own is the number of the last mark of a router's own.
	own int64
}

// NewGate makes the gate of the process that counts for an upstream, which knows of no limit.
func NewGate() Gate { return Gate{known: Known{Mark: Mark{Source: newSource()}}} }

// Known is what is known; the zero value as long as no limit ever was.
func (g *Gate) Known() Known {
	if g.known.Mark.Number == 0 {
		return Known{}
	}
	return g.known
}

// Limited reports whether a limit is known.
func (g *Gate) Limited() bool { return g.known.PerSecond > 0 }

// Hear takes in what an answer said, and reports whether that changed the limit.
func (g *Gate) Hear(now time.Time, w Word) bool {
	was := g.known.PerSecond
	if !g.known.hear(w) {
		return false
	}
	g.changed(now, was)
	return true
}

// HearOwn is Hear at a router, whose marks must not be taken for those of the process that counts.
func (g *Gate) HearOwn(now time.Time, w Word) bool {
	if !g.Hear(now, w) {
		return false
	}
	g.own++
	g.known.Mark = Mark{Number: g.own}
	return true
}

// Believed takes in what a router believes. It tells a process that has just started of a limit;
// what this process told itself is no news.
func (g *Gate) Believed(now time.Time, by Known) bool {
	if by.PerSecond == 0 || by.Mark.Source == g.known.Mark.Source {
		return false
	}
	return g.Hear(now, Word{PerSecond: by.PerSecond})
}

// Adopt takes what the process that counts knows, and reports whether that changed the limit.
func (g *Gate) Adopt(now time.Time, k Known) bool {
	if k.Mark.Source == g.known.Mark.Source && k.Mark.Number < g.known.Mark.Number {
		return false // told late
	}
	was := g.known.PerSecond
	g.known = k
	if was == k.PerSecond {
		return false
	}
	g.changed(now, was)
	return true
}

// changed begins to count where none was: a fresh limit allows nothing at once, since what the
// upstream got just before was not counted.
func (g *Gate) changed(now time.Time, was float64) {
	if was == 0 {
		g.level, g.at = 0, now
	}
}

// fill adds what has come free since the last look. share is the part of the limit that is this process's.
func (g *Gate) fill(now time.Time, share float64) (rate float64) {
	rate = g.known.PerSecond * share
	g.level = min(most(rate), g.level+rate*max(0, now.Sub(g.at).Seconds()))
	g.at = now
	return rate
}

// most is how many requests may go at once at a rate.
func most(rate float64) float64 { return 1 + rate*burstSeconds }

// Room reports whether a request of a rank may go now.
func (g *Gate) Room(now time.Time, share float64, rank int) bool {
	if !g.Limited() {
		return true
	}
	rate := g.fill(now, share)
	return g.level >= 1 && g.yields(now, rate, rank) == 0
}

// yields is how long a request of a rank still leaves what comes free to a more urgent one that was
// turned away.
func (g *Gate) yields(now time.Time, rate float64, rank int) (left time.Duration) {
	hold := mostHold
	if rate > 0 {
		hold = min(hold, time.Duration(holdRequests/rate*float64(time.Second)))
	}
	for _, at := range g.turnedAway[:index(rank)] {
		if !at.IsZero() {
			left = max(left, at.Add(hold).Sub(now))
		}
	}
	return left
}

// Take lets a request of a rank through and counts it, or turns it away.
func (g *Gate) Take(now time.Time, share float64, rank int) bool {
	if !g.Room(now, share, rank) {
		g.turnedAway[index(rank)] = now
		return false
	}
	if g.Limited() {
		g.level--
	}
	return true
}

// Return takes a request back that was let through and went elsewhere.
func (g *Gate) Return(share float64) {
	if g.Limited() {
		g.level = min(most(g.known.PerSecond*share), g.level+1)
	}
}

// Next is in how long there may be room for one more request of a rank; 0 if it can't be told.
func (g *Gate) Next(now time.Time, share float64, rank int) time.Duration {
	rate := g.fill(now, share)
	if rate <= 0 {
		return 0
	}
	fills := min(max(0, 1-g.level)/rate, mostNext.Seconds())
	return max(time.Millisecond, time.Duration(fills*float64(time.Second)), g.yields(now, rate, rank))
}

// mostNext bounds what Next tells, for limits near 0.
const mostNext = time.Minute

func index(rank int) int { return min(max(rank, 0), ranks-1) }
