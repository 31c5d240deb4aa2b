package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// What each request of these tests uses and reserves, and the budget that they share, in tokens.
const (
	restoredUse     = 1015
	restoredReserve = 1060
	restoredBudget  = 60_000
	// restoredLimits is by how much a lender's limits for a router may exceed its use: 0.2 s of its five requests a second.
	restoredLimits = restoredReserve
)

// restoredFleet spends a budget through two routers while the store is restored.
type restoredFleet struct {
	*fleet
	engine *standin.Upstream
	// stops and kills end lenders, by the numbers of their VMs.
	stops, kills map[int]func()
	// cutVM is the VM that was cut off from the store.
	cutVM int
	// callersAt is the first of the two routers' VMs.
	callersAt int
	// restartedVM is the VM of a router that was killed and runs on a VM whose number is higher by ten, 0 if there is none.
	restartedVM int
}

func startRestoredFleet(f *fleet, lenders int) *restoredFleet {
	f.putConfig(restoredBudget, "k1")
	r := &restoredFleet{fleet: f, engine: f.upstream("i-1", "model", 5), stops: map[int]func(){}, kills: map[int]func(){}, callersAt: 1}
	for n := range lenders {
		r.stops[firstLender+n], r.kills[firstLender+n] = f.startLender(firstLender+n, "")
	}
	f.startVM(1)
	f.startVM(2)
	time.Sleep(3 * time.Second)
	return r
}

// spend sends requests at the same time through both routers.
func (r *restoredFleet) spend(n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			req := chat("c")
			req.vm = r.callersAt + i%2
			if req.vm == r.restartedVM {
				req.vm += 10
			}
			r.send(req)
		})
	}
	wg.Wait()
}

// restartRouter kills the second router and starts it again on another VM.
func (r *restoredFleet) restartRouter() {
	r.restartedVM = r.callersAt + 1
	r.kill(r.restartedVM)
	r.startVMAs("router-2", r.restartedVM+10)
}

// spendFor sends a few requests each 200 ms.
func (r *restoredFleet) spendFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		r.spend(2)
	}
}

// restore lets the store be away and come back with an older copy; operators write the configuration again.
func (r *restoredFleet) restore(older memstore.Copy, absence time.Duration) {
	if absence > 0 {
		r.store.SetUnresponsive(true)
		time.Sleep(absence)
	}
	r.store.Restore(older)
	r.store.SetUnresponsive(false)
	r.putConfig(restoredBudget, "k1")
}

// spendRest spends what is left.
func (r *restoredFleet) spendRest() {
	for range 30 {
		r.spend(6)
		time.Sleep(time.Second)
	}
}

// used returns the tokens that the engine delivered.
func (r *restoredFleet) used() int {
	used := 0
	for _, s := range r.engine.Requests() {
		if s.Ran {
			used += restoredUse
		}
	}
	return used
}

// requireSpent requires that the budget is spent but for what a request may need, and not exceeded.
func (r *restoredFleet) requireSpent() { r.requireSpentBut(0) }

// requireSpentBut is requireSpent where some tokens may be lost.
func (r *restoredFleet) requireSpentBut(lost int) {
	require.LessOrEqual(r.t, r.used(), restoredBudget)
	require.Greater(r.t, r.used()+restoredReserve+lost, restoredBudget, "the budget is left unspent")
	last := chat("last")
	last.vm = r.callersAt
	require.Equal(r.t, 402, r.send(last).status)
}

// Guards against an exceeded budget, or one that cannot be spent any more, after the store was restored from an older copy
// that lacks what was granted, returned and used since.
func TestBudgetAfterTheStoreWasRestored(t *testing.T) {
	for _, lenders := range []int{0, 3} {
		for _, before := range []time.Duration{0, 2 * time.Second} {
			for _, absence := range []time.Duration{0, 1200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d lenders, copied after %s, away for %s", lenders, before, absence), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						r := startRestoredFleet(f, lenders)
						r.spendFor(before)
						older := f.store.Copy()
						r.spendFor(3 * time.Second)
						r.restore(older, absence)
						r.spendRest()
						r.requireSpent()
					})
				})
			}
		}
	}
}

