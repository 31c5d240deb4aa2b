package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the processor is unavailable, ticks are late and work is estimated to wait; soon after the
// ticks are on time again, the estimate is near 0.
func TestLag(t *testing.T) {
	now := time.Unix(0, 0)
	l := Lag{Period: 50 * time.Millisecond}
	tick := func(after time.Duration) {
		now = now.Add(after)
		l.Tick(now)
	}
	require.Zero(t, l.Delay(now))
	for range 3 {
		tick(50 * time.Millisecond)
	}
	require.Zero(t, l.Delay(now))
	for range 4 {
		tick(350 * time.Millisecond)
	}
	require.InDelta(t, 300, l.Delay(now).Milliseconds(), 30)
	for range 6 {
		tick(50 * time.Millisecond)
	}
	require.Less(t, l.Delay(now), 10*time.Millisecond)
	require.InDelta(t, 200, l.Delay(now.Add(450*time.Millisecond)).Milliseconds(), 10, "an overdue tick")
}
