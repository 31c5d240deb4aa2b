package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// at is a moment of a test, in seconds.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// span is the time in which the requests to an upstream are counted.
const span = 4 * time.Second

// mostIn is how many requests an upstream with a limit may get in a span.
func mostIn(perSecond float64) int { return int(1.5*perSecond*span.Seconds() + 5) }

// busiest is the most moments within one span; they are sorted.
func busiest(times []time.Time) (most int) {
	first := 0
	for last, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// limited is a limiter that has just heard of a limit.
func limited(perSecond float64) *Limiter {
	g := NewLimiter()
	g.Observe(start, NamedLimit{PerSecond: perSecond, KnownMark: g.State().Mark})
	return &g
}

// Guards against more than the bound in any span, whatever the load, with requests that went elsewhere
// after all and limits that change.
func TestLimiterKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SampledFrom([]float64{0.2, 0.7, 1, 3, 10, 50})
		perSecond := limits.Draw(t, "limit")
		changes := rapid.Bool().Draw(t, "the limit changes")
		g := limited(perSecond)
		now, most := start, perSecond
		var went []time.Time
		for range rapid.IntRange(50, 800).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				if len(went) > 0 && now.Sub(went[len(went)-1]) < 100*time.Millisecond {
					g.Return(1)
					went = went[:len(went)-1]
				}
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause ms")) * time.Millisecond)
			case 2:
				if !changes {
					continue
				}
				next := limits.Draw(t, "another limit")
				g.Observe(now, NamedLimit{PerSecond: next, KnownMark: g.State().Mark})
				most = max(most, next)
			default:
				if g.Take(now, 1, rapid.IntRange(0, 3).Draw(t, "rank")) {
					went = append(went, now)
				}
			}
		}
		require.LessOrEqual(t, busiest(went), mostIn(most))
	})
}

// Guards against a limit whose room is left unused.
func TestLimiterLetsThroughWhatTheLimitAllows(t *testing.T) {
	for _, perSecond := range []float64{0.2, 1, 5, 50} {
		g := limited(perSecond)
		went := 0
		const seconds = 60
		for n := range seconds * 100 {
			if g.Take(at(float64(n)/100), 1, 0) {
				went++
			}
		}
		require.InDelta(t, perSecond*seconds, went, 2)
	}
}

// Guards against a burst at the moment in which a limit becomes known, when the upstream may just have got many.
func TestFreshLimitAllowsNothingAtOnce(t *testing.T) {
	g := limited(2)
	require.False(t, g.Take(start, 1, 0))
	require.Equal(t, 500*time.Millisecond, g.RetryAfter(start, 1, 0))
	require.True(t, g.Take(at(0.5), 1, 0))
	require.False(t, g.Take(at(0.6), 1, 0))
	require.Zero(t, g.RetryAfter(at(0.6), 0, 0), "without a share nobody can tell")
	require.Equal(t, mostNext, limited(1e-9).RetryAfter(start, 1, 0))
}

// Guards against urgent requests that wait while others use what comes free.
func TestLessUrgentRequestsYield(t *testing.T) {
	g := limited(1)
	require.False(t, g.Take(at(0.5), 1, 1), "turned away")
	require.False(t, g.Take(at(1), 1, 2), "yields to it")
	require.Equal(t, 1500*time.Millisecond, g.RetryAfter(at(1), 1, 2))
	require.Equal(t, time.Millisecond, g.RetryAfter(at(1), 1, 1))
	require.True(t, g.Take(at(1.1), 1, 1), "it came back")
	require.False(t, g.Take(at(2.2), 1, 2))
	require.True(t, g.Take(at(2.6), 1, 2), "no more urgent one came back")
}

