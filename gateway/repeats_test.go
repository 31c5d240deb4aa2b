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

// Two routers are stopped as planned and started anew, one after the other, again and again, while a
// service fails everything. In no ten seconds do the lives together repeat more than the bound allows.
func TestRollingRestartsKeepTheBoundOnRepeats(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.startVM(1)
		f.startVM(2)
		time.Sleep(20 * time.Second)
		for _, u := range ups {
			u.SetMode(standin.Fail)
		}
		var repeats []time.Time
		const perLife = 30
		asked := 0
		for life := range 6 {
			vm := 1 + life%2
			for range perLife {
				asked++
				q := level(fmt.Sprint("r-", asked))
				q.vm = vm
				require.Equal(t, 500, f.ask(q).status)
				if ups[0].Runs(q.id)+ups[1].Runs(q.id) > 1 {
					repeats = append(repeats, time.Now())
				}
			}
			f.stopVM(vm)
			f.startVM(vm)
			f.settle()
		}
		for _, begin := range repeats {
			within := 0
			for _, at := range repeats {
				if !at.Before(begin) && at.Before(begin.Add(10*time.Second)) {
					within++
				}
			}
			// Three lives at most ask in ten seconds, since each stop takes three.
			require.LessOrEqual(t, float64(within), 0.2*3*perLife+50)
		}
		require.NotEmpty(t, repeats)
	})
}
