package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// maxRecords is how often a decider records what it observed in one roll-out, whatever its duration, and
	// minRecordInterval the minimum time between two of these writes.
	maxRecords        = 16
	minRecordInterval = 500 * time.Millisecond
	// The maxima below bound the size of a record: routes, upstreams of a route, and routers.
	maxRecordedRoutes    = 16
	maxRecordedUpstreams = 8
	maxRecordedRouters   = 2048
	// others is the route, or the upstream, that holds what exceeds a maximum.
	others = "(others)"
)

// Record is what the store holds on a service's roll-out.
type Record struct {
	// Order is the revision of the order; 0 if there is no record. Version and Duration are those of the order, "" and 0 in
	// records of earlier processes.
	Order    store.Revision
	Version  string
	Duration time.Duration
	State    State
	// Began is the time of the order by the clock of the process that wrote the record first.
	Began time.Time
	// Observed is what the decider had observed; nil if the roll-out has ended, or if the process that
	// wrote the record does not record it.
	Observed *Observed
	// Earlier is what the orders before this one say.
	Earlier Earlier
	// Revision is the record's revision in the store.
	Revision store.Revision
}

// IsOf reports whether the record is of an order. In a later era of the store the order has another revision; a process that does not
// know the earlier one compares what is ordered.
func (r Record) IsOf(o Order) bool {
	switch {
	case r.Order == o.Revision || o.Earlier != 0 && r.Order == o.Earlier:
		return true
	case o.Earlier != 0 || r.Order == 0 || r.Version == "":
		return false
	}
	return r.Order.Era() < o.Revision.Era() && r.Version == o.Version && r.Duration == o.Duration
}

// EarlierOf returns what the record says of the orders before an order.
func (r Record) EarlierOf(o Order) Earlier {
	if r.Order == 0 || r.IsOf(o) || r.Version == "" {
		return r.Earlier
	}
	return r.Earlier.Next(r.Version, r.State, r.Revision, o.Version)
}

// Observed is what a decider has observed since the order. Another one continues with it, also if no router
// is left whose requests it counts.
type Observed struct {
	// Elapsed is the time from the order to the record.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Counted is for how much of that time requests were counted.
	Counted time.Duration `json:"counted_ns"`
	// Fleet is the number of routers.
	Fleet int `json:"fleet"`
	// Routes are the sums over all routers.
	Routes map[string]RouteSamples `json:"routes"`
	// Routers are the incarnations of the routers whose requests are in the sums.
	Routers []string `json:"routers"`
	// Moved are the routes that were moved to the new version.
	Moved []string `json:"moved,omitempty"`
}

// Validate returns an error that names what cannot have been counted.
func (o *Observed) Validate() error {
	if o.Elapsed < 0 || o.Counted < 0 || o.Fleet < 0 {
		return fmt.Errorf("elapsed time %v, counted time %v or number of routers %d is negative", o.Elapsed, o.Counted, o.Fleet)
	}
	for name, route := range o.Routes {
		if route.Old.invalid() {
			return fmt.Errorf("route %q has invalid counts of the previous version", name)
		}
		for upstream, s := range route.New {
			if s.invalid() {
				return fmt.Errorf("route %q has invalid counts of upstream %q", name, upstream)
			}
		}
	}
	return nil
}

// Totals returns the requests sent, those sent to the new version, and the new version's answers.
func (o *Observed) Totals() (sent, sentToNew, answered int) {
	for _, route := range o.Routes {
		var e evidence
		e.add(route)
		sent += e.sent()
		sentToNew += e.new.Sent
		answered += e.new.Answered
	}
	return sent, sentToNew, answered
}

// Resume continues with what an earlier decider observed, and reports whether it replaces what this one has:
// the sums that count more are kept, never both, so no request counts twice. A router whose requests are in
// the sums adds only those after its next report.
func (d *Decider) Resume(now time.Time, o *Observed) (resumed bool) {
	if o == nil {
		return false
	}
	d.recordMoved(o.Moved)
	if !d.confirmed {
		d.startedFleet, d.startedAt = o.Fleet, now
	}
	own := d.demand(now)
	if sent, sentToNew, _ := o.Totals(); own.sent >= sent && own.sentToNew >= sentToNew {
		d.countedBefore, d.countingSince = max(d.countedTime(now), o.Counted), now
		return false
	}
	d.resumed, d.history = o, nil
	d.countedBefore, d.countingSince = o.Counted, now
	d.baselines = make(map[string]map[string]RouteSamples, len(o.Routers))
	for _, router := range o.Routers {
		d.baselines[router] = nil
	}
	return true
}

// keepLarger gives up what an earlier decider observed once the routers that report have counted more: they
// have counted on since the record.
func (d *Decider) keepLarger(now time.Time) {
	if d.resumed == nil {
		return
	}
	with, resumed, baselines := d.demand(now), d.resumed, d.baselines
	d.resumed, d.baselines = nil, nil
	if own := d.demand(now); own.sent >= with.sent && own.sentToNew >= with.sentToNew && own.answered() >= with.answered() {
		d.history = nil
		return
	}
	d.resumed, d.baselines = resumed, baselines
}

