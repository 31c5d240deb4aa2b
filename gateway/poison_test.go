package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// crashingPart is the part of a prompt that crashes each engine that runs it.
const crashingPart = "dead"

// fragileEngine is an engine that crashes, with all its requests, when it runs a crashing prompt.
type fragileEngine struct {
	*standin.Upstream
	server  *http.Server
	crashed atomic.Bool
	// got is the number of requests that it has got, and reading holds the ids of those that it reads.
	got     atomic.Int64
	reading sync.Map
	// readTime is how long a readingEngine reads a prompt, in nanoseconds.
	readTime atomic.Int64
	// cause is the part of the prompt that crashed the engine, nil if none did.
	cause atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (e *fragileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, rest, crashes := strings.Cut(r.Header.Get(standin.HeaderParts), crashingPart); crashes {
		time.Sleep(50 * time.Millisecond)
		number, _, _ := strings.Cut(rest, ":")
		part := crashingPart + number
		e.cause.CompareAndSwap(nil, &part)
		e.crash()
	}
	e.Upstream.ServeHTTP(w, r)
}

// crash closes the engine's server.
func (e *fragileEngine) crash() {
	e.crashed.Store(true)
	_ = e.server.Close() // its listener and connections
}

// startFragileEngines starts and registers fragile engines i-1 to i-n.
func (f *fleet) startFragileEngines(n int) []*fragileEngine {
	var engines []*fragileEngine
	for i := range n {
		id := fmt.Sprint("i-", i+1)
		e := &fragileEngine{Upstream: &standin.Upstream{ID: id, Events: 20, Pause: 20 * time.Millisecond}}
		l, err := f.network.Listen("tcp", upstreamAddress(id))
		require.NoError(f.t, err)
		e.server = &http.Server{Handler: e}
		go func() { _ = e.server.Serve(l) }() // returns on Close
		f.t.Cleanup(func() { _ = e.server.Close() })
		f.register(id, "model", "ready")
		engines = append(engines, e)
	}
	return engines
}

// countCrashed returns the number of engines that have crashed.
func countCrashed(engines []*fragileEngine) (n int) {
	for _, e := range engines {
		if e.crashed.Load() {
			n++
		}
	}
	return n
}

// crashingPrompt returns a request whose prompt crashes engines.
func crashingPrompt(id string, vm int) request {
	req := review(id)
	req.parts, req.vm = "aa:600,"+crashingPart+":400", vm
	return req
}

// startRouters starts the gateways of VMs 1 to n and waits until they have discovered each other.
func (f *fleet) startRouters(n int) {
	for vm := 1; vm <= n; vm++ {
		f.startVM(vm)
	}
	time.Sleep(15 * time.Second)
}

// Guards against a prompt that crashes engine after engine, with all requests that run there. A
// router retries it at a second engine, and the caller retries it through other routers, which have
// no record of the crashes: 77 requests with the same prompt crashed 111 engines in 20 s and
// interrupted 1,745 other prompts.
//
//	"prompt":"8b3d5e72fc77133f96cf6791" "upstream":"i-1a7d613315" "state":"ended" "event":"upstream_broke_off"
//	"prompt":"8b3d5e72fc77133f96cf6791" "upstream":"i-bca840be97" "state":"ended" "event":"upstream_broke_off"
//
// Routers report to each other the prompts under which engines crashed, and no router sends a
// prompt after three crashes.
func TestPromptThatCrashesEnginesIsSentToThree(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(12)
		f.startRouters(4)
		var last response
		for attempt := range 5 {
			last = f.send(crashingPrompt(fmt.Sprint("d-", attempt), 1+attempt%4))
			require.NotEqual(t, 200, last.status)
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
		require.Contains(t, last.body, "prompt_ends_upstreams")
		require.Empty(t, last.header.Get("Retry-After"), "a retry would not help")
	})
}

