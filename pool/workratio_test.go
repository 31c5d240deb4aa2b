package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that cannot tell that it has more work than the others: ten routers send 20 prompts a second
// each to 10 engines, an eleventh sends 200.
func TestWorkRatio(t *testing.T) {
	const engines, routers = 10, 11
	now := time.Unix(0, 0)
	w := workRatio{}
	require.Zero(t, w.value(now, engines, routers), "nothing sent yet")
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		w.record(now, 40) // 400 prompts a second on 10 engines
	}
	require.InDelta(t, 200.0*routers/400, w.value(now, engines, routers), 0.1)
}

// Guards against a router that no longer knows its share in the moment in which it is behind, and gets no replies in time.
func TestWorkRatioOutlastsMissingReplies(t *testing.T) {
	now := time.Unix(0, 0)
	w := workRatio{}
	send := func(d time.Duration, enginePrompts int) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(5 * time.Millisecond)
			w.record(now, enginePrompts)
		}
	}
	send(2*time.Second, 40)
	send(3*time.Second, 0)
	require.Greater(t, w.value(now, 10, 11), 5.0)
	send(3*time.Second, 0)
	require.Zero(t, w.value(now, 10, 11), "the others' work is no longer known")
}

// A router without work of its own has no share of it.
func TestWorkRatioOfAnIdleRouter(t *testing.T) {
	now := time.Unix(0, 0)
	w := workRatio{}
	for range 5 {
		w.record(now, 40)
	}
	require.Zero(t, w.value(now, 10, 11))
	require.Zero(t, w.value(now.Add(time.Minute), 10, 11))
}
