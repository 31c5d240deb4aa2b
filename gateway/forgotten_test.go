package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartVMs stops the routers of VMs 1 to n at the same time and starts them again.
func (f *fleet) restartVMs(n int) {
	f.stopVMs(n)
	f.startVMs(n)
}

// stopVMs stops the routers of VMs 1 to n at the same time.
func (f *fleet) stopVMs(n int) {
	var wg sync.WaitGroup
	for vm := 1; vm <= n; vm++ {
		p := f.gateways[vm]
		delete(f.gateways, vm)
		wg.Go(func() {
			p.stop()
			require.NoError(f.t, <-p.done)
		})
	}
	wg.Wait()
}

// startVMs starts the routers of VMs 1 to n.
func (f *fleet) startVMs(n int) {
	for vm := 1; vm <= n; vm++ {
		f.startVM(vm)
	}
}

// startLenders starts lenders for the upstreams i-first to i-last.
func (f *fleet) startLenders(first, last int) {
	for n := first; n <= last; n++ {
		f.startLender(firstLender+n, fmt.Sprint("i-", n))
	}
}

// Guards against a prompt that crashes three more upstreams each time that all routers restart.
func TestPromptIsKnownAfterAllRoutersRestarted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(16)
		f.startLenders(1, 16)
		f.startRouters(3)
		f.proveCrashingPrompt(3)
		for round := range 4 {
			f.restartVMs(3)
			time.Sleep(time.Second)
			for vm := 1; vm <= 3; vm++ {
				resp := f.send(crashingPrompt(fmt.Sprint("again-", round, vm), vm))
				require.Equal(t, http.StatusUnprocessableEntity, resp.status, resp.body)
			}
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
	})
}

// Guards against crashes that are counted from zero when all routers restart before the third one.
func TestFirstCrashIsKnownAfterAllRoutersRestarted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(16)
		f.startLenders(1, 16)
		f.startRouters(3)
		for round := range 6 {
			req := crashingPrompt(fmt.Sprint("round-", round), 1+round%3)
			req.path = "/chat/x" // has a single attempt
			require.NotEqual(t, 200, f.send(req).status)
			time.Sleep(300 * time.Millisecond)
			f.restartVMs(3)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
	})
}

// Guards against a prompt that crashes three upstreams of each service among which its route is split.
func TestPromptCrashesThreeUpstreamsOfAllServicesTogether(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.template = strings.Replace(configTemplate, `"service":"model","max_attempts":2`,
			`"split":[{"service":"model","weight":1},{"service":"second","weight":1},{"service":"third","weight":1}],"max_attempts":2`, 1)
		engine := `"engine":{"slots":64,"kv_capacity_tokens":400000,"kv_bytes":327680,"link_mbps":250000,"stride":3}}`
		f.template = strings.Replace(f.template, `{"name":"plain",`, `{"name":"second","max_connections":360,`+engine+`,
			{"name":"third","max_connections":360,`+engine+`,{"name":"plain",`, 1)
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(18)
		for n := range 18 {
			f.register(fmt.Sprint("i-", n+1), []string{"model", "second", "third"}[n%3], "ready")
		}
		f.startRouters(3)
		for n := range 20 {
			require.NotEqual(t, 200, f.send(crashingPrompt(fmt.Sprint("d-", n), 1+n%3)).status)
			time.Sleep(2500 * time.Millisecond)
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
	})
}

// Guards against a cleared prompt that is refused or put on trial after all routers restarted,
// since the answer that cleared it was lost.
func TestClearedPromptStaysClearedAfterAllRoutersRestarted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(8)
		f.startLenders(1, 8)
		f.startRouters(3)
		good := func(id string, vm int) request {
			req := chat(id)
			req.vm, req.parts = vm, "aa:600,unlucky:400"
			return req
		}
		for n := range 2 {
			id := fmt.Sprint("cut-", n)
			interrupted := make(chan response)
			go func() { interrupted <- f.send(good(id, 1)) }()
			time.Sleep(100 * time.Millisecond)
			for _, e := range engines {
				if len(e.IDs()) > 0 && e.IDs()[len(e.IDs())-1] == id {
					e.crash()
				}
			}
			require.True(t, (<-interrupted).truncated)
			time.Sleep(300 * time.Millisecond)
		}
		require.Equal(t, 2, countCrashed(engines))
		require.Equal(t, 200, f.send(good("clears", 2)).status)
		time.Sleep(300 * time.Millisecond)
		f.restartVMs(3)
		time.Sleep(time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.send(good(fmt.Sprint("after-", vm), vm)).status)
		}
		for line := range strings.Lines(f.log.String()) {
			require.False(t, strings.Contains(line, `"id":"after-`) && strings.Contains(line, "prompt_on_trial"), line)
		}
	})
}

// Guards against a prompt that crashes three more upstreams each time that all processes restart.
func TestPromptIsKnownAfterAllProcessesRestarted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(24)
		const lenders = 6
		var stops []func()
		startLenders := func() {
			stops = nil
			for n := range lenders {
				stop, _ := f.startLender(firstLender+n, "")
				stops = append(stops, stop)
			}
		}
		startLenders()
		f.startRouters(3)
		for round := range 5 {
			req := crashingPrompt(fmt.Sprint("round-", round), 1+round%3)
			req.path = "/chat/x" // has a single attempt
			require.NotEqual(t, 200, f.send(req).status)
			time.Sleep(2 * time.Second)
			var wg sync.WaitGroup
			for _, stop := range stops {
				wg.Go(stop)
			}
			f.stopVMs(3)
			wg.Wait()
			startLenders()
			f.startVMs(3)
			time.Sleep(2 * time.Second)
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
	})
}
