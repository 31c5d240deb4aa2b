package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMost(t *testing.T) {
	tolerance := Tolerance{Overshoot: 1.5, Slack: 5}
	require.Equal(t, 14, tolerance.MaxRequests(6.6))
	require.Zero(t, tolerance.MaxRequests(0), "the service names no rate")
	require.Zero(t, tolerance.MaxRequests(-1))
	require.Equal(t, 1, Tolerance{Overshoot: 1}.MaxRequests(0.2))
}

// With requests at random times, no second contains more than the bound, and no request within the
// bound is denied.
func TestNoSecondHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 5
		var w Window
		now := time.Unix(0, 0)
		var taken []time.Time
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			within := 0
			for _, at := range taken {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			if w.Take(now, bound) {
				require.Less(t, within, bound)
				taken = append(taken, now)
			} else {
				require.Equal(t, bound, within)
			}
		}
	})
}

// The permit of a prompt that is sent elsewhere is available to another one.
func TestReturnedPermit(t *testing.T) {
	var w Window
	now := time.Unix(0, 0)
	require.True(t, w.Take(now, 1))
	require.False(t, w.Take(now, 1))
	w.Return()
	require.True(t, w.Take(now, 1))
	w.Return()
	w.Return() // a surplus call has no effect
	require.True(t, w.HasCapacity(now, 1))
}

// All routers select the same sharers for an upstream, and the shares together do not exceed the
// bound.
func TestSharesStayWithinTheBound(t *testing.T) {
	var routers []string
	for n := range 26 {
		routers = append(routers, fmt.Sprint("router-", n))
	}
	for n := range 50 {
		upstream, together := fmt.Sprint("i-", n), 0
		for _, r := range routers {
			together += Share(r, time.Minute, routers, upstream, 14)
		}
		require.LessOrEqual(t, together+PermitLimit(14), 14, "together with all permits")
		require.Positive(t, together)
	}
	require.Equal(t, 1, Share("a", time.Minute, []string{"a", "b"}, "i", 1)+Share("b", time.Minute, []string{"a", "b"}, "i", 1))
	require.Zero(t, Share("c", time.Minute, []string{"a", "b"}, "i", 14), "it is not a listed router")
}

// Guards against a restarted router that uses its share twice. A router is killed and restarts
// within a second while an upstream without a lender is cold. Without a wait of a second each
// incarnation would have the whole share, and three routers killed together sent 20 requests in a
// second instead of 14, more than the upstream sustains.
func TestRestartedRouterGetsNoImmediateShare(t *testing.T) {
	const maxRequests = 14
	routers := []string{"a", "b", "c"}
	inOneSecond := PermitLimit(maxRequests)
	for _, r := range routers {
		inOneSecond += Share(r, time.Minute, routers, "i", maxRequests)
		inOneSecond += Share(r, 900*time.Millisecond, routers, "i", maxRequests)
	}
	require.LessOrEqual(t, inOneSecond, maxRequests)
	require.Positive(t, Share("a", time.Second, routers, "i", maxRequests))
}
