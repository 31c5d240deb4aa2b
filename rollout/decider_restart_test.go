package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a decider that has received no reports and orders all requests to the new version: routers
// restart, two of them decide for a moment, and the one without reports is in the last part of the time. The
// next router that reports to it would move everything to a version that nobody has tested.
func TestDeciderWithoutReportsMovesNothing(t *testing.T) {
	began := time.Unix(5000, 0)
	d := newRestartDecider()
	d.Confirm(began)
	out := d.Decide(began.Add(7400*time.Millisecond), []string{"a", "b"})
	require.Equal(t, InProgress, out.Directive.State)
	require.False(t, out.Directive.Finish, "nothing is known of the version")
}

// Guards against a rate of requests that is taken for too low after all routers have restarted: their counts
// begin anew, but the time of the order stays. 400 requests a second were recorded for 6.5 s and counted for
// the next half a second, so another half a second has 200 more, and a tenth of all 3,200 is allowed.
func TestRateAfterAllRoutersRestarted(t *testing.T) {
	began := time.Unix(5000, 0)
	d := newRestartDecider()
	require.True(t, d.Resume(began.Add(6500*time.Millisecond), &Observed{Elapsed: 6500 * time.Millisecond, Routers: []string{"a/1"},
		Routes: map[string]RouteSamples{"plan": {Old: Samples{Sent: 2600, Answered: 2600}}}}))
	d.Confirm(began)
	d.Add(began.Add(6500*time.Millisecond), Report{Router: "a", Order: 7, OldUpstreams: 1, NewUpstreams: 1, Routes: map[string]RouteSamples{}})
	now := began.Add(7 * time.Second)
	d.Add(now, Report{Router: "a", Order: 7, OldUpstreams: 1, NewUpstreams: 1,
		Routes: map[string]RouteSamples{"plan": {Old: Samples{Sent: 200, Answered: 200}}}})
	sum := d.demand(now)
	require.InDelta(t, 200, sum.expected(sum.sent, 500*time.Millisecond), 20)
	require.InDelta(t, allowanceUse*(0.1*3200+25), sum.allowance(simLimits), 40)
}

func newRestartDecider() *Decider {
	return &Decider{Order: Order{Revision: 7, Duration: 8 * time.Second}, Limits: simLimits}
}

// countsOf returns the report of a router that has sent some requests to each version, all answered at once.
func countsOf(router string, old, toNew int) Report {
	s := RouteSamples{Old: Samples{Sent: old, Answered: old}, New: map[string]Samples{"u": {Sent: toNew, Answered: toNew}}}
	s.Old.Slowness[0] = old
	s.New["u"] = Samples{Sent: toNew, Answered: toNew, Slowness: [slownessClasses]int{toNew}}
	return Report{Router: router, Order: 7, Age: time.Second, OldUpstreams: 1, NewUpstreams: 1, Routes: map[string]RouteSamples{"plan": s}}
}

func requireTotals(t *testing.T, d *Decider, now time.Time, sent, sentToNew int) {
	t.Helper()
	sum := d.demand(now)
	require.Equal(t, []int{sent, sentToNew}, []int{sum.sent, sum.sentToNew})
}

// Guards against requests that count twice, or not at all, after another process has taken over: routers that
// survive report all their counts, and most of these are in the record.
func TestReplacedDeciderCountsNothingTwice(t *testing.T) {
	now := time.Unix(5000, 0)
	first := newRestartDecider()
	for _, router := range []string{"a/1", "b/1", "c/1"} {
		first.Add(now, countsOf(router, 100, 10))
	}
	next := newRestartDecider()
	next.Add(now, countsOf("a/1", 104, 11))
	require.True(t, next.Resume(now, first.Observed(now, nil)))
	requireTotals(t, next, now, 330, 30)
	next.Add(now, countsOf("a/1", 110, 12)) // the baseline
	next.Add(now, countsOf("b/1", 100, 10))
	requireTotals(t, next, now, 330, 30)
	next.Add(now, countsOf("a/1", 117, 14))
	requireTotals(t, next, now, 339, 32)
	next.Add(now, countsOf("a/1", 110, 12)) // an earlier report that arrives later
	requireTotals(t, next, now, 330, 30)
	next.Add(now, countsOf("c/2", 5, 1)) // restarted
	requireTotals(t, next, now, 336, 31)
	last := newRestartDecider()
	require.True(t, last.Resume(now, next.Observed(now, nil)))
	for _, router := range []string{"a/1", "b/1", "c/1", "c/2"} {
		last.Add(now, countsOf(router, 200, 20))
	}
	requireTotals(t, last, now, 336, 31)
}

// Guards against a decider that gives up what it has counted for a record of another one that counts less.
func TestRecordThatCountsLessIsNotResumed(t *testing.T) {
	now := time.Unix(5000, 0)
	d, other := newRestartDecider(), newRestartDecider()
	d.Add(now, countsOf("a/1", 100, 10))
	d.Add(now, countsOf("b/1", 100, 10))
	other.Add(now, countsOf("b/1", 90, 9))
	require.False(t, d.Resume(now, other.Observed(now, nil)))
	require.False(t, d.Resume(now, nil), "a process that records nothing wrote it")
	requireTotals(t, d, now, 220, 20)
}

