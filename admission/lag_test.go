package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The processor is taken for a while: ticks come late, work that comes then is known to
// wait, and soon after the ticks are in time again nothing is.
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

// The callers of a large team keep a small VM's processor busy for seconds. New callers go
// elsewhere from a second on, and come back some seconds after it is over; a pause of half a
// second, or a VM that is a little late now and then, changes nothing.
func TestBusyProcessorSendsCallersElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	l := Lag{Period: 50 * time.Millisecond}
	play := func(d, late time.Duration) bool {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(l.Period + late)
			l.Tick(now)
		}
		return l.Overloaded(now)
	}
	require.False(t, play(5*time.Second, busyLag/2))
	require.False(t, play(500*time.Millisecond, 200*time.Millisecond))
	require.False(t, play(2*time.Second, 0))
	require.True(t, play(1500*time.Millisecond, 100*time.Millisecond))
	require.True(t, play(awayFor/2, 0))
	require.False(t, play(awayFor, 0))
}