// Observed returns what the next decider needs. routers are the incarnations that are listed: others are left
// out first if there are too many.
func (d *Decider) Observed(now time.Time, routers []string) *Observed {
	sum := d.demand(now)
	o := &Observed{Elapsed: sum.elapsed, Counted: min(sum.elapsed, d.countedTime(now)), Fleet: d.fleet(now, routers), Routes: map[string]RouteSamples{}, Routers: d.counted(routers),
		Moved: slices.Sorted(maps.Keys(d.moved))}
	kept := largest(sum.routes, maxRecordedRoutes, evidence.sent)
	merged, mayInterrupt := evidence{}, true
	for name, e := range sum.routes {
		if kept[name] {
			o.Routes[name] = e.samples(sum.mayInterrupt[name])
			continue
		}
		merged.add(e.samples(false))
		mayInterrupt = mayInterrupt && sum.mayInterrupt[name]
	}
	if len(kept) < len(sum.routes) {
		o.Routes[others] = merged.samples(mayInterrupt)
	}
	return o
}

// counted returns the routers whose requests are in the sums.
func (d *Decider) counted(listed []string) []string {
	ids := map[string]bool{}
	for id := range d.baselines {
		ids[id] = true
	}
	for id := range d.reports {
		ids[id] = true
	}
	if len(ids) > maxRecordedRouters {
		known := ids
		ids = map[string]bool{}
		for _, id := range listed {
			ids[id] = known[id]
		}
		maps.DeleteFunc(ids, func(_ string, counted bool) bool { return !counted })
	}
	out := slices.Sorted(maps.Keys(ids))
	return out[:min(maxRecordedRouters, len(out))]
}

// samples returns the evidence of a route in the form of a report.
func (e evidence) samples(mayInterrupt bool) RouteSamples {
	out := RouteSamples{Old: e.old, New: map[string]Samples{}, MayInterrupt: mayInterrupt}
	kept := largest(e.byUpstream, maxRecordedUpstreams, func(s Samples) int { return s.Sent })
	for upstream, s := range e.byUpstream {
		if !kept[upstream] {
			upstream = others
		}
		sum := out.New[upstream]
		sum.merge(s)
		out.New[upstream] = sum
	}
	return out
}

// largest returns the names of all items, or of the n-1 largest ones if there are more than n.
func largest[T any](items map[string]T, n int, size func(T) int) map[string]bool {
	names := slices.SortedFunc(maps.Keys(items), func(a, b string) int {
		return cmp.Or(cmp.Compare(size(items[b]), size(items[a])), cmp.Compare(a, b))
	})
	if len(names) > n {
		names = names[:n-1]
	}
	kept := make(map[string]bool, len(names))
	for _, name := range names {
		kept[name] = true
	}
	return kept
}

// recordDue reports whether what was observed is to be recorded now. In the last part of the time the next
// write is that of the end.
func (d *Decider) recordDue(sum *demand) bool {
	return sum.left() > d.Limits.Margin && sum.elapsed-d.recordedAt >= max(minRecordInterval, d.Order.Duration/maxRecords)
}

// RecordBegun notes that a write of what was observed begins, whether or not it succeeds.
func (d *Decider) RecordBegun(now time.Time) {
	sum := d.demand(now)
	d.recordedAt = sum.elapsed
}

// added returns what a router's report adds to the sums.
func (d *Decider) added(r Report) map[string]RouteSamples {
	baseline, counted := d.baselines[r.Router]
	switch {
	case !counted:
		return r.Routes
	case baseline == nil:
		return nil
	}
	added := make(map[string]RouteSamples, len(r.Routes))
	for name, s := range r.Routes {
		added[name] = s.since(baseline[name])
	}
	return added
}

// since returns the samples without earlier ones of the same router.
func (s RouteSamples) since(earlier RouteSamples) RouteSamples {
	out := RouteSamples{Old: s.Old.since(earlier.Old), New: make(map[string]Samples, len(s.New)), MayInterrupt: s.MayInterrupt}
	for upstream, n := range s.New {
		out.New[upstream] = n.since(earlier.New[upstream])
	}
	return out
}

// since returns the samples without earlier ones; none if they are not later ones, since reports may
// arrive in another order. Requests that found no connection count as sent in earlier ones only.
func (s Samples) since(earlier Samples) Samples {
	later := s.without(earlier)
	later.Sent = max(0, later.Sent)
	if !later.invalid() {
		return later
	}
	return Samples{}
}

// invalid reports whether a count is negative, or more requests failed than were answered.
func (s Samples) invalid() bool {
	return s.Sent < 0 || s.Answered < 0 || s.Failed < 0 || s.Failed > s.Answered || s.RanMS < 0 ||
		slices.ContainsFunc(s.Slowness[:], func(n int) bool { return n < 0 })
}
