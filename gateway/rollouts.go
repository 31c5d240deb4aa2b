package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/rollout"
)

const (
	// rolloutTick is the interval between two looks at the roll-outs, minReportInterval the minimum
	// time between two reports of a router.
	rolloutTick       = 50 * time.Millisecond
	minReportInterval = 4 * rolloutTick
	// maxReportsPerSecond bounds the reports of all routers to the one that decides.
	maxReportsPerSecond = 1000
	// minReportTTL is the minimum time for which the decider counts on a router without a newer report.
	minReportTTL = 1500 * time.Millisecond
	// rolloutCallTimeout is the timeout of one report: many times the latency between two routers.
	rolloutCallTimeout = 150 * time.Millisecond
	// deciderCandidates is how many routers are tried, one after the other, as the decider.
	deciderCandidates = 3
	// marginReserve is the part of the time before a deadline that is left for the write to the store.
	marginReserve = 300 * time.Millisecond
	// minCanaries is the minimum number of a version's canaries, if it has so many upstreams: a
	// failure of one of them must not decide.
	minCanaries = 2
	// stateWait is how long a router that starts during a roll-out, or after it, waits for its state before
	// it serves the service without it.
	stateWait = time.Second
)

// rollouts moves services to new versions of their upstreams, as operators order. It implements
// pool.Versions. Each router reports what it observes to the router that decides on the service, and
// follows its directives; package rollout decides.
type rollouts struct {
	g *Gateway
	// active are the roll-outs by service. The map is replaced on each change and never modified.
	active atomic.Pointer[map[string]*serviceRollout]
	// ordered wakes the task that reports.
	ordered  chan struct{}
	deciders rolloutDeciders
}

// serviceRollout is this router's part of one roll-out.
type serviceRollout struct {
	// current is the order; it is replaced when the store was restored and the order has another revision.
	current atomic.Pointer[rollout.Order]
	// stateUntil is the time until which the state is awaited; zero if the router has seen the order
	// arrive.
	stateUntil time.Time

	mu       sync.Mutex
	follower rollout.Follower
	routes   map[string]*rollout.RouteSamples
	// canaries are the upstreams of the version that are tried before all requests move.
	canaries map[directory.Incarnation]bool
	// selections caches the upstreams that each preference allows.
	selections map[rollout.Preference]selection
	runningOld int
	// earlier is what the orders before this one say. earlierUncertain is set if the one before was about to be completed when this
	// one came, until a directive says.
	earlier          rollout.Earlier
	earlierUncertain bool
	// oldUpstreams and newUpstreams are those of each version that accept requests.
	oldUpstreams, newUpstreams int
	// reportedAt is the time of the last report, and reporting is set while one is on its way.
	reportedAt time.Time
	reporting  bool
}

func newRollouts(g *Gateway) *rollouts {
	r := &rollouts{g: g, ordered: make(chan struct{}, 1)}
	r.active.Store(&map[string]*serviceRollout{})
	r.deciders = rolloutDeciders{r: r, created: make(chan struct{}, 1), byService: map[string]*rolloutDecider{}}
	return r
}

// start starts the background tasks.
func (r *rollouts) start(tasks *process.TaskGroup) {
	r.deciders.tasks = tasks
	tasks.Go(func(ctx context.Context) { tickWhile(ctx, r.ordered, r.reportAll) })
	tasks.Go(func(ctx context.Context) { tickWhile(ctx, r.deciders.created, r.deciders.decideAll) })
}

// tickWhile calls do at each tick while it returns true, and again after each wake.
func tickWhile(ctx context.Context, wake <-chan struct{}, do func(context.Context) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for do(ctx) && backoff.Sleep(ctx, rolloutTick) == nil {
		}
	}
}

// signal wakes the task that waits on a channel of capacity 1.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // it will wake already
	}
}

func (r *rollouts) methods() map[string]link.Handler {
	return map[string]link.Handler{link.MethodRollout: link.Handle(r.deciders.handleReport)}
}

// limits returns the limits of a roll-out in a fleet of the present size.
func (r *rollouts) limits() rollout.Limits {
	s := r.g.current.Load().Rollouts
	interval := r.reportInterval()
	return rollout.Limits{Share: s.MaxShare, Slack: s.MaxExtra,
		TTL: max(time.Duration(s.RollBack)/4, 3*interval), ReportTTL: max(minReportTTL, 4*interval), Margin: 2*interval + marginReserve}
}

// reportInterval is the time between two reports of each router.
func (r *rollouts) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(r.g.routerCount())*time.Second/maxReportsPerSecond)
}

