package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
)

var (
	restoredFirst = flag.Uint64("restored.first", 1, "first seed of TestRandomFleetsKeepBudgetsBesideRestorations")
	restoredLogs  = flag.String("restored.logs", "", "directory for the logs of failed fleets")
	restoredSeeds = flag.Uint64("restored.seeds", 3, "number of seeds of TestRandomFleetsKeepBudgetsBesideRestorations")
)

// randomFleet spends a budget while its store is restored and its processes end, start and are cut off at random.
type randomFleet struct {
	*restoredFleet
	rand    *rand.Rand
	copies  []memstore.Copy // one a second, oldest first
	copied  time.Time
	lenders []int // VMs of running lenders
	routers []int // VMs of running routers
	nextVM  int
	ended   int // processes that ended
	history []string
}

// maxCopies bounds how old a copy is: seconds.
const maxCopies = 9

func (r *randomFleet) note(format string, args ...any) {
	r.history = append(r.history, time.Now().UTC().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// play spends for a while, and copies the store each second.
func (r *randomFleet) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if time.Since(r.copied) >= time.Second {
			r.copies, r.copied = append(r.copies, r.store.Copy()), time.Now()
			r.copies = r.copies[max(0, len(r.copies)-maxCopies):]
		}
		r.spendAtAll(1)
	}
	r.requireKept()
}

// requireKept requires that the budget is not exceeded.
func (r *randomFleet) requireKept() {
	if r.used() <= restoredBudget {
		return
	}
	if *restoredLogs != "" {
		require.NoError(r.t, os.WriteFile(filepath.Join(*restoredLogs, strings.ReplaceAll(r.t.Name(), "/", "-")+".log"), []byte(r.log.String()), 0o644))
	}
	require.LessOrEqual(r.t, r.used(), restoredBudget, strings.Join(r.history, "\n"))
}

// spendAtAll sends requests to each router at the same time.
func (r *randomFleet) spendAtAll(n int) {
	var wg sync.WaitGroup
	for _, vm := range r.routers {
		for range n {
			wg.Go(func() {
				req := chat("c")
				req.vm = vm
				r.send(req)
			})
		}
	}
	wg.Wait()
}

func (r *randomFleet) pick(vms []int) (i, vm int) {
	i = r.rand.IntN(len(vms))
	return i, vms[i]
}

func (r *randomFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)))
}

func (r *randomFleet) replaceLender(end func(vm int)) {
	i, vm := r.pick(r.lenders)
	r.ended++
	end(vm)
	r.play(r.upTo(time.Second))
	r.nextVM++
	r.stops[r.nextVM], r.kills[r.nextVM] = r.startLenderAs(fmt.Sprint("lender-", i), r.nextVM, "")
	r.lenders[i] = r.nextVM
}

func (r *randomFleet) replaceRouter(end func(vm int)) {
	i, vm := r.pick(r.routers)
	r.ended++
	end(vm)
	r.nextVM++
	r.startVMAs(fmt.Sprint("router-", i), r.nextVM)
	r.routers[i] = r.nextVM
}

func (r *randomFleet) restoreOlder() {
	older := r.copies[r.rand.IntN(len(r.copies))]
	absence := r.upTo(2 * time.Second)
	r.note("restored, away for %s", absence)
	r.restore(older, absence)
	r.copies = []memstore.Copy{r.store.Copy()}
}

// step lets something happen.
func (r *randomFleet) step() {
	switch r.rand.IntN(8) {
	case 0, 1, 2:
		r.restoreOlder()
	case 3:
		r.note("a lender dies")
		r.replaceLender(func(vm int) { r.kills[vm]() })
	case 4:
		r.note("a lender stops")
		r.replaceLender(func(vm int) { r.stops[vm]() })
	case 5:
		r.note("a router dies")
		r.replaceRouter(r.kill)
	case 6:
		_, vm := r.pick(append(append([]int{}, r.lenders...), r.routers...))
		r.note("VM %d is cut off from the store", vm)
		r.disconnectFromStore(vm)
		time.AfterFunc(r.upTo(6*time.Second), func() { r.reconnect(vm) })
	case 7:
		r.note("transactions take effect late")
		end := time.Now().Add(r.upTo(4 * time.Second))
		var mu sync.Mutex
		r.store.SetLateness(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().After(end) || r.rand.IntN(3) > 0 {
				return 0
			}
			return time.Second + r.upTo(5*time.Second)
		})
	}
}

// Guards against an exceeded budget, whatever happens around restorations of the store: any losses and absences, several in a row,
// writes that take effect late, processes that end, start and are cut off.
func TestRandomFleetsKeepBudgetsBesideRestorations(t *testing.T) {
	for seed := *restoredFirst; seed < *restoredFirst+*restoredSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := &randomFleet{rand: rand.New(rand.NewPCG(seed, 0)), nextVM: 40, routers: []int{1, 2}}
				r.restoredFleet = startRestoredFleet(f, 0)
				for i := range 3 {
					vm := firstLender + i
					r.stops[vm], r.kills[vm] = f.startLenderAs(fmt.Sprint("lender-", i), vm, "")
					r.lenders = append(r.lenders, vm)
				}
				r.play(2 * time.Second)
				for range 4 + r.rand.IntN(8) {
					r.step()
					r.play(r.upTo(2500 * time.Millisecond))
				}
				r.store.SetLateness(nil)
				time.Sleep(8 * time.Second) // late transactions and cuts are over
				for range 40 {
					r.spendAtAll(3)
					time.Sleep(time.Second)
				}
				r.requireKept()
				t.Logf("%d of %d used, %d ended", r.used(), restoredBudget, r.ended)
				if r.ended == 0 {
					require.Greater(t, r.used()+restoredReserve, restoredBudget, strings.Join(r.history, "\n"))
				}
			})
		})
	}
}
