package gateway_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against missed changes when the store stops sending them to watches, compacts its
// history, and only then ends the watches. A router must detect the stall and apply the changes
// within three seconds.
func TestChangesMissedByStalledWatches(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1", "k2")
		f.upstream("i-1", "plain", 0)
		f.upstream("i-2", "plain", 0)
		f.start()
		f.store.SetWatchesStalled(true)
		f.settle()
		f.putConfig(0, "k1")
		f.register("i-1", "plain", "draining")
		f.store.Compact()
		time.Sleep(time.Second)
		f.store.SetWatchesStalled(false)
		time.Sleep(3 * time.Second)
		req := level("r")
		req.key = "k2"
		require.Equal(t, 401, f.send(req).status, "the key was removed")
		req.key = "k1"
		for range 5 {
			resp := f.send(req)
			require.Equal(t, "signature-of-i-2", resp.header.Get(standin.HeaderSignature))
		}
	})
}

// Guards against refusals while the store is unresponsive: the router continues with its last
// configuration, upstreams and tokens, and stays ready.
func TestStoreIsUnavailable(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "plain", 0)
		f.upstream("i-2", "model", 5)
		f.start()
		for range 10 {
			require.Equal(t, 200, f.send(chat("usual")).status)
			time.Sleep(400 * time.Millisecond)
		}
		f.store.SetUnresponsive(true)
		for range 20 {
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, 200, f.send(level("r")).status)
			require.Equal(t, 200, f.send(chat("c")).status)
		}
		require.Equal(t, 200, f.readyStatus())
	})
}

// Guards against refusals when both routers lose the store while a team's callers use both. One
// router is the primary of the team's budget and holds enough tokens for the outage; the other
// one borrows from it for each request.
func TestRoutersLendWithoutTheStore(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startVM(1)
		f.startVM(2)
		time.Sleep(3 * time.Second) // they discover each other
		send := func(vm int) int {
			req := chat("c")
			req.vm = vm
			return f.send(req).status
		}
		for range 10 {
			require.Equal(t, 200, send(1))
			require.Equal(t, 200, send(2))
			time.Sleep(200 * time.Millisecond)
		}
		f.disconnectFromStore(1)
		f.disconnectFromStore(2)
		for range 14 {
			require.Equal(t, 200, send(1))
			require.Equal(t, 200, send(2))
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// Guards against overspending and against stranded tokens when two routers spend a budget at
// once, with a planned stop and a start in between: the upstream never delivers more than the
// budget, and what is left in the end is too little for one more request.
func TestBudgetIsSpentInFullAndNotExceeded(t *testing.T) {
	withFleet(t, func(f *fleet) {
		const prepaid, prompt, output = 40_000, 1000, 15
		f.putConfig(prepaid, "k1")
		u := f.upstream("i-1", "model", 5) // 5 events of 3 tokens
		f.startVM(1)
		f.startVM(2)
		time.Sleep(3 * time.Second)
		spend := func(n int) (served int) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range n {
				wg.Go(func() {
					req := chat("c")
					req.vm = 1 + i%2
					if f.send(req).status == 200 {
						mu.Lock()
						defer mu.Unlock()
						served++
					}
				})
			}
			wg.Wait()
			return served
		}
		spend(10)
		f.stopVM(2)
		f.startVM(2)
		f.settle()
		for range 10 {
			spend(6)
			time.Sleep(time.Second)
		}
		runs := len(u.Requests())
		require.LessOrEqual(t, runs*(prompt+output), prepaid)
		require.Greater(t, (runs+1)*(prompt+60), prepaid)
		resp := f.send(chat("last"))
		require.Equal(t, 402, resp.status, resp.body)
	})
}

// Guards against a raised budget that does not take effect within seconds.
func TestBudgetIsRaised(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.start()
		require.Equal(t, 200, f.send(chat("a")).status)
		require.Equal(t, 402, f.send(chat("b")).status)
		f.putConfig(5000, "k1")
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, f.send(chat("c")).status)
	})
}

// Guards against interrupted requests when SIGTERM arrives while a stream runs and callers hold
// connections. The router becomes unready at once, the stream completes, and requests that still
// arrive are served, each with the close of its connection announced.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 300) // three seconds
		f.upstream("i-2", "plain", 0)
		f.start()
		c := f.client()
		require.Equal(t, 200, f.sendWith(c, level("before")).status)
		var wg sync.WaitGroup
		wg.Go(func() {
			resp := f.send(chat("long"))
			require.False(t, resp.truncated)
			require.Equal(t, events(300), resp.body)
		})
		time.Sleep(300 * time.Millisecond)
		wg.Go(func() { f.stopVM(1) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 503, f.readyStatus())
		resp := f.sendWith(c, level("after"))
		require.Equal(t, 200, resp.status)
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, f.send(level("new connection")).status)
		wg.Wait()
		require.Contains(t, f.log.String(), `"event":"stopped"`)
		require.Empty(t, f.store.Keys("arbutusmill/member/"), "it is no longer listed as a member")
	})
}

