package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Tokens that each stream of these tests reserves and uses, and the budget that they share.
const (
	streamMaxTokens  = 4_000
	streamUsedTokens = 1_900
	streamBudget     = 80_000
)

// lenderFailure is a fleet whose lender stops or dies while the streams of a dozen callers run
// on tokens that it lent.
type lenderFailure struct {
	*fleet
	engine    *standin.Upstream
	primaryVM int // the number of the primary lender's VM
	stop      func()
	kill      func()
	streams   sync.WaitGroup
	// otherTokens are the tokens used by requests other than those streams.
	otherTokens int
}

func startLenderFailure(f *fleet) *lenderFailure {
	f.putConfig(streamBudget, "k1")
	e := &lenderFailure{fleet: f, engine: f.upstream("i-1", "model", 300)}
	stops, kills := map[int]func(){}, map[int]func(){}
	for n := range 2 {
		vm := firstLender + n
		stops[vm], kills[vm] = f.startLender(vm, "")
	}
	f.startVM(1)
	time.Sleep(8 * time.Second)
	for n := range 12 {
		e.streams.Go(func() { e.runStream(fmt.Sprint("before-", n)) })
	}
	time.Sleep(time.Second)
	e.primaryVM = firstLender
	if !f.tookTokens(fmt.Sprint("engine-", e.primaryVM)) {
		e.primaryVM++
	}
	e.stop, e.kill = stops[e.primaryVM], kills[e.primaryVM]
	return e
}

func (e *lenderFailure) runStream(id string) { e.runStreamAt(1, id) }

func (e *lenderFailure) runStreamAt(vm int, id string) {
	req := chat(id)
	req.usage, req.vm = "1000,3000", vm
	e.send(req)
}

// spendBudget sends requests until the budget is exhausted, and checks that at most two streams'
// tokens of it were lost.
func (e *lenderFailure) spendBudget() {
	for n := range 60 {
		e.runStream(fmt.Sprint("after-", n))
	}
	used := e.otherTokens
	for _, s := range e.engine.Requests() {
		if s.Ran && s.ID != "now and then" {
			used += streamUsedTokens
		}
	}
	require.LessOrEqual(e.t, used, streamBudget)
	require.Greater(e.t, used+2*streamMaxTokens, streamBudget)
}

// Guards against the loss of a third of a budget when a lender is stopped as planned while
// streams run on tokens that it lent. The unused tokens must return to the lender before it
// stops, so that the whole budget can be spent through another one.
func TestStoppedLenderWaitsForItsLots(t *testing.T) {
	withFleet(t, func(f *fleet) {
		e := startLenderFailure(f)
		start := time.Now()
		e.stop()
		require.Less(t, time.Since(start), 4*time.Second, "it stops when all lots are returned, after two seconds")
		e.streams.Wait()
		e.spendBudget()
	})
}

// Guards against the loss of all tokens that a lender was granted when its VM becomes unreachable
// while streams run on tokens that it lent, and restarts seconds later. The routers must report
// their usage, so that the rest of the budget can be spent; otherwise callers are refused with a
// third of it left.
func TestDeadLenderIsSettledByItsBorrowers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		e := startLenderFailure(f)
		e.kill()
		time.Sleep(time.Second)
		f.startLenderAs(fmt.Sprint("engine-", e.primaryVM), e.primaryVM+10, "")
		e.streams.Wait()
		for range 20 {
			f.send(chat("now and then"))
			e.otherTokens += 1060
			time.Sleep(time.Second)
		}
		require.Contains(t, f.log.String(), `"event":"lender_settled"`)
		e.spendBudget()
	})
}

// Guards against a router that stays listed as a member when it is stopped as planned after a
// lender died, so that a lot can never be returned. Listed until its lease expires, it would
// count among the routers that share the retry limit, and lenders would wait for its report.
func TestRouterDeregistersAfterALenderDied(t *testing.T) {
	withFleet(t, func(f *fleet) {
		e := startLenderFailure(f)
		e.kill()
		e.streams.Wait()
		require.NotEmpty(t, f.store.Keys("arbutusmill/member/router-1/"))
		f.stopVM(1)
		require.Empty(t, f.store.Keys("arbutusmill/member/router-1/"))
	})
}

// Guards against the loss of all tokens that a lender held when a router that it lent to dies with it.
func TestLenderAndRouterDieTogether(t *testing.T) {
	withFleet(t, func(f *fleet) {
		const router, nextIncarnation = 2, 3
		f.startVM(router)
		f.network.SetBlackholed(address(router, linkPort), true) // it can borrow, and its link address is unreachable
		e := startLenderFailure(f)
		e.streams.Go(func() { e.runStreamAt(router, "of the router that dies") })
		time.Sleep(time.Second)
		e.kill()
		f.disconnect(router)
		time.Sleep(time.Second)
		f.startLenderAs(fmt.Sprint("engine-", e.primaryVM), e.primaryVM+10, "")
		f.startVMAs(f.settings(router).VM, nextIncarnation)
		e.streams.Wait()
		for range 20 {
			f.send(chat("now and then"))
			e.otherTokens += 1060
			time.Sleep(time.Second)
		}
		require.Regexp(t, `"missing":\["router-2/[^"]*"\].*"event":"lender_settled"`, f.log.String())
		e.spendBudget()
	})
}
