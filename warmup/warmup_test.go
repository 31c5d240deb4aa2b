package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMost(t *testing.T) {
	b := Tolerance{Overshoot: 1.5, Slack: 5}
	require.Equal(t, 14, b.MaxRequests(6.6))
	require.Zero(t, b.MaxRequests(0), "the service names no rate")
	require.Zero(t, b.MaxRequests(-1))
	require.Equal(t, 1, Tolerance{Overshoot: 1}.MaxRequests(0.2))
}

// Requests come at any moments. No second, wherever it begins, has more than the bound, and one
// that could have had more is never denied.
func TestNoSecondHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
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
			if w.Take(now, most) {
				require.Less(t, within, most)
				taken = append(taken, now)
			} else {
				require.Equal(t, most, within)
			}
		}
	})
}

// A prompt that got leave goes elsewhere; another one gets its place.
func TestReturnedLeave(t *testing.T) {
	var w Window
	now := time.Unix(0, 0)
	require.True(t, w.Take(now, 1))
	require.False(t, w.Take(now, 1))
	w.Return()
	require.True(t, w.Take(now, 1))
	w.Return()
	w.Return() // one too many does no harm
	require.True(t, w.HasCapacity(now, 1))
}

// All routers find the same few for an upstream, and together these do not pass the bound.
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
		require.LessOrEqual(t, together+PermitLimit(14), 14, "with all that others have leave for")
		require.Positive(t, together)
	}
	require.Equal(t, 1, Share("a", time.Minute, []string{"a", "b"}, "i", 1)+Share("b", time.Minute, []string{"a", "b"}, "i", 1))
	require.Zero(t, Share("c", time.Minute, []string{"a", "b"}, "i", 14), "it is not a router itself")
}

// A router is killed and starts anew within a second, while an upstream is cold that no process stands
// beside. What its earlier life sent there is known to nobody, so the new one waits a second;
// before, each life had the whole share, and three routers that were killed together passed what the
// upstream bears: 20 requests in a second instead of 14.
func TestRestartsGiveNoShareAgain(t *testing.T) {
	const most = 14
	routers := []string{"a", "b", "c"}
	inOneSecond := PermitLimit(most)
	for _, r := range routers {
		inOneSecond += Share(r, time.Minute, routers, "i", most)
		inOneSecond += Share(r, 900*time.Millisecond, routers, "i", most)
	}
	require.LessOrEqual(t, inOneSecond, most)
	require.Positive(t, Share("a", time.Second, routers, "i", most))
}
