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

// The store stops telling watches of changes, loses its history, and only then cuts them.
// A router must not trust the silence: within three seconds it knows what changed.
func TestChangesDuringLostHistory(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1", "k2")
		f.upstream("i-1", "plain", 0)
		f.upstream("i-2", "plain", 0)
		f.start()
		f.store.SetDeaf(true)
		f.settle()
		f.config(0, "k1")
		f.register("i-1", "plain", "draining")
		f.store.Compact()
		time.Sleep(time.Second)
		f.store.SetDeaf(false)
		time.Sleep(3 * time.Second)
		q := level("r")
		q.key = "k2"
		require.Equal(t, 401, f.ask(q).status, "the key was taken away")
		q.key = "k1"
		for range 5 {
			a := f.ask(q)
			require.Equal(t, "signature-of-i-2", a.header.Get(standin.HeaderSignature))
		}
	})
}

// The store is cut off. The router goes on with the configuration, upstreams and tokens
// that it knows, and stays ready.
func TestStoreIsAway(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "plain", 0)
		f.upstream("i-2", "model", 5)
		f.start()
		for range 10 {
			require.Equal(t, 200, f.ask(chat("usual")).status)
			time.Sleep(400 * time.Millisecond)
		}
		f.store.SetSilent(true)
		for range 20 {
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, 200, f.ask(level("r")).status)
			require.Equal(t, 200, f.ask(chat("c")).status)
		}
		require.Equal(t, 200, f.ready())
	})
}

// A team's callers come through both routers while these are cut off from the store. One
// of them is the home of the team's budget and holds what the cut needs; the other one
// borrows from it for each request.
func TestRoutersLendInACut(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startVM(1)
		f.startVM(2)
		time.Sleep(3 * time.Second) // they find each other
		ask := func(vm int) int {
			q := chat("c")
			q.vm = vm
			return f.ask(q).status
		}
		for range 10 {
			require.Equal(t, 200, ask(1))
			require.Equal(t, 200, ask(2))
			time.Sleep(200 * time.Millisecond)
		}
		f.cutOff(1)
		f.cutOff(2)
		for range 14 {
			require.Equal(t, 200, ask(1))
			require.Equal(t, 200, ask(2))
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// A budget is spent to its end by two routers at once, with a planned stop and a start
// between. What the upstream delivered never passes the budget, and what is left in the
// end is too little for one more request.
func TestBudgetIsSpentToItsEndAndNotBeyond(t *testing.T) {
	play(t, func(f *fleet) {
		const prepaid, prompt, output = 40_000, 1000, 15
		f.config(prepaid, "k1")
		u := f.upstream("i-1", "model", 5) // 5 events of 3 tokens
		f.startVM(1)
		f.startVM(2)
		time.Sleep(3 * time.Second)
		spend := func(n int) (served int) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range n {
				wg.Go(func() {
					q := chat("c")
					q.vm = 1 + i%2
					if f.ask(q).status == 200 {
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
		runs := len(u.Seen())
		require.LessOrEqual(t, runs*(prompt+output), prepaid)
		require.Greater(t, (runs+1)*(prompt+60), prepaid)
		a := f.ask(chat("last"))
		require.Equal(t, 402, a.status, a.body)
	})
}

// A raised budget is in force within seconds.
func TestBudgetIsRaised(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.start()
		require.Equal(t, 200, f.ask(chat("a")).status)
		require.Equal(t, 402, f.ask(chat("b")).status)
		f.config(5000, "k1")
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, f.ask(chat("c")).status)
	})
}

// SIGTERM comes while a stream runs and callers hold connections. The router is not ready
// at once, the stream ends whole, and requests that still come are served, each with the
// end of its connection announced.
func TestPlannedStopCutsNothing(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 300) // three seconds
		f.upstream("i-2", "plain", 0)
		f.start()
		c := f.client()
		require.Equal(t, 200, f.askWith(c, level("before")).status)
		var wg sync.WaitGroup
		wg.Go(func() {
			a := f.ask(chat("long"))
			require.False(t, a.cut)
			require.Equal(t, events(300), a.body)
		})
		time.Sleep(300 * time.Millisecond)
		wg.Go(func() { f.stopVM(1) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 503, f.ready())
		a := f.askWith(c, level("after"))
		require.Equal(t, 200, a.status)
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, f.ask(level("new connection")).status)
		wg.Wait()
		require.Contains(t, f.log.String(), `"event":"stopped"`)
		require.Empty(t, f.store.Keys("arbutusmill/member/"), "it is no longer listed")
	})
}

