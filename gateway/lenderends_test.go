package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// What the streams of these tests set aside and use, in tokens, and the budget that they share.
const (
	streamWorst  = 4_000
	streamUse    = 1_900
	streamBudget = 80_000
)

// lenderEnds is a fleet whose lender ends while the streams of a dozen callers run on tokens
// that it lent.
type lenderEnds struct {
	*fleet
	engine  *standin.Upstream
	home    int // the number of the VM with the lender that is home of the budget
	stop    func()
	kill    func()
	streams sync.WaitGroup
	// others are tokens used by requests that are no such streams.
	others int
}

func startLenderEnds(f *fleet) *lenderEnds {
	f.config(streamBudget, "k1")
	e := &lenderEnds{fleet: f, engine: f.upstream("i-1", "model", 300)}
	stops, kills := map[int]func(){}, map[int]func(){}
	for n := range 2 {
		vm := firstLender + n
		stops[vm], kills[vm] = f.startLender(vm, "")
	}
	f.startVM(1)
	time.Sleep(8 * time.Second)
	for n := range 12 {
		e.streams.Go(func() { e.stream(fmt.Sprint("before-", n)) })
	}
	time.Sleep(time.Second)
	e.home = firstLender
	if !f.tookTokens(fmt.Sprint("engine-", e.home)) {
		e.home++
	}
	e.stop, e.kill = stops[e.home], kills[e.home]
	return e
}

func (e *lenderEnds) stream(id string) { e.streamAt(1, id) }

func (e *lenderEnds) streamAt(vm int, id string) {
	q := chat(id)
	q.usage, q.vm = "1000,3000", vm
	e.ask(q)
}

// spendAll asks until the budget is used up, and checks that hardly anything of it was lost.
func (e *lenderEnds) spendAll() {
	for n := range 60 {
		e.stream(fmt.Sprint("after-", n))
	}
	used := e.others
	for _, s := range e.engine.Seen() {
		if s.Ran && s.ID != "now and then" {
			used += streamUse
		}
	}
	require.LessOrEqual(e.t, used, streamBudget)
	require.Greater(e.t, used+2*streamWorst, streamBudget)
}

// A lender is stopped as planned while streams run on what it lent. What they do not use comes
// back to the lender before it ends, and the budget can be spent to its end through another
// one; otherwise a third of it would be lost with each such stop.
func TestStoppedLenderWaitsForWhatItLent(t *testing.T) {
	play(t, func(f *fleet) {
		e := startLenderEnds(f)
		began := time.Now()
		e.stop()
		require.Less(t, time.Since(began), 4*time.Second, "it ends when all is back, two seconds on")
		e.streams.Wait()
		e.spendAll()
	})
}

// The VM of a lender goes dark while streams run on what it lent, and starts anew seconds
// later. The routers tell what they used, and the rest of the budget can be spent; before, all
// that the lender had granted counted as used, and callers were refused with a third of it left.
func TestDeadLenderIsSettledByItsBorrowers(t *testing.T) {
	play(t, func(f *fleet) {
		e := startLenderEnds(f)
		e.kill()
		time.Sleep(time.Second)
		f.startLenderAs(fmt.Sprint("engine-", e.home), e.home+10, "")
		e.streams.Wait()
		for range 20 {
			f.ask(chat("now and then"))
			e.others += 1060
			time.Sleep(time.Second)
		}
		require.Contains(t, f.log.String(), `"event":"lender_settled"`)
		e.spendAll()
	})
}

// A router is stopped as planned after a lender has died, so that a lot can never go back. It
// leaves the list of members all the same; listed until its lease ends, it would be counted
// among those that share the bound on repeats, and lenders would wait for its word.
func TestRouterLeavesThoughALenderIsGone(t *testing.T) {
	play(t, func(f *fleet) {
		e := startLenderEnds(f)
		e.kill()
		e.streams.Wait()
		require.NotEmpty(t, f.store.Keys("arbutusmill/member/router-1/"))
		f.stopVM(1)
		require.Empty(t, f.store.Keys("arbutusmill/member/router-1/"))
	})
}

// Guards against the loss of all that a lender held when a router that it lent to dies with it.
func TestLenderAndRouterDieTogether(t *testing.T) {
	play(t, func(f *fleet) {
		const router, itsNextLife = 2, 3
		f.startVM(router)
		f.network.SetDark(address(router, linkPort), true) // it can borrow, and is never heard
		e := startLenderEnds(f)
		e.streams.Go(func() { e.streamAt(router, "of the router that dies") })
		time.Sleep(time.Second)
		e.kill()
		f.cutOffAll(router)
		time.Sleep(time.Second)
		f.startLenderAs(fmt.Sprint("engine-", e.home), e.home+10, "")
		f.startVMAs(f.settings(router).VM, itsNextLife)
		e.streams.Wait()
		for range 20 {
			f.ask(chat("now and then"))
			e.others += 1060
			time.Sleep(time.Second)
		}
		require.Regexp(t, `"missing":\["router-2/[^"]*"\].*"event":"lender_settled"`, f.log.String())
		e.spendAll()
	})
}
