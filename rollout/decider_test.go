package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong clock of the process that wrote the record: with the order's time too early, all
// requests would move to the version before it is tested.
func TestRecordedTimeOfTheOrder(t *testing.T) {
	now := time.Unix(5000, 0)
	d := &Decider{Order: Order{Revision: 7, Duration: 12 * time.Second}, Limits: simLimits}
	require.True(t, d.Began().IsZero())
	d.Confirm(now.Add(-10 * time.Second))
	require.Equal(t, now.Add(-10*time.Second), d.Began(), "nothing else is known")
	d.Add(now, Report{Router: "a", Order: 7})
	require.Equal(t, now.Add(-10*time.Second), d.Began(), "this router started later")
	d.Add(now, Report{Router: "b", Order: 7, Age: 2 * time.Second})
	require.Equal(t, now.Add(-2*time.Second), d.Began())
	require.Equal(t, 2*time.Second, d.Decide(now, nil).Elapsed)
}

// Guards against a version that is completed although none of its upstreams exists, so that the previous ones stop: the service is
// idle, or the version or the service is unknown.
func TestVersionWithoutUpstreamsIsNotCompleted(t *testing.T) {
	began := time.Unix(5000, 0)
	for _, old := range []int{0, 3} {
		d := &Decider{Order: Order{Revision: 7, Duration: 8 * time.Second}, Limits: simLimits}
		d.Confirm(began)
		for elapsed := time.Duration(0); elapsed <= 8*time.Second; elapsed += 500 * time.Millisecond {
			now := began.Add(elapsed)
			d.Add(now, Report{Router: "a", Order: 7, Age: max(1, elapsed), OldUpstreams: old})
			decision := d.Decide(now, []string{"a"})
			require.False(t, decision.Complete || decision.Directive.Finish, "%d previous ones, after %v", old, elapsed)
			require.Equal(t, elapsed == 8*time.Second, decision.Directive.State == RolledBack)
		}
	}
}

// Guards against a short roll-out that is completed late: the route that moves first takes what the bound leaves for the last one,
// which moves at the deadline then.
func TestRouteThatMovesEarlyLeavesEnoughForTheLast(t *testing.T) {
	l := Limits{Share: 0.1, Slack: 50, Margin: 700 * time.Millisecond}
	earliest := map[string]time.Duration{}
	for left := 800 * time.Millisecond; left > 0; left -= 10 * time.Millisecond {
		d := &demand{elapsed: 3*time.Second - left, duration: 3 * time.Second, routes: map[string]evidence{}, mayInterrupt: map[string]bool{"level": true}}
		perMS := func(rate float64) int { return int(rate * float64(d.elapsed.Milliseconds())) }
		alert, level := perMS(0.267), perMS(0.133)
		d.routes["alert"] = evidence{old: Samples{Sent: alert, Answered: alert, RanMS: int64(10 * alert)}}
		d.routes["level"] = evidence{old: Samples{Sent: level, Answered: level, RanMS: int64(10 * level)}}
		d.sent, d.sentToNew = alert+level, 24
		for _, name := range d.moved(l) {
			earliest[name] = max(earliest[name], left)
			if name == "alert" {
				// From now on it gets this route's requests.
				require.LessOrEqual(t, d.expected(alert, left)+d.expected(level, min(left, 230*time.Millisecond)), d.allowance(l)-24)
			}
		}
	}
	require.GreaterOrEqual(t, earliest["alert"], earliest["level"])
	require.GreaterOrEqual(t, earliest["level"], 200*time.Millisecond)
}
