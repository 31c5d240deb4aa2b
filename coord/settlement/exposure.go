package settlement

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/zeebo/errs"
	"golang.org/x/sync/singleflight"
)

// ErrNoWitness is returned when no witness accepted a limit, so that nothing may be lent beyond the
// previous one.
var ErrNoWitness = errs.New("no witness accepted the exposure limits")

// Exposure manages a lender's exposure limits: it sends them to the lender's witnesses before the
// lender lends beyond the previous ones, and records the witnesses in the lender's durable list.
//
// When the lender and a borrower have died, all witnesses of the list's last term are queried. At
// least one of them accepted each raise, and the first notice to each of them held all limits, so
// the largest answer covers all that was ever lent. If one witness died or was never reached, the
// limits are unknown.
type Exposure struct {
	Holder   *grant.Holder
	Registry *BorrowerRegistry
	// Notify sends limits to a witness and returns nil once the witness has accepted them.
	Notify func(ctx context.Context, witness string, notice Notice) error
	// Timeout bounds one message. Messages to the other witnesses continue after the first reply.
	Timeout time.Duration
	// Lookahead is how far in advance limits are raised: they cover the lending expected in this time.
	Lookahead time.Duration
	// Now returns the current time.
	Now func() time.Time

	mu        sync.Mutex
	term      int64
	witnesses []string
	// notified are the witnesses that have received all limits of this term.
	notified map[string]bool
	// pending are the tokens of lots that wait for a raise, by budget and borrower; newestLot is the
	// number of the last lot that began to wait. raises merges the concurrent raises of one budget
	// and borrower.
	pending   map[lotKey]int64
	newestLot int64
	raises    singleflight.Group
}

// lotKey identifies the lots of one budget that one borrower requests.
type lotKey struct{ budget, borrower string }

var _ grant.Exposer = (*Exposure)(nil)

// Witnesses returns the current witnesses.
func (e *Exposure) Witnesses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.witnesses)
}

// Appoint replaces the witnesses; after the first call the holder's exposure is limited. The durable
// list is written first: if the lender dies before it notifies the new witnesses, they have no
// limits, and all that it held counts as used.
func (e *Exposure) Appoint(ctx context.Context, witnesses ...string) error {
	term, err := e.Registry.appoint(ctx, witnesses)
	if err != nil {
		return err
	}
	e.Holder.LimitExposure()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.witnesses, e.notified = term, slices.Clone(witnesses), map[string]bool{}
	return nil
}

// Inform sends all limits to the witnesses that do not have them yet, also while there are none: the witnesses of a lender that lent
// nothing are found by that. Its errors are those of Notify.
func (e *Exposure) Inform(ctx context.Context) error {
	term, witnesses := e.currentTerm()
	var failures []error
	for _, witness := range witnesses {
		if !e.isNotified(witness, term) {
			failures = append(failures, e.notify(ctx, witness, term, nil))
		}
	}
	return errors.Join(failures...)
}

// RaiseLimits raises the limits that are nearly exhausted.
func (e *Exposure) RaiseLimits(ctx context.Context) error {
	wanted := e.Holder.ExposureWanted(e.Now(), e.Lookahead)
	if len(wanted) == 0 {
		return nil
	}
	return e.raise(ctx, wanted)
}

// Expose implements grant.Exposer. Pending lots of one borrower and budget share a raise that covers
// all lots pending when it starts; otherwise each lot of a burst would wait for those before it. A
// lot that arrives during a raise stays pending for the next one.
func (e *Exposure) Expose(ctx context.Context, budget, borrower string, n int64) error {
	key := lotKey{budget, borrower}
	number := e.addPending(key, n)
	defer e.removePending(key, n)
	for {
		done := e.raises.DoChan(budget+" "+borrower, func() (any, error) {
			tokens, newest := e.pendingLots(key)
			return newest, e.raise(ctx, e.Holder.ExposureFor(e.Now(), budget, borrower, tokens, e.Lookahead))
		})
		select {
		case r := <-done:
			if newest, _ := r.Val.(int64); r.Err != nil || number <= newest {
				return r.Err
			}
		case <-ctx.Done():
			return Error.Wrap(ErrNoWitness)
		}
	}
}

// addPending adds the tokens of a lot and returns the lot's number, which increases with each lot.
func (e *Exposure) addPending(key lotKey, n int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil {
		e.pending = map[lotKey]int64{}
	}
	e.pending[key] += n
	e.newestLot++
	return e.newestLot
}

func (e *Exposure) removePending(key lotKey, n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending[key] -= n; e.pending[key] == 0 {
		delete(e.pending, key)
	}
}

// pendingLots returns the tokens of the pending lots of a key, and the number of the newest lot.
func (e *Exposure) pendingLots(key lotKey) (tokens, newest int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending[key], e.newestLot
}

// raise sends limits to all witnesses concurrently and applies them once the first one accepts.
func (e *Exposure) raise(ctx context.Context, limits grant.ExposureLimits) error {
	term, witnesses := e.currentTerm()
	results := make(chan error, len(witnesses))
	for _, witness := range witnesses {
		go func() { results <- e.notify(ctx, witness, term, limits) }()
	}
	failures := []error{Error.Wrap(ErrNoWitness)}
	for range witnesses {
		err := <-results
		if err == nil {
			return e.applyLimits(term, limits)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (e *Exposure) currentTerm() (term int64, witnesses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.witnesses
}

// applyLimits raises the holder's limits, unless the witnesses that accepted them were replaced
// meanwhile.
func (e *Exposure) applyLimits(term int64, limits grant.ExposureLimits) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != term {
		return Error.Wrap(ErrNoWitness)
	}
	e.Holder.RaiseExposure(limits)
	return nil
}

// notify sends limits to one witness. The first notice and any notice after a failure hold all
// limits, since the witness may have lost them. The deadline of the waiting request does not apply.
func (e *Exposure) notify(ctx context.Context, witness string, term int64, limits grant.ExposureLimits) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.Timeout)
	defer cancel()
	notice := Notice{Lender: e.Holder.ID(), Term: term, Limits: limits}
	if !e.isNotified(witness, term) {
		notice.Full, notice.Limits = true, e.Holder.ExposureLimits()
		notice.Limits.Merge(limits)
	}
	err := e.Notify(ctx, witness, notice)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == term {
		e.notified[witness] = err == nil
	}
	return err
}

func (e *Exposure) isNotified(witness string, term int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term && e.notified[witness]
}
