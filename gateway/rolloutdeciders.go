package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/rollout"
)

const (
	// decideInterval is the time between two decisions on a roll-out.
	decideInterval = 2 * rolloutTick
	// storeLostAfter is how long a router may fail to write to the store, before others take another one as
	// the decider: it may be cut from the store.
	storeLostAfter = 600 * time.Millisecond
	// rolloutStorePause is the pause after a call of the store that failed.
	rolloutStorePause = 300 * time.Millisecond
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
	order   rollout.Order
	created time.Time

	mu      sync.Mutex
	decider rollout.Decider
	// decision is the last one; directives are answered from it.
	decision  rollout.Decision
	decidedAt time.Time
	// record is the store's, read is set while it is known, and ended once it is final.
	record      rollout.Record
	read, ended bool
	// calling is set during a call of the store, pausedUntil the time before which there is none, and
	// failingSince the time since which calls have failed.
	calling                   bool
	pausedUntil, failingSince time.Time
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

// callDecider reports to the first candidate that replies.
func (d *rolloutDeciders) callDecider(ctx context.Context, report rollout.Report) (directive rollout.Directive, from string, err error) {
	for _, m := range d.candidates(report.Service) {
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
	if dec == nil || dec.order.Revision != report.Order {
		return rollout.Directive{}, fmt.Errorf("%w: service %q, order %d", errOrderUnknown, report.Service, report.Order)
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.decider.Add(time.Now(), report)
	switch {
	case dec.ended:
	case dec.storeLostLocked():
		return rollout.Directive{}, errStoreLost
	case !dec.decider.Confirmed():
		return rollout.Directive{Revision: dec.order.Revision, Pending: true}, nil
	}
	directive := dec.decision.Directive
	directive.Revision = dec.order.Revision
	return directive, nil
}

// storeLostLocked reports whether the store has not taken this router as the decider, or what it decided, for
// some time: another router may reach the store.
func (dec *rolloutDecider) storeLostLocked() bool {
	since := dec.failingSince
	if since.IsZero() && !dec.decider.Confirmed() {
		since = dec.created
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
	if have == nil || have.order != sr.order {
		have = &rolloutDecider{order: sr.order, created: time.Now(), decider: rollout.Decider{Order: sr.order, Limits: d.r.limits()}}
		if sr.order.Withdrawn {
			have.decider.End(rollout.RolledBack, "the operator removed the order")
		}
		d.byService[service] = have
		signal(d.created)
	}
	return have
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
	if now.Sub(dec.decidedAt) < decideInterval || dec.ended {
		return !dec.ended
	}
	before := dec.decision
	dec.decidedAt = now
	dec.decider.Limits = d.r.limits()
	dec.decision = dec.decider.Decide(now, d.r.rolloutRouters())
	d.logDecision(dec.order, before, dec.decision)
	if write, due := dec.dueWriteLocked(now); due {
		dec.calling = true
		d.tasks.Go(func(ctx context.Context) { d.updateStore(ctx, dec, write) })
	}
	return true
}

// logDecision logs a decision that differs from the one before.
func (d *rolloutDeciders) logDecision(o rollout.Order, before, after rollout.Decision) {
	was, is := before.Directive, after.Directive
	if was.State == is.State && was.Finish == is.Finish && len(was.Moved) == len(is.Moved) && before.Complete == after.Complete {
		return
	}
	d.r.g.Log.Info().Str("service", o.Service).Str("version", o.Version).Stringer("state", is.State).Strs("moved", is.Moved).Bool("finish", is.Finish).
		Int64("elapsed_ms", after.Elapsed.Milliseconds()).Int("requests", after.Sent).Int("to_new", after.SentToNew).Int("answered", after.Answered).
		Int("waiting", after.Waiting).Str("why", after.Reason).Msg("rollout_decision")
}

// dueWriteLocked returns the state to write to the store, if a call is due.
func (dec *rolloutDecider) dueWriteLocked(now time.Time) (s rollout.State, due bool) {
	if dec.calling || now.Before(dec.pausedUntil) {
		return 0, false
	}
	switch {
	case dec.decision.Directive.State == rollout.RolledBack:
		return rollout.RolledBack, true
	case dec.decision.Complete:
		return rollout.Completed, true
	}
	return rollout.InProgress, !dec.read
}

// updateStore reads the record if it is not known, and writes the state.
func (d *rolloutDeciders) updateStore(ctx context.Context, dec *rolloutDecider, state rollout.State) {
	err := d.tryUpdateStore(ctx, dec, state)
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.calling = false
	if err == nil {
		dec.failingSince = time.Time{}
		return
	}
	if dec.failingSince.IsZero() {
		dec.failingSince = time.Now()
	}
	// The write may have taken effect, or another process may have written.
	dec.read = false
	dec.pausedUntil = time.Now().Add(rolloutStorePause)
	d.r.g.Log.Warn().Err(err).Str("service", dec.order.Service).Stringer("state", state).Msg("rollout_not_stored")
}

func (d *rolloutDeciders) tryUpdateStore(ctx context.Context, dec *rolloutDecider, state rollout.State) error {
	dec.mu.Lock()
	record, read := dec.record, dec.read
	dec.mu.Unlock()
	if !read {
		var err error
		if record, err = d.r.g.Store.ReadRollout(ctx, dec.order.Service); err != nil && record.Revision == 0 {
			return err
		}
		if err != nil {
			d.r.g.RecordUnreadable("rollouts")
			d.r.g.Log.Error().Err(err).Int64("revision", int64(record.Revision)).Msg("rollout_unreadable") // the write replaces it
		}
		if err == nil && dec.adopt(record) {
			d.r.g.Log.Info().Str("service", dec.order.Service).Stringer("state", record.State).Int64("revision", int64(record.Revision)).Msg("rollout_known")
			return nil
		}
	}
	return d.writeRecord(ctx, dec, record, state)
}

// adopt applies a record that was read, and reports whether the roll-out has ended.
func (dec *rolloutDecider) adopt(record rollout.Record) (ended bool) {
	dec.mu.Lock()
	defer dec.mu.Unlock()
	if record.Order != dec.order.Revision {
		return false
	}
	if record.State.Final() {
		dec.endLocked(record)
		return true
	}
	dec.decider.Confirm(record.Began)
	return false
}

// endLocked ends the roll-out as the store says.
func (dec *rolloutDecider) endLocked(record rollout.Record) {
	dec.ended, dec.read, dec.record = true, true, record
	dec.decision.Directive = rollout.Directive{Revision: dec.order.Revision, State: record.State, Ended: record.Revision}
}

// writeRecord writes a state. The write of InProgress makes this process the decider.
func (d *rolloutDeciders) writeRecord(ctx context.Context, dec *rolloutDecider, record rollout.Record, state rollout.State) error {
	dec.mu.Lock()
	record.State, record.Began = state, dec.decider.Began()
	dec.mu.Unlock()
	written, err := d.r.g.Store.WriteRollout(ctx, dec.order, record)
	if err != nil {
		return err
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.record, dec.read = written, true
	if state.Final() {
		dec.endLocked(written)
	} else {
		dec.decider.Confirm(time.Time{})
	}
	d.r.g.metrics.rolloutStored(dec.order.Service, state)
	d.r.g.Log.Info().Str("service", dec.order.Service).Str("version", dec.order.Version).Stringer("state", state).
		Int64("revision", int64(written.Revision)).Str("why", dec.decision.Reason).Msg("rollout_stored")
	return nil
}

// readEnded returns the final directive of an order from the store, if it has ended. A router that sends
// nothing to the previous version and reaches no decider needs it.
func (r *rollouts) readEnded(ctx context.Context, o rollout.Order) (directive rollout.Directive, ended bool) {
	record, err := r.g.Store.ReadRollout(ctx, o.Service)
	if err != nil {
		r.g.Log.Warn().Err(err).Str("service", o.Service).Msg("rollout_not_read") // asked again with the next report
		return rollout.Directive{}, false
	}
	directive = rollout.Directive{Revision: o.Revision, State: record.State, Ended: record.Revision}
	return directive, record.Order == o.Revision && record.State.Final()
}
