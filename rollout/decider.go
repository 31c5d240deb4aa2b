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

// listTime is the time in which a process that has started lists all routers.
const listTime = 2 * time.Second

// Decider collects the reports of all routers on one order and decides. One process has it at a
// time; another one that takes over continues with what the store holds, and with the next report of each
// router. It is not safe for concurrent use.
type Decider struct {
	Order  Order
	Limits Limits

	reports map[string]received
	// resumed is what an earlier decider observed. baselines are the reports of the routers whose requests
	// are in it; nil until the first one after Resume.
	resumed   *Observed
	baselines map[string]map[string]RouteSamples
	// recordedAt is the time of the last record since the order.
	recordedAt time.Duration
	// countingSince is when the first report arrived, since Resume if that is later; countedBefore is for how
	// long requests were counted before it.
	countingSince time.Time
	countedBefore time.Duration
	// startedFleet is the number of routers in the record that this process read when it took over, at startedAt.
	startedFleet int
	startedAt    time.Time
	// receivedOrder is the time of the order by the routers that received it, storedOrder the one in the store
	// by another process's clock; zero if unknown.
	receivedOrder, storedOrder time.Time
	state                      State
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
	d.OrderStored(began)
}

// OrderStored records the time of the order in the store, zero if it is not known there.
func (d *Decider) OrderStored(began time.Time) { d.storedOrder = earlier(d.storedOrder, began) }

// Confirmed reports whether the store holds this process as the decider.
func (d *Decider) Confirmed() bool { return d.confirmed }

// Suspend makes the decider wait for Confirm again: another process may have decided in the meantime.
func (d *Decider) Suspend(now time.Time) {
	d.confirmed = false
	d.countedBefore, d.countingSince = d.countedTime(now), time.Time{}
}

// Silent reports whether no router reports to this process.
func (d *Decider) Silent(now time.Time) bool {
	for _, r := range d.reports {
		if now.Sub(r.at) < d.Limits.ReportTTL {
			return false
		}
	}
	return true
}

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
	if d.receivedOrder.IsZero() {
		return d.storedOrder
	}
	return d.receivedOrder
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
	if d.countingSince.IsZero() {
		d.countingSince = now
	}
	if r.Age > 0 {
		d.receivedOrder = earlier(d.receivedOrder, now.Add(-r.Age))
	} else {
		d.storedOrder = earlier(d.storedOrder, now)
	}
	if baseline, counted := d.baselines[r.Router]; counted && baseline == nil {
		d.baselines[r.Router] = maps.Clone(r.Routes)
		if r.Routes == nil {
			d.baselines[r.Router] = map[string]RouteSamples{}
		}
	}
	d.finishing = d.finishing || r.Finishing
	d.recordMoved(r.Moved)
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
	// Elapsed is the time since the order, Counted for how much of it this process or earlier ones counted
	// requests.
	Elapsed, Counted time.Duration
	// Waiting is the number of routers that may still send to the previous version, Reporting the number of
	// those that report to this process.
	Waiting, Reporting int
	// Record is set if what was observed is to be recorded in the store.
	Record bool
}

// Decide returns what routers do now. routers are the incarnations of those that may send requests.
func (d *Decider) Decide(now time.Time, routers []string) Decision {
	d.keepLarger(now)
	demand := d.demand(now)
	reporting := d.reporting(now, routers)
	most := reporting > 0 && 2*reporting >= len(routers)
	proven := demand.proven() && d.countedEnough(now, &demand, routers) && d.versionListed()
	d.judge(&demand, reporting, most, proven)
	out := Decision{Directive: Directive{Revision: d.Order.Revision, State: d.state}, Reason: d.reason, Reporting: reporting,
		Sent: demand.sent, SentToNew: demand.sentToNew, Answered: demand.answered(), Elapsed: demand.elapsed, Counted: d.countedTime(now)}
	if d.state.Final() || !d.confirmed || d.Began().IsZero() {
		return out
	}
	out.Directive.Share, out.Directive.Near = demand.canaryShare(d.Limits), demand.left() < nearDeadline
	out.Record = most && d.recordDue(&demand)
	if !proven {
		return out
	}
	if most && !d.move(&demand) {
		out.Directive.Share, out.Directive.State, out.Reason, out.Record = 0, d.state, d.reason, false
		return out
	}
	out.Directive.Moved, out.Directive.Finish = slices.Sorted(maps.Keys(d.moved)), d.finishing
	if d.finishing {
		out.Waiting = d.waiting(now, demand.left(), routers)
		out.Complete = out.Waiting == 0 && most
	}
	return out
}

