package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against retries beyond the limit while a router is disconnected from the store. After two minutes
// its entry has expired and the other router counts itself alone, while the disconnected one goes on with
// its half. When a service then fails all requests, the two send 97 retries for 120 requests, where 74 are
// allowed:
//
//	"vm":"router-1" "event":"repeat" "allowed":true "part":25 "routers":2
//	"vm":"router-2" "event":"repeat" "allowed":true "part":50 "routers":1
//
// A router whose entry may not be visible to others must not use a share of the fixed number.
func TestFixedRetryAllowanceIsIssuedOnce(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.startVM(1)
		f.startVM(2)
		time.Sleep(20 * time.Second)
		f.disconnectFromStore(1)
		time.Sleep(2 * time.Minute)
		for _, u := range ups {
			u.SetMode(standin.Fail)
		}
		const requests = 120
		for i := range requests {
			req := level(fmt.Sprint("r-", i))
			req.vm = 1 + i%2
			require.Equal(t, 500, f.send(req).status)
		}
		retries := len(ups[0].Requests()) + len(ups[1].Requests()) - requests
		require.LessOrEqual(t, float64(retries), 0.2*requests+50)
	})
}

// Guards against retries beyond the limit when two routers are restarted as planned, one after the
// other, repeatedly, while a service fails all requests. In any ten seconds, all incarnations together
// must stay within the limit.
func TestRollingRestartsKeepTheRetryLimit(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.startVM(1)
		f.startVM(2)
		time.Sleep(20 * time.Second)
		for _, u := range ups {
			u.SetMode(standin.Fail)
		}
		var retries []time.Time
		const perIncarnation = 30
		sent := 0
		for n := range 6 {
			vm := 1 + n%2
			for range perIncarnation {
				sent++
				req := level(fmt.Sprint("r-", sent))
				req.vm = vm
				require.Equal(t, 500, f.send(req).status)
				if ups[0].Runs(req.id)+ups[1].Runs(req.id) > 1 {
					retries = append(retries, time.Now())
				}
			}
			f.stopVM(vm)
			f.startVM(vm)
			f.settle()
		}
		for _, begin := range retries {
			within := 0
			for _, at := range retries {
				if !at.Before(begin) && at.Before(begin.Add(10*time.Second)) {
					within++
				}
			}
			// At most three incarnations send in ten seconds, since each stop takes three.
			require.LessOrEqual(t, float64(within), 0.2*3*perIncarnation+50)
		}
		require.NotEmpty(t, retries)
	})
}
