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
