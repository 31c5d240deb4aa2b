package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// orderedPrompt returns a prompt that the given one of n routers owns, and its requests.
func orderedPrompt(owner, n int) (poison.Prompt, func(id string, vm int) request) {
	var vms []string
	for vm := 1; vm <= n; vm++ {
		vms = append(vms, fmt.Sprint("router-", vm))
	}
	for try := 0; ; try++ {
		part := fmt.Sprint("ordered-", try)
		prompt := poison.Identify(&serving.Request{MaxOutput: 60, Parts: []prefill.Part{{ID: "aa", Tokens: 600}, {ID: part, Tokens: 400}}})
		if rendezvous.Rank(string(prompt), vms)[0] != vms[owner-1] {
			continue
		}
		return prompt, func(id string, vm int) request {
			req := chat(id)
			req.vm, req.parts = vm, "aa:600,"+part+":400"
			return req
		}
	}
}

// call sends a message to the process on a VM, as another process of the fleet does.
func (f *fleet) call(vm int, method string, in, out any) {
	pool := &link.Pool{From: "test", Security: link.Security{TrustedNetwork: true}, Heartbeat: time.Minute,
		DialTimeout: time.Second, Dial: f.network.Dial}
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(f.t, pool.Call(ctx, address(vm, linkPort), method, in, out))
}

// crashesOf returns evidence of the crashes first to last of the service model.
func crashesOf(p poison.Prompt, first, last int) poison.Evidence {
	e := poison.Evidence{Prompt: p}
	for n := first; n <= last; n++ {
		e.Crashes = append(e.Crashes, poison.Crash{Upstream: fmt.Sprint("gone-", n), Service: "model"})
	}
	return e
}

// standing returns a prompt's standing at the process on a VM.
func (f *fleet) standing(vm int, p poison.Prompt) poison.Standing {
	var all []poison.Evidence
	f.call(vm, link.MethodPromptList, link.Empty{}, &all)
	for _, e := range all {
		if e.Prompt == p {
			return e.ForService("model").Standing()
		}
	}
	return poison.Clear
}

// requireNoTrial requires that no request whose id begins with prefix was on trial.
func (f *fleet) requireNoTrial(prefix string) {
	for line := range strings.Lines(f.log.String()) {
		require.False(f.t, strings.Contains(line, `"id":"`+prefix) && strings.Contains(line, "prompt_on_trial"), line)
	}
}

// Guards against a cleared prompt on trial again after all routers restarted, since a keeper could not be reached when it was answered.
func TestKeeperThatMissedAnAnswerReceivesItLater(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.startFragileEngines(4)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 2), nil)
		time.Sleep(time.Second)
		for n := range 3 {
			require.Equal(t, poison.OnTrial, f.standing(firstLender+n, p))
		}
		f.unreachable.Store(address(firstLender, linkPort), true)
		f.restartVMs(3) // closes the open connections
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, f.send(newRequest("clears", 1)).status)
		time.Sleep(time.Second)
		f.unreachable.Delete(address(firstLender, linkPort))
		time.Sleep(10 * time.Second) // the keeper is reached again, for many checks of the owner
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, poison.Clear, f.standing(vm, p))
		}
		for n := range 3 {
			require.Equal(t, poison.Clear, f.standing(firstLender+n, p))
		}
		f.restartVMs(3)
		time.Sleep(time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
		}
		f.requireNoTrial("after-")
	})
}

// Guards against a cleared prompt on trial again after all routers restarted, since its owner could not be reached when it was answered.
func TestOwnerThatMissedAnAnswerReceivesItLater(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.startFragileEngines(4)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 2), nil)
		time.Sleep(time.Second)
		f.unreachable.Store(address(3, linkPort), true)
		f.stopVM(1)
		f.startVM(1) // has no connection to the owner
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, f.send(newRequest("clears", 1)).status)
		time.Sleep(time.Second)
		f.unreachable.Delete(address(3, linkPort))
		time.Sleep(10 * time.Second)
		for _, vm := range []int{1, 2, 3, firstLender, firstLender + 1, firstLender + 2} {
			t.Log("VM", vm, f.standing(vm, p))
		}
		f.restartVMs(3)
		time.Sleep(time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
		}
		f.requireNoTrial("after-")
	})
}

// crashUnder crashes the engine that runs a prompt.
func (f *fleet) crashUnder(engines []*fragileEngine, req request) {
	interrupted := make(chan response)
	go func() { interrupted <- f.send(req) }()
	time.Sleep(100 * time.Millisecond)
	for _, e := range engines {
		if slices.Contains(e.IDs(), req.id) {
			e.crash()
		}
	}
	require.True(f.t, (<-interrupted).truncated)
	time.Sleep(300 * time.Millisecond)
}

