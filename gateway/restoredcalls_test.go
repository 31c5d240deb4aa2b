package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callsInRestoredFleet returns how many calls of the store a fleet of n routers and n lenders makes in some seconds at rest, and in as
// many after a restoration.
func callsInRestoredFleet(t *testing.T, n int) (atRest, restored int64) {
	const span = 12 * time.Second // longer than the time between two renewals of a lease
	withFleet(t, func(f *fleet) {
		f.putConfig(restoredBudget, "k1")
		f.upstream("i-1", "model", 5)
		for i := range n {
			f.startLender(100+i, "")
		}
		for i := range n {
			f.startVM(1 + i)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 200, f.send(chat("c")).status)
		older := f.store.Copy()
		time.Sleep(10 * time.Second)
		calls := func() int64 {
			c := f.store.Calls()
			return c.Reads + c.Writes
		}
		before := calls()
		time.Sleep(span)
		atRest = calls() - before
		before = calls()
		f.store.Restore(older)
		f.putConfig(restoredBudget, "k1")
		time.Sleep(span)
		restored = calls() - before
	})
	return atRest, restored
}

// Guards against calls of the store after a restoration that grow faster than the fleet.
func TestCallsAfterARestorationGrowWithTheFleetOnly(t *testing.T) {
	perProcess := func(n int) float64 {
		atRest, restored := callsInRestoredFleet(t, n)
		t.Logf("%d processes: %d calls at rest, %d after a restoration", 2*n, atRest, restored)
		return float64(restored-atRest) / float64(2*n)
	}
	small, large := perProcess(4), perProcess(16)
	require.LessOrEqual(t, large, small)
}
