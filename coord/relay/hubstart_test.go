package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a hub that hangs for good: a follower starts a prefix again, which its own process has
// just released, while Run does not take prefixes because it waits for the hub's lock. If the follower
// waits for Run with the lock held, neither of them ends, and nor does any other caller of the hub.
func TestHubStartsPrefixesWithoutWaitingForRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		_, err := s.CompareAndSwap(t.Context(), "p/key", 0, []byte("value"), 0)
		require.NoError(t, err)
		h := newHub(s)
		const starts = 5
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range starts {
				_, err := h.Follow(t.Context(), request(0))
				require.NoError(t, err)
				h.ReleaseLocal()
			}
			_, err := h.Follow(t.Context(), request(0))
			require.NoError(t, err)
		}()
		select {
		case <-ended:
		case <-time.After(time.Minute):
			assert.Fail(t, "the follower waits for Run with the hub's lock held")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go h.Run(ctx)
		synctest.Wait()
		require.EqualValues(t, 1, s.Calls().Watches, "the last start only; the others were released")
		reply, err := h.Follow(ctx, request(time.Second))
		require.NoError(t, err)
		require.True(t, reply.Updates[0].Whole)
	})
}

// Guards against a prefix that is followed several times, by as many calls of the store, because other
// prefixes were requested after it.
func TestHubFollowsEachPrefixOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		h := newHub(s)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go h.Run(ctx)
		for _, prefix := range []string{"p/", "q/", "p/"} {
			_, err := h.Follow(ctx, relay.Request{Store: "s", Positions: []relay.Position{{Prefix: prefix}}})
			require.NoError(t, err)
			synctest.Wait()
		}
		require.EqualValues(t, 2, s.Calls().Watches)
	})
}

// Guards against prefixes that are followed for good because they were started at the moment in which the
// hub stopped, or after Run had ended.
func TestStoppedHubFollowsNothing(t *testing.T) {
	for _, order := range []string{"stop before Run", "stop during Run", "Run ends"} {
		t.Run(order, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := memstore.New()
				h := newHub(s)
				ctx, end := context.WithCancel(t.Context())
				defer end()
				ended := make(chan struct{})
				run := func() { h.Run(ctx); close(ended) }
				if order != "stop before Run" {
					go run()
					synctest.Wait()
				}
				_, err := h.Follow(ctx, request(0)) // Run may not have taken the prefix yet
				require.NoError(t, err)
				if order == "Run ends" {
					end()
					<-ended
				} else {
					h.Stop()
				}
				if order == "stop before Run" {
					go run()
				}
				_, err = h.Follow(t.Context(), request(0))
				require.ErrorIs(t, err, relay.ErrStopping)
				synctest.Wait()
				require.Zero(t, s.Calls().Watches)
				require.Empty(t, h.State().Feeds)
				end()
				<-ended
			})
		})
	}
}

func newHub(s *memstore.Store) *relay.Hub {
	return &relay.Hub{Store: "s", MaxFollowers: 10, Now: time.Now, Prefixes: []relay.Prefix{
		{Name: "p/", Store: s, StaleAfter: time.Minute},
		{Name: "q/", Store: s, StaleAfter: time.Minute},
	}}
}

func request(wait time.Duration) relay.Request {
	return relay.Request{Store: "s", Positions: []relay.Position{{Prefix: "p/"}}, Wait: wait}
}
