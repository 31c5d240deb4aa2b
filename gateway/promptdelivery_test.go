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
	"github.com/stretchr/testify/require"
)

// Guards against a crash that is lost with the owner of the prompt, which had not reached the keepers.
func TestCrashOutlivesAnOwnerThatReachedNoKeeper(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(12)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.unreachable.Store(address(firstLender, linkPort), true)
		f.unreachable.Store(address(firstLender+1, linkPort), true)
		f.unreachable.Store(address(firstLender+2, linkPort), true)
		f.stopVM(3)
		f.startVM(3) // reaches no keeper
		time.Sleep(5 * time.Second)
		f.crashUnder(engines, newRequest("crash-1", 1))
		require.Equal(t, poison.Suspect, f.standing(3, p))
		f.stopVM(3)
		f.unreachable.Clear()
		time.Sleep(10 * time.Second) // router 1 still has the crash, and reaches all
		t.Log("router 1", f.standing(1, p), "router 2", f.standing(2, p))
		f.restartVMs(2)
		time.Sleep(2 * time.Second)
		require.Equal(t, poison.Suspect, max(f.standing(1, p), f.standing(2, p)))
	})
}

// Guards against a crash that is lost with the owner of the prompt, which had not sent it to the keepers yet.
func TestCrashOutlivesAnOwnerThatRestartsAtOnce(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, _ := orderedPrompt(3, 3)
		e := crashesOf(p, 1, 1)
		f.call(1, link.MethodPromptKnown, e, nil) // router 1 saw the crash
		f.call(3, link.MethodPromptEnded, e, nil) // and reports it to the owner
		time.Sleep(50 * time.Millisecond)
		f.stopVM(3)
		f.startVM(3)
		time.Sleep(10 * time.Second)
		t.Log("router 1", f.standing(1, p), "router 2", f.standing(2, p), "router 3", f.standing(3, p), "keeper", f.standing(firstLender, p))
		f.stopVM(1)
		f.startVM(1)
		time.Sleep(10 * time.Second)
		for vm := 1; vm <= 3; vm++ {
			t.Log("router", vm, f.standing(vm, p))
		}
		require.Equal(t, poison.Suspect, max(f.standing(1, p), f.standing(2, p), f.standing(3, p), f.standing(firstLender, p)))
	})
}

// Guards against a cleared prompt on trial again at a router that starts, since a new keeper reads the document from before the answer.
func TestAnswerOutlivesAWriterThatLeavesBeforeStoringIt(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		stops := map[string]func(){}
		for n := range 4 {
			stops[fmt.Sprint("engine-", firstLender+n)], _ = f.startLender(firstLender+n, "")
		}
		time.Sleep(5 * time.Second) // all four are members, so that no router asks the fourth one before
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 2), nil)
		writer := ""
		for writer == "" {
			time.Sleep(10 * time.Millisecond)
			for line := range strings.Lines(f.log.String()) {
				if _, after, found := strings.Cut(line, `"vm":"`); found && strings.Contains(line, `"event":"prompts_stored"`) {
					writer, _, _ = strings.Cut(after, `"`)
				}
			}
		}
		require.Equal(t, 200, f.send(newRequest("clears", 1)).status)
		time.Sleep(250 * time.Millisecond) // all three keepers have the answer
		require.Equal(t, 1, strings.Count(f.log.String(), `"event":"prompts_stored"`))
		stops[writer]()
		time.Sleep(200 * time.Millisecond)
		f.startVM(4)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 200, f.send(newRequest("after-4", 4)).status)
		f.requireNoTrial("after-")
	})
}

// fillKeeperQueueOf sends a router many answers to a prompt that it owns, within the time that it collects
// changes for one message to the keepers.
func (f *fleet) fillKeeperQueueOf(vm int) {
	pool := &link.Pool{From: "test", Security: link.Security{TrustedNetwork: true}, Heartbeat: time.Minute,
		DialTimeout: time.Second, Dial: f.network.Dial}
	defer pool.Close()
	var filler poison.Prompt
	for n := 0; filler == ""; n++ {
		p := poison.Prompt(fmt.Sprint("filler-", n))
		if rendezvous.Rank(string(p), []string{"router-1", "router-2", "router-3"})[0] == fmt.Sprint("router-", vm) {
			filler = p
		}
	}
	for range 600 {
		require.NoError(f.t, pool.Call(context.Background(), address(vm, linkPort), link.MethodPromptCleared,
			link.PromptAnswered{Prompt: filler, Service: "model"}, nil))
	}
}

