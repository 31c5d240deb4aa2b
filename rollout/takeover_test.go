package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against counts of routers that still run and that are given up when another process takes over: since the
// last record, up to a sixteenth of a long roll-out, they have counted more than it holds.
func TestCountsOfRunningRoutersOutliveTheDecider(t *testing.T) {
	now := time.Unix(5000, 0)
	first := newRestartDecider()
	for _, router := range []string{"a/1", "b/1", "c/1"} {
		first.Add(now, countsOf(router, 100, 10))
	}
	record := first.Observed(now, nil)
	next := newRestartDecider()
	next.Add(now, countsOf("a/1", 200, 20))
	next.Resume(now, record)
	for range 2 {
		for _, router := range []string{"a/1", "b/1", "c/1"} {
			next.Add(now, countsOf(router, 200, 20))
		}
	}
	next.Decide(now, []string{"a/1", "b/1", "c/1"})
	requireTotals(t, next, now, 660, 60)
}

// Guards against answers since another process took over that are dropped, since requests that had waited for a connection then are not
// counted as sent any more.
func TestAnswersCountAfterRequestsWithoutAConnection(t *testing.T) {
	earlier, later := Samples{Sent: 10, Answered: 5}, Samples{Sent: 8, Answered: 7, Failed: 2}
	require.Equal(t, Samples{Answered: 2, Failed: 2}, later.since(earlier))
	require.Equal(t, Samples{}, earlier.since(Samples{Sent: 10, Answered: 6}), "an older report")
}

// Guards against a good version of a service without requests that is rolled back since all routers restarted in the
// last quarter of the time: that no request came for the first three quarters was observed too.
func TestIdleServiceIsCompletedAfterAllRoutersRestarted(t *testing.T) {
	began, listed := time.Unix(5000, 0), []string{"a/1"}
	first := newRestartDecider()
	report := Report{Router: "a/1", Order: 7, OldUpstreams: 1, NewUpstreams: 1, Routes: map[string]RouteSamples{}}
	var record *Observed
	for at := 100 * time.Millisecond; at < 6500*time.Millisecond; at += 100 * time.Millisecond {
		now := began.Add(at)
		report.Age = at
		first.Add(now, report)
		first.Confirm(time.Time{})
		if first.Decide(now, listed).Record || record == nil {
			record = first.Observed(now, listed)
			first.RecordBegun(now)
		}
	}
	next, now := newRestartDecider(), began.Add(6600*time.Millisecond)
	for ; now.Before(began.Add(8100 * time.Millisecond)); now = now.Add(100 * time.Millisecond) {
		next.Add(now, Report{Router: "a/2", Order: 7, OldUpstreams: 1, NewUpstreams: 1, Finishing: next.finishing, Routes: map[string]RouteSamples{}})
		if !next.Confirmed() {
			next.Resume(now, record)
			next.Confirm(began)
		}
		out := next.Decide(now, []string{"a/2"})
		require.NotEqual(t, RolledBack, out.Directive.State, out.Reason)
		if out.Complete {
			return
		}
	}
	t.Fatal("not completed by the deadline")
}

// Guards against a time that was counted and is given up since the record holds no more requests than this process.
func TestCountedTimeOutlivesEqualSums(t *testing.T) {
	began := time.Unix(5000, 0)
	d, now := newRestartDecider(), began.Add(7*time.Second)
	counts := countsOf("a/1", 500, 50)
	counts.Age = 0
	d.Add(now, counts)
	d.Resume(now, &Observed{Elapsed: 6900 * time.Millisecond, Counted: 6900 * time.Millisecond, Fleet: 1, Routes: counts.Routes, Routers: []string{"a/1"}})
	require.GreaterOrEqual(t, d.countedTime(now), 6900*time.Millisecond)
}

// Guards against a roll-out that is completed at or after its deadline while routers that restarted with this one, and
// that it does not list yet, send to the previous version.
func TestRoutersThatAreNotListedYetAreWaitedForAtTheDeadline(t *testing.T) {
	began := time.Unix(5000, 0)
	for _, at := range []time.Duration{7900, 8100, 9000} {
		now := began.Add(at * time.Millisecond)
		d := newRestartDecider()
		counts := countsOf("a/1", 2500, 50)
		require.True(t, d.Resume(now, &Observed{Elapsed: 7 * time.Second, Counted: 7 * time.Second, Fleet: 30, Routes: counts.Routes}))
		d.Confirm(began)
		d.Add(now, Report{Router: "a/2", Order: 7, OldUpstreams: 1, NewUpstreams: 1, Finishing: true})
		require.False(t, d.Decide(now, []string{"a/2"}).Complete, "1 of 30 routers, at %v ms", int(at))
	}
}

// Guards against a good version of which almost all of the time was counted, and that is rolled back since the routers
// were down after the deadline.
func TestTimeAfterTheDeadlineNeedsNoCounts(t *testing.T) {
	began := time.Unix(5000, 0)
	now := began.Add(40 * time.Second)
	d := newRestartDecider()
	counts := countsOf("a/1", 2500, 50)
	require.True(t, d.Resume(now, &Observed{Elapsed: 7 * time.Second, Counted: 7 * time.Second, Fleet: 1, Routes: counts.Routes}))
	d.Confirm(began)
	d.Add(now, Report{Router: "a/2", Order: 7, OldUpstreams: 1, NewUpstreams: 1})
	require.Equal(t, InProgress, d.Decide(now, []string{"a/2"}).Directive.State)
}
