package rollout

import (
	"maps"
	"slices"
	"time"
)

// overtime is how long after the deadline a process to which few routers report waits for another one to
// end the roll-out.
const overtime = 5 * time.Second

// nearDeadline is the time before the deadline in which directives change within a fraction of a second.
const nearDeadline = 2 * time.Second

// Decider collects the reports of all routers on one order and decides. One process has it at a
// time; another one that takes over gets everything with the next report of each router. It is not
// safe for concurrent use.
type Decider struct {
	Order  Order
	Limits Limits

	reports map[string]received
	// observed is the time of the order by the routers that received it, recorded the one in the store by
	// another process's clock; zero if unknown.
	observed, recorded time.Time
	state              State
	// reason is why the roll-out ended or will end.
	reason  string
	history history
	// moved are the routes that were moved to the new version.
	moved map[string]bool
	// finishing is set once all requests go to the new version.
	finishing bool
	// confirmed is set when the store holds that this process decides.
	confirmed bool
}

type received struct {
	Report
	at time.Time
}

// Confirm records that the store holds this process as the decider. began is the time of the order as
// known there, zero if it is not.
func (d *Decider) Confirm(began time.Time) {
	d.confirmed = true
	d.recorded = earlier(d.recorded, began)
}

// Confirmed reports whether the store holds this process as the decider.
func (d *Decider) Confirmed() bool { return d.confirmed }

// earlier returns the earlier of two times; zero means unknown.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Began returns the time of the order, zero if it is not known. Clocks of other processes may be wrong by
// seconds, so the store's time counts only if no router has received the order.
func (d *Decider) Began() time.Time {
	if d.observed.IsZero() {
		return d.recorded
	}
	return d.observed
}

// Add replaces a router's report. Reports of other orders are ignored.
func (d *Decider) Add(now time.Time, r Report) {
	if r.Order != d.Order.Revision {
		return
	}
	if d.reports == nil {
		d.reports = map[string]received{}
	}
	d.reports[r.Router] = received{r, now}
	if r.Age > 0 {
		d.observed = earlier(d.observed, now.Add(-r.Age))
	} else {
		d.recorded = earlier(d.recorded, now)
	}
	d.finishing = d.finishing || r.Finishing
	if r.RolledBack {
		d.End(RolledBack, "another router knows that it was rolled back")
	}
}

// End records the end of the roll-out. The first end stays.
func (d *Decider) End(s State, reason string) {
	if !d.state.Final() {
		d.state, d.reason = s, reason
	}
}

// Decision is what follows from the reports.
type Decision struct {
	Directive Directive
	// Complete is set if the store may be told that the roll-out is complete.
	Complete bool
	Reason   string
	// Sent, SentToNew and Answered are the service's requests, those sent to the new version, and the
	// new version's answers.
	Sent, SentToNew, Answered int
	Elapsed                   time.Duration
	// Waiting is the number of routers that may still send to the previous version.
	Waiting int
}

// Decide returns what routers do now. routers are the incarnations of those that may send requests.
func (d *Decider) Decide(now time.Time, routers []string) Decision {
	demand := d.demand(now)
	reporting := d.reporting(now, routers)
	d.judge(&demand, reporting, len(routers))
	out := Decision{Directive: Directive{Revision: d.Order.Revision, State: d.state}, Reason: d.reason,
		Sent: demand.sent, SentToNew: demand.sentToNew, Answered: demand.answered(), Elapsed: demand.elapsed}
	if d.state.Final() || !d.confirmed || d.Began().IsZero() {
		return out
	}
	out.Directive.Share, out.Directive.Near = demand.canaryShare(d.Limits), demand.left() < nearDeadline
	if !demand.proven() {
		return out
	}
	moved := demand.moved(d.Limits)
	if len(moved) > 0 && !d.mayMove(&demand) {
		out.Directive.Share, out.Directive.State, out.Reason = 0, d.state, d.reason
		return out
	}
	d.recordMoved(moved)
	d.finishing = d.finishing || !d.oldVersionLeft() || demand.left() == 0 ||
		demand.left() <= d.Limits.Margin && len(d.moved) == len(demand.routes)
	out.Directive.Moved, out.Directive.Finish = slices.Sorted(maps.Keys(d.moved)), d.finishing
	if d.finishing {
		out.Waiting = d.waiting(now, demand.left(), routers)
		out.Complete = out.Waiting == 0 && 2*reporting >= len(routers)
	}
	return out
}

