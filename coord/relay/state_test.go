package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late change whose way cannot be told from the logs: the state names the source of the
// last answer, how long it had had the change, and how much longer than asked the answer took.
func TestStateShowsWhereAChangeCameFrom(t *testing.T) {
	withCluster(t, 1, 1, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.put("a", "1")
		time.Sleep(watchDelay)
		s := tc.followers[0].State()
		require.Equal(t, "relay-0", s.Source)
		require.Zero(t, s.Held, "the answer left at once")
		tc.hubConns[0][0].disconnected.Store(true)
		tc.put("a", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "own", tc.followers[0].State().Source)
	})
}

// Guards against answers that grow by a field that says nothing, and against a copy that counts as confirmed while the store's answer was on its
// way.
func TestLagIsStatedOnlyWhenTheStoreIsSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	for took, stated := range map[time.Duration]time.Duration{0: 0, maxUnstatedLag: 0, time.Second: time.Second} {
		f := &feed{now: func() time.Time { return now }, staleAfter: time.Minute, overdueAfter: time.Minute, notify: func() {}}
		f.Reset(nil)
		f.complete(5, now.Add(-took))
		u, _ := f.since(Position{Prefix: keys, After: 5})
		require.Equal(t, stated, u.Lag)
		require.GreaterOrEqual(t, u.lag(), took)
	}
}
