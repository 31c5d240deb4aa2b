package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// deadlyPart is the part of a prompt that ends each engine which runs it.
const deadlyPart = "dead"

// fragileEngine is an engine that ends, with all that runs there, when it runs a deadly prompt.
type fragileEngine struct {
	*platformtest.Upstream
	server *http.Server
	ended  atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *fragileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get(platformtest.HeaderParts), deadlyPart) {
		time.Sleep(50 * time.Millisecond)
		e.end()
	}
	e.Upstream.ServeHTTP(w, r)
}

// end ends the engine.
func (e *fragileEngine) end() {
	e.ended.Store(true)
	_ = e.server.Close() // its listener and connections
}

// fragile starts and registers engines i-1 to i-n.
func (f *fleet) fragile(n int) []*fragileEngine {
	var engines []*fragileEngine
	for i := range n {
		id := fmt.Sprint("i-", i+1)
		e := &fragileEngine{Upstream: &platformtest.Upstream{ID: id, Events: 20, Pause: 20 * time.Millisecond}}
		l, err := f.network.Listen("tcp", addressOf(id))
		require.NoError(f.t, err)
		e.server = &http.Server{Handler: e}
		go func() { _ = e.server.Serve(l) }() // ends with Close
		f.t.Cleanup(func() { _ = e.server.Close() })
		f.register(id, "model", "ready")
		engines = append(engines, e)
	}
	return engines
}

// endedOf counts the engines that have ended.
func endedOf(engines []*fragileEngine) (n int) {
	for _, e := range engines {
		if e.ended.Load() {
			n++
		}
	}
	return n
}

// deadly is a prompt that ends engines.
func deadly(id string, vm int) question {
	q := review(id)
	q.parts, q.vm = "aa:600,"+deadlyPart+":400", vm
	return q
}

// routers starts the gateways of VMs 1 to n and waits until they know each other.
func (f *fleet) routers(n int) {
	for vm := 1; vm <= n; vm++ {
		f.startVM(vm)
	}
	time.Sleep(15 * time.Second)
}

// A caller's prompt ends each engine that runs it, with all that runs there. The router sends it to a
// second engine, and the caller asks again, each time through another router: each of its
// attempts ended two engines, and nobody knew that it was the prompt.
func TestPromptThatEndsEnginesIsSentToThree(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(12)
		f.routers(4)
		var last answer
		for attempt := range 5 {
			last = f.ask(deadly(fmt.Sprint("d-", attempt), 1+attempt%4))
			require.NotEqual(t, 200, last.status)
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, endedOf(engines), 3)
		require.Contains(t, last.body, "prompt_ends_upstreams")
		require.Empty(t, last.header.Get("Retry-After"), "no time will help")
	})
}

// Many callers bring the same such prompt at once, through all routers, while others' prompts run
// everywhere. Engines that had it under way before anybody could know end too; after that
// one caller at a time may try it, and the prompts of the others are served.
func TestManyCallersWithAPromptThatEndsEngines(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(16)
		f.routers(4)
		var wg sync.WaitGroup
		var served atomic.Int32
		const innocents = 60
		for n := range innocents {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				q := review(fmt.Sprint("good-", n))
				q.parts, q.vm = fmt.Sprintf("aa:600,own-%d:400", n), 1+n%4
				if f.ask(q).status == 200 {
					served.Add(1)
				}
			})
		}
		for n := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 150 * time.Millisecond)
				require.NotEqual(t, 200, f.ask(deadly(fmt.Sprint("d-", n), 1+n%4)).status)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, endedOf(engines), 3)
		require.GreaterOrEqual(t, int(served.Load()), innocents-1)
	})
}
