package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	silenceFirst = flag.Uint64("silence.first", 1, "first seed of TestRouterAnswersWhileStoreIsSilent")
	silenceSeeds = flag.Int("silence.seeds", 0, "number of seeds of TestRouterAnswersWhileStoreIsSilent")
)

// Guards against a router that gives a caller no answer at all (neither a response nor a refusal)
// within the request's deadline plus a second, after all processes were killed or stopped around a
// silence of the store. A router that does so is ended with SIGQUIT, which writes its goroutines
// into its log.
func TestRouterAnswersWhileStoreIsSilent(t *testing.T) {
	for i := range *silenceSeeds {
		seed := *silenceFirst + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { silence(t, seed) })
	}
}

func silence(t *testing.T, seed uint64) {
	dir := t.TempDir()
	if *logs != "" {
		dir = fmt.Sprint(*logs, "/silence-", seed)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	tf := newTestFleet(t, dir)
	defer func() {
		var wg sync.WaitGroup
		for _, p := range tf.processes {
			wg.Go(func() { p.stop(syscall.SIGKILL) })
		}
		wg.Wait()
	}()
	tf.waitServing()
	rng := rand.New(rand.NewPCG(seed, 99))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	killAt := between(0, 2500*time.Millisecond)
	silentAt := max(0, killAt+between(-1500*time.Millisecond, 2*time.Second))
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(3)]
	faults := []fault{
		{name: fmt.Sprint("signal all ", signal), at: killAt, do: func() {
			var wg sync.WaitGroup
			for _, p := range tf.processes {
				wg.Go(func() { p.restart(signal) })
			}
			wg.Wait()
		}},
		{name: "store does not respond", at: silentAt, duration: between(200*time.Millisecond, 6*time.Second),
			do: func() { tf.store.SetUnresponsive(true) }, undo: func() { tf.store.SetUnresponsive(false) }},
	}
	if rng.IntN(2) == 0 { // bursts of starved processes, each shorter than the slack of a caller
		for range 40 {
			p := tf.processes[rng.IntN(len(tf.processes))]
			f := tf.pause(p)
			f.at, f.duration = killAt+between(0, 5*time.Second), between(50*time.Millisecond, 400*time.Millisecond)
			faults = append(faults, f)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &loadGenerator{fleet: tf, seed: seed}
	var wg sync.WaitGroup
	var unanswered atomic.Int64
	for n, p := range tf.ofRole("gateway") {
		for _, keepAlive := range []bool{false, true} {
			wg.Go(func() { tf.probeUntil(ctx, g, p, n, keepAlive, &unanswered) })
		}
	}
	wg.Go(func() { g.run(ctx) })
	wg.Go(func() { logLag(ctx, t) })
	runFaults(faults, func(format string, args ...any) {
		t.Log(time.Now().Format("05.000"), fmt.Sprintf(format, args...))
	})
	time.Sleep(6 * time.Second)
	stop()
	wg.Wait()
	byStatus := map[int]int{}
	for _, o := range g.outcomes {
		byStatus[o.status]++
	}
	t.Logf("%d requests by status: %v", len(g.outcomes), byStatus)
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d requests got no answer", n)
	}
}

// probeUntil sends prompts through one router, one after another.
func (tf *testFleet) probeUntil(ctx context.Context, g *loadGenerator, p *process, n int, keepAlive bool, unanswered *atomic.Int64) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: !keepAlive}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		p.mu.Lock()
		before := p.cmd
		p.mu.Unlock()
		route := []string{"chat", "review", "chat", "alert"}[i%4]
		id := fmt.Sprintf("p%d-%t-%d", n, keepAlive, i)
		dump := time.AfterFunc(callerDeadline+700*time.Millisecond, func() {
			p.mu.Lock()
			same := p.cmd == before
			p.mu.Unlock()
			if same {
				p.signal(syscall.SIGQUIT)
			}
		})
		o := g.send(client, p, route, "pilots", id)
		if late := !dump.Stop(); late || errors.Is(o.err, context.DeadlineExceeded) {
			p.mu.Lock()
			same := p.cmd == before
			p.mu.Unlock()
			tf.t.Logf("%s: no answer to %s /%s/ sent at %s within %s (same incarnation %t): %d %v", p.name, id, route,
				o.startedAt.Format("05.000"), time.Since(o.startedAt), same, o.status, o.err)
			if same {
				unanswered.Add(1)
				p.restart(syscall.SIGKILL)
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// logLag logs how late timers of the test's process are, if by more than half a second: callers, upstreams
// and the store run in it, so callers then read answers late that routers gave in time.
func logLag(ctx context.Context, t *testing.T) {
	const step = 20 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(step)
		if late := time.Since(began) - step; late > 500*time.Millisecond {
			t.Logf("%s: a timer of the test was %s late", time.Now().Format("05.000"), late)
		}
	}
}
