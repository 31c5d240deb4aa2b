package admission

import (
	"math"
	"sync"
	"time"
)

// Crowding decides when a router hands callers over to other routers. It handles a load in which the connections
// of one large team meet at one small VM: its processor or link is behind by a part of a second, while other VMs have
// capacity. An open connection stays at its VM, so nobody else can move these callers. It is safe for concurrent use.
type Crowding struct {
	mu           sync.Mutex
	behindSince  time.Time // zero if the VM is not behind
	crowdedUntil time.Time
}

const (
	// crowdedRatio is the router's work, relative to the mean of all routers, from which others have capacity for it.
	crowdedRatio = 1.5
	// crowdedWait is the wait for the processor or the link from which a VM is behind. A small VM whose processor time is
	// allotted in slices of 100 ms waits half as long on average while it is not overloaded.
	crowdedWait = 60 * time.Millisecond
	// crowdedDelay is how long a VM must be behind before it counts as crowded; a short burst is over before the
	// balancer reacts.
	crowdedDelay = 250 * time.Millisecond
)

// Observe records that work on this VM waits for wait, and that the router has ratio times the mean work of all
// routers (0 is unknown). It reports whether the VM is crowded. Once it is, it stays so for a while: the callers that
// left return together.
func (c *Crowding) Observe(now time.Time, wait time.Duration, ratio float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case wait < crowdedWait || ratio < crowdedRatio:
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = now
	case now.Sub(c.behindSince) >= crowdedDelay:
		c.crowdedUntil = now.Add(overloadHold)
	}
	return now.Before(c.crowdedUntil)
}

// Crowded reports whether the VM is crowded, by the last observations.
func (c *Crowding) Crowded(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.crowdedUntil)
}

// Turns is how often a request waits for its router's VM before its caller gets the first event.
type Turns int

const (
	// PlainTurns are those of a request to a plain service: to be read, and to pass on the answer.
	PlainTurns Turns = 2
	// PromptTurns are those of a prompt: to be read, for the replies of the lenders of its budget and of its
	// engine, and to pass on the first event.
	PromptTurns Turns = 4
)

// maxWaitShare is the share of a goal that a request may wait for its router's VM; the rest is for the upstream.
const maxWaitShare = 0.5

// Arrival is a request that has just arrived at a router.
type Arrival struct {
	// Wait is how long work waits for the VM now.
	Wait time.Duration
	// Ratio is the router's work relative to the mean of all routers; 0 is unknown.
	Ratio float64
	Turns Turns
	// Goal is the latency objective of the request, Rank its priority; 0 is the most urgent.
	Goal time.Duration
	Rank int
}

// FasterElsewhere reports whether a request misses its goal at this VM and is better sent again to another router, which
// its caller reaches at once. The router keeps the work that it may have beside the others, and of the rest the most
// urgent requests: the wait is known with a delay, so refusing all until it has ended would leave the VM idle. draw is a
// random number in [0, 1).
func FasterElsewhere(a Arrival, draw float64) bool {
	late := a.Goal > 0 && float64(a.Turns)*float64(a.Wait) > maxWaitShare*float64(a.Goal)
	if !late || a.Ratio <= crowdedRatio {
		return false
	}
	excess := 1 - crowdedRatio/a.Ratio
	switch {
	case a.Rank <= 0:
		excess *= excess
	case a.Rank > 1:
		excess = math.Sqrt(excess)
	}
	return draw < excess
}