// Guards against an exceeded budget after two restorations in a row.
func TestBudgetAfterTwoRestorations(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRestoredFleet(f, 3)
				older := f.store.Copy()
				r.spendFor(2 * time.Second)
				newer := f.store.Copy()
				r.spendFor(time.Second)
				r.restore(newer, 500*time.Millisecond)
				r.spendFor(pause)
				r.restore(older, 500*time.Millisecond)
				r.spendRest()
				r.requireSpent()
			})
		})
	}
}

// aroundRestoration is something that happens while the store is restored.
type aroundRestoration struct {
	name string
	// before happens after the copy was made, after once the store is back.
	before, after func(r *restoredFleet)
	// mayLose bounds the tokens that are lost with processes that have ended.
	mayLose int
	// killed is set if a process was killed: pages may be closed, and its tokens be held, until its lease has ended and 45 s have passed.
	killed bool
}

// primary returns the number of the VM of the budget's primary lender.
func (r *restoredFleet) primary() int {
	for vm := range r.kills {
		if r.tookTokens(fmt.Sprint("engine-", vm)) {
			return vm
		}
	}
	r.t.Fatal("no lender took tokens")
	return 0
}

// restartPrimary ends the primary at once, and starts its next incarnation.
func (r *restoredFleet) restartPrimary() {
	vm := r.primary()
	r.kills[vm]()
	r.stops[vm+10], r.kills[vm+10] = r.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
}

var aroundRestorations = []aroundRestoration{
	{name: "primary restarts before", before: (*restoredFleet).restartPrimary},
	{name: "primary restarts after", after: (*restoredFleet).restartPrimary},
	{name: "primary stops before", before: func(r *restoredFleet) { r.stops[r.primary()]() }},
	{name: "primary stops after", after: func(r *restoredFleet) { r.stops[r.primary()]() }},
	{name: "router restarts before", before: func(r *restoredFleet) { r.stopVM(2); r.startVM(2) }},
	{name: "router dies before", killed: true, before: (*restoredFleet).restartRouter},
	{name: "router and primary restart before", mayLose: restoredLimits, before: func(r *restoredFleet) {
		r.kill(2)
		r.restartPrimary()
		r.startVMAs("router-2", 12)
	}},
	{name: "primary is cut off from the store", before: func(r *restoredFleet) {
		r.cutVM = r.primary()
		r.disconnectFromStore(r.cutVM)
	}, after: func(r *restoredFleet) {
		r.spendFor(4 * time.Second)
		r.reconnect(r.cutVM)
	}},
	{name: "router is cut off from the store", before: func(r *restoredFleet) { r.disconnectFromStore(2) },
		after: func(r *restoredFleet) {
			r.spendFor(4 * time.Second)
			r.reconnect(2)
		}},
	{name: "lender starts", after: func(r *restoredFleet) {
		r.stops[firstLender+9], r.kills[firstLender+9] = r.startLender(firstLender+9, "")
	}},
	{name: "all processes restart before", mayLose: restoredBudget, before: func(r *restoredFleet) {
		for n := range 3 {
			r.kills[firstLender+n]()
		}
		r.kill(1)
		r.kill(2)
	}, after: func(r *restoredFleet) {
		for n := range 3 {
			vm := firstLender + n
			r.stops[vm+10], r.kills[vm+10] = r.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
		}
		r.startVMAs("router-1", 11)
		r.startVMAs("router-2", 12)
		r.callersAt = 11
		time.Sleep(time.Second)
	}},
	{name: "all lenders restart", killed: true, after: func(r *restoredFleet) {
		for n := range 3 {
			vm := firstLender + n
			r.kills[vm]()
			r.stops[vm+10], r.kills[vm+10] = r.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
		}
	}},
}

// Guards against an exceeded budget, or one that cannot be spent any more, when processes end, start or are cut off around a
// restoration of the store.
func TestBudgetBesideEndsAroundARestoration(t *testing.T) {
	for _, c := range aroundRestorations {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRestoredFleet(f, 3)
				r.spendFor(time.Second)
				older := f.store.Copy()
				r.spendFor(1500 * time.Millisecond)
				if c.before != nil {
					c.before(r)
				}
				r.spendFor(500 * time.Millisecond)
				r.restore(older, 500*time.Millisecond)
				if c.after != nil {
					c.after(r)
				}
				r.spendRest()
				r.spendRest()
				if c.killed {
					r.spendRest()
					r.spendRest()
				}
				r.requireSpentBut(c.mayLose)
			})
		})
	}
}

