package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// allowanceUse is the part of the allowed requests that is planned for: reports are late, and
	// some routers may send none.
	allowanceUse = 0.93
	// canaryPart is the part of the planned requests that go to canaries before anything is moved.
	canaryPart = 0.25
	// minCanaryRequests is how many requests canaries get instead if the allowance leaves as many beside the moves, as it does with few
	// requests a second: fewer do not tell a version of which a third fails from one upstream that fails. moveReserve is
	// how many times the requests of the moves are kept for them, since the rate may rise.
	minCanaryRequests = 150
	moveReserve       = 2
	// maxCanaryShare bounds the share of the requests that go to canaries at any time, and firstCanaryShare
	// is the share while the rate of requests is not known.
	maxCanaryShare   = 0.5
	firstCanaryShare = 0.05
	// drainMeans is how many mean run times the requests at the previous version get to end: 95 in
	// 100 end within it if run times are exponentially distributed.
	drainMeans = 3
	// lastPart is the part of the margin that the last move needs: directives, confirmations and the write.
	lastPart = 0.35
	// minAnswers is the number of the new version's answers without which it is not proven.
	minAnswers = 10
	// minCountedPart is the part of the time since the order for which requests must have been counted: after all
	// routers were down for most of it, too little is known of either version.
	minCountedPart = 0.25
)

// demand is what the service got since the order.
type demand struct {
	// elapsed is the time since the order, duration the time from the order to its deadline.
	elapsed, duration time.Duration
	// sent are all requests, sentToNew those sent to the new version.
	sent, sentToNew int
	routes          map[string]evidence
	// mayInterrupt are the routes whose requests can be sent again when their upstream stops.
	mayInterrupt map[string]bool
}

func (d *demand) left() time.Duration { return max(0, d.duration-d.elapsed) }

// expected returns the number of requests in a time at the rate so far.
func (d *demand) expected(sent int, within time.Duration) float64 {
	return float64(sent) * float64(within) / float64(max(d.elapsed, time.Millisecond))
}

// allowance returns how many requests a bad version may get until the deadline.
func (d *demand) allowance(l Limits) float64 {
	total := float64(d.sent) + d.expected(d.sent, d.left())
	return allowanceUse * (l.Share*total + float64(l.Slack)/2)
}

// canaryShare returns the share of the requests that go to canaries now.
func (d *demand) canaryShare(l Limits) float64 {
	rest := d.canaryBudget(l) - float64(d.sentToNew)
	coming := d.expected(d.sent, d.left())
	if rest <= 0 {
		return 0
	}
	if coming <= 0 {
		return firstCanaryShare
	}
	return min(maxCanaryShare, rest/coming)
}

// canaryBudget returns how many requests may go to canaries until the deadline.
func (d *demand) canaryBudget(l Limits) float64 {
	allowance := d.allowance(l)
	beside := allowance
	for name, e := range d.routes {
		beside -= moveReserve * d.expected(e.sent(), l.Margin+d.drain(name))
	}
	return max(canaryPart*allowance, min(beside, minCanaryRequests))
}

// moved returns the routes whose requests all go to the new version from now on. Even if the version
// turned bad now, it would get no more than allowed until the deadline. Routes whose requests can't
// be interrupted are moved earlier, by the time that these run, but leave enough for the others to move in time.
func (d *demand) moved(l Limits) (routes []string) {
	left := d.left()
	rest := d.allowance(l) - float64(d.sentToNew)
	names := d.byDrain()
	for n, name := range names {
		rest -= d.expected(d.routes[name].sent(), left)
		if rest < d.lastNeed(names[n+1:], l) || left > l.Margin+d.drain(name) {
			break
		}
		routes = append(routes, name)
	}
	return routes
}

// lastNeed returns how many requests some routes get if they move as late as is still in time.
func (d *demand) lastNeed(routes []string, l Limits) (need float64) {
	within := min(d.left(), time.Duration(lastPart*float64(l.Margin)))
	for _, name := range routes {
		need += d.expected(d.routes[name].sent(), within)
	}
	return need
}

// byDrain returns the routes by drain time, the longest first.
func (d *demand) byDrain() []string {
	return slices.SortedFunc(maps.Keys(d.routes), func(a, b string) int {
		return cmp.Or(cmp.Compare(d.drain(b), d.drain(a)), cmp.Compare(a, b))
	})
}

// drain returns the time in which most of a route's running requests end.
func (d *demand) drain(route string) time.Duration {
	if d.mayInterrupt[route] {
		return 0
	}
	return drainMeans * d.routes[route].old.meanRun()
}

func (e evidence) sent() int { return e.old.Sent + e.new.Sent }

// answered returns the number of the new version's answers.
func (d *demand) answered() (n int) {
	for _, e := range d.routes {
		n += e.new.Answered
	}
	return n
}

// proven reports whether the new version has answered enough requests; few are enough for a service that
// gets few.
func (d *demand) proven() bool { return d.answered() >= min(minAnswers, (d.sent+3)/4) }
