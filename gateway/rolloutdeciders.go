package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/rollout"
)

const (
	// decideInterval is the time between two decisions on a roll-out, shortly before the deadline a rolloutTick.
	decideInterval = 2 * rolloutTick
	// storeLostAfter is how long a router may fail to write to the store, before others take another one as
	// the decider: it may be cut from the store.
	storeLostAfter = 600 * time.Millisecond
	// storeLostRecords is how many writes of what was observed may fail one after the other before the same holds.
	storeLostRecords = 2
	// orderSpread is the time in which all routers receive an order.
	orderSpread = 500 * time.Millisecond
)

// Errors of reports.
var (
	errOrderUnknown = errors.New("the order is not known here")
	errStoreLost    = errors.New("this router cannot write to the store")
	errNoDecider    = errors.New("no router that may decide on the roll-out replied")
)

// rolloutDeciders decides on the services for which this router ranks first among those that reply. The
// write that names it in the store fences others: a write of a former decider conflicts.
type rolloutDeciders struct {
	r     *rollouts
	tasks *process.TaskGroup
	// created wakes the task that decides.
	created chan struct{}

	mu        sync.Mutex
	byService map[string]*rolloutDecider
}

// rolloutDecider is the decider of one order.
type rolloutDecider struct {
	current atomic.Pointer[rollout.Order]

	mu      sync.Mutex
	decider rollout.Decider
	// askedSince is the time since which routers report to this one.
	askedSince time.Time
	// decision is the last one; directives are answered from it.
	decision  rollout.Decision
	decidedAt time.Time
	// confirmations counts the reports since then of routers that send nothing to the previous version.
	confirmations int
	// record is the store's, read is set while it is known, and ended once it is final. endLost is set while a store that was
	// restored may lack the end.
	record               rollout.Record
	read, ended, endLost bool
	// calling is set during a call of the store, pausedUntil the time before which there is none,
	// failingSince the time since which calls have failed, and conflictAt that of the last conflict.
	calling                               bool
	pausedUntil, failingSince, conflictAt time.Time
	// lastCallTook is the duration of the last call, endsFailed how many completing writes have failed since one succeeded.
	lastCallTook time.Duration
	endsFailed   int
	// recordsFailed is how many writes of what was observed have failed since one succeeded.
	recordsFailed int
}

// rankCanaries returns the n upstreams that test a service's version.
func rankCanaries(service string, names []string, n int) []string {
	ranked := rendezvous.Rank(service, names)
	return ranked[:min(n, len(ranked))]
}

// candidates returns the routers that may decide on a service, best first. Those with fast links go
// first, since all routers report to them.
func (d *rolloutDeciders) candidates(service string) []member.Member {
	routers := d.r.g.Members.Newest(prepaid.RoleRouter)
	fast, slow := []string{}, []string{}
	for vm, m := range routers {
		if m.CanRelay {
			fast = append(fast, vm)
		} else {
			slow = append(slow, vm)
		}
	}
	var out []member.Member
	for _, vm := range append(rendezvous.Rank(service, fast), rendezvous.Rank(service, slow)...) {
		out = append(out, routers[vm])
	}
	return out[:min(deciderCandidates, len(out))]
}

// callDecider reports to the first candidate that replies. While the order is new only the best one is tried: it
// may not have received the order yet, and the next one would take over.
func (d *rolloutDeciders) callDecider(ctx context.Context, report rollout.Report) (directive rollout.Directive, from string, err error) {
	candidates := d.candidates(report.Service)
	if 0 < report.Age && report.Age < orderSpread {
		candidates = candidates[:min(1, len(candidates))]
	}
	for _, m := range candidates {
		if m.ID == d.r.g.Incarnation {
			directive, err = d.handleReport(ctx, report)
		} else {
			callCtx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
			directive = rollout.Directive{}
			err = d.r.g.Links.Call(callCtx, m.Address, link.MethodRollout, report, &directive)
			cancel()
		}
		if err == nil {
			return directive, m.ID, nil
		}
	}
	return directive, "", errors.Join(errNoDecider, err)
}

