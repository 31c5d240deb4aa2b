package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// coldMaxPerSecond is the maximum of requests in any second to a cold engine of putColdConfig:
// 6.6 a second, half as many more, and five.
const coldMaxPerSecond = 14

// putColdConfig writes a configuration whose engines are cold for three seconds after a start.
func (f *fleet) putColdConfig(keys ...string) {
	f.template = strings.Replace(configTemplate, `{"name":"model",`, `{"name":"model","cold_start_s":3,"cold_per_s":6.6,`, 1)
	f.putConfig(0, keys...)
}

// flood requests many streams with distinct prompts within a second, through all routers, and
// returns the number that were served.
func (f *fleet) flood(routers, requests int) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		f.floodRequests++
		n := f.floodRequests
		wg.Go(func() {
			req := chat(fmt.Sprint("c-", n))
			req.vm, req.parts = 1+n%routers, fmt.Sprintf("own-%d:1000", n)
			resp := f.send(req)
			mu.Lock()
			defer mu.Unlock()
			if resp.status == 200 {
				served++
			} else {
				require.Contains(f.t, []int{429, 503}, resp.status)
				require.NotEmpty(f.t, resp.header.Get("Retry-After"))
			}
		})
		time.Sleep(time.Second / time.Duration(requests))
	}
	wg.Wait()
	return served
}

// Guards against a cold engine that gets more than its maximum. It returns idle while others are
// busy, so all routers prefer it: 60 prompts in a second crash an engine whose maximum is 14.
// Its lender, to which each prompt is announced, enforces the maximum; the other engine serves
// the rest.
func TestColdEngineStaysWithinMaximum(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		warm := f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "i-1")
		cold := f.upstreamCold("i-2", "model", 5, 3*time.Second)
		f.startLender(firstLender+1, "i-2")
		for vm := 1; vm <= 4; vm++ {
			f.startVM(vm)
		}
		time.Sleep(3 * time.Second) // they discover each other
		f.registerCold("i-2", "model", 6*time.Second)
		f.settle()
		for range 3 {
			require.Equal(t, 60, f.flood(4, 60))
		}
		require.LessOrEqual(t, cold.MaxPerSecond(), coldMaxPerSecond)
		require.NotEmpty(t, cold.Requests())
		require.NotEmpty(t, warm.Requests())
	})
}

// Guards against cold engines without a lender that get more than their maximum when no other
// engine is available. Three routers share each engine's maximum; callers beyond it are refused
// at once.
func TestColdEnginesWithoutLenders(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		var cold []*standin.Upstream
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			cold = append(cold, f.upstreamCold(id, "model", 5, 3*time.Second))
		}
		for vm := 1; vm <= 6; vm++ {
			f.startVM(vm)
		}
		time.Sleep(2 * time.Second)
		for n := range cold {
			f.registerCold(fmt.Sprint("i-", n+1), "model", 3*time.Second)
		}
		f.settle()
		require.NotZero(t, f.flood(6, 200))
		for _, u := range cold {
			require.LessOrEqual(t, u.MaxPerSecond(), coldMaxPerSecond)
			require.NotEmpty(t, u.Requests())
		}
	})
}

// Guards against an overloaded cold engine whose lender cannot be reached. The routers send it
// nothing while it is cold, since others may have admissions for its whole maximum, and send to
// it again once it is warm.
func TestColdEngineWithUnreachableLender(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		f.upstream("i-1", "model", 5)
		cold := f.upstream("i-2", "model", 5)
		_, kill := f.startLender(firstLender, "i-2")
		f.startVM(1)
		time.Sleep(3 * time.Second)
		kill()
		f.registerCold("i-2", "model", 3*time.Second)
		f.settle()
		require.Equal(t, 20, f.flood(1, 20))
		require.Empty(t, cold.Requests())
		f.register("i-2", "model", "ready")
		f.settle()
		require.Equal(t, 20, f.flood(1, 20))
		require.NotEmpty(t, cold.Requests())
	})
}

// Guards against an overloaded engine in a data centre that is no longer drained. The engine has
// become cold, but its entry does not report that yet; it counts as cold until its entry would
// have been updated.
func TestColdAfterDraining(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		f.upstreamIn("oslo", "i-1", "model", 5)
		back := f.upstreamIn("bergen", "i-2", "model", 5)
		for vm := 1; vm <= 4; vm++ {
			f.startVM(vm)
		}
		require.NoError(t, f.store.OrderDrain("bergen"))
		time.Sleep(3 * time.Second)
		f.flood(4, 60)
		require.Empty(t, back.Requests())
		require.NoError(t, f.store.EndDrain("bergen"))
		time.Sleep(400 * time.Millisecond)
		for range 3 {
			require.Equal(t, 60, f.flood(4, 60))
		}
		require.NotEmpty(t, back.Requests())
		require.LessOrEqual(t, back.MaxPerSecond(), coldMaxPerSecond)
		time.Sleep(3 * time.Second)
		f.flood(4, 200)
		require.Greater(t, back.MaxPerSecond(), coldMaxPerSecond, "it is warm by now")
	})
}