// Each request logs one line with what determined its outcome, and one line for each connection
// that broke while serving it.
func TestLogLineOfARequest(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5).SetMode(standin.LoseAnswer)
		f.start()
		require.Equal(t, 502, f.send(chat("r-17")).status)
		f.settle()
		lines, breaks := 0, 0
		for line := range strings.Lines(f.log.String()) {
			if !strings.Contains(line, `"id":"r-17"`) {
				continue
			}
			if strings.Contains(line, `"event":"upstream_broke_off"`) {
				require.Contains(t, line, `"upstream":"i-1","state":"listens"`)
				breaks++
				continue
			}
			lines++
			for _, part := range []string{`"attempts":"i-1 [`, `] unknown (`, `"kind":"outcome_unknown"`, `"version":1`,
				`"status":502`, `"team":"pilots"`, `"reserved":1060`, `"used":1060`} {
				require.Contains(t, line, part)
			}
		}
		require.Equal(t, 1, lines)
		require.Equal(t, 1, breaks)
	})
}

// Guards against a request that stays open at an unresponsive upstream after its caller
// disconnected.
func TestCallerDisconnectsFromUnresponsiveUpstream(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		u.SetMode(standin.Hang)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		req := alert("r")
		req.ctx, req.body = ctx, strings.Repeat("x", 5000)
		f.send(req)
		time.Sleep(100 * time.Millisecond)
		require.True(t, u.Requests()[0].CallerGone)
	})
}

// Guards against requests to an upstream that was removed while a router was disconnected. One
// of five upstreams drains and its entry is removed while the router has no connections for
// 12 s; it still serves for some seconds. A router that mistakes the loss of its own connections
// for an outage of the store reads that the entry is missing ("upstream_missing"), but keeps
// sending there for another 2.2 s.
func TestUpstreamThatLeavesWhileARouterIsDisconnected(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		left := f.upstream("i-1", "plain", 0)
		for _, id := range []string{"i-2", "i-3", "i-4", "i-5"} {
			f.upstream(id, "plain", 0)
		}
		f.start()
		f.disconnect(1)
		time.Sleep(3 * time.Second)
		f.register("i-1", "plain", "draining")
		time.Sleep(2 * time.Second)
		require.NoError(t, f.store.Unregister("i-1"))
		time.Sleep(7 * time.Second)
		f.reconnect(1)
		time.Sleep(1500 * time.Millisecond) // more than the longest backoff between two attempts to reach the store
		before := len(left.Requests())
		for range 40 {
			require.Equal(t, 200, f.send(level("r")).status)
		}
		require.Len(t, left.Requests(), before)
	})
}

// Guards against changes that a router applies late after the store accepted calls but answered
// none, for outages that end anywhere between two attempts of the router. It applies them within
// 2.6 s of the end: one unanswered call and the backoff after it.
func TestChangesDuringStoreOutage(t *testing.T) {
	for n := range 8 {
		withFleet(t, func(f *fleet) {
			f.putConfig(0, "k1", "k2")
			f.upstream("i-1", "plain", 0)
			f.upstream("i-2", "plain", 0)
			f.start()
			f.store.SetUnresponsive(true)
			time.Sleep(5*time.Second + time.Duration(n)*330*time.Millisecond)
			f.putConfig(0, "k1")
			f.register("i-1", "plain", "draining")
			f.store.SetUnresponsive(false)
			time.Sleep(2600 * time.Millisecond)
			req := level("r")
			req.key = "k2"
			require.Equal(t, 401, f.send(req).status, "the key was removed")
			for range 5 {
				require.Equal(t, "signature-of-i-2", f.send(level("r")).header.Get(standin.HeaderSignature))
			}
		})
	}
}

// Guards against a log line that holds only the refusal when the tokens of a request cannot be
// had: it must list the processes that were queried for them, the time that each took, and its
// answer.
func TestRefusalLogLineListsQueriedLenders(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, f.send(chat("a")).status)
		time.Sleep(time.Second) // the first request's unused tokens are returned
		require.Equal(t, 402, f.send(chat("r-18")).status)
		lines := 0
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, `"id":"r-18"`) {
				lines++
				require.Regexp(t, `"asked":"engine-20/[A-Z0-9]+ \[\d+ ms\] link: budget exhausted"`, line)
			}
		}
		require.Equal(t, 1, lines)
		require.Regexp(t, `"budget":"pilots","unspent":\d+,"lost_with_dead":0,"credit":1500,.*"would_have_sufficed":false.*budget_used_up`, f.log.String())
	})
}