// Guards against a version that is moved to, or rolled back for too few answers, by a process to which few routers
// report: after restarts several decide for a moment.
func TestFewRoutersProveNothing(t *testing.T) {
	began := time.Unix(5000, 0)
	routers := []string{"a", "b", "c", "d"}
	near, deadline := began.Add(7800*time.Millisecond), began.Add(8100*time.Millisecond)
	d := newRestartDecider()
	d.Confirm(began)
	report := countsOf("a", 500, 10)
	report.Age = 7800 * time.Millisecond
	d.Add(near, report)
	out := d.Decide(near, routers)
	require.Empty(t, out.Directive.Moved)
	require.False(t, out.Directive.Finish || out.Complete || out.Record)
	d.Add(near, countsOf("b", 500, 10))
	out = d.Decide(near, routers)
	require.Equal(t, []string{"plan"}, out.Directive.Moved)
	require.True(t, out.Directive.Finish)

	d = newRestartDecider()
	d.Confirm(began)
	report = countsOf("a", 100, 1)
	report.Age = 8100 * time.Millisecond
	d.Add(deadline, report)
	require.Equal(t, InProgress, d.Decide(deadline, routers).Directive.State)
	d.Add(deadline, countsOf("b", 100, 1))
	require.Equal(t, RolledBack, d.Decide(deadline, routers).Directive.State)
}

// Guards against a roll-out that is completed while most routers still send to the previous version: they have all
// restarted, and the one that decides lists few of them yet.
func TestRoutersThatAreNotListedYetAreWaitedFor(t *testing.T) {
	began := time.Unix(5000, 0)
	now := began.Add(7500 * time.Millisecond)
	listed := []string{"a/2", "b/2", "c/2", "d/2"}
	decide := func(fleet int) Decision {
		d := newRestartDecider()
		counts := countsOf("a/1", 2500, 50)
		require.True(t, d.Resume(now, &Observed{Elapsed: 7 * time.Second, Counted: 7 * time.Second, Fleet: fleet, Routes: counts.Routes}))
		d.Confirm(began)
		for _, router := range listed {
			d.Add(now, Report{Router: router, Order: 7, OldUpstreams: 1, NewUpstreams: 1, Finishing: true})
		}
		return d.Decide(now, listed)
	}
	require.True(t, decide(4).Complete)
	half := decide(7)
	require.False(t, half.Complete)
	require.Equal(t, 3, half.Waiting)
	few := decide(30)
	require.False(t, few.Complete)
	require.Equal(t, 26, few.Waiting)
}

// Guards against a good version that is rolled back since the times of a moved route, which gets empty caches, are
// compared again by a process that has taken over.
func TestMovedRoutesAreKnownToTheNextDecider(t *testing.T) {
	now := time.Unix(5000, 0)
	first := newRestartDecider()
	first.Add(now, countsOf("a/1", 100, 10))
	first.recordMoved([]string{"plan"})
	fromRecord, fromReport := newRestartDecider(), newRestartDecider()
	fromRecord.Resume(now, first.Observed(now, nil))
	fromReport.Add(now, Report{Router: "a/1", Order: 7, Moved: []string{"plan"}})
	require.True(t, fromRecord.moved["plan"])
	require.True(t, fromReport.moved["plan"])
}

// Guards against a record whose size grows with routes, upstreams or restarts, or that loses counts for it.
func TestSizeOfARecord(t *testing.T) {
	now := time.Unix(5000, 0)
	for routers, maxBytes := range map[int]int{30: 24 << 10, 384: 32 << 10, 768: 40 << 10, 2500: 72 << 10} {
		d := newRestartDecider()
		var listed []string
		for n := range routers {
			r := Report{Router: fmt.Sprintf("router-%04d/%08d", n, 1), Order: 7, Routes: map[string]RouteSamples{}}
			for route := range 20 {
				s := RouteSamples{Old: Samples{Sent: 100, Answered: 100}, New: map[string]Samples{}}
				for upstream := range 10 {
					s.New[fmt.Sprintf("upstream-%04d/%08d", upstream, 1)] = Samples{Sent: 10, Answered: 10, RanMS: 1000}
				}
				r.Routes[fmt.Sprintf("route-%04d", route)] = s
			}
			d.Add(now, r)
			listed = append(listed, r.Router)
		}
		o := d.Observed(now, listed)
		sent, sentToNew, answered := o.Totals()
		require.Equal(t, []int{routers * 20 * 200, routers * 20 * 100, routers * 20 * 100}, []int{sent, sentToNew, answered})
		b, err := json.Marshal(o)
		require.NoError(t, err)
		t.Logf("%d routers: %d bytes", routers, len(b))
		require.Less(t, len(b), maxBytes)
	}
}

// Guards against calls of the store that grow with the fleet, the requests or the duration of a roll-out.
func TestNumberOfRecords(t *testing.T) {
	for _, routers := range []int{30, 384} {
		for _, duration := range []time.Duration{2 * time.Second, 8 * time.Second, time.Hour} {
			began, records := time.Unix(5000, 0), 0
			d := &Decider{Order: Order{Revision: 7, Duration: duration}, Limits: simLimits}
			d.Confirm(began)
			listed := make([]string, routers)
			for n := range listed {
				listed[n] = fmt.Sprint("router-", n)
			}
			step := max(100*time.Millisecond, duration/200)
			for at := step; at < duration+time.Second; at += step {
				now := began.Add(at)
				for _, router := range listed {
					r := countsOf(router, int(at/step), 1)
					r.Age = at
					d.Add(now, r)
				}
				if d.Decide(now, listed).Record {
					d.RecordBegun(now)
					records++
				}
			}
			t.Logf("%d routers, %v: %d records", routers, duration, records)
			require.LessOrEqual(t, records, maxRecords)
			require.LessOrEqual(t, records, int(duration/minRecordInterval))
			require.GreaterOrEqual(t, records, min(maxRecords-2, int(duration/minRecordInterval)-2))
		}
	}
}
