package grant_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// waitingRequests are requests of routers that run beside the steps of a lenderFleet.
type waitingRequests struct {
	mu      sync.Mutex
	running sync.WaitGroup
	leave   []context.CancelFunc
	served  []servedRequest
	// waited is how many were served after a wait.
	waited int
	// cancelLost sends a message after a lost reply.
	cancelLost bool
}

// servedRequest is a request whose tokens are reserved.
type servedRequest struct {
	router *process
	openRequest
}

// startRequest starts a request that may wait. Its use is drawn now, since rapid draws in one goroutine only.
func (f *lenderFleet) startRequest(ctx context.Context) {
	l := f.router()
	n := rapid.Int64Range(1, 60).Draw(f.t, "tokens")
	use := rapid.Int64Range(0, n).Draw(f.t, "use")
	u := grant.Urgency{Rank: rapid.IntRange(0, 2).Draw(f.t, "rank"), Wait: time.Duration(rapid.IntRange(0, 300).Draw(f.t, "wait")) * time.Millisecond}
	ctx, cancel := context.WithTimeout(grant.WithUrgency(ctx, u), 600*time.Millisecond)
	f.waiting.leave = append(f.waiting.leave, cancel)
	began := time.Now()
	f.waiting.running.Go(func() {
		r, err := l.acquirer.Acquire(ctx, budget, n)
		if err != nil {
			return
		}
		f.waiting.mu.Lock()
		defer f.waiting.mu.Unlock()
		f.waiting.served = append(f.waiting.served, servedRequest{l, openRequest{r, use}})
		if time.Since(began) > 0 {
			f.waiting.waited++
		}
	})
	synctest.Wait()
}

// collect counts the use of the requests that were served.
func (f *lenderFleet) collect() {
	synctest.Wait()
	f.waiting.mu.Lock()
	defer f.waiting.mu.Unlock()
	for _, s := range f.waiting.served {
		f.used += s.use
		for _, p := range s.reservation.Split(s.use) {
			f.usedOf[p.Holder] += p.Tokens
		}
		s.router.open = append(s.router.open, s.openRequest)
	}
	f.waiting.served = nil
}

// leaveOne makes one caller leave.
func (f *lenderFleet) leaveOne() {
	if n := len(f.waiting.leave); n > 0 {
		f.waiting.leave[rapid.IntRange(0, n-1).Draw(f.t, "leaves")]()
	}
}

// cancelLost ends a request whose reply was lost, unless that message is lost too.
func (f *lenderFleet) cancelLost(lender *process, id, borrower string) {
	if f.waiting.cancelLost {
		lender.holder.CancelLend(time.Now(), budget, id, borrower)
	}
}

// returnScarce returns the idle lots of routers that were told that tokens are scarce.
func (f *lenderFleet) returnScarce() {
	l := f.router()
	for _, r := range l.holder.CloseScarceLots() {
		for _, lender := range f.lenders {
			if lender.id == r.Lender && !l.partitioned && !lender.partitioned {
				lender.holder.TakeBack(time.Now(), r)
				l.holder.Acknowledge(r)
			}
		}
	}
}

func (f *lenderFleet) queueStep(ctx context.Context) {
	switch rapid.IntRange(0, 15).Draw(f.t, "queue op") {
	case 0, 1, 2, 3:
		f.startRequest(ctx)
	case 4, 5:
		f.finish()
	case 6, 7:
		f.returnScarce()
	case 8:
		f.leaveOne()
	case 9:
		f.waiting.cancelLost = !f.waiting.cancelLost
	case 10:
		i := rapid.IntRange(0, 1).Draw(f.t, "stops")
		f.lenders[i].holder.ReturnAll()
		f.lenders[i].sync(ctx)
		f.collect()
		f.killLender(i)
		f.publish()
	default:
		f.step(ctx)
	}
	f.collect()
	f.publish()
	time.Sleep(time.Duration(rapid.IntRange(0, 100).Draw(f.t, "short ms")) * time.Millisecond)
	f.collect()
}

// publish orders the changes of a step before what requests do afterwards, for the race detector: their goroutines are woken by
// timers and read the fleet's fields after they have locked a holder.
func (f *lenderFleet) publish() {
	for _, l := range f.all {
		l.holder.Revision()
	}
}

// end lets all requests end and returns what they did not use.
func (f *lenderFleet) end() {
	for _, leave := range f.waiting.leave {
		leave()
	}
	f.waiting.running.Wait()
	f.collect()
	for _, l := range f.all {
		l.pages.Wait()
	}
}

// Guards against overspend while requests wait at lenders for reserved tokens: beside the faults of TestNoOverspendWithSettlement,
// callers leave, lost replies are cancelled, and lenders stop as planned with requests that wait.
func TestNoOverspendWithQueue(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		waited := 0
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			f.queueing, f.settleLenders = true, true
			for i := range f.routers {
				f.killRouter(i) // the next ones queue
				f.killLender(i)
			}
			for range rapid.IntRange(1, 120).Draw(rt, "steps") {
				f.queueStep(t.Context())
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
			f.end()
			require.LessOrEqual(rt, f.used, f.limit, "overspend")
			waited += f.waiting.waited
		})
		require.Positive(t, waited, "some requests were served after a wait")
	})
}