// move moves the routes whose time has come, and reports whether the version may get them.
func (d *Decider) move(demand *demand) bool {
	moved := demand.moved(d.Limits)
	finishing := d.finishing || !d.oldVersionLeft() || demand.left() == 0 ||
		demand.left() <= d.Limits.Margin && d.allMoved(demand.routes, moved)
	if (finishing || len(moved) > 0) && !d.mayMove(demand) {
		return false
	}
	d.recordMoved(moved)
	d.finishing = finishing
	return true
}

// allMoved reports whether all routes were moved, or are among those that are moved now.
func (d *Decider) allMoved(routes map[string]evidence, now []string) bool {
	for name := range routes {
		if !d.moved[name] && !slices.Contains(now, name) {
			return false
		}
	}
	return true
}

// countedTime returns for how long requests were counted.
func (d *Decider) countedTime(now time.Time) time.Duration {
	if d.countingSince.IsZero() {
		return d.countedBefore
	}
	return d.countedBefore + now.Sub(d.countingSince)
}

// countedEnough reports whether requests were counted for enough of the time since the order to tell a good
// version: most routers have received the order and still run, or the time that was counted suffices.
func (d *Decider) countedEnough(now time.Time, demand *demand, routers []string) bool {
	received := 0
	for _, id := range routers {
		if r, known := d.reports[id]; known && r.Age > 0 {
			received++
		}
	}
	return 2*received >= len(routers) || d.countedTime(now) >= time.Duration(minCountedPart*float64(min(demand.elapsed, demand.duration)))
}

// fleet returns the number of routers. A process that has taken over may have started together with most of
// them, and list few of them yet.
func (d *Decider) fleet(now time.Time, routers []string) int {
	if now.Sub(d.startedAt) > listTime {
		return len(routers)
	}
	return max(len(routers), d.startedFleet)
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

// judge ends the roll-out of a version that is bad, or that is not proven at the deadline although most
// routers report. The times of routes that were moved are not compared: the caches of the new version are
// empty, and the previous one gets no such requests at the same time.
func (d *Decider) judge(demand *demand, reporting int, most, proven bool) {
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
	late := demand.elapsed >= demand.duration+overtime
	if d.confirmed && demand.left() == 0 && !proven && (most || late) {
		reason := "too few answers of the version before the deadline"
		switch {
		case !d.versionListed():
			reason = "no upstream of the version accepts requests at the deadline"
		case demand.proven():
			reason = "requests were counted for too little of the time before the deadline"
		}
		d.End(RolledBack, reason)
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
// router without recent reports has probably ended, and is not waited for at the deadline. Nor is one
// that is not listed yet, unless most are not: they have started together with this process.
func (d *Decider) waiting(now time.Time, left time.Duration, routers []string) (n int) {
	if fleet := d.fleet(now, routers); left > d.Limits.Margin/4 || 2*len(routers) < fleet {
		n = fleet - len(routers)
	}
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

// versionListed reports whether any router has an upstream of the new version: the previous ones stop once it is completed.
func (d *Decider) versionListed() bool {
	for _, r := range d.reports {
		if r.NewUpstreams > 0 {
			return true
		}
	}
	return false
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

// demand adds up what an earlier decider observed and the reports.
func (d *Decider) demand(now time.Time) demand {
	sum := demand{duration: d.Order.Duration, routes: map[string]evidence{}, mayInterrupt: map[string]bool{}}
	if began := d.Began(); !began.IsZero() {
		sum.elapsed = max(0, now.Sub(began))
	}
	if d.resumed != nil {
		sum.add(d.resumed.Routes)
	}
	for _, r := range d.reports {
		sum.add(d.added(r.Report))
	}
	for _, e := range sum.routes {
		sum.sent += e.sent()
		sum.sentToNew += e.new.Sent
	}
	return sum
}

func (d *demand) add(routes map[string]RouteSamples) {
	for name, s := range routes {
		e := d.routes[name]
		e.add(s)
		d.routes[name] = e
		d.mayInterrupt[name] = s.MayInterrupt
	}
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
