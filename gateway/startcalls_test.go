package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startCalls starts a fleet whose processes register one after the other, the lenders some seconds after
// the routers, and returns the calls of the store that each process made on average.
func startCalls(t *testing.T, processes int) (perProcess float64) {
	withFleet(t, func(f *fleet) {
		const (
			registerInterval = 12 * time.Millisecond
			lendersAfter     = 3 * time.Second
			lenderVM         = 100
			observed         = 15 * time.Second
		)
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		began := f.store.Calls()
		for vm := 1; vm <= processes/2; vm++ {
			f.startVM(vm)
			time.Sleep(registerInterval)
		}
		time.Sleep(lendersAfter)
		for n := range processes / 2 {
			stop, _ := f.startLender(lenderVM+n, "")
			f.stopFuncs = append(f.stopFuncs, stop)
			time.Sleep(registerInterval)
		}
		time.Sleep(observed)
		ended := f.store.Calls()
		calls := ended.Reads + ended.Writes + ended.Watches - began.Reads - began.Writes - began.Watches
		perProcess = float64(calls) / float64(processes)
	})
	return perProcess
}

// Guards against calls of the store that grow faster than the fleet when all its processes start: many of
// them followed the store themselves, since the list of members from which they chose relays was still short.
func TestStoreCallsOfAStartGrowWithTheFleet(t *testing.T) {
	small, large := startCalls(t, 8), startCalls(t, 24)
	t.Logf("%.1f calls a process of 8, %.1f of 24", small, large)
	require.LessOrEqual(t, large, small)
}
