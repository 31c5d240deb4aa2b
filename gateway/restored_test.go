package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// drainBound is the time after which an upstream that leaves must get no requests.
const drainBound = 2 * time.Second

// Guards against requests to an upstream that leaves after the store was restored from an older copy: routers
// took no change until the store's revision had passed where it was, or for good.
func TestUpstreamThatLeavesAfterTheStoreWasRestored(t *testing.T) {
	for _, rewritten := range []int{0, 3, 20} {
		for _, absence := range []time.Duration{0, 1200 * time.Millisecond, 2500 * time.Millisecond} {
			for _, lenders := range []int{0, 2} {
				t.Run(fmt.Sprintf("%d rewritten, away for %s, %d lenders", rewritten, absence, lenders), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						f.putConfig(0, "k1")
						leaves := f.upstream("i-1", "plain", 0)
						f.upstream("i-2", "plain", 0)
						for n := range lenders {
							f.startLender(firstLender+n, "")
						}
						f.startVM(2)
						f.start()
						older := f.store.Copy()
						for range 12 {
							f.putConfig(0, "k1")
						}
						f.settle()
						if absence > 0 {
							f.store.SetUnresponsive(true)
							time.Sleep(absence)
						}
						f.store.Restore(older)
						for range rewritten {
							f.putConfig(0, "k1")
						}
						f.store.SetUnresponsive(false)
						f.register("i-1", "plain", "draining")
						f.putConfig(0, "k1")
						time.Sleep(drainBound)
						before := len(leaves.Requests())
						for n := range 20 {
							req := level("r")
							req.vm = 1 + n%2
							assert.Equal(t, 200, f.send(req).status)
						}
						assert.Len(t, leaves.Requests(), before)
					})
				})
			}
		}
	}
}

// Guards against an older configuration at a router that starts right after a restoration of the store, before operators have written
// theirs again: the other routers have the newest one.
func TestRouterThatStartsAfterARestorationHasTheNewestConfiguration(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1", "k2")
		f.upstream("i-1", "plain", 0)
		f.start()
		older := f.store.Copy()
		f.putConfig(0, "k1")
		f.settle()
		f.store.Restore(older)
		f.startVM(2)
		time.Sleep(time.Second)
		for vm := 1; vm <= 2; vm++ {
			req := level("r")
			req.vm, req.key = vm, "k2"
			assert.Equal(t, 401, f.send(req).status, "the key was removed, router %d", vm)
		}
	})
}