// reporting counts the routers that report to this process. With few of them another process decides, or
// most routers have ended.
func (d *Decider) reporting(now time.Time, routers []string) (n int) {
	for _, id := range routers {
		if r, known := d.reports[id]; known && now.Sub(r.at) < d.Limits.ReportTTL {
			n++
		}
	}
	return n
}

// judge ends the roll-out of a version that is bad, or that is not proven at the deadline. The times of
// routes that were moved are not compared: the caches of the new version are empty, and the previous
// one gets no such requests at the same time.
func (d *Decider) judge(demand *demand, reporting, routers int) {
	if reporting == 0 {
		return
	}
	c := comparison{significance: significance,
		timed: func(route string) bool { return demand.left() > d.Limits.Margin && !d.moved[route] }}
	for _, routes := range []map[string]evidence{demand.routes, d.history.since(demand.elapsed, demand.routes)} {
		if reason := c.bad(routes); reason != "" {
			d.End(RolledBack, reason)
		}
	}
	most := 2*reporting >= routers || demand.elapsed >= demand.duration+overtime
	if d.confirmed && demand.left() == 0 && !demand.proven() && most {
		d.End(RolledBack, "too few answers of the version before the deadline")
	}
}

// mayMove reports whether requests may be moved to the version, and ends the roll-out if not. It compares
// more strictly than judge, once.
func (d *Decider) mayMove(demand *demand) bool {
	if len(d.moved) > 0 || d.finishing {
		return true
	}
	c := comparison{significance: moveSignificance, anyUpstream: true, timed: func(string) bool { return true }}
	for _, routes := range []map[string]evidence{demand.routes, d.history.since(demand.elapsed, demand.routes)} {
		if reason := c.bad(routes); reason != "" {
			d.End(RolledBack, "before requests are moved: "+reason)
			return false
		}
	}
	return true
}

func (d *Decider) recordMoved(routes []string) {
	if d.moved == nil {
		d.moved = map[string]bool{}
	}
	for _, name := range routes {
		d.moved[name] = true
	}
}

// waiting counts the routers that may still send, or have requests running, at the previous version. A
// router without recent reports has probably ended, and is not waited for at the deadline.
func (d *Decider) waiting(now time.Time, left time.Duration, routers []string) (n int) {
	for _, id := range routers {
		r, known := d.reports[id]
		current := known && now.Sub(r.at) < d.Limits.ReportTTL
		switch {
		case current && r.Finishing && r.RunningOld == 0:
		case !current && left <= d.Limits.Margin/4:
		default:
			n++
		}
	}
	return n
}

// oldVersionLeft reports whether any router has an upstream of another version, while there are some of
// the new one.
func (d *Decider) oldVersionLeft() bool {
	newVersion := false
	for _, r := range d.reports {
		if r.OldUpstreams > 0 {
			return true
		}
		newVersion = newVersion || r.NewUpstreams > 0
	}
	return !newVersion
}

// demand adds up the reports.
func (d *Decider) demand(now time.Time) demand {
	sum := demand{duration: d.Order.Duration, routes: map[string]evidence{}, mayInterrupt: map[string]bool{}}
	if began := d.Began(); !began.IsZero() {
		sum.elapsed = max(0, now.Sub(began))
	}
	for _, r := range d.reports {
		for name, s := range r.Routes {
			e := sum.routes[name]
			e.add(s)
			sum.routes[name] = e
			sum.mayInterrupt[name] = s.MayInterrupt
		}
	}
	for _, e := range sum.routes {
		sum.sent += e.sent()
		sum.sentToNew += e.new.Sent
	}
	return sum
}

func (e *evidence) add(s RouteSamples) {
	e.old.merge(s.Old)
	if e.byUpstream == nil {
		e.byUpstream = map[string]Samples{}
	}
	for upstream, n := range s.New {
		e.new.merge(n)
		sum := e.byUpstream[upstream]
		sum.merge(n)
		e.byUpstream[upstream] = sum
	}
}
