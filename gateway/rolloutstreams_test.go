package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that end for good since their version was rolled back, while operators still see the roll-out in progress:
// the store takes a moment to hold the end.
func TestStreamOfANewVersionUntilTheStoreHoldsTheEnd(t *testing.T) {
	withVersions(t, 2, []string{"v1", "v2"}, func(f *fleet, _ []*versionedEngine) {
		const duration = 4 * time.Second
		ordered := time.Now()
		require.NoError(t, f.store.OrderRollout("model", "v2", duration))
		time.Sleep(500 * time.Millisecond)
		var c *streamCaller
		for n := 0; c == nil || c.versions[0] != "v2"; n++ {
			c = &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
			require.Equal(t, http.StatusOK, c.attempt(1, 1).status)
		}
		require.Less(t, time.Since(ordered), duration-200*time.Millisecond, "a stream begins at the new version in time")
		time.Sleep(time.Until(ordered.Add(duration - 100*time.Millisecond)))
		f.store.SetUnresponsive(true)
		for time.Since(ordered) < duration+600*time.Millisecond {
			require.Equal(t, http.StatusOK, c.attempt(2, 1).status, "%v after the order", time.Since(ordered))
			time.Sleep(50 * time.Millisecond)
		}
		require.Contains(t, f.log.String(), `"state":"rolled_back","share":0`)
		f.store.SetUnresponsive(false)
		time.Sleep(2 * time.Second)
		state, _, err := f.store.RolloutStatus("model")
		require.NoError(t, err)
		require.Equal(t, "rolled_back", state)
		require.Equal(t, http.StatusServiceUnavailable, c.attempt(2, 1).status)
	})
}