// Guards against crashes beyond three when many callers send the same crashing prompt at once,
// through all routers, while other prompts run on all engines. Engines that received it before the
// first report crash too; after that one request at a time may try it, and the other prompts are
// served.
func TestManyCallersWithAPromptThatCrashesEngines(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(16)
		f.startRouters(4)
		var wg sync.WaitGroup
		var served atomic.Int32
		const otherPrompts = 60
		for n := range otherPrompts {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				req := review(fmt.Sprint("good-", n))
				req.parts, req.vm = fmt.Sprintf("aa:600,own-%d:400", n), 1+n%4
				if f.send(req).status == 200 {
					served.Add(1)
				}
			})
		}
		for n := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 150 * time.Millisecond)
				require.NotEqual(t, 200, f.send(crashingPrompt(fmt.Sprint("d-", n), 1+n%4)).status)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, countCrashed(engines), 3)
		require.GreaterOrEqual(t, int(served.Load()), otherPrompts-1)
	})
}

// proveCrashingPrompt sends the crashing prompt four times, so that three engines crash under it.
func (f *fleet) proveCrashingPrompt(routers int) {
	for attempt := range 4 {
		f.send(crashingPrompt(fmt.Sprint("proof-", attempt), 1+attempt%routers))
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a restarted router that sends a prompt which is proven to crash engines: it must
// query the other routers for their records before callers send it the prompt.
func TestRestartedRouterLearnsOfPrompts(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(8)
		f.startRouters(3)
		f.proveCrashingPrompt(3)
		before := countCrashed(engines)
		f.stopVM(3)
		f.startVM(3)
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusUnprocessableEntity, f.send(crashingPrompt("late", 3)).status)
		require.Equal(t, before, countCrashed(engines))
	})
}

// Guards against crashes beyond three when a router that reaches neither the store nor another
// router gets a crashing prompt repeatedly. It must use the crashes that it observed itself.
func TestDisconnectedRouterUsesItsOwnObservations(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(12)
		f.startVM(1)
		time.Sleep(15 * time.Second)
		f.disconnectFromStore(1)
		for n := range 8 {
			require.NotEqual(t, 200, f.send(crashingPrompt(fmt.Sprint("d-", n), 1)).status)
			time.Sleep(3 * time.Second)
		}
		require.LessOrEqual(t, countCrashed(engines), 3)
	})
}

// Guards against refusals of harmless prompts when engines crash one after the other for other
// reasons, under distinct prompts and under one that many callers send. Interrupted requests get a
// second attempt, none is refused for its prompt, and the next answer to the common prompt clears
// the evidence against it.
func TestUnrelatedCrashesRefuseNoPrompt(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(20)
		f.startRouters(4)
		var wg sync.WaitGroup
		for n := range 160 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 25 * time.Millisecond)
				req := review(fmt.Sprint("good-", n))
				req.parts, req.vm = fmt.Sprintf("aa:600,own-%d:400", n), 1+n%4
				if n%4 == 0 {
					req.parts = "aa:600,common:400"
				}
				require.Equal(t, 200, f.send(req).status)
			})
		}
		for _, e := range engines[:10] {
			time.Sleep(400 * time.Millisecond)
			e.crash()
		}
		wg.Wait()
		require.Contains(t, f.log.String(), `"event":"upstream_broke_off"`)
		require.NotContains(t, f.log.String(), `"kind":"prompt_`)
	})
}

// Guards against a prompt that stays on trial after two engines crashed under it by chance. Its
// next request is allowed, and the answer to it clears the prompt at all routers.
func TestPromptOnTrialIsClearedByAnAnswer(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(4)
		f.startRouters(3)
		unlucky := func(id string, vm int) request {
			req := review(id)
			req.vm, req.parts = vm, "aa:600,unlucky:400"
			return req
		}
		interrupted := make(chan response)
		go func() { interrupted <- f.send(unlucky("twice", 1)) }()
		for range 2 {
			time.Sleep(100 * time.Millisecond)
			for _, e := range engines {
				if slices.Contains(e.IDs(), "twice") {
					e.crash()
				}
			}
		}
		require.True(t, (<-interrupted).truncated)
		time.Sleep(100 * time.Millisecond)
		require.Contains(t, f.log.String(), `"standing":"on_trial"`)
		require.Equal(t, 200, f.send(unlucky("tried", 2)).status)
		time.Sleep(100 * time.Millisecond)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.send(unlucky(fmt.Sprint("after-", vm), vm)).status)
		}
		for line := range strings.Lines(f.log.String()) {
			require.False(t, strings.Contains(line, `"id":"after-`) && strings.Contains(line, "prompt_on_trial"), line)
		}
	})
}

