package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// A router is cut off from the store for two minutes, so that its entry ends and the other router counts
// itself alone, while the one that is cut off goes on with its half. Then a service fails everything, and the two
// together send 97 repeats for 120 requests, where 74 are allowed:
//
//	"vm":"router-1" "event":"repeat" "allowed":true "part":25 "routers":2
//	"vm":"router-2" "event":"repeat" "allowed":true "part":50 "routers":1
//
// A router whose entry others may not see has no part in the fixed number.
func TestFixedPartOfRepeatsIsGivenOutOnce(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.startVM(1)
		f.startVM(2)
		time.Sleep(20 * time.Second)
		f.cutOff(1)
		time.Sleep(2 * time.Minute)
		for _, u := range ups {
			u.SetMode(standin.Fail)
		}
		const requests = 120
		for i := range requests {
			q := level(fmt.Sprint("r-", i))
			q.vm = 1 + i%2
			require.Equal(t, 500, f.ask(q).status)
		}
		repeats := len(ups[0].Seen()) + len(ups[1].Seen()) - requests
		require.LessOrEqual(t, float64(repeats), 0.2*requests+50)
	})
}
