package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a growing queue at an overloaded link. One team sends 200 large requests a second
// through a VM whose link carries 60. The queue must stay bounded, so that accepted requests are
// answered in time, and urgent ones are refused last.
func TestLinkDelayStaysBoundedUnderOverload(t *testing.T) {
	const size = 20_000
	now := time.Unix(0, 0)
	l := Link{BytesPerSecond: 60 * size}
	taken := map[int]int{}
	longest := time.Duration(0)
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		rank := i % 3
		if Admit(l.Delay(now), rank, size) {
			taken[rank]++
			l.Sent(now, size)
		}
		longest = max(longest, l.Delay(now))
	}
	require.Less(t, longest, maxDelay+50*time.Millisecond)
	require.Greater(t, taken[0], taken[1])
	require.Greater(t, taken[1], taken[2])
	require.InDelta(t, 10*60, taken[0]+taken[1]+taken[2], 40, "the link is used")
}

// Small requests are accepted at a full link, and a VM without a known rate refuses nothing.
func TestSmallRequestsAndUnknownRate(t *testing.T) {
	require.True(t, Admit(time.Hour, 9, 600))
	require.False(t, Admit(time.Hour, 0, 10_000))
	l := Link{}
	l.Sent(time.Unix(1, 0), 1<<30)
	require.Zero(t, l.Delay(time.Unix(1, 0)))
}
