package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var rule = Rule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}

// A service fails every request for a minute. Repeats stay within the rule in every
// window, also at its edges, and the shares of all processes add up to no more.
func TestRepeatsStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const peers = 4
		budgets := make([]Budget, peers)
		var requests, repeats []time.Time
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, peers-1).Draw(t, "peer")]
			b.Request(now, rule)
			requests = append(requests, now)
			if b.Repeat(now, rule, peers).Allowed {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			in := func(list []time.Time, span time.Duration) (n float64) {
				for _, at := range list {
					if at.After(end.Add(-span)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			// A slice more than the window: budgets forget whole slices.
			require.LessOrEqual(t, in(repeats, 9*time.Second), rule.Ratio*in(requests, 11*time.Second)+rule.Extra)
		}
	})
}

func TestFewRequestsMayStillRepeat(t *testing.T) {
	var b Budget
	now := time.Unix(1000, 0)
	b.Request(now, rule)
	for range 5 {
		require.True(t, b.Repeat(now, rule, 4).Allowed)
	}
	require.False(t, b.Repeat(now, rule, 4).Allowed)
	require.True(t, b.Repeat(now.Add(11*time.Second), rule, 4).Allowed)
}
