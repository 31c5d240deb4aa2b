package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// rolloutFleet is a fleet whose service "plain" moves from v1 to v2, with callers that use all routers.
type rolloutFleet struct {
	*fleet
	rng      *rand.Rand
	routers  int
	old, new []*standin.Upstream
	ordered  time.Time
	duration time.Duration
	// version is the one that is ordered, replacedAt the revision of its order if it replaced another one.
	version    string
	replacedAt store.Revision
	// stopping are the routers that restart, by VM.
	stopping map[int]*gatewayProcess

	mu sync.Mutex
	// statuses are the status codes that callers got.
	statuses map[int]int
	// state is what operators see, endedAt when it became final.
	state   string
	endedAt time.Time
}

const (
	rolloutUpstreams = 6
	rolloutDuration  = 8 * time.Second
	// rolloutRate is the number of requests per second.
	rolloutRate = 400
)

func startRolloutFleet(f *fleet, seed uint64, routers int) *rolloutFleet {
	r := &rolloutFleet{fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), routers: routers, duration: rolloutDuration, version: "v2", statuses: map[int]int{}, stopping: map[int]*gatewayProcess{}}
	f.putConfig(0, "k1")
	for n := range rolloutUpstreams {
		r.old = append(r.old, f.upstream(fmt.Sprint("i-", n+1), "plain", 0))
	}
	f.startRouters(routers)
	time.Sleep(3 * time.Second)
	return r
}

// order orders the roll-out and starts the new upstreams.
func (r *rolloutFleet) order(mode standin.Mode, slowdown time.Duration) {
	for n := range rolloutUpstreams {
		id := fmt.Sprint("i-", 20+n)
		u := &standin.Upstream{ID: id, Pause: 10*time.Millisecond + slowdown}
		u.SetMode(mode)
		r.serve(upstreamAddress(id), u)
		require.NoError(r.t, r.store.RegisterVersion(id, "plain", upstreamAddress(id), "bergen", "ready", "v2", 6, 0))
		r.new = append(r.new, u)
	}
	r.ordered = time.Now()
	require.NoError(r.t, r.store.OrderRollout("plain", "v2", r.duration))
}

// play sends requests until some time after the deadline; at is called at each step.
func (r *rolloutFleet) play(until time.Duration, at func(elapsed time.Duration)) {
	const step = 20 * time.Millisecond
	clients := map[int]*http.Client{}
	var wg sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < until; elapsed = time.Since(r.ordered) {
		if at != nil {
			at(elapsed)
		}
		r.observeState()
		for range rolloutRate / int(time.Second/step) {
			vm := 1 + r.rng.IntN(r.routers)
			if clients[vm] == nil {
				clients[vm] = r.client()
			}
			req := alert(fmt.Sprintf("%x", r.rng.Uint64()))
			if r.rng.IntN(3) == 0 {
				req = level(req.id)
			}
			req.vm = vm
			client := clients[vm]
			wg.Go(func() {
				resp := r.sendWith(client, req)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.statuses[resp.status]++
			})
		}
		time.Sleep(step)
	}
	wg.Wait()
	r.observeState()
}

// observeState records the state that operators see.
func (r *rolloutFleet) observeState() {
	if r.isOfReplacedOrder() {
		return // asked first: the state may be written meanwhile
	}
	state, version, err := r.store.RolloutStatus("plain")
	require.NoError(r.t, err)
	if state == r.state {
		return
	}
	require.Equal(r.t, r.version, version)
	require.NotContains(r.t, []string{"completed", "rolled_back"}, r.state, "a final state stays")
	r.state = state
	if state != "in_progress" {
		r.endedAt = time.Now()
	}
}

// reasons returns the log lines of decisions.
func (r *rolloutFleet) reasons() (lines []string) {
	for line := range strings.Lines(r.log.String()) {
		if strings.Contains(line, "rollout_decision") {
			lines = append(lines, line)
		}
	}
	return lines
}

// count returns the number of requests that reached upstreams from the order to a time.
func (r *rolloutFleet) count(upstreams []*standin.Upstream, from, until time.Time) (n int) {
	for _, u := range upstreams {
		n += u.Between(from, until)
	}
	return n
}

// checkBound checks what the new version got until the deadline.
func (r *rolloutFleet) checkBound() {
	deadline := r.ordered.Add(r.duration)
	sentToNew := r.count(r.new, r.ordered, deadline)
	all := sentToNew + r.count(r.old, r.ordered, deadline)
	require.LessOrEqual(r.t, float64(sentToNew), 0.1*float64(all)+50, "%d of %d", sentToNew, all)
}

// checkOldStopped checks that nothing was sent to the old upstreams after they were allowed to stop.
func (r *rolloutFleet) checkOldStopped() {
	require.Zero(r.t, r.count(r.old, r.endedAt.Add(time.Millisecond), time.Now()), "sent to stopped upstreams")
}