// setOrders applies all orders. live is set if they arrived while the router was running.
func (r *rollouts) setOrders(orders map[string]rollout.Order, live bool) {
	before := *r.active.Load()
	next := map[string]*serviceRollout{}
	var renamed []string
	for service, order := range orders {
		have := before[service]
		if have != nil && have.order() == order {
			next[service] = have
			continue
		}
		if have != nil && order.Earlier != 0 && have.order().Revision == order.Earlier && have.order().Withdrawn == order.Withdrawn {
			have.rename(order)
			next[service] = have
			renamed = append(renamed, service)
			continue
		}
		next[service] = r.newServiceRollout(order, live)
		if have != nil {
			next[service].follow(have)
		}
		r.g.Log.Info().Str("service", service).Str("version", order.Version).Dur("within_ms", order.Duration).
			Int64("revision", order.Revision.Number()).Bool("live", live).Bool("withdrawn", order.Withdrawn).Msg("rollout_ordered")
	}
	r.active.Store(&next)
	signal(r.ordered)
	for _, service := range renamed {
		r.deciders.rename(service)
	}
}

func (sr *serviceRollout) order() rollout.Order { return *sr.current.Load() }

// rename continues with the same order under another revision. The router reports again until the store holds the end of the
// roll-out.
func (sr *serviceRollout) rename(order rollout.Order) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.current.Store(&order)
	sr.follower.Rename(order)
}

// finalState returns the final state of the roll-out, if the router knows it.
func (sr *serviceRollout) finalState() (state rollout.State, final bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.follower.State(), sr.follower.State().Final()
}

func (r *rollouts) newServiceRollout(order rollout.Order, live bool) *serviceRollout {
	sr := &serviceRollout{routes: map[string]*rollout.RouteSamples{}, follower: rollout.Follower{Order: order, Limits: r.limits()}}
	sr.current.Store(&order)
	if live {
		sr.follower.Since = time.Now()
	} else {
		sr.stateUntil = time.Now().Add(stateWait)
	}
	if order.Withdrawn {
		sr.follower.Apply(time.Now(), rollout.Directive{Revision: order.Revision, State: rollout.RolledBack})
	}
	return sr
}

// ready reports whether the state of each roll-out is known, or no longer awaited.
func (r *rollouts) ready() bool {
	now := time.Now()
	for _, sr := range *r.active.Load() {
		sr.mu.Lock()
		waits := sr.awaitsStateLocked(now)
		sr.mu.Unlock()
		if waits {
			return false
		}
	}
	return true
}

// reportAll reports on each roll-out whose report is due, and returns whether any has not ended. One whose decider does not reply
// delays no other one.
func (r *rollouts) reportAll(context.Context) (open bool) {
	now, interval := time.Now(), r.reportInterval()
	for service, sr := range *r.active.Load() {
		if sr.due(now, interval) {
			sr.countUpstreams(r.g.directory.ForService(service), now)
			r.deciders.tasks.Go(func(ctx context.Context) {
				defer sr.reported()
				r.report(ctx, sr)
			})
		}
		open = open || !sr.ended()
	}
	return open
}

// ended reports whether the router knows that the roll-out has ended, and the store holds it.
func (sr *serviceRollout) ended() bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.follower.Ended()
}

// due reports whether a report is due, and records it.
func (sr *serviceRollout) due(now time.Time, interval time.Duration) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.follower.Finishing() || sr.follower.Directive().Near {
		interval /= 2
	}
	if sr.reporting || sr.follower.Ended() || now.Sub(sr.reportedAt) < interval {
		return false
	}
	sr.reportedAt, sr.reporting = now, true
	return true
}

// reported records that the report that was due has been sent, or given up.
func (sr *serviceRollout) reported() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.reporting = false
}

// countUpstreams counts the upstreams of each version, and chooses the canaries of the new one: as many
// as get the usual load from their share of the requests, the same at all routers.
func (sr *serviceRollout) countUpstreams(ups []directory.Upstream, now time.Time) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.oldUpstreams, sr.newUpstreams = 0, 0
	warm := map[string]directory.Incarnation{}
	for _, u := range ups {
		switch {
		case sr.isOutLocked(u):
		case !sr.isNew(u):
			sr.oldUpstreams++
		case now.Before(u.ColdUntil):
		default:
			sr.newUpstreams++
			warm[u.Incarnation.String()] = u.Incarnation
		}
	}
	sr.selections = nil
	sr.canaries = map[directory.Incarnation]bool{}
	n := max(minCanaries, int(sr.follower.Directive().Share*float64(len(warm))))
	for _, name := range rankCanaries(sr.order().Service, slices.Collect(maps.Keys(warm)), n) {
		sr.canaries[warm[name]] = true
	}
}