// answerBetweenTwoCrashes crashes an engine under a prompt that the given one of three routers owns, through
// router 1, sends it through router 2, which answers, and crashes another one through router 1. The
// prompt must not be on trial after that.
func answerBetweenTwoCrashes(t *testing.T, owner int) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(6)
		f.startRouters(3)
		_, newRequest := orderedPrompt(owner, 3)
		f.crashUnder(engines, newRequest("crash-1", 1))
		require.Equal(t, 200, f.send(newRequest("answered", 2)).status)
		time.Sleep(300 * time.Millisecond)
		f.crashUnder(engines, newRequest("crash-2", 1))
		require.Equal(t, 200, f.send(newRequest("after-1", 3)).status)
		f.requireNoTrial("after-")
	})
}

// Guards against a first crash that counts after an answer, since the router that observed it did not receive the answer.
func TestAnswerThroughTheOwnerBetweenTwoCrashesClearsTheFirst(t *testing.T) {
	answerBetweenTwoCrashes(t, 2)
}

// Guards against a first crash that counts after an answer, since only its observer and the owner have a record of the
// prompt, and another router answered.
func TestAnswerThroughARouterWithoutRecordsClearsThePrompt(t *testing.T) {
	t.Run("answered-by-a-third-router", func(t *testing.T) { answerBetweenTwoCrashes(t, 3) })
	t.Run("the-owner-saw-the-crash", func(t *testing.T) { answerBetweenTwoCrashes(t, 1) })
}

// Guards against crashes that do not count, since a router without a record of the prompt answered it before them.
func TestCrashesAfterAnAnswerThroughARouterWithoutRecordsCount(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(6)
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		require.Equal(t, 200, f.send(newRequest("answered", 2)).status)
		f.crashUnder(engines, newRequest("crash-1", 1))
		f.crashUnder(engines, newRequest("crash-2", 1))
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, poison.OnTrial, f.standing(vm, p), "router %d", vm)
		}
	})
}

// delayQueueOf lets a router broadcast crashes under many prompts: router 4 is a member and answers no dial, so
// each of its messages takes the whole timeout.
func (f *fleet) delayQueueOf(vm int) {
	for n := range 40 {
		f.call(vm, link.MethodPromptEnded, crashesOf(poison.Prompt(fmt.Sprint("filler-", n)), 1, 2), nil)
	}
}

// Guards against a cleared prompt that is refused, since the message about its crashes is sent after the one about the answer.
func TestAnswerThatOvertakesTheCrashesClearsThem(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		slow := f.upstream("i-9", "model", 100)
		slow.Pause = 20 * time.Millisecond // two seconds
		f.network.SetBlackholed(address(4, linkPort), true)
		f.startRouters(4)
		p, newRequest := orderedPrompt(3, 4)
		answered := make(chan response)
		go func() { answered <- f.send(newRequest("long", 1)) }() // began before the crashes
		time.Sleep(100 * time.Millisecond)
		f.delayQueueOf(3)
		e := crashesOf(p, 1, 3)
		f.call(1, link.MethodPromptKnown, e, nil) // router 1 saw the crashes
		f.call(3, link.MethodPromptEnded, e, nil) // and reports them to the owner
		require.Equal(t, 200, (<-answered).status)
		time.Sleep(500 * time.Millisecond)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, poison.Clear, f.standing(vm, p), "the answer was received")
		}
		time.Sleep(20 * time.Second)
		for vm := 1; vm <= 2; vm++ {
			resp := f.send(newRequest(fmt.Sprint("after-", vm), vm))
			require.Equal(t, 200, resp.status, resp.body)
		}
		f.requireNoTrial("after-")
	})
}

// Guards against crashes that no longer count, since the message about an older answer is sent after them.
func TestCrashesThatOvertakeAnOlderAnswerCount(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.network.SetBlackholed(address(4, linkPort), true)
		f.startRouters(4)
		p, newRequest := orderedPrompt(3, 4)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 2), nil)
		time.Sleep(time.Second)
		f.delayQueueOf(1)
		require.Equal(t, 200, f.send(newRequest("clears", 1)).status)
		time.Sleep(500 * time.Millisecond)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 11, 13), nil)
		require.Equal(t, poison.Proven, f.standing(3, p))
		time.Sleep(20 * time.Second)
		for _, vm := range []int{1, 2, 3, firstLender, firstLender + 1, firstLender + 2} {
			t.Log("VM", vm, f.standing(vm, p))
		}
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, http.StatusUnprocessableEntity, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status, "router %d", vm)
		}
	})
}

// Guards against a cleared prompt on trial again, since a second router reports the same crashes after a longer probe.
func TestCrashReportedAgainAfterTheAnswerDoesNotCount(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		crashes := crashesOf(p, 1, 2)
		for n := range crashes.Crashes {
			crashes.Crashes[n].UnixMS = time.Now().UnixMilli() // both routers observe the break, and then probe
		}
		f.call(3, link.MethodPromptEnded, crashes, nil)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 200, f.send(newRequest("clears", 1)).status)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, poison.Clear, f.standing(3, p))
		f.call(3, link.MethodPromptEnded, crashes, nil)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 200, f.send(newRequest("after-1", 2)).status)
		f.requireNoTrial("after-")
	})
}
