package pool

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// stream takes one request to the upstream and lets it make events, the time between two
// given by pause.
func stream(t *testing.T, p *Pool, now *time.Time, id string, events int, pause func(n int) time.Duration) serving.Attempt {
	target, ok := pickUntil(t, p, *now, id)
	require.True(t, ok)
	for n := range events {
		target.Event(*now)
		*now = now.Add(pause(n))
	}
	return target.Done(serving.Attempt{Result: serving.Complete})
}

func steady(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// One engine takes a third longer for each token, and holds its streams up now and then like
// all others. It is known for slow after a dozen events, long before its first stream ends.
func TestSlowEngineIsKnownSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	held := func(pace time.Duration) func(int) time.Duration {
		return func(n int) time.Duration {
			if n%6 == 0 {
				return 250 * time.Millisecond
			}
			return pace
		}
	}
	stream(t, p, &now, "a", 13, held(20*time.Millisecond))
	stream(t, p, &now, "b", 13, held(26*time.Millisecond))
	views, _ := p.views(plain(now), p.Directory.ForService("s"))
	for _, v := range views {
		require.Positive(t, v.EventInterval)
	}
	require.InDelta(t, 1, p.states[directory.Incarnation{ID: "a"}].slowness, 0.01)
	require.InDelta(t, 1.3, p.states[directory.Incarnation{ID: "b"}].slowness, 0.01)
}

// An engine of usual speed reads one prompt after the other for a second, so that its streams
// have no quick event. It must not count as slow: its homes would move and come back.
func TestBusyEngineIsNotSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for _, id := range []string{"a", "b"} {
		stream(t, p, &now, id, 25, steady(20*time.Millisecond))
	}
	for range 3 {
		stream(t, p, &now, "b", 13, steady(60*time.Millisecond))
	}
	p.views(plain(now), p.Directory.ForService("s"))
	require.Less(t, p.states[directory.Incarnation{ID: "b"}].slowness, 1.3)
	for range 30 {
		stream(t, p, &now, "b", 13, steady(60*time.Millisecond))
	}
	p.views(plain(now), p.Directory.ForService("s"))
	require.Greater(t, p.states[directory.Incarnation{ID: "b"}].slowness, 2.0, "it has turned slow")
}

// A router has seen one stream of an engine, which happened to be slow. Homes of prompts do not
// move for that: they would differ from router to router. A few reports on, they do.
func TestOneReportMovesNoHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for range pauseLeast + 1 {
		p.pausesOf("s").note(now, 0.95)
		now = now.Add(pauseRefresh)
	}
	changes := 0
	p.OnStallProne = func(directory.Incarnation, bool, float64, float64) { changes++ }
	stream(t, p, &now, "a", 40, steady(20*time.Millisecond))
	stream(t, p, &now, "b", 13, steady(30*time.Millisecond))
	p.views(plain(now), p.Directory.ForService("s"))
	require.Zero(t, changes)
	stream(t, p, &now, "b", 25, steady(30*time.Millisecond))
	p.views(plain(now), p.Directory.ForService("s"))
	require.Equal(t, 1, changes)
	require.True(t, p.states[directory.Incarnation{ID: "b"}].exposed)
}

// Streams are held up for nine tenths of what their route allows. That is known after a
// second, does not depend on streams that run smoothly, and is forgotten with time.
func TestPausesOfAService(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plain(now)
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
	require.InDelta(t, 0.9, p.pausesOf("s").share(), 0.02)
	done := target.Done(serving.Attempt{Result: serving.Complete})
	require.Equal(t, 270*time.Millisecond, done.Pause.Duration)
	require.Equal(t, 1, done.Pause.ConcurrentLoad.Running)
	now = now.Add(2 * pauseWindows * pauseWindow)
	for range pauseLeast + 1 {
		p.pausesOf("s").note(now, 0.4)
		now = now.Add(pauseRefresh)
	}
	require.InDelta(t, 0.4, p.pausesOf("s").share(), 0.02)
}

// A route without a goal for pauses says nothing about them.
func TestNoGoalForPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	a := stream(t, p, &now, "a", 40, steady(time.Second))
	require.Equal(t, time.Second, a.Pause.Duration)
	require.Zero(t, p.pausesOf("s").share())
}