// Guards against an exceeded budget when a router, which no lender can reach, takes tokens from the store itself and
// ends before it can say so, while the store is restored: nobody else knows of them.
func TestTokensOfARouterThatEndedUnseenAfterARestoration(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRestoredFleet(f, 2)
		r.spendFor(time.Second)
		older := f.store.Copy()
		for n := range 2 {
			f.cut(linkEnds{2, address(firstLender+n, linkPort)})
		}
		for range 10 {
			req := chat("c")
			req.vm = 2
			r.send(req)
			time.Sleep(200 * time.Millisecond)
		}
		require.True(t, f.tookTokens("router-2"))
		r.kill(2)
		r.restore(older, 500*time.Millisecond)
		r.startVMAs("router-2", 12)
		r.spendRest()
		r.spendRest()
		require.LessOrEqual(t, r.used(), restoredBudget)
	})
}

// otherLender returns the number of the VM of a lender that took no tokens, and so lent none.
func (r *restoredFleet) otherLender() int {
	for vm := range r.kills {
		if !r.tookTokens(fmt.Sprint("engine-", vm)) {
			return vm
		}
	}
	r.t.Fatal("all lenders took tokens")
	return 0
}

// Guards against a budget that cannot be spent any more after a restoration, because a router and a lender that lent nothing
// have ended: no other lender has, so the lender's witnesses would have answered if there were any.
func TestTokensStayWhenARouterAndALenderThatLentNothingEnd(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRestoredFleet(f, 3)
		r.spendFor(time.Second)
		older := f.store.Copy()
		r.spendFor(1500 * time.Millisecond)
		time.Sleep(2 * time.Second) // the router returns its lots, which it may have used otherwise
		vm := r.otherLender()
		r.kills[vm]()
		r.stops[vm+10], r.kills[vm+10] = f.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
		r.restartRouter()
		r.spendFor(500 * time.Millisecond)
		r.restore(older, 500*time.Millisecond)
		r.spendRest()
		r.spendRest()
		r.requireSpent()
	})
}

// Guards against a budget that cannot be spent any more after a restoration, because two lenders, one of them a witness of the other,
// were restarted as planned, one after the other, and a router has ended: what the witness knew must be known to a process that runs.
func TestTokensStayWhenALenderItsWitnessAndARouterEnd(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRestoredFleet(f, 3)
		r.spendFor(time.Second)
		older := f.store.Copy()
		r.spendFor(1500 * time.Millisecond)
		for n := range 2 {
			vm := firstLender + n
			r.stops[vm]()
			r.stops[vm+10], r.kills[vm+10] = f.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
			time.Sleep(3 * time.Second) // the router returns its lots, which it may have used otherwise
		}
		r.restartRouter()
		r.restore(older, 500*time.Millisecond)
		r.spendRest()
		r.spendRest()
		r.requireSpentBut(restoredLimits)
	})
}

// Guards against work after a restoration that grows with all processes that ended since the one before: those that ended when the
// pages had been opened again, and left no tokens behind, are not counted.
func TestProcessesThatEndedBetweenRestorationsAreNotCounted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRestoredFleet(f, 3)
		r.restore(f.store.Copy(), 500*time.Millisecond)
		r.spendFor(3 * time.Second)
		for n := range 2 {
			vm := firstLender + n
			r.stops[vm]()
			r.stops[vm+10], r.kills[vm+10] = f.startLenderAs(fmt.Sprint("engine-", vm), vm+10, "")
		}
		time.Sleep(3 * time.Minute)
		opened := strings.Count(f.log.String(), `"event":"page_opened"`)
		r.restore(f.store.Copy(), 500*time.Millisecond)
		r.spendFor(3 * time.Second)
		require.Greater(t, strings.Count(f.log.String(), `"event":"page_opened"`), opened)
		for _, line := range strings.Split(f.log.String(), "\n") {
			if strings.Contains(line, `"event":"page_opened"`) && strings.Contains(line, `"era":2`) {
				require.Contains(t, line, `"ended":[]`)
			}
		}
		r.spendRest()
		r.requireSpent()
	})
}