// report sends a report to the router that decides, and applies its directive. The end waits for this router's confirmation, so that
// is sent at once.
func (r *rollouts) report(ctx context.Context, sr *serviceRollout) {
	if r.reportOnce(ctx, sr) {
		r.reportOnce(ctx, sr)
	}
}

// reportOnce sends one report, and reports whether the router has to confirm the directive.
func (r *rollouts) reportOnce(ctx context.Context, sr *serviceRollout) (confirm bool) {
	directive, from, err := r.deciders.callDecider(ctx, r.newReport(sr))
	if err != nil {
		r.g.Log.Warn().Err(err).Str("service", sr.order().Service).Msg("rollout_not_reported")
		var ended bool
		if sr.needsStore(time.Now()) {
			directive, ended = r.readEnded(ctx, sr.order())
		}
		if !ended {
			return false
		}
		from = "store"
	}
	sr.mu.Lock()
	before := sr.follower.Directive()
	sr.follower.Limits = r.limits()
	sr.follower.Apply(time.Now(), directive)
	sr.applyEarlierLocked(directive)
	sr.selections = nil
	after := sr.follower.Directive()
	confirm = after.Finish && !before.Finish
	if confirm {
		sr.reportedAt = time.Time{} // requests may still run at the previous version: again at the next tick
	}
	sr.mu.Unlock()
	if before.State != after.State || before.Finish != after.Finish || len(before.Moved) != len(after.Moved) || (before.Share > 0) != (after.Share > 0) {
		r.g.Log.Info().Str("service", sr.order().Service).Str("version", sr.order().Version).Stringer("state", after.State).Float64("share", after.Share).
			Strs("moved", after.Moved).Bool("finish", after.Finish).Str("from", from).Msg("rollout_directive")
	}
	return confirm
}

// needsStore reports whether the router has to ask the store how the roll-out ended: it sends nothing to
// the previous version, and has reached no decider for some time.
func (sr *serviceRollout) needsStore(now time.Time) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.follower.Finishing() && !sr.follower.Fresh(now)
}

func (r *rollouts) newReport(sr *serviceRollout) rollout.Report {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	report := rollout.Report{Router: r.g.Incarnation, Service: sr.order().Service, Order: sr.order().Revision,
		Routes: map[string]rollout.RouteSamples{}, RunningOld: sr.runningOld, OldUpstreams: sr.oldUpstreams, NewUpstreams: sr.newUpstreams,
		Moved: sr.follower.Directive().Moved, Finishing: sr.follower.Finishing(), RolledBack: sr.follower.State() == rollout.RolledBack}
	if !sr.follower.Since.IsZero() {
		report.Age = max(1, time.Since(sr.follower.Since)) // 0 means that it was there when the router started
	}
	for name, s := range sr.routes {
		copied := *s
		copied.New = maps.Clone(s.New)
		report.Routes[name] = copied
	}
	return report
}

// rolloutState is the state of one roll-out in a dump.
type rolloutState struct {
	Service   string            `json:"service"`
	Version   string            `json:"version"`
	Order     store.Revision    `json:"order"`
	Directive rollout.Directive `json:"directive"`
	// Fresh reports whether the directive is recent.
	Fresh  bool           `json:"fresh"`
	Report rollout.Report `json:"report"`
	// Decision is what this router decided, if it decides on the service.
	Decision *rollout.Decision `json:"decision,omitempty"`
}

// state returns the roll-outs for a dump.
func (r *rollouts) state() []rolloutState {
	var out []rolloutState
	for service, sr := range *r.active.Load() {
		s := rolloutState{Service: service, Version: sr.order().Version, Order: sr.order().Revision, Report: r.newReport(sr),
			Decision: r.deciders.decision(service)}
		sr.mu.Lock()
		s.Directive, s.Fresh = sr.follower.Directive(), sr.follower.Fresh(time.Now())
		sr.mu.Unlock()
		out = append(out, s)
	}
	return out
}

// DecidesRollout reports whether this router decides on a service's roll-out.
func (g *Gateway) DecidesRollout(service string) bool {
	return g.rollouts.deciders.decision(service) != nil
}

// rolloutRouters returns the incarnations of all listed routers.
func (r *rollouts) rolloutRouters() (ids []string) {
	for _, m := range r.g.Members.Newest(prepaid.RoleRouter) {
		ids = append(ids, m.ID)
	}
	return ids
}