// handleReport adds a router's report and returns the current directive.
func (d *rolloutDeciders) handleReport(_ context.Context, report rollout.Report) (rollout.Directive, error) {
	dec := d.deciderFor(report.Service)
	if dec == nil || dec.order().Revision != report.Order {
		return rollout.Directive{}, fmt.Errorf("%w: service %q, order %d", errOrderUnknown, report.Service, report.Order)
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	now := time.Now()
	if dec.decider.Silent(now) {
		dec.askedSince = now
	}
	dec.decider.Add(now, report)
	if report.Finishing && report.RunningOld == 0 {
		d.decideIfFinishedLocked(now, dec)
	}
	switch {
	case dec.ended:
	case dec.storeLostLocked():
		return rollout.Directive{}, errStoreLost
	case !dec.decider.Confirmed():
		return rollout.Directive{Revision: dec.order().Revision, Pending: true}, nil
	}
	directive := dec.decision.Directive
	directive.Revision, directive.Earlier = dec.order().Revision, dec.record.Earlier
	return directive, nil
}

// storeLostLocked reports whether the store has not taken this router as the decider, or what it decided, for
// some time: another router may reach the store. Shortly before the deadline writes of what was observed count too: the one that
// completes would be late.
func (dec *rolloutDecider) storeLostLocked() bool {
	if dec.decision.Directive.Near && dec.recordsFailed >= storeLostRecords {
		return true
	}
	since := dec.failingSince
	if since.IsZero() && !dec.decider.Confirmed() {
		since = dec.askedSince
	}
	return !since.IsZero() && time.Since(since) > storeLostAfter
}

// deciderFor returns the decider of a service's current order, and creates it if necessary; nil if there
// is no order.
func (d *rolloutDeciders) deciderFor(service string) *rolloutDecider {
	sr := (*d.r.active.Load())[service]
	if sr == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	have := d.byService[service]
	order := sr.order()
	switch {
	case have != nil && have.order() == order:
		return have
	case have != nil && order.Earlier != 0 && have.order().Revision == order.Earlier && have.order().Withdrawn == order.Withdrawn:
		have.rename(order)
	default:
		have = newRolloutDecider(sr, d.r.limits())
		d.byService[service] = have
	}
	signal(d.created)
	return have
}

func newRolloutDecider(sr *serviceRollout, limits rollout.Limits) *rolloutDecider {
	order := sr.order()
	dec := &rolloutDecider{askedSince: time.Now(), decider: rollout.Decider{Order: order, Limits: limits}}
	dec.current.Store(&order)
	if order.Withdrawn {
		dec.decider.End(rollout.RolledBack, "the operator removed the order")
	}
	if state, final := sr.finalState(); final && order.Earlier != 0 {
		dec.knownLocked(state)
	}
	return dec
}

func (dec *rolloutDecider) order() rollout.Order { return *dec.current.Load() }

// rename continues with the same order under another revision. The store may lack what was written.
func (dec *rolloutDecider) rename(order rollout.Order) {
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.current.Store(&order)
	dec.decider.Order = order
	dec.read = false
	if dec.ended {
		dec.knownLocked(dec.decision.Directive.State)
	}
}

// knownLocked records the end of the roll-out, which a restored store may lack: it is written again.
func (dec *rolloutDecider) knownLocked(state rollout.State) {
	dec.ended, dec.endLost = true, true
	dec.decision.Directive = rollout.Directive{Revision: dec.order().Revision, State: state}
}

// rename continues with a service's order under another revision. The router that ranks first writes the end of a roll-out again that the
// store may lack; no other one reports.
func (d *rolloutDeciders) rename(service string) {
	d.mu.Lock()
	decides := d.byService[service] != nil
	d.mu.Unlock()
	first := d.candidates(service)
	if decides || len(first) > 0 && first[0].ID == d.r.g.Incarnation {
		d.deciderFor(service)
	}
}

// decision returns the last decision on a service, nil if this router does not decide on it.
func (d *rolloutDeciders) decision(service string) *rollout.Decision {
	d.mu.Lock()
	dec := d.byService[service]
	d.mu.Unlock()
	if dec == nil {
		return nil
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	decision := dec.decision
	return &decision
}

// decideAll decides on all roll-outs that this router has, and returns whether any has not ended.
func (d *rolloutDeciders) decideAll(context.Context) (open bool) {
	d.mu.Lock()
	all := slices.Collect(maps.Values(d.byService))
	d.mu.Unlock()
	for _, dec := range all {
		open = d.decide(dec) || open
	}
	return open
}

// decide decides if it is time, and returns whether the roll-out has not ended.
func (d *rolloutDeciders) decide(dec *rolloutDecider) (open bool) {
	now := time.Now()
	dec.mu.Lock()
	defer dec.mu.Unlock()
	interval := decideInterval
	if dec.decision.Directive.Near {
		interval = rolloutTick
	}
	if dec.ended {
		d.writeEndAgainLocked(now, dec)
		return dec.endLost
	}
	if now.Sub(dec.decidedAt) >= interval {
		d.decideLocked(now, dec)
	}
	return true
}

// decideIfFinishedLocked decides at once if as many routers have confirmed the move as the last decision waited for: shortly before
// the deadline each tick counts.
func (d *rolloutDeciders) decideIfFinishedLocked(now time.Time, dec *rolloutDecider) {
	if dec.confirmations++; !dec.ended && dec.decision.Waiting > 0 && dec.confirmations >= dec.decision.Waiting {
		d.decideLocked(now, dec)
	}
}

func (d *rolloutDeciders) decideLocked(now time.Time, dec *rolloutDecider) {
	before := dec.decision
	dec.confirmations = 0
	dec.decidedAt = now
	dec.decider.Limits = d.r.limits()
	d.suspendLocked(now, dec)
	dec.decision = dec.decider.Decide(now, d.r.rolloutRouters())
	d.logDecision(dec.order(), before, dec.decision)
	if call, due := dec.dueCallLocked(now); due {
		dec.calling = true
		d.tasks.Go(func(ctx context.Context) { d.callStore(ctx, dec, call) })
	}
}

// suspendLocked stops decisions while no router reports to this one. Another router decides meanwhile, so the
// record is read again before this one goes on.
func (d *rolloutDeciders) suspendLocked(now time.Time, dec *rolloutDecider) {
	if !dec.decider.Confirmed() || !dec.decider.Silent(now) {
		return
	}
	dec.decider.Suspend(now)
	dec.read = false
	d.r.g.Log.Info().Str("service", dec.order().Service).Str("version", dec.order().Version).Int64("revision", dec.record.Revision.Number()).
		Int64("asked_ms", now.Sub(dec.askedSince).Milliseconds()).Msg("rollout_suspended")
}

// logDecision logs a decision that differs from the one before.
func (d *rolloutDeciders) logDecision(o rollout.Order, before, after rollout.Decision) {
	was, is := before.Directive, after.Directive
	if was.State == is.State && was.Finish == is.Finish && len(was.Moved) == len(is.Moved) && before.Complete == after.Complete {
		return
	}
	d.r.g.Log.Info().Str("service", o.Service).Str("version", o.Version).Stringer("state", is.State).Strs("moved", is.Moved).Bool("finish", is.Finish).
		Int64("elapsed_ms", after.Elapsed.Milliseconds()).Int64("counted_ms", after.Counted.Milliseconds()).Int("reporting", after.Reporting).Int("requests", after.Sent).Int("to_new", after.SentToNew).Int("answered", after.Answered).
		Int("waiting", after.Waiting).Str("why", after.Reason).Msg("rollout_decision")
}
