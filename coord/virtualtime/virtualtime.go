// Package virtualtime runs tests in virtual time: a second of a test's clock takes no real
// time, and passes only when all goroutines of the test wait.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble. Tests call it instead of synctest.Test.
//
// Where the race detector cannot follow timers of one bubble on several threads, the bubble
// gets one thread. The detector still finds races there, since it goes by the order that
// synchronization gives and not by what ran at the same moment. The setting holds for the
// whole process, so parallel tests must not call Test.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if oneTimerContext {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