// Guards against a good version that is not completed by its deadline, and against requests that are cut off
// when the old upstreams stop.
func TestGoodVersionIsCompleted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 1, 5)
		r.order(standin.Serve, 0)
		r.play(r.duration+time.Second, nil)
		require.Equal(t, "completed", r.state, r.reasons())
		require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
		require.Greater(t, r.endedAt.Sub(r.ordered), r.duration/2, "a version that turns bad later would be missed")
		r.checkOldStopped()
		require.Equal(t, map[int]int{200: r.statuses[200]}, r.statuses)
	})
}

// Guards against attempts without a connection that count as requests sent: a router that reaches no upstream of the new version tries one
// after the other for each request, which used up what the version may get, and the last route moved only at the deadline.
func TestAttemptsWithoutAConnectionAreNotSent(t *testing.T) {
	for _, version := range []string{"previous", "new"} {
		t.Run(version+" version unreachable", func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRolloutFleet(f, 1, 6)
				r.order(standin.Serve, 0)
				first := 20 // the number of the version's first upstream
				if version == "previous" {
					first = 1
				}
				for n := range rolloutUpstreams {
					f.cut(linkEnds{1, upstreamAddress(fmt.Sprint("i-", first+n))})
				}
				r.play(r.duration, func(time.Duration) { r.requireNoMoreReported() })
				time.Sleep(time.Second)
				r.observeState()
				require.Equal(t, "completed", r.state, r.reasons())
				require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
				r.checkOldStopped()
			})
		})
	}
}

// requireNoMoreReported requires that routers report no more requests than arrived at upstreams, apart from those on their way.
func (r *rolloutFleet) requireNoMoreReported() {
	synctest.Wait()
	reported := 0
	for _, p := range r.gateways {
		if report, ordered := p.gateway.RolloutReport("plain"); ordered {
			for _, route := range report.Routes {
				reported += route.Old.Sent
				for _, s := range route.New {
					reported += s.Sent
				}
			}
		}
	}
	arrived := r.count(append(slices.Clone(r.old), r.new...), r.ordered, time.Now().Add(time.Millisecond))
	require.LessOrEqual(r.t, reported, arrived)
}

// Guards against a bad version that gets more requests than allowed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		mode     standin.Mode
		slowdown time.Duration
	}{
		"fails":         {standin.Fail, 0},
		"loses answers": {standin.LoseAnswer, 0},
		"slow":          {standin.Serve, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				r := startRolloutFleet(f, 1, 5)
				r.order(c.mode, c.slowdown)
				r.play(r.duration+time.Second, nil)
				require.Equal(t, "rolled_back", r.state)
				r.checkBound()
				for n := range r.old {
					require.NoError(t, f.store.Unregister(fmt.Sprint("i-", n+1)))
				}
				f.settle()
				require.Equal(t, 503, f.send(alert("nothing else is left")).status)
				require.Zero(t, r.count(r.new, r.endedAt.Add(time.Second), time.Now()), "sent to a version that was rolled back")
			})
		})
	}
}

// Guards against a version that turns bad after most of the time has passed.
func TestVersionThatTurnsBadLater(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 2, 5)
		r.order(standin.Serve, 0)
		r.play(r.duration+time.Second, func(elapsed time.Duration) {
			if elapsed > 4*time.Second {
				for _, u := range r.new {
					u.SetMode(standin.Fail)
				}
			}
		})
		require.Equal(t, "rolled_back", r.state)
		r.checkBound()
	})
}

// Guards against a state that operators see as in progress forever: the decider told routers that a version is
// rolled back and ended before the store had it.
func TestDeciderEndsBeforeTheStateIsStored(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 3, 5)
		r.order(standin.Fail, 0)
		silent, cut := false, false
		r.play(r.duration+4*time.Second, func(elapsed time.Duration) {
			if !silent && r.state == "in_progress" {
				silent = true
				f.store.SetUnresponsive(true)
			}
			if silent && !cut && len(r.reasons()) > 0 {
				cut = true
				f.disconnect(r.decider())
				f.store.SetUnresponsive(false)
			}
		})
		require.True(t, cut)
		require.Equal(t, "rolled_back", r.state)
		r.checkBound()
	})
}

// Guards against an order that the operator removed and that goes on.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 4, 3)
		r.order(standin.Serve, 0)
		withdrawn := time.Time{}
		r.play(r.duration, func(elapsed time.Duration) {
			if withdrawn.IsZero() && elapsed > 3*time.Second {
				withdrawn = time.Now()
				require.NoError(t, f.store.WithdrawRollout("plain"))
			}
		})
		require.Equal(t, "rolled_back", r.state)
		require.Zero(t, r.count(r.new, withdrawn.Add(2*time.Second), time.Now()))
	})
}

// Guards against a good version that is rolled back because one of its upstreams fails for reasons of its own.
func TestGoodVersionWithAFailingUpstream(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 5, 5)
		r.order(standin.Serve, 0)
		broken := false
		r.play(r.duration+time.Second, func(elapsed time.Duration) {
			for _, u := range r.new {
				if !broken && elapsed > 3*time.Second && len(u.Requests()) > 0 {
					broken = true
					u.SetMode(standin.LoseAnswer)
				}
			}
		})
		require.True(t, broken)
		require.Equal(t, "completed", r.state, r.reasons())
	})
}
