// Package claim ensures that a non-idempotent request runs at most once in the whole
// fleet. Before a process runs one, it creates the request's claim in the store, by
// compare-and-swap on an absent key; only the creator may run it. After the run the
// claim holds a response of bounded size, which retries receive without another run.
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

// ErrUnavailable means that the store did not confirm the claim, so the request
// must not run.
var ErrUnavailable = errs.New("claim is not durable")

// State is the progress of a claimed request.
type State string

const (
	// Started means that the request may or may not have taken effect.
	Started State = "started"
	// Ended means that the request took effect once and its response is stored.
	Ended State = "ended"
	// Withdrawn means that the request was never sent; another attempt may run it.
	Withdrawn State = "withdrawn"
)

// Claim is the value stored under a request's key.
type Claim struct {
	// Owner is the incarnation that may run the request.
	Owner string `json:"owner"`
	// Nonce distinguishes the attempts of one owner.
	Nonce int64 `json:"nonce"`
	// Digest is the request's digest. It reveals an idempotency key that is reused for
	// a different request.
	Digest string `json:"digest"`
	State  State  `json:"state"`
	// Answer is the response of the run, set once the state is Ended.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Registry stores claims under Prefix.
type Registry struct {
	Store  store.Store
	Prefix string
}

// Retry backoff within one call.
const (
	backoffMin = 5 * time.Millisecond
	backoffMax = 200 * time.Millisecond
)

// Acquire claims the request. When acquired is true, only the caller may run it. Else
// the returned claim is the current claim of another attempt. After ErrUnavailable
// no process may run the request because of this call.
func (r Registry) Acquire(ctx context.Context, id string, want Claim) (got Claim, acquired bool, err error) {
	want.State = Started
	value, err := json.Marshal(want)
	if err != nil {
		return Claim{}, false, Error.Wrap(err)
	}
	pause := backoff.New(backoffMin, backoffMax)
	for {
		got, acquired, err := r.acquireOnce(ctx, id, want, value)
		if err == nil || pause.Wait(ctx) != nil {
			return got, acquired, err
		}
	}
}

// acquireOnce reads the key first: if the response to an earlier write was lost, it
// finds its own claim there.
func (r Registry) acquireOnce(ctx context.Context, id string, want Claim, value []byte) (Claim, bool, error) {
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

// End sets the state and the response of a claim. It changes nothing if the stored
// claim has another owner or nonce than own.
func (r Registry) End(ctx context.Context, id string, own Claim, state State, answer json.RawMessage) error {
	_, err := store.Update(ctx, r.Store, r.Prefix+id, func(old store.Item) ([]byte, error) {
		var have Claim
		if err := json.Unmarshal(old.Value, &have); err != nil {
			return nil, Error.Wrap(err)
		}
		if have.Owner != own.Owner || have.Nonce != own.Nonce {
			return old.Value, nil
		}
		have.State, have.Answer = state, answer
		return json.Marshal(have)
	})
	return err
}
