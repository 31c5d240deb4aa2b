package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startWatches starts a fleet whose first reads of the members time out, since all processes read them at
// once, and returns the number of watch calls of the store that all processes make.
func startWatches(t *testing.T, routers int) (calls int64) {
	withFleet(t, func(f *fleet) {
		const (
			busy     = 2 * time.Second
			observed = 12 * time.Second
		)
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.store.SetUnresponsive(true)
		for vm := 1; vm <= routers; vm++ {
			f.startVM(vm)
		}
		time.Sleep(busy)
		f.store.SetUnresponsive(false)
		time.Sleep(observed)
		calls = f.store.Calls().Watches
	})
	return calls
}

// Guards against watch calls that grow with the processes when a whole fleet starts: processes that found no
// relay followed the store themselves, and went on after they had found one.
func TestWatchCallsOfAStartDoNotGrowWithTheFleet(t *testing.T) {
	small, large := startWatches(t, 10), startWatches(t, 40)
	t.Logf("%d calls of 10 routers, %d of 40", small, large)
	require.Less(t, large, 2*small, "four times the routers have the same number of relays")
}
