package pool

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// stream sends one request to the upstream and emits events at the intervals that interval returns.
func stream(t *testing.T, p *Pool, now *time.Time, id string, events int, interval func(n int) time.Duration) serving.Attempt {
	target, ok := pickUntil(t, p, *now, id)
	require.True(t, ok)
	for n := range events {
		target.Event(*now)
		*now = now.Add(interval(n))
	}
	return target.Done(serving.Attempt{Result: serving.Complete})
}

func steady(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// One engine takes a third longer per token, and both delay their streams now and then. It must be
// detected as slow after a dozen events, long before its first stream ends.
func TestSlowEngineIsDetectedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	withDelays := func(interval time.Duration) func(int) time.Duration {
		return func(n int) time.Duration {
			if n%6 == 0 {
				return 250 * time.Millisecond
			}
			return interval
		}
	}
	stream(t, p, &now, "a", 13, withDelays(20*time.Millisecond))
	stream(t, p, &now, "b", 13, withDelays(26*time.Millisecond))
	views, _ := p.views(plainRequest(now), p.Directory.ForService("s"))
	for _, v := range views {
		require.Positive(t, v.EventInterval)
	}
	require.InDelta(t, 1, p.states[directory.Incarnation{ID: "a"}].slowness, 0.01)
	require.InDelta(t, 1.3, p.states[directory.Incarnation{ID: "b"}].slowness, 0.01)
}

// An engine of usual speed prefills prompts back to back for a second, so that all intervals of its
// streams are long. It must not count as slow: prompts that prefer it would move away and back.
func TestBusyEngineIsNotSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for _, id := range []string{"a", "b"} {
		stream(t, p, &now, id, 25, steady(20*time.Millisecond))
	}
	for range 3 {
		stream(t, p, &now, "b", 13, steady(60*time.Millisecond))
	}
	p.views(plainRequest(now), p.Directory.ForService("s"))
	require.Less(t, p.states[directory.Incarnation{ID: "b"}].slowness, 1.3)
	for range 30 {
		stream(t, p, &now, "b", 13, steady(60*time.Millisecond))
	}
	p.views(plainRequest(now), p.Directory.ForService("s"))
	require.Greater(t, p.states[directory.Incarnation{ID: "b"}].slowness, 2.0, "the engine has become slow")
}

// A router's only report of an engine is a slow one. The engine must not become stall-prone by it, or
// routers would disagree on the preferred engines of prompts. After a few more reports it does.
func TestSingleReportMovesNoPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for range minGaps + 1 {
		p.gapsOf("s").observe(now, 0.95)
		now = now.Add(gapRefresh)
	}
	changes := 0
	p.OnStallProne = func(directory.Incarnation, bool, float64, float64) { changes++ }
	stream(t, p, &now, "a", 40, steady(20*time.Millisecond))
	stream(t, p, &now, "b", 13, steady(30*time.Millisecond))
	p.views(plainRequest(now), p.Directory.ForService("s"))
	require.Zero(t, changes)
	stream(t, p, &now, "b", 25, steady(30*time.Millisecond))
	p.views(plainRequest(now), p.Directory.ForService("s"))
	require.Equal(t, 1, changes)
	require.True(t, p.states[directory.Incarnation{ID: "b"}].stallProne)
}

// Streams have gaps of nine tenths of their route's goal. The percentile shows it after a second,
// does not depend on gaps of normal length, and old gaps expire.
func TestServiceGaps(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plainRequest(now)
	r.Route = &catalog.Route{Kind: catalog.Streaming, GapGoal: 300 * time.Millisecond}
	r.Deadline = now.Add(time.Hour)
	target, _ := p.Pick(r, nil)
	for range 30 {
		for range 15 {
			target.Event(now)
			now = now.Add(20 * time.Millisecond)
		}
		target.Event(now)
		now = now.Add(270 * time.Millisecond)
	}
	require.InDelta(t, 0.9, p.gapsOf("s").share(), 0.02)
	done := target.Done(serving.Attempt{Result: serving.Complete})
	require.Equal(t, 270*time.Millisecond, done.Gap.Duration)
	require.Equal(t, 1, done.Gap.ConcurrentLoad.Running)
	now = now.Add(2 * gapWindows * gapWindow)
	for range minGaps + 1 {
		p.gapsOf("s").observe(now, 0.4)
		now = now.Add(gapRefresh)
	}
	require.InDelta(t, 0.4, p.gapsOf("s").share(), 0.02)
}

// Streams of a route without a gap goal do not count in the service's gaps.
func TestRouteWithoutGapGoal(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	a := stream(t, p, &now, "a", 40, steady(time.Second))
	require.Equal(t, time.Second, a.Gap.Duration)
	require.Zero(t, p.gapsOf("s").share())
}
