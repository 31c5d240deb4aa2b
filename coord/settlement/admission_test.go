package settlement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stuckAfter is the real time after which a call that must end counts as stuck.
const stuckAfter = 10 * time.Second

// silentStore does not answer Get until the call's context ends.
type silentStore struct {
	*memstore.Store
	called chan struct{} // receives an element for each call
}

// Get implements store.Store.
func (s *silentStore) Get(ctx context.Context, _ string) (store.Item, error) {
	s.called <- struct{}{}
	<-ctx.Done()
	return store.Item{}, store.Error.Wrap(store.ErrUnknown)
}

// Guards against admissions that wait beyond their contexts: while the store does not respond, one
// write holds the lock, and the admissions of other borrowers wait for it one after the other.
func TestAdmissionsEndWithTheirContextsWhileTheStoreIsSilent(t *testing.T) {
	const borrowers = 20
	s := &silentStore{Store: memstore.New(), called: make(chan struct{}, borrowers+1)}
	r := &settlement.BorrowerRegistry{Store: s, Key: prefix + "lender/1"}
	writing, endWrite := context.WithCancel(t.Context())
	written := make(chan error, 1)
	go func() { written <- r.Admit(writing, "router-0") }()
	<-s.called
	waiting, endWaits := context.WithCancel(t.Context())
	errs := make(chan error, borrowers)
	for n := range borrowers {
		go func() { errs <- r.Admit(waiting, fmt.Sprint("router-", n+1)) }()
	}
	endWaits()
	stuck := time.After(stuckAfter)
	for n := range borrowers {
		select {
		case err := <-errs:
			require.ErrorIs(t, err, store.ErrUnknown)
			require.ErrorIs(t, err, context.Canceled)
		case <-stuck:
			assert.Failf(t, "admissions wait for the write", "%d of %d ended with their context", n, borrowers)
			endWrite()
			return
		}
	}
	require.Empty(t, s.called, "none of them called the store")
	require.Empty(t, written, "the write goes on")
	endWrite()
	require.ErrorIs(t, <-written, store.ErrUnknown)
}
