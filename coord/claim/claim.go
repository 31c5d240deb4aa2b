// Package claim makes sure that a non-idempotent request runs at most once in the
// whole fleet. Whoever wants to run one first creates its claim in the store, by
// compare-and-swap on an absent key; only the creator may run it. When it ended,
// the claim keeps a bounded answer, so that a retry gets the answer and not a run.
package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"

	"time"
)

// Error is the class of all errors of this package.
var Error = errs.Class("claim")

// ErrUnavailable says that the store did not confirm the claim, so the request
// must not run.
var ErrUnavailable = errs.New("claim is not durable")

// State is how far a claimed request is.
type State string

// The states.
const (
	// Started requests may or may not have had their effect.
	Started State = "started"
	// Ended requests had their effect once; the answer is kept.
	Ended State = "ended"
	// Withdrawn requests never left; another try may run.
	Withdrawn State = "withdrawn"
)

// Claim is the value under a request's key.
type Claim struct {
	// Owner is the incarnation that may run the request.
	Owner string `json:"owner"`
	// Nonce tells two tries of one owner apart.
	Nonce int64 `json:"nonce"`
	// Digest is that of the request; a key reused for another request differs.
	Digest string `json:"digest"`
	State  State  `json:"state"`
	// Answer is what the first run answered, once Ended.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Registry is where claims are kept.
type Registry struct {
	Store  store.Store
	Prefix string
}

// Pauses between tries within one call.
const (
	pauseMin = 5 * time.Millisecond
	pauseMax = 200 * time.Millisecond
)

// Acquire claims the request. When mine is true the caller, and nobody else, may run
// it. Else the returned claim is another's, as it stands. ErrUnavailable means that
// nobody was given the right by this call.
func (r Registry) Acquire(ctx context.Context, id string, want Claim) (got Claim, mine bool, err error) {
	want.State = Started
	value, err := json.Marshal(want)
	if err != nil {
		return Claim{}, false, Error.Wrap(err)
	}
	pause := backoff.New(pauseMin, pauseMax)
	for {
		got, mine, err := r.takeOnce(ctx, id, want, value)
		if err == nil || pause.Wait(ctx) != nil {
			return got, mine, err
		}
	}
}

// takeOnce reads first: after a lost answer it finds its own claim there.
func (r Registry) takeOnce(ctx context.Context, id string, want Claim, value []byte) (Claim, bool, error) {
	item, err := r.Store.Get(ctx, r.Prefix+id)
	if err != nil {
		return Claim{}, false, Error.Wrap(errors.Join(ErrUnavailable, err))
	}
	if item.Revision != 0 {
		var have Claim
		if err := json.Unmarshal(item.Value, &have); err != nil {
			return Claim{}, false, Error.Wrap(errors.Join(ErrUnavailable, err))
		}
		if have.Owner == want.Owner && have.Nonce == want.Nonce {
			return have, true, nil
		}
		if have.State != Withdrawn {
			return have, false, nil
		}
	}
	if _, err := r.Store.CompareAndSwap(ctx, r.Prefix+id, item.Revision, value, 0); err != nil {
		return Claim{}, false, Error.Wrap(errors.Join(ErrUnavailable, err))
	}
	return want, true, nil
}

// End records how the claimed request ended. Only the owner's own claim is changed.
func (r Registry) End(ctx context.Context, id string, mine Claim, state State, answer json.RawMessage) error {
	_, err := store.Update(ctx, r.Store, r.Prefix+id, func(old store.Item) ([]byte, error) {
		var have Claim
		if err := json.Unmarshal(old.Value, &have); err != nil {
			return nil, Error.Wrap(err)
		}
		if have.Owner != mine.Owner || have.Nonce != mine.Nonce {
			return old.Value, nil
		}
		have.State, have.Answer = state, answer
		return json.Marshal(have)
	})
	return err
}
