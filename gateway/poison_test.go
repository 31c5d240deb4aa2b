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

// deadlyPart is the part of a prompt that ends each engine which runs it.
const deadlyPart = "dead"

// fragileEngine is an engine that ends, with all that runs there, when it runs a deadly prompt.
type fragileEngine struct {
	*standin.Upstream
	server *http.Server
	ended  atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *fragileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get(standin.HeaderParts), deadlyPart) {
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
		e := &fragileEngine{Upstream: &standin.Upstream{ID: id, Events: 20, Pause: 20 * time.Millisecond}}
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

// A caller's prompt ends each engine that runs it, with all that runs there. The router sent it to a
// second engine, and the caller asked again, each time through another router, which knew nothing: 77
// requests with one prompt, to the letter, ended 111 engines in 20 s, and cut 1,745 other prompts.
//
//	"prompt":"8b3d5e72fc77133f96cf6791" "upstream":"i-1a7d613315" "state":"ended" "event":"upstream_broke_off"
//	"prompt":"8b3d5e72fc77133f96cf6791" "upstream":"i-bca840be97" "state":"ended" "event":"upstream_broke_off"
//
// Now routers tell each other under which prompts engines ended, and after three nobody sends it.
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

// prove lets three engines end under the deadly prompt.
func (f *fleet) prove(routers int) {
	for attempt := range 4 {
		f.ask(deadly(fmt.Sprint("proof-", attempt), 1+attempt%routers))
		time.Sleep(20 * time.Millisecond)
	}
}

// A router starts anew after a prompt was proven to end engines. It asks the others for what they
// know before callers bring it the prompt; else it would send it out once more.
func TestRestartedRouterLearnsOfPrompts(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(8)
		f.routers(3)
		f.prove(3)
		before := endedOf(engines)
		f.stopVM(3)
		f.startVM(3)
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusUnprocessableEntity, f.ask(deadly("late", 3)).status)
		require.Equal(t, before, endedOf(engines))
	})
}

// A router that reaches neither the store nor any other router gets the prompt again and again. It
// goes by what it has seen end itself: three engines, and no more.
func TestRouterThatIsCutOffLearnsByItself(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(12)
		f.startVM(1)
		time.Sleep(15 * time.Second)
		f.cutOff(1)
		for n := range 8 {
			require.NotEqual(t, 200, f.ask(deadly(fmt.Sprint("d-", n), 1)).status)
			time.Sleep(3 * time.Second)
		}
		require.LessOrEqual(t, endedOf(engines), 3)
	})
}

// Engines crash one after the other under prompts that are good: many callers' own, and one that
// all of them send. Whoever was cut gets a second try, nobody is refused for its prompt, and what
// is known against the common prompt is cleared by its next answer.
func TestCrashesRefuseNoGoodPrompt(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(20)
		f.routers(4)
		var wg sync.WaitGroup
		for n := range 160 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 25 * time.Millisecond)
				q := review(fmt.Sprint("good-", n))
				q.parts, q.vm = fmt.Sprintf("aa:600,own-%d:400", n), 1+n%4
				if n%4 == 0 {
					q.parts = "aa:600,common:400"
				}
				require.Equal(t, 200, f.ask(q).status)
			})
		}
		for _, e := range engines[:10] {
			time.Sleep(400 * time.Millisecond)
			e.end()
		}
		wg.Wait()
		require.Contains(t, f.log.String(), `"event":"upstream_broke_off"`)
		require.NotContains(t, f.log.String(), `"kind":"prompt_`)
	})
}

