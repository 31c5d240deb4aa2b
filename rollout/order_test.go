package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var orderStart = time.Unix(9000, 0)

// confirmedDecider returns a decider that took over: the store holds it, and it has no report.
func confirmedDecider() *Decider {
	d := &Decider{Order: Order{Revision: 7, Duration: 8 * time.Second}, Limits: simLimits}
	d.Confirm(orderStart)
	return d
}

// Guards against a router that takes over and moves all requests to a version of which it has no answer: its only
// report is of a router that has just started.
func TestDeciderWithoutAnswersDoesNotMoveRequests(t *testing.T) {
	for name, reports := range map[string]int{"no report": 0, "reports without requests": 5} {
		for _, at := range []time.Duration{4 * time.Second, 7200 * time.Millisecond, 7400 * time.Millisecond, 8 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(name, " at ", at), func(t *testing.T) {
				d, now := confirmedDecider(), orderStart.Add(at)
				var ids []string
				for n := range 5 {
					ids = append(ids, fmt.Sprint("r", n))
					if n < reports {
						d.Add(now, Report{Router: ids[n], Order: 7, OldUpstreams: 6, NewUpstreams: 6, Routes: map[string]RouteSamples{}})
					}
				}
				got := d.Decide(now, ids)
				require.False(t, got.Directive.Finish, "state %v complete %v requests %d", got.Directive.State, got.Complete, got.Sent)
			})
		}
	}
}
