package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/rollout"
)

// rolloutStorePause is the pause after a call of the store that failed, and the minimum time between two
// conflicts after which the record is read again at once.
const rolloutStorePause = 300 * time.Millisecond

// recordTimeout bounds the write of what was observed: the write of the end waits for it.
const recordTimeout = 300 * time.Millisecond

// The completing write is short of time: an attempt is given up after minEndTimeout, or endTimeoutFactor times what the last call
// took if that is more, and repeated after endPause. Each further attempt gets twice the time, and twice the pause.
const (
	minEndTimeout    = 200 * time.Millisecond
	endTimeoutFactor = 3
	endPause         = rolloutTick
	// maxEndDoublings is the number of attempts after which the end has the timeout of any call.
	maxEndDoublings = 3
)

// storeCall is a call of the store for a roll-out.
type storeCall struct {
	state rollout.State
	// records is set if the store already names this process, and what was observed is recorded.
	records bool
}

// dueCallLocked returns the call of the store that is due.
func (dec *rolloutDecider) dueCallLocked(now time.Time) (c storeCall, due bool) {
	if dec.calling || now.Before(dec.pausedUntil) || dec.decider.Silent(now) {
		return storeCall{}, false
	}
	switch {
	case dec.decision.Directive.State == rollout.RolledBack:
		return storeCall{state: rollout.RolledBack}, true
	case dec.decision.Complete:
		return storeCall{state: rollout.Completed}, true
	case !dec.read || !dec.decider.Confirmed():
		return storeCall{state: rollout.InProgress}, true
	}
	return storeCall{state: rollout.InProgress, records: true}, dec.decision.Record
}