// A prompt is on trial, since two engines crashed under it by chance. Its next request is let
// through, and its answer clears it at all routers.
func TestPromptOnTrialIsClearedByAnAnswer(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(4)
		f.routers(3)
		unlucky := func(id string, vm int) question {
			q := review(id)
			q.vm, q.parts = vm, "aa:600,unlucky:400"
			return q
		}
		cut := make(chan answer)
		go func() { cut <- f.ask(unlucky("twice", 1)) }()
		for range 2 {
			time.Sleep(100 * time.Millisecond)
			for _, e := range engines {
				if slices.Contains(e.IDs(), "twice") {
					e.end()
				}
			}
		}
		require.True(t, (<-cut).cut)
		time.Sleep(100 * time.Millisecond)
		require.Contains(t, f.log.String(), `"standing":"on_trial"`)
		require.Equal(t, 200, f.ask(unlucky("tried", 2)).status)
		time.Sleep(100 * time.Millisecond)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.ask(unlucky(fmt.Sprint("after-", vm), vm)).status)
		}
		for line := range strings.Lines(f.log.String()) {
			require.False(t, strings.Contains(line, `"id":"after-`) && strings.Contains(line, "prompt_on_trial"), line)
		}
	})
}

// An engine breaks off the answers to a prompt, again and again, but lives. That is nothing
// against the prompt: connections are reset, and answers spoiled, by engines that are faulty.
func TestBrokenConnectionsAreNoEnds(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		engines := f.fragile(3)
		f.start()
		for _, e := range engines {
			e.SetMode(standin.LoseAnswer)
		}
		for n := range 4 {
			require.Equal(t, http.StatusBadGateway, f.ask(review(fmt.Sprint("r-", n))).status)
		}
		for _, e := range engines {
			e.SetMode(standin.Serve)
		}
		require.Equal(t, 200, f.ask(review("after")).status)
	})
}

// crashThreeUnder lets three of the engines crash, one after the other, under a prompt that comes through
// VMs 1 to 3.
func (f *fleet) crashThreeUnder(engines []*fragileEngine, prompt func(id string, vm int) question) {
	for vm := 1; vm <= 3; vm++ {
		id := fmt.Sprint("crash-", vm)
		cut := make(chan answer)
		go func() { cut <- f.ask(prompt(id, vm)) }()
		time.Sleep(200 * time.Millisecond)
		for _, e := range engines {
			if slices.Contains(e.IDs(), id) {
				e.end()
			}
		}
		require.True(f.t, (<-cut).cut)
		time.Sleep(100 * time.Millisecond)
	}
	require.Equal(f.t, 3, endedOf(engines))
}

// Three engines crash one after the other under a prompt that runs at a fourth one all the while.
// It counts as proven then, until the fourth one's answer clears it at all routers.
func TestProvenPromptIsClearedByAnAnswer(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		slow := f.upstream("i-9", "model", 100)
		slow.Pause = 50 * time.Millisecond
		f.routers(4)
		common := func(id string, vm int) question {
			q := chat(id)
			q.vm, q.parts = vm, "common:1000"
			return q
		}
		answered := make(chan answer)
		go func() { answered <- f.ask(common("slow", 4)) }()
		time.Sleep(100 * time.Millisecond)
		f.register("i-9", "model", "draining")
		engines := f.fragile(5)
		time.Sleep(500 * time.Millisecond)
		f.crashThreeUnder(engines, common)
		require.Equal(t, http.StatusUnprocessableEntity, f.ask(common("refused", 1)).status)
		require.Equal(t, 200, (<-answered).status)
		time.Sleep(200 * time.Millisecond)
		for vm := 1; vm <= 4; vm++ {
			require.Equal(t, 200, f.ask(common(fmt.Sprint("after-", vm), vm)).status)
		}
	})
}

// Prompts end engines at one router, which decides for some of them itself. The other router is told of
// each all the same; of those that the first one decides for it was not.
func TestRouterThatDecidesTellsWhatItSawItself(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.fragile(20)
		f.routers(2)
		const prompts = 6
		for n := range prompts {
			q := review(fmt.Sprint("d-", n))
			q.parts, q.vm = fmt.Sprintf("aa:600,%s%d:400", deadlyPart, n), 1
			require.NotEqual(t, 200, f.ask(q).status)
			time.Sleep(100 * time.Millisecond)
		}
		told := 0
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, `"vm":"router-2"`) && strings.Contains(line, `"standing":"on_trial"`) {
				told++
			}
		}
		require.Equal(t, prompts, told)
	})
}
