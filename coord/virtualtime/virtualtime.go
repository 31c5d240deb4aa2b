// Package virtualtime runs tests in virtual time: the clock of a test takes no real time
// and advances only when all goroutines of the test are blocked.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble. Tests call it instead of synctest.Test.
//
// Where the race detector does not support timers of one bubble on several threads, the
// test runs with GOMAXPROCS 1. The detector still finds races, because it checks the order
// that synchronization establishes and not whether accesses overlap in time. GOMAXPROCS
// applies to the whole process, so parallel tests must not call Test.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if sharedTimerContext {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
