package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/stretchr/testify/require"
)

// countEvents returns the number of log lines that contain all parts.
func (f *fleet) countEvents(parts ...string) (n int) {
lines:
	for line := range strings.Lines(f.log.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		n++
	}
	return n
}

// Guards against evidence that is sent to all routers and keepers again each second, since one router, the owner
// of the prompt, does not reply.
func TestEvidenceIsSentOnceWhileItsOwnerDoesNotReply(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(6)
		for n := range 3 {
			f.startLender(firstLender+n, "")
		}
		f.network.SetBlackholed(address(4, linkPort), true)
		f.startRouters(4)
		_, newRequest := orderedPrompt(4, 4)
		before := f.countEvents(`"event":"prompts_kept"`)
		f.crashUnder(engines, newRequest("crash-1", 1))
		time.Sleep(20 * time.Second)
		t.Log("messages to keepers:", f.countEvents(`"event":"prompts_kept"`)-before)
		require.LessOrEqual(t, f.countEvents(`"event":"prompts_kept"`)-before, 9, "three keepers, one crash: by its observer and by the next candidate")
	})
}

// Guards against a cleared prompt on trial again after all routers restarted, since one keeper's link was cut when it was answered.
func TestPromptClearedWhileAKeepersLinkIsCutStaysCleared(t *testing.T) {
	for cut := range 3 {
		for owner := 1; owner <= 3; owner++ {
			t.Run(fmt.Sprint("keeper-", cut, "-owner-", owner), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					engines := f.startFragileEngines(6)
					for n := range 3 {
						f.startLender(firstLender+n, "")
					}
					f.startRouters(3)
					_, newRequest := orderedPrompt(owner, 3)
					f.crashUnder(engines, newRequest("crash-1", 1))
					f.crashUnder(engines, newRequest("crash-2", 1))
					f.cutLink(address(firstLender+cut, linkPort))
					require.Equal(t, 200, f.send(newRequest("clears", 2)).status)
					time.Sleep(time.Second)
					f.joinLink(address(firstLender+cut, linkPort))
					time.Sleep(5 * time.Second)
					f.restartVMs(3)
					time.Sleep(time.Second)
					for vm := 1; vm <= 3; vm++ {
						require.Equal(t, 200, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
					}
					f.requireNoTrial("after-")
				})
			})
		}
	}
}

// crashAfterAnAnswerWhileCutOff lets three engines crash under a prompt that was answered, while one of three keepers,
// which has the answer, is cut off. That keeper is the only one left when all routers restart.
func crashAfterAnAnswerWhileCutOff(t *testing.T, cut int) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(12)
		var stops []func()
		for n := range 3 {
			stop, _ := f.startLender(firstLender+n, "")
			stops = append(stops, stop)
		}
		f.startRouters(3)
		p, newRequest := orderedPrompt(3, 3)
		f.crashUnder(engines, newRequest("crash-1", 1))
		f.crashUnder(engines, newRequest("crash-2", 1))
		require.Equal(f.t, 200, f.send(newRequest("clears", 2)).status)
		time.Sleep(time.Second)
		f.cutLink(address(firstLender+cut, linkPort))
		f.call(3, link.MethodPromptEnded, crashesOf(p, 11, 13), nil)
		time.Sleep(3 * time.Second)
		f.stopVMs(3)
		for n, stop := range stops {
			if n != cut {
				stop()
			}
		}
		f.joinLink(address(firstLender+cut, linkPort))
		f.startVMs(3)
		time.Sleep(2 * time.Second)
		for vm := 1; vm <= 3; vm++ {
			require.Equal(f.t, http.StatusUnprocessableEntity, f.send(newRequest(fmt.Sprint("after-", vm), vm)).status)
		}
		require.Equal(f.t, poison.Proven, f.standing(firstLender+cut, p))
	})
}

// Guards against a proven prompt that is sent again, since a keeper that read the store before the crashes, and has an
// older answer in memory, lists only its memory.
func TestKeeperListsCrashesThatAnotherOneStored(t *testing.T) {
	for cut := range 2 { // the third one is the writer
		t.Run(fmt.Sprint("keeper-", cut), func(t *testing.T) { crashAfterAnAnswerWhileCutOff(t, cut) })
	}
}

// Guards against a proven prompt that is sent again, since no keeper stores evidence while routers do not reach the
// one that ranks first.
func TestEvidenceIsStoredWhileRoutersDoNotReachTheWriter(t *testing.T) {
	crashAfterAnAnswerWhileCutOff(t, 2)
}

// Guards against crashes that count after an answer, since the answer came while the crashed upstream was probed, and
// nothing was recorded of the prompt yet.
func TestAnswerDuringTheProbeClearsTheCrash(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(6)
		f.startRouters(2)
		p, newRequest := orderedPrompt(1, 2)
		for n := range 2 {
			id := fmt.Sprint("crash-", n)
			interrupted := make(chan response)
			go func() { interrupted <- f.send(newRequest(id, 1+n)) }()
			time.Sleep(100 * time.Millisecond)
			for i, e := range engines {
				if slices.Contains(e.IDs(), id) {
					f.dialDelays.Store(upstreamAddress(fmt.Sprint("i-", i+1)), 2*time.Second)
					e.crash()
				}
			}
			require.True(t, (<-interrupted).truncated)
			require.Equal(t, 200, f.send(newRequest(fmt.Sprint("answered-", n), 1+n)).status)
			time.Sleep(3 * time.Second)
			f.dialDelays.Clear()
		}
		require.Equal(t, poison.Clear, f.standing(1, p), "both crashes were before an answer through the same router")
		require.Equal(t, 200, f.send(newRequest("after-1", 1)).status)
		f.requireNoTrial("after-")
	})
}
