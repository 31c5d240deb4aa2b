package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a silent lender that every caller with a short deadline waits for.
func TestShortDeadlinesFindAnotherEngine(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		f.upstream("i-1", "model", 5)
		f.upstream("i-2", "model", 5)
		_, kill := f.startLender(firstLender, "i-1")
		f.startLender(firstLender+1, "i-2")
		f.startVM(1)
		time.Sleep(4 * time.Second)
		f.registerCold("i-1", "model", time.Minute)
		f.registerCold("i-2", "model", time.Minute)
		f.settle()
		kill()
		answered := 0
		for n := range 20 {
			short := chat("s-" + string(rune('a'+n)))
			short.deadline = 38 * time.Millisecond
			r := f.send(short)
			if r.status == 200 {
				answered++
			}

			time.Sleep(300 * time.Millisecond)
		}

		require.Greater(t, answered, 15)
	})
}
