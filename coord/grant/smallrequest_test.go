package grant_test

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// Guards against a final refusal of requests that would fit, after a larger one was found to need more than is left: a
// caller does not come back after it, although what others have reserved may be returned.
func TestLargeRequestDoesNotExhaustTheBudgetForSmallOnes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newStoreHolder(t, 1000)
		h.pages.Timing.ExhaustedBackoff = 300 * time.Millisecond
		a := h.acquirer()
		first, err := a.Acquire(t.Context(), "team", 900)
		require.NoError(t, err)
		_, err = a.Acquire(t.Context(), "team", 1200)
		require.ErrorIs(t, err, grant.ErrExhausted)
		_, err = a.Acquire(t.Context(), "team", 200)
		require.ErrorIs(t, err, grant.ErrUnreachable, "100 are free, 900 may come back")
		_, err = a.Acquire(t.Context(), "team", 1001)
		require.ErrorIs(t, err, grant.ErrExhausted)
		a.Holder.Settle(time.Now(), first, 0)
		_, err = a.Acquire(t.Context(), "team", 200)
		require.NoError(t, err)
	})
}
