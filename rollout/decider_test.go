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