// Every request leaves one line with what decided its end, and one for each connection that broke under it.
func TestLogLineOfARequest(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5).SetMode(standin.LoseAnswer)
		f.start()
		require.Equal(t, 502, f.ask(chat("r-17")).status)
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

// A caller leaves while its request waits for an answer that does not come.
func TestCallerLeavesASilentUpstream(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		u.SetMode(standin.Hang)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		q := alert("r")
		q.ctx, q.body = ctx, strings.Repeat("x", 5000)
		f.ask(q)
		time.Sleep(100 * time.Millisecond)
		require.True(t, u.Seen()[0].Left)
	})
}

// A router loses all its connections for 12 s. One of five upstreams says that it leaves
// meanwhile, and its entry is removed; it goes on serving for some seconds. Back in touch, the
// router must send it nothing: at the first read after the cut it saw that the entry was missing
// ("upstream_missing"), yet went on sending there for another 2.2 s, since it took the loss of
// its own connections for an outage of the store.
func TestUpstreamThatLeavesWhileARouterIsCutOff(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		left := f.upstream("i-1", "plain", 0)
		for _, id := range []string{"i-2", "i-3", "i-4", "i-5"} {
			f.upstream(id, "plain", 0)
		}
		f.start()
		f.cutOffAll(1)
		time.Sleep(3 * time.Second)
		f.register("i-1", "plain", "draining")
		time.Sleep(2 * time.Second)
		require.NoError(t, f.store.Unregister("i-1"))
		time.Sleep(7 * time.Second)
		f.reconnect(1)
		time.Sleep(1500 * time.Millisecond) // more than the longest pause between two tries of the store
		before := len(left.Seen())
		for range 40 {
			require.Equal(t, 200, f.ask(level("r")).status)
		}
		require.Len(t, left.Seen(), before)
	})
}

// The store takes calls and answers none, for times that end anywhere between two tries of a
// router. What changed meanwhile is known within 2.6 s of the end: one call that was not
// answered, and the pause after it.
func TestChangesAfterASilentStore(t *testing.T) {
	for n := range 8 {
		play(t, func(f *fleet) {
			f.config(0, "k1", "k2")
			f.upstream("i-1", "plain", 0)
			f.upstream("i-2", "plain", 0)
			f.start()
			f.store.SetSilent(true)
			time.Sleep(5*time.Second + time.Duration(n)*330*time.Millisecond)
			f.config(0, "k1")
			f.register("i-1", "plain", "draining")
			f.store.SetSilent(false)
			time.Sleep(2600 * time.Millisecond)
			q := level("r")
			q.key = "k2"
			require.Equal(t, 401, f.ask(q).status, "the key was taken away")
			for range 5 {
				require.Equal(t, "signature-of-i-2", f.ask(level("r")).header.Get(standin.HeaderSignature))
			}
		})
	}
}

// A caller is told that the tokens cannot be reached. The line of the request tells who was asked
// for them, how long that took, and what each answered; before, it told only the refusal.
func TestLineOfARefusalTellsWhoWasAsked(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, f.ask(chat("a")).status)
		time.Sleep(time.Second) // the first request's tokens go back
		require.Equal(t, 402, f.ask(chat("r-18")).status)
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