// Guards against an answer that was given before the limit was named and lifts it since it arrives after that.
func TestOldAnswersLiftNoLimit(t *testing.T) {
	g := NewLimiter()
	before := g.State().Mark
	require.True(t, g.Observe(start, NamedLimit{PerSecond: 3, KnownMark: before}))
	require.False(t, g.Observe(start, NamedLimit{KnownMark: before}), "let go before, answered before")
	require.False(t, g.Observe(start, NamedLimit{PerSecond: 9, KnownMark: before}))
	require.True(t, g.Observe(start, NamedLimit{PerSecond: 1, KnownMark: before}), "stricter, so it is taken")
	now := g.State().Mark
	require.False(t, g.Observe(start, NamedLimit{PerSecond: 1, KnownMark: now}))
	require.True(t, g.Observe(start, NamedLimit{PerSecond: 2, KnownMark: now}))
	require.True(t, g.Observe(start, NamedLimit{KnownMark: g.State().Mark}), "let go after it was named, and names none")
	require.True(t, g.Take(start, 1, 9))
}

// Guards against a process that counts and has just started, which lets all through until it hears of the limit itself.
func TestProcessThatStartsIsToldOfTheLimit(t *testing.T) {
	old, anew := limited(1), NewLimiter()
	var router Limiter
	require.True(t, router.Adopt(start, old.State()))
	require.True(t, anew.ObserveReported(start, router.State()))
	require.False(t, anew.Take(start, 1, 0))
	router.Adopt(start, anew.State())
	require.True(t, anew.Observe(start, NamedLimit{KnownMark: anew.State().Mark}))
	require.False(t, anew.ObserveReported(start, router.State()), "its own word, told before the limit ended")
	require.True(t, router.Adopt(start, anew.State()))
	require.False(t, router.Limited())
}

// Guards against a router's own marks that pass for those of the process that counts.
func TestOwnMarksOfRouters(t *testing.T) {
	counts := limited(1)
	var router Limiter
	router.Adopt(start, counts.State())
	early := counts.State()
	require.True(t, router.ObserveLocal(start, NamedLimit{PerSecond: 2, KnownMark: router.State().Mark}))
	require.Zero(t, router.State().Mark.Source)
	require.False(t, counts.Observe(start, NamedLimit{KnownMark: router.State().Mark}), "the process that counts does not know the mark")
	counts.Observe(start, NamedLimit{PerSecond: 3, KnownMark: counts.State().Mark})
	require.True(t, router.Adopt(start, counts.State()))
	require.False(t, router.Adopt(start, early), "told late")
	require.Equal(t, 3.0, router.State().PerSecond)
}

// Guards against routers whose shares, with what they may send at once, pass the bound, however many
// there are and while some start anew.
func TestSharesKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.2, 1, 5, 20, 50}).Draw(t, "limit")
		routers := rapid.SampledFrom([]int{1, 2, 3, 4, 12, 100, 330}).Draw(t, "routers")
		limiters := make([]*Limiter, routers)
		listed := make([]time.Time, routers)
		for i := range limiters {
			limiters[i] = limited(perSecond)
			listed[i] = start.Add(-time.Hour)
		}
		var went []time.Time
		for n := range 1200 {
			now := at(float64(n) / 100)
			if n > 0 && n%int(span.Seconds()*100) == 0 {
				i := rapid.IntRange(0, routers-1).Draw(t, "restarts")
				limiters[i], listed[i] = limited(perSecond), now
			}
			for i, g := range limiters {
				if g.Take(now, Share(i, routers, now.Sub(listed[i]), perSecond), 0) {
					went = append(went, now)
				}
			}
		}
		require.LessOrEqual(t, busiest(went), mostIn(perSecond))
	})
}

func TestShares(t *testing.T) {
	require.Zero(t, Share(0, 4, shareAfter-1, 1), "an earlier life may just have used it")
	require.Zero(t, Share(-1, 4, time.Hour, 1), "not listed")
	require.Equal(t, 1.0, Share(0, 1, time.Hour, 1))
	require.Zero(t, Share(99, 100, time.Hour, 1))
	for _, perSecond := range []float64{0.2, 1, 7.5, 50, 1e300, math.MaxFloat64} {
		for _, routers := range []int{1, 3, 40, 330} {
			sum := 0.0
			for place := range routers {
				sum += Share(place, routers, time.Hour, perSecond)
			}
			require.InDelta(t, 1, sum, 1e-9)
		}
	}
}