// callStore makes one call. After a conflict it reads the record again at once, and decides from it: the store
// has answered.
func (d *rolloutDeciders) callStore(ctx context.Context, dec *rolloutDecider, c storeCall) {
	began := time.Now()
	err := d.tryCallStoreInTime(ctx, dec, c)
	if c.state != rollout.Completed {
		dec.recordTook(time.Since(began))
	}
	if errors.Is(err, store.ErrConflict) && dec.mayReadAgain(time.Now()) {
		defer d.decide(dec)
		d.r.g.Log.Info().Str("service", dec.order().Service).Stringer("state", c.state).Bool("records", c.records).Msg("rollout_conflict")
		err = d.readRecord(ctx, dec)
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.calling = false
	if err == nil {
		dec.failingSince, dec.endsFailed, dec.recordsFailed = time.Time{}, 0, 0
		return
	}
	d.r.g.Log.Warn().Err(err).Str("service", dec.order().Service).Stringer("state", c.state).Bool("records", c.records).Msg("rollout_not_stored")
	dec.failedLocked(time.Now(), c, errors.Is(err, store.ErrConflict))
}

// writeEndAgainLocked writes the end of a roll-out that a restored store may lack.
func (d *rolloutDeciders) writeEndAgainLocked(now time.Time, dec *rolloutDecider) {
	if !dec.endLost || dec.calling || now.Before(dec.pausedUntil) {
		return
	}
	dec.calling = true
	state := dec.decision.Directive.State
	d.tasks.Go(func(ctx context.Context) {
		err := d.tryWriteEndAgain(ctx, dec, state)
		dec.mu.Lock()
		defer dec.mu.Unlock()
		dec.calling = false
		if err != nil {
			dec.pausedUntil = time.Now().Add(rolloutStorePause)
			d.r.g.Log.Warn().Err(err).Str("service", dec.order().Service).Stringer("state", state).Msg("rollout_not_stored")
		}
	})
}

func (d *rolloutDeciders) tryWriteEndAgain(ctx context.Context, dec *rolloutDecider, state rollout.State) error {
	order := dec.order()
	record, err := d.r.g.Store.ReadRollout(ctx, order.Service)
	if err != nil && record.Revision == 0 {
		return err
	}
	if record.Order != order.Revision || record.State != state {
		record.State, record.Observed, record.Earlier = state, nil, record.EarlierOf(order)
		if record, err = d.r.g.Store.WriteRollout(ctx, order, record); err != nil {
			return err
		}
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.endLost = false
	dec.endLocked(record)
	d.logStored(dec, storeCall{state: state}, record)
	return nil
}

// mayReadAgain reports whether the record may be read again without a pause, and records the conflict: two
// routers that both decide must not call the store without end.
func (dec *rolloutDecider) mayReadAgain(now time.Time) bool {
	dec.mu.Lock()
	defer dec.mu.Unlock()
	if now.Sub(dec.conflictAt) < rolloutStorePause {
		return false
	}
	dec.conflictAt = now
	return true
}

// failedLocked records a call that failed. A record of what was observed may be lost: if it took effect, the
// next write conflicts.
func (dec *rolloutDecider) failedLocked(now time.Time, c storeCall, conflict bool) {
	if c.records && !conflict {
		dec.recordsFailed++
		return
	}
	// The write may have taken effect, or another process may have written.
	dec.read = false
	dec.pausedUntil = now.Add(rolloutStorePause)
	if c.state == rollout.Completed {
		dec.pausedUntil = now.Add(min(rolloutStorePause, endPause<<min(dec.endsFailed, maxEndDoublings)))
		dec.endsFailed++
	}
	switch {
	case conflict:
		dec.failingSince = time.Time{}
	case dec.failingSince.IsZero():
		dec.failingSince = now
	}
}

// recordTook records the duration of a call, also of one that failed.
func (dec *rolloutDecider) recordTook(took time.Duration) {
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.lastCallTook = took
}

// tryCallStoreInTime bounds a call that records what was observed, and one that completes.
func (d *rolloutDeciders) tryCallStoreInTime(ctx context.Context, dec *rolloutDecider, c storeCall) error {
	if timeout := dec.timeout(c); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return d.tryCallStore(ctx, dec, c)
}

// timeout returns the timeout of a call, 0 for that of the store's client.
func (dec *rolloutDecider) timeout(c storeCall) time.Duration {
	dec.mu.Lock()
	defer dec.mu.Unlock()
	switch {
	case c.records:
		return recordTimeout
	case c.state == rollout.Completed && dec.endsFailed <= maxEndDoublings:
		return max(minEndTimeout<<dec.endsFailed, endTimeoutFactor*dec.lastCallTook)
	}
	return 0
}

// tryCallStore reads the record if it is not known, and writes the state. Completed is not written with what
// the record says still to be considered.
func (d *rolloutDeciders) tryCallStore(ctx context.Context, dec *rolloutDecider, c storeCall) error {
	dec.mu.Lock()
	read := dec.read
	dec.mu.Unlock()
	if !read {
		if err := d.readRecord(ctx, dec); err != nil {
			return err
		}
		dec.mu.Lock()
		ended := dec.ended
		dec.mu.Unlock()
		if ended || c.state == rollout.Completed {
			return nil
		}
	}
	return d.writeRecord(ctx, dec, c)
}

// readRecord reads the record and applies it. One that cannot be decoded is replaced by the next write.
func (d *rolloutDeciders) readRecord(ctx context.Context, dec *rolloutDecider) error {
	record, err := d.r.g.Store.ReadRollout(ctx, dec.order().Service)
	if err != nil && record.Revision == 0 {
		return err
	}
	if err != nil {
		d.r.g.RecordUnreadable("rollouts")
		d.r.g.Log.Error().Err(err).Int64("revision", record.Revision.Number()).Msg("rollout_unreadable")
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	record.Earlier = record.EarlierOf(dec.order())
	dec.record, dec.read = record, true
	dec.decidedAt = time.Time{} // decide from the record at once
	d.adoptLocked(dec, record)
	return nil
}

// adoptLocked applies a record of this order.
func (d *rolloutDeciders) adoptLocked(dec *rolloutDecider, record rollout.Record) {
	if !record.IsOf(dec.order()) {
		return
	}
	if record.State.Final() {
		dec.endLocked(record)
		d.r.g.Log.Info().Str("service", dec.order().Service).Stringer("state", record.State).Int64("revision", record.Revision.Number()).Msg("rollout_known")
		return
	}
	now := time.Now()
	resumed := dec.decider.Resume(now, record.Observed)
	dec.decider.OrderStored(record.Began)
	if resumed {
		d.logResumed(dec, now, record)
	}
}

func (d *rolloutDeciders) logResumed(dec *rolloutDecider, now time.Time, record rollout.Record) {
	o := record.Observed
	sent, sentToNew, answered := o.Totals()
	age := now.Sub(dec.decider.Began()) - o.Elapsed
	d.r.g.Log.Info().Str("service", dec.order().Service).Str("version", dec.order().Version).Int64("revision", record.Revision.Number()).
		Int64("age_ms", age.Milliseconds()).Int("routers", len(o.Routers)).Int("requests", sent).Int("to_new", sentToNew).
		Int("answered", answered).Strs("moved", o.Moved).Msg("rollout_resumed")
}

// endLocked ends the roll-out as the store says.
func (dec *rolloutDecider) endLocked(record rollout.Record) {
	dec.ended, dec.read, dec.record = true, true, record
	dec.decision.Directive = rollout.Directive{Revision: dec.order().Revision, State: record.State, Ended: record.Revision}
}

// writeRecord writes a state. The write of InProgress makes this process the decider.
func (d *rolloutDeciders) writeRecord(ctx context.Context, dec *rolloutDecider, c storeCall) error {
	routers := d.r.rolloutRouters()
	dec.mu.Lock()
	now, record := time.Now(), dec.record
	record.State, record.Began, record.Observed = c.state, dec.decider.Began(), nil
	if !c.state.Final() {
		record.Observed = dec.decider.Observed(now, routers)
		dec.decider.RecordBegun(now)
	}
	dec.mu.Unlock()
	written, err := d.r.g.Store.WriteRollout(ctx, dec.order(), record)
	if err != nil {
		return err
	}
	dec.mu.Lock()
	defer dec.mu.Unlock()
	dec.record, dec.read = written, true
	if c.state.Final() {
		dec.endLocked(written)
	} else {
		dec.decider.Confirm(time.Time{})
	}
	d.logStored(dec, c, written)
	return nil
}

func (d *rolloutDeciders) logStored(dec *rolloutDecider, c storeCall, written rollout.Record) {
	event := "rollout_recorded"
	if !c.records {
		event = "rollout_stored"
		d.r.g.metrics.rolloutStored(dec.order().Service, c.state)
	}
	d.r.g.Log.Info().Str("service", dec.order().Service).Str("version", dec.order().Version).Stringer("state", c.state).
		Int64("revision", written.Revision.Number()).Int("requests", dec.decision.Sent).Int("to_new", dec.decision.SentToNew).
		Str("why", dec.decision.Reason).Msg(event)
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
	directive.Earlier = record.EarlierOf(o)
	return directive, record.IsOf(o) && record.State.Final()
}
