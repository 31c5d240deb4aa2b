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

// maxTransit is the longest time that an attempt takes to arrive in these tests.
const maxTransit = time.Second

var start = time.Unix(1000, 0)

// service records the traffic that several processes send to a service.
type service struct {
	// requests are the times of callers' requests, retries the arrival times of retries.
	requests, retries []time.Time
}

// countInWindow counts the sorted times in the window that starts at begin, inclusive.
func countInWindow(times []time.Time, begin time.Time, window time.Duration) float64 {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, begin.Add(window), time.Time.Compare)
	return float64(end - first)
}

// requireWithinRule checks the limit of Rule in each window that starts with the arrival of a
// retry. The requests are those of that window, of the one before it, or of the one that starts
// half a window before it, whichever has most.
func (s *service) requireWithinRule(t require.TestingT, r retrybudget.Rule) {
	for _, begin := range s.retries {
		requests := max(countInWindow(s.requests, begin, r.Window), countInWindow(s.requests, begin.Add(-r.Window), r.Window),
			countInWindow(s.requests, begin.Add(-r.Window/2), r.Window))
		retries := countInWindow(s.retries, begin, r.Window)
		require.LessOrEqual(t, retries, r.Ratio*requests+r.Extra, "from %s, for %v requests", begin.Sub(start), requests)
	}
}

// sendFailing sends a request that fails, and retries it as long as that is allowed.
func (s *service) sendFailing(now time.Time, b *retrybudget.Budget, r retrybudget.Rule, share retrybudget.Share) {
	s.requests = append(s.requests, now)
	b.RecordRequest(now, r)
	for b.TryRetry(now, r, share).Allowed {
		s.retries = append(s.retries, now)
	}
}

// Guards against more retries than the rule allows in any window. Four processes send to a service
// that fails at times; callers move between them, processes are killed and restart, and attempts
// arrive up to a second later.
func TestRetriesStayWithinRule(t *testing.T) {
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
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			for end := now.Add(time.Duration(rapid.IntRange(500, 6000).Draw(t, "for_ms")) * time.Millisecond); now.Before(end); {
				now = now.Add(time.Duration(pause) * time.Millisecond)
				i := busy
				if rng.IntN(4) == 0 {
					i = rng.IntN(processes)
				}
				s.requests = append(s.requests, now)
				budgets[i].RecordRequest(now, rule)
				for fails && budgets[i].TryRetry(now, rule, share[i]).Allowed {
					s.retries = append(s.retries, now.Add(time.Duration(rng.Int64N(int64(maxTransit)))))
				}
			}
		}
		slices.SortFunc(s.retries, time.Time.Compare)
		s.requireWithinRule(t, rule)
	})
}

// Guards against an allowance that is renewed up to a second early when a service fails all
// requests. Counting in ten slices of a second, including the current one, covers only nine to ten
// seconds of a ten-second window: a router of a fleet of 30 allowed its 16th retry when it counted
// 12 of 12.3, and the fleet sent 822 retries for 3,492 requests, where 798 were allowed.
func TestAllowanceIsNotRenewedEarly(t *testing.T) {
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
			s.sendFailing(now, &b, rule, share)
		}
		s.requireWithinRule(t, rule)
	}
}

// Guards against renewing Extra with each restart while a service fails all requests: what an
// earlier incarnation sent in the window is unknown, so if each one started with its whole share,
// three restarts in a window would grant it four times.
func TestRestartDoesNotRenewExtra(t *testing.T) {
	const processes = 4
	var s service
	for incarnation := range 4 {
		began := start.Add(time.Duration(incarnation) * 2 * time.Second)
		for range processes {
			var b retrybudget.Budget
			for at := began; at.Before(began.Add(2 * time.Second)); at = at.Add(200 * time.Millisecond) {
				s.sendFailing(at, &b, rule, retrybudget.Share{Processes: processes, Since: began})
			}
		}
	}
	s.requireWithinRule(t, rule)
}

// Guards against losing the history of retries when operators change the window while a service
// fails. Reinterpreting the slices of the old window with the new one made retries look older than
// they were, and 200 passed where 100 were allowed; each retry counts by its own time.
func TestWindowChangeKeepsHistory(t *testing.T) {
	for _, window := range []time.Duration{3 * time.Second, 5 * time.Second, 20 * time.Second} {
		changed := rule
		changed.Window = window
		var b retrybudget.Budget
		var s service
		share := retrybudget.Share{Processes: 1, Since: start.Add(-time.Hour)}
		for at := time.Duration(0); at < 15*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			if at < 8*time.Second {
				s.sendFailing(now, &b, rule, share)
			} else {
				s.sendFailing(now, &b, changed, share)
			}
		}
		shorter := rule
		shorter.Window = min(rule.Window, window)
		s.requireWithinRule(t, shorter)
	}
}

// Guards against a service with few requests that gets no retries: a process may use its share of
// Extra.
func TestFewRequestsMayRetry(t *testing.T) {
	var b retrybudget.Budget
	share := retrybudget.Share{Processes: 4, Since: start.Add(-time.Hour)}
	b.RecordRequest(start, rule)
	for range 5 {
		require.True(t, b.TryRetry(start, rule, share).Allowed)
	}
	require.False(t, b.TryRetry(start, rule, share).Allowed)
	require.True(t, b.TryRetry(start.Add(11*time.Second), rule, share).Allowed)
}