// Guards against a cleared prompt on trial again after all routers restarted, since too many changes were to be sent when it was answered.
func TestAnswerDuringAFloodOfChangesReachesTheKeepers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 2), nil)
		time.Sleep(time.Second)
		f.fillKeeperQueueOf(3)
		f.call(3, link.MethodPromptCleared, link.PromptAnswered{Prompt: p, Service: "model"}, nil)
		f.call(1, link.MethodPromptCleared, link.PromptAnswered{Prompt: p, Service: "model"}, nil)
		f.call(2, link.MethodPromptCleared, link.PromptAnswered{Prompt: p, Service: "model"}, nil)
		time.Sleep(10 * time.Second)
		f.restartVMs(3)
		time.Sleep(time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, 200, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
		}
		f.requireNoTrial("after-")
	})
}

// Guards against crashes that are lost when all routers restart, since too many changes were to be sent when they came.
func TestCrashesDuringAFloodOfChangesReachTheKeepers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		time.Sleep(time.Second)
		f.fillKeeperQueueOf(3)
		f.call(3, link.MethodPromptEnded, crashesOf(p, 1, 3), nil)
		time.Sleep(10 * time.Second)
		t.Log("routers", f.standing(1, p), f.standing(2, p), f.standing(3, p), "keeper", f.standing(firstLender, p))
		f.restartVMs(3)
		time.Sleep(2 * time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(t, http.StatusUnprocessableEntity, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
		}
	})
}

// Guards against crashes and answers that the keepers never receive, since more prompts changed than an
// outbox holds while they could not be reached.
func TestKeepersReceiveEvidenceAfterMoreChangesThanAnOutboxHolds(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-9", "model", 5)
		for n := range 3 {
			f.startLender(firstLender+n, "")
			f.unreachable.Store(address(firstLender+n, linkPort), true)
		}
		f.startRouters(1)
		proven, newProven := orderedPrompt(1, 1)
		f.call(1, link.MethodPromptEnded, crashesOf(proven, 1, 3), nil)
		cleared := poison.Prompt("cleared")
		f.call(1, link.MethodPromptEnded, crashesOf(cleared, 1, 3), nil)
		for n := range 1000 {
			f.call(1, link.MethodPromptEnded, crashesOf(poison.Prompt(fmt.Sprint("filler-", n)), 1, 1), nil)
		}
		f.call(1, link.MethodPromptCleared, link.PromptAnswered{Prompt: cleared, Service: "model"}, nil)
		f.unreachable.Clear()
		time.Sleep(10 * time.Second)
		for n := range 3 {
			require.Equal(t, poison.Proven, f.standing(firstLender+n, proven))
			require.Equal(t, poison.Clear, f.standing(firstLender+n, cleared))
			var all []poison.Evidence
			f.call(firstLender+n, link.MethodPromptEvidence, link.Empty{}, &all)
			require.True(t, slices.ContainsFunc(all, func(e poison.Evidence) bool { return e.Prompt == cleared }), "the answer")
		}
		f.restartVMs(1)
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusUnprocessableEntity, f.send(newProven("after", 1)).status)
	})
}

// Guards against more than one request in a trial interval, since the owner of the prompt has lost its records.
func TestOwnerWithoutRecordsLimitsTrials(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		slow := f.upstream("i-9", "model", 100)
		slow.Pause = 20 * time.Millisecond
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.call(1, link.MethodPromptKnown, crashesOf(p, 1, 2), nil)
		require.Equal(t, poison.Clear, f.standing(3, p))
		tried := make(chan response)
		go func() { tried <- f.send(newRequest("tries", 1)) }()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, poison.OnTrial, f.standing(3, p))
		require.Equal(t, http.StatusServiceUnavailable, f.send(newRequest("waits", 1)).status)
		require.Equal(t, 200, (<-tried).status)
	})
}
