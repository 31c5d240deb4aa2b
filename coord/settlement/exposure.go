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

// ErrNoWitness says that no witness took a limit, so that nothing beyond the last one may be lent.
var ErrNoWitness = errs.New("no witness answers")

// Exposure is a lender's side of its limits of exposure: it tells them to its witnesses before
// it lends beyond the last ones, and has the witnesses' names in its durable list.
//
// When the lender has died, and a borrower with it, all witnesses of the list's last term are
// asked. Each raise was taken by at least one of them, and each of them was told all limits when
// it was first told any, so the largest answer covers all that was ever lent. A witness that died,
// or that the lender never reached, leaves the limits unknown.
type Exposure struct {
	Holder   *grant.Holder
	Register *BorrowerRegistry
	// Notify brings limits to a witness and returns nil when it has taken them.
	Notify func(ctx context.Context, witness string, notice Notice) error
	// Timeout bounds one message. A slower witness is told also after the first one has answered.
	Timeout time.Duration
	// Lookahead is for how long limits are raised ahead of what a borrower is lent.
	Lookahead time.Duration
	// Now is the clock.
	Now func() time.Time

	mu        sync.Mutex
	term      int64
	witnesses []string
	// told are the witnesses that know all limits of this term.
	told map[string]bool
	// waiting are the tokens of lots that wait for a raise, and exposing the raises that they wait
	// for, by budget and borrower.
	waiting  map[lotsOf]int64
	exposing singleflight.Group
}

// lotsOf are the lots of one budget that one borrower asks for.
type lotsOf struct{ budget, borrower string }

var _ grant.Exposer = (*Exposure)(nil)

// Witnesses returns the witnesses in force.
func (e *Exposure) Witnesses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.witnesses)
}

// Appoint replaces the witnesses. From the first time on the holder's exposure is limited. The
// list names them first: a lender that dies in between has witnesses who know nothing, and all that
// it held counts as used.
func (e *Exposure) Appoint(ctx context.Context, witnesses ...string) error {
	term, err := e.Register.appoint(ctx, witnesses)
	if err != nil {
		return err
	}
	e.Holder.LimitExposure()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.witnesses, e.told = term, slices.Clone(witnesses), map[string]bool{}
	return nil
}

// RaiseLimits raises the limits that are nearly reached.
func (e *Exposure) RaiseLimits(ctx context.Context) error {
	wanted := e.Holder.ExposureWanted(e.Now(), e.Lookahead)
	if len(wanted) == 0 {
		return nil
	}
	return e.raise(ctx, wanted)
}

// Expose implements grant.Exposer. Lots of one borrower that wait for one budget share a raise, which
// is for all that wait when it begins: in a burst each would else wait for those before it.
func (e *Exposure) Expose(ctx context.Context, budget, borrower string, n int64) error {
	lots := lotsOf{budget, borrower}
	e.wait(lots, n)
	defer e.wait(lots, -n)
	done := e.exposing.DoChan(budget+" "+borrower, func() (any, error) {
		limits := e.Holder.ExposureFor(e.Now(), budget, borrower, e.waitingFor(lots), e.Lookahead)
		return nil, e.raise(ctx, limits)
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return Error.Wrap(ErrNoWitness)
	}
}

func (e *Exposure) wait(lots lotsOf, n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting == nil {
		e.waiting = map[lotsOf]int64{}
	}
	if e.waiting[lots] += n; e.waiting[lots] == 0 {
		delete(e.waiting, lots)
	}
}

func (e *Exposure) waitingFor(lots lotsOf) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting[lots]
}

// raise tells limits to all witnesses at once and puts them in force when the first one has taken
// them.
func (e *Exposure) raise(ctx context.Context, limits grant.ExposureLimits) error {
	term, witnesses := e.current()
	taken := make(chan error, len(witnesses))
	for _, witness := range witnesses {
		go func() { taken <- e.tell(ctx, witness, term, limits) }()
	}
	failed := []error{Error.Wrap(ErrNoWitness)}
	for range witnesses {
		err := <-taken
		if err == nil {
			return e.inForce(term, limits)
		}
		failed = append(failed, err)
	}
	return errors.Join(failed...)
}

func (e *Exposure) current() (term int64, witnesses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.witnesses
}

// inForce raises the holder's limits, unless the witnesses that took them were replaced meanwhile.
func (e *Exposure) inForce(term int64, limits grant.ExposureLimits) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != term {
		return Error.Wrap(ErrNoWitness)
	}
	e.Holder.RaiseExposure(limits)
	return nil
}

// tell brings limits to one witness, with all others the first time and after a failure: the
// witness may have forgotten them. The time of the request that waits does not end it.
func (e *Exposure) tell(ctx context.Context, witness string, term int64, limits grant.ExposureLimits) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.Timeout)
	defer cancel()
	in := Notice{Lender: e.Holder.ID(), Term: term, Limits: limits}
	if !e.isTold(witness, term) {
		in.Full, in.Limits = true, e.Holder.ExposureLimits()
		in.Limits.Merge(limits)
	}
	err := e.Notify(ctx, witness, in)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == term {
		e.told[witness] = err == nil
	}
	return err
}

func (e *Exposure) isTold(witness string, term int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term && e.told[witness]
}
