package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one router that falls behind for seconds beside idle ones. A team sends three times its usual load for six
// seconds through one small VM: it must be handed over within half a second, and stay away for as long as the callers would
// return together.
func TestCrowdedRouterIsDetectedWhileOthersHaveCapacity(t *testing.T) {
	now := time.Unix(0, 0)
	c := Crowding{}
	play := func(d, wait time.Duration, ratio float64) (crowded bool) {
		const step = 50 * time.Millisecond
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			crowded = c.Observe(now, wait, ratio)
		}
		return crowded
	}
	require.False(t, play(5*time.Second, 10*time.Millisecond, 7), "busy, but not behind")
	require.False(t, play(200*time.Millisecond, 300*time.Millisecond, 7), "a short burst")
	require.False(t, play(time.Second, 10*time.Millisecond, 7))
	require.True(t, play(500*time.Millisecond, 300*time.Millisecond, 7))
	require.True(t, play(7*time.Second, 0, 0.1), "callers that left return together")
	require.False(t, play(2*time.Second, 0, 0.1))
}

// Guards against routers that hand callers to each other while all of them are behind, as after a surge of all teams.
func TestNoRouterIsCrowdedInASurgeOfAll(t *testing.T) {
	now := time.Unix(0, 0)
	c := Crowding{}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		require.False(t, c.Observe(now, time.Second, 1.2))
	}
	surge := Arrival{Wait: time.Second, Ratio: 1.2, Turns: PromptTurns, Goal: 300 * time.Millisecond}
	require.False(t, FasterElsewhere(surge, 0))
	surge.Ratio = 0
	require.False(t, FasterElsewhere(surge, 0), "the others' work is unknown")
}

// A request is sent elsewhere only if waiting here would take most of its goal.
func TestOnlyLateRequestsAreSentElsewhere(t *testing.T) {
	for _, c := range []struct {
		wait  time.Duration
		turns Turns
		want  bool
	}{
		{40 * time.Millisecond, PromptTurns, false},
		{60 * time.Millisecond, PromptTurns, true},
		{60 * time.Millisecond, PlainTurns, false},
		{110 * time.Millisecond, PlainTurns, true},
	} {
		a := Arrival{Wait: c.wait, Ratio: 3, Turns: c.turns, Goal: 400 * time.Millisecond}
		require.Equal(t, c.want, FasterElsewhere(a, 0), "%+v", a)
	}
}

// Guards against a crowded router that refuses everything until its wait, which it learns late, has ended. It keeps what
// it may have beside the others, the most urgent requests first.
func TestCrowdedRouterKeepsItsShare(t *testing.T) {
	sent := func(rank int, ratio float64) (n int) {
		for i := range 1000 {
			a := Arrival{Wait: time.Second, Ratio: ratio, Turns: PromptTurns, Goal: 400 * time.Millisecond, Rank: rank}
			if FasterElsewhere(a, float64(i)/1000) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 500, sent(1, 3))
	require.Less(t, sent(0, 3), 300)
	require.Greater(t, sent(2, 3), 700)
	require.Equal(t, 750, sent(1, 6))
	require.Zero(t, sent(2, 1.5))
}
