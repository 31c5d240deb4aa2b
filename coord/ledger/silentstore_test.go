package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/ledger"
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

// Guards against an append that waits beyond its context because another one waits for a store that does
// not respond.
func TestAppendEndsWithItsContextWhileTheStoreIsSilent(t *testing.T) {
	s := &silentStore{Store: memstore.New(), called: make(chan struct{}, 2)}
	shard := ledger.OpenShard(s, ledger.Layout{Prefix: "l/", Shards: 1}, 0, "owner", 100)
	writing, endWrite := context.WithCancel(t.Context())
	defer endWrite()
	written := make(chan error, 1)
	go func() { written <- shard.Append(writing, []ledger.Charge{charge("a", 1)}) }()
	<-s.called
	waiting, endWait := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- shard.Append(waiting, []ledger.Charge{charge("b", 1)}) }()
	endWait()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(stuckAfter):
		assert.Fail(t, "the append waits for the other one")
	}
	require.Empty(t, s.called, "it did not call the store")
	require.Empty(t, written, "the other append goes on")
}