// Guards against refusals of a prompt whose answers an engine truncates repeatedly without
// crashing. That is no evidence against the prompt: faulty engines also reset connections and
// corrupt answers.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(3)
		f.start()
		for _, e := range engines {
			e.SetMode(standin.LoseAnswer)
		}
		for n := range 4 {
			require.Equal(t, http.StatusBadGateway, f.send(review(fmt.Sprint("r-", n))).status)
		}
		for _, e := range engines {
			e.SetMode(standin.Serve)
		}
		require.Equal(t, 200, f.send(review("after")).status)
	})
}

// crashThreeDuring crashes three of the engines, one after the other, while they run a prompt that
// is sent through VMs 1 to 3.
func (f *fleet) crashThreeDuring(engines []*fragileEngine, newRequest func(id string, vm int) request) {
	for vm := 1; vm <= 3; vm++ {
		id := fmt.Sprint("crash-", vm)
		interrupted := make(chan response)
		go func() { interrupted <- f.send(newRequest(id, vm)) }()
		time.Sleep(200 * time.Millisecond)
		for _, e := range engines {
			if slices.Contains(e.IDs(), id) {
				e.crash()
			}
		}
		require.True(f.t, (<-interrupted).truncated)
		time.Sleep(100 * time.Millisecond)
	}
	require.Equal(f.t, 3, countCrashed(engines))
}

// Guards against a prompt that stays proven although it was answered. Three engines crash one
// after the other under a prompt that also runs on a fourth one; it counts as proven until the
// fourth one's answer clears it at all routers.
func TestProvenPromptIsClearedByAnAnswer(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		slow := f.upstream("i-9", "model", 100)
		slow.Pause = 50 * time.Millisecond
		f.startRouters(4)
		common := func(id string, vm int) request {
			req := chat(id)
			req.vm, req.parts = vm, "common:1000"
			return req
		}
		answered := make(chan response)
		go func() { answered <- f.send(common("slow", 4)) }()
		time.Sleep(100 * time.Millisecond)
		f.register("i-9", "model", "draining")
		engines := f.startFragileEngines(5)
		time.Sleep(500 * time.Millisecond)
		f.crashThreeDuring(engines, common)
		require.Equal(t, http.StatusUnprocessableEntity, f.send(common("refused", 1)).status)
		require.Equal(t, 200, (<-answered).status)
		time.Sleep(200 * time.Millisecond)
		for vm := 1; vm <= 4; vm++ {
			require.Equal(t, 200, f.send(common(fmt.Sprint("after-", vm), vm)).status)
		}
	})
}

// Guards against crashes that a router does not report to the others because it owns the prompts
// itself. Several prompts crash engines through one router, which owns some of them; the other
// router must receive a report on each.
func TestPromptOwnerReportsItsOwnObservations(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.startFragileEngines(20)
		f.startRouters(2)
		harmless := review("harmless") // an answer: their common part is not to blame
		harmless.parts, harmless.vm = "aa:600,own:400", 1
		require.Equal(t, 200, f.send(harmless).status)
		const prompts = 6
		for n := range prompts {
			req := review(fmt.Sprint("d-", n))
			req.parts, req.vm = fmt.Sprintf("aa:600,%s%d:400", crashingPart, n), 1
			require.NotEqual(t, 200, f.send(req).status)
			time.Sleep(100 * time.Millisecond)
		}
		reported := 0
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, `"vm":"router-2"`) && strings.Contains(line, `"standing":"on_trial"`) {
				reported++
			}
		}
		require.Equal(t, prompts, reported)
	})
}
