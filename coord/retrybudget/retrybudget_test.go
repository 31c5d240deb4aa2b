package retrybudget_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var rule = retrybudget.Rule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}

// travel is the longest way of a send to its upstream in these tests.
const travel = time.Second

var start = time.Unix(1000, 0)

// service is one that several processes send to.
type service struct {
	// requests are the callers' requests, repeats the arrivals beyond the first of each.
	requests, repeats []time.Time
}

// during counts sorted moments in the window that begins at a moment, its beginning included.
func during(moments []time.Time, begin time.Time, window time.Duration) float64 {
	first, _ := slices.BinarySearchFunc(moments, begin, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(moments, begin.Add(window), time.Time.Compare)
	return float64(end - first)
}

// requireWithinRule checks the bound as it is stated, in each window that begins with the
// arrival of a repeat. The requests are those of that window, of the one before it, or of the one
// that begins half a window before it, whichever has most.
func (s *service) requireWithinRule(t require.TestingT, r retrybudget.Rule) {
	for _, begin := range s.repeats {
		requests := max(during(s.requests, begin, r.Window), during(s.requests, begin.Add(-r.Window), r.Window),
			during(s.requests, begin.Add(-r.Window/2), r.Window))
		repeats := during(s.repeats, begin, r.Window)
		require.LessOrEqual(t, repeats, r.Ratio*requests+r.Extra, "from %s, for %v requests", begin.Sub(start), requests)
	}
}

// failing sends a request that fails, and again as long as that is allowed.
func (s *service) failing(now time.Time, b *retrybudget.Budget, r retrybudget.Rule, share retrybudget.Share) {
	s.requests = append(s.requests, now)
	b.RecordRequest(now, r)
	for b.TryRetry(now, r, share).Allowed {
		s.repeats = append(s.repeats, now)
	}
}

// Four processes send to a service, their callers move from one to the other, processes are
// killed and start anew, and the service fails for a while. Sends arrive up to a second later. The
// arrivals beyond the first of each request stay within the rule in every window.
func TestRepeatsStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		budgets := make([]retrybudget.Budget, processes)
		share := make([]retrybudget.Share, processes)
		for i := range share {
			share[i] = retrybudget.Share{Processes: processes, Since: start}
		}
		var s service
		now := start
		for range rapid.IntRange(3, 12).Draw(t, "phases") {
			pause := rapid.IntRange(2, 80).Draw(t, "pause_ms")
			busy := rapid.IntRange(0, processes-1).Draw(t, "busiest")
			fails := rapid.IntRange(0, 3).Draw(t, "fails") > 0
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, processes-1), 0, processes, rapid.ID).Draw(t, "killed") {
				budgets[i], share[i].Since = retrybudget.Budget{}, now
			}
			luck := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "luck"), 0))
			for end := now.Add(time.Duration(rapid.IntRange(500, 6000).Draw(t, "for_ms")) * time.Millisecond); now.Before(end); {
				now = now.Add(time.Duration(pause) * time.Millisecond)
				i := busy
				if luck.IntN(4) == 0 {
					i = luck.IntN(processes)
				}
				s.requests = append(s.requests, now)
				budgets[i].RecordRequest(now, rule)
				for fails && budgets[i].TryRetry(now, rule, share[i]).Allowed {
					s.repeats = append(s.repeats, now.Add(time.Duration(luck.Int64N(int64(travel)))))
				}
			}
		}
		slices.SortFunc(s.repeats, time.Time.Compare)
		s.requireWithinRule(t, rule)
	})
}

// A service fails everything from one moment on. A process used its allowance at once and got a
// part of it back up to a second early: it counted in ten slices of a second, the one that runs
// included, and so looked back nine to ten seconds of the ten. A router of a fleet of 30 let its
// 16th repeat through when it counted 12 of 12.3; the fleet sent 822 for 3,492 requests, where 798
// were allowed.
func TestAllowanceIsNotGivenBackEarly(t *testing.T) {
	const window = 10 * time.Second
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		var b retrybudget.Budget
		var s service
		share := retrybudget.Share{Processes: 1, Since: start.Add(-time.Hour)}
		for at := offset; at < 40*time.Second; at += 25 * time.Millisecond {
			now := start.Add(at)
			if at < 2*window {
				s.requests = append(s.requests, now)
				b.RecordRequest(now, rule)
				continue
			}
			s.failing(now, &b, rule, share)
		}
		s.requireWithinRule(t, rule)
	}
}

// A service fails everything, and the processes that send to it are killed again and again. Each
// life began with its whole share of the fixed part, so that three restarts in a window gave it
// out four times: what an earlier life sent in the window is known to nobody.
func TestRestartsGiveNothingOutAgain(t *testing.T) {
	const processes = 4
	var s service
	for life := range 4 {
		began := start.Add(time.Duration(life) * 2 * time.Second)
		for range processes {
			var b retrybudget.Budget
			for at := began; at.Before(began.Add(2 * time.Second)); at = at.Add(200 * time.Millisecond) {
				s.failing(at, &b, rule, retrybudget.Share{Processes: processes, Since: began})
			}
		}
	}
	s.requireWithinRule(t, rule)
}

// Operators change the window while a service fails. The slices of the old window got numbers of
// the new one, so that what had been sent seemed older than it was, and 200 repeats passed where
// 100 were allowed. What was sent counts by its time, whatever the window was then.
func TestChangedWindowForgetsNothing(t *testing.T) {
	for _, window := range []time.Duration{3 * time.Second, 5 * time.Second, 20 * time.Second} {
		changed := rule
		changed.Window = window
		var b retrybudget.Budget
		var s service
		share := retrybudget.Share{Processes: 1, Since: start.Add(-time.Hour)}
		for at := time.Duration(0); at < 15*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			if at < 8*time.Second {
				s.failing(now, &b, rule, share)
			} else {
				s.failing(now, &b, changed, share)
			}
		}
		shorter := rule
		shorter.Window = min(rule.Window, window)
		s.requireWithinRule(t, shorter)
	}
}

// A service with few requests may still repeat some, up to the process's share of the fixed part.
func TestFewRequestsMayStillRepeat(t *testing.T) {
	var b retrybudget.Budget
	share := retrybudget.Share{Processes: 4, Since: start.Add(-time.Hour)}
	b.RecordRequest(start, rule)
	for range 5 {
		require.True(t, b.TryRetry(start, rule, share).Allowed)
	}
	require.False(t, b.TryRetry(start, rule, share).Allowed)
	require.True(t, b.TryRetry(start.Add(11*time.Second), rule, share).Allowed)
}
