package ctxlock

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

func TestMutexExcludes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var m Mutex
		var wg sync.WaitGroup
		inside, rounds := 0, 0
		for range 20 {
			wg.Go(func() {
				require.NoError(t, m.Lock(t.Context()))
				defer m.Unlock()
				inside++
				require.Equal(t, 1, inside)
				time.Sleep(time.Millisecond)
				inside--
				rounds++
			})
		}
		wg.Wait()
		require.Equal(t, 20, rounds)
	})
}

// Guards against a caller that waits longer than its deadline while the holder calls a store that does not answer.
func TestWaitEndsWithTheContext(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var m Mutex
		require.NoError(t, m.Lock(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		require.ErrorIs(t, m.Lock(ctx), context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
		m.Unlock()
		require.ErrorIs(t, m.Lock(ctx), context.DeadlineExceeded, "the lock is free, but the context has ended")
		require.NoError(t, m.Lock(t.Context()), "the waits that ended left it unlocked")
		m.Unlock()
	})
}

func TestUnlockOfAnUnlockedMutexPanics(t *testing.T) {
	var m Mutex
	require.Panics(t, m.Unlock)
	require.NoError(t, m.Lock(t.Context()))
	m.Unlock()
	require.Panics(t, m.Unlock)
}
