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

// restart ends the routers of VMs 1 to n at the same time, and starts them anew.
func (f *fleet) restart(n int) {
	f.stopAll(n)
	f.startAll(n)
}

func (f *fleet) stopAll(n int) {
	var wg sync.WaitGroup
	for vm := 1; vm <= n; vm++ {
		l := f.lives[vm]
		delete(f.lives, vm)
		wg.Go(func() {
			l.stop()
			require.NoError(f.t, <-l.done)
		})
	}
	wg.Wait()
}

func (f *fleet) startAll(n int) {
	for vm := 1; vm <= n; vm++ {
		f.startVM(vm)
	}
}

// beside starts lenders beside the upstreams i-first to i-last.
func (f *fleet) beside(first, last int) {
	for n := first; n <= last; n++ {
		f.startLender(firstLender+n, fmt.Sprint("i-", n))
	}
}

// Guards against a prompt that ends three more upstreams each time that all routers start anew.
func TestPromptIsKnownAfterAllRoutersRestarted(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(16)
		f.beside(1, 16)
		f.routers(3)
		f.prove(3)
		for round := range 4 {
			f.restart(3)
			time.Sleep(time.Second)
			for vm := 1; vm <= 3; vm++ {
				a := f.ask(deadly(fmt.Sprint("again-", round, vm), vm))
				require.Equal(t, http.StatusUnprocessableEntity, a.status, a.body)
			}
		}
		require.LessOrEqual(t, endedOf(engines), 3)
	})
}

// Guards against ends that count anew when all routers start anew before there are three.
func TestFirstEndIsKnownAfterAllRoutersRestarted(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(16)
		f.beside(1, 16)
		f.routers(3)
		for round := range 6 {
			q := deadly(fmt.Sprint("round-", round), 1+round%3)
			q.path = "/chat/x" // it is sent to one upstream
			require.NotEqual(t, 200, f.ask(q).status)
			time.Sleep(300 * time.Millisecond)
			f.restart(3)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, endedOf(engines), 3)
	})
}

// Guards against a prompt that ends three upstreams of each service among which its route is split.
func TestPromptEndsThreeUpstreamsOfAllServicesTogether(t *testing.T) {
	play(t, func(f *fleet) {
		f.form = strings.Replace(configForm, `"service":"model","max_attempts":2`,
			`"split":[{"service":"model","weight":1},{"service":"second","weight":1},{"service":"third","weight":1}],"max_attempts":2`, 1)
		engine := `"engine":{"slots":64,"kv_capacity_tokens":400000,"kv_bytes":327680,"link_mbps":250000,"stride":3}}`
		f.form = strings.Replace(f.form, `{"name":"plain",`, `{"name":"second","max_connections":360,`+engine+`,
			{"name":"third","max_connections":360,`+engine+`,{"name":"plain",`, 1)
		f.config(0, "k1")
		engines := f.fragile(18)
		for n := range 18 {
			f.register(fmt.Sprint("i-", n+1), []string{"model", "second", "third"}[n%3], "ready")
		}
		f.routers(3)
		for n := range 20 {
			require.NotEqual(t, 200, f.ask(deadly(fmt.Sprint("d-", n), 1+n%3)).status)
			time.Sleep(2500 * time.Millisecond)
		}
		require.LessOrEqual(t, endedOf(engines), 3)
	})
}

// Guards against a prompt that is refused, or whose answer is forgotten, after all routers started anew.
func TestClearedPromptStaysClearedAfterAllRoutersRestarted(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(8)
		f.beside(1, 8)
		f.routers(3)
		good := func(id string, vm int) question {
			q := chat(id)
			q.vm, q.parts = vm, "aa:600,unlucky:400"
			return q
		}
		for n := range 2 {
			id := fmt.Sprint("cut-", n)
			cut := make(chan answer)
			go func() { cut <- f.ask(good(id, 1)) }()
			time.Sleep(100 * time.Millisecond)
			for _, e := range engines {
				if len(e.IDs()) > 0 && e.IDs()[len(e.IDs())-1] == id {
					e.end()
				}
			}
			require.True(t, (<-cut).cut)
			time.Sleep(300 * time.Millisecond)
		}
		require.Equal(t, 2, endedOf(engines))
		require.Equal(t, 200, f.ask(good("clears", 2)).status)
		time.Sleep(300 * time.Millisecond)
		f.restart(3)
		time.Sleep(time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.ask(good(fmt.Sprint("after-", vm), vm)).status)
		}
		for line := range strings.Lines(f.log.String()) {
			require.False(t, strings.Contains(line, `"id":"after-`) && strings.Contains(line, "prompt_on_trial"), line)
		}
	})
}

// Guards against a prompt that ends three more upstreams each time that all processes start anew.
func TestPromptIsKnownAfterAllProcessesRestarted(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(24)
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
		f.routers(3)
		for round := range 5 {
			q := deadly(fmt.Sprint("round-", round), 1+round%3)
			q.path = "/chat/x" // it is sent to one upstream
			require.NotEqual(t, 200, f.ask(q).status)
			time.Sleep(2 * time.Second)
			var wg sync.WaitGroup
			for _, stop := range stops {
				wg.Go(stop)
			}
			f.stopAll(3)
			wg.Wait()
			startLenders()
			f.startAll(3)
			time.Sleep(2 * time.Second)
		}
		require.LessOrEqual(t, endedOf(engines), 3)
	})
}
