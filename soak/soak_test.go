package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 3, "how many seeds to play")
	routers   = flag.Int("soak.routers", 3, "how many routers run")
	engines   = flag.Int("soak.engines", 4, "how many engines, each with a lender, run")
	logs      = flag.String("soak.logs", "", "folder in which the processes' logs are kept")
)

const (
	// calmBefore and calmAfter are the times without faults.
	calmBefore = 2 * time.Second
	calmAfter  = 2 * time.Second
	// recovery is the time in which every router must serve every kind of request after the last
	// fault.
	recovery = 20 * time.Second
	look     = 100 * time.Millisecond
)

// Routers and lenders run as processes of their own, with callers that go on all the while. Faults
// come in series and overlap: processes are stopped, killed (one, a lender with a router, all),
// paused and reloaded; their ways to
// the store and to upstreams are reset, silenced in both directions or one, and delayed; upstreams
// fail, lose answers, hang and leave; the store falls silent and loses its history; the
// configuration changes; upstreams name limits. What callers and upstreams see keeps the promises.
func TestSoak(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed) })
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// regressions are seeds that failed once, each with a line on the cause.
var regressions = []uint64{}

func soak(t *testing.T, seed uint64) {
	dir := t.TempDir()
	if *logs != "" {
		dir = filepath.Join(*logs, fmt.Sprint("seed-", seed))
		require.NoError(t, os.MkdirAll(dir, 0o700))
	}
	w := newWorld(t, dir)
	defer func() {
		for _, p := range w.processes {
			p.end(syscall.SIGKILL)
		}
	}()
	w.waitServing()
	c := &crowd{w: w, seed: seed}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.run(ctx); close(done) }()
	time.Sleep(calmBefore)
	faults, planned := w.plan(seed)
	play(append(faults, w.planLimits(seed)...), t.Logf)
	w.waitServing()
	time.Sleep(calmAfter)
	stop()
	<-done
	for _, p := range slices.Backward(w.processes) { // routers first
		p.end(syscall.SIGTERM)
	}
	w.check(c, planned)
}

// waitServing waits until every router serves every kind of request by the newest configuration.
func (w *world) waitServing() {
	deadline := time.Now().Add(recovery)
	probe := &crowd{w: w}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	for _, p := range w.ofRole("gateway") {
		for _, route := range append(slices.Clone(kindNames), fmt.Sprint("v", w.version)) {
			for {
				n++
				o := probe.ask(client, p, route, "pilots", fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), n))
				if o.status == http.StatusOK {
					break
				}
				require.True(w.t, time.Now().Before(deadline), "%s does not serve /%s/: status %d, %v %s", p.name, route, o.status, o.err, o.body)
				time.Sleep(look)
			}
		}
	}
}

// runs is how often a request ran, on all upstreams together.
func (w *world) runs(id string) (n int) {
	for _, u := range w.upstreams {
		n += u.Runs(id)
	}
	return n
}

// check checks what callers and upstreams saw.
func (w *world) check(c *crowd, planned bool) {
	byStatus := map[int]int{}
	cut := 0
	for _, o := range c.outcomes {
		byStatus[o.status]++
		runs := w.runs(o.id)
		if o.whole {
			require.Equal(w.t, o.expected(), o.body, "whole answer to %s", o.id)
		}
		if o.route == "alert" || o.route == "chat" {
			require.LessOrEqual(w.t, runs, 1, "%s must not run twice", o.id)
		}
		if notRun(o.status) {
			require.Zero(w.t, runs, "%s was answered %d: %s", o.id, o.status, o.body)
		}
		if planned && o.status != http.StatusOK && runs > 0 {
			w.t.Errorf("planned work cut %s through %s at %s: status %d, %v", o.id, o.router, o.began.Format("05.000"), o.status, o.err)
		}
		if o.err != nil {
			cut++
		}
	}
	w.t.Logf("%d requests by status: %v, %d without a whole answer", len(c.outcomes), byStatus, cut)
	w.checkSpend(c)
	w.checkLimits()
	for _, service := range []string{"model", "plain"} {
		w.checkRepeats(service)
	}
}

// notRun reports whether a status promises that the request did not run.
func notRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusPaymentRequired}, status)
}

// checkSpend compares what callers got with what their teams paid, and with the accounts. All
// processes have ended.
func (w *world) checkSpend(c *crowd) {
	got := map[string]int64{}
	for _, o := range c.outcomes {
		if serviceOf(o.route) == "model" && w.runs(o.id) > 0 {
			got[o.team] += promptSize + o.events*tokensPerEvent
		}
	}
	s := &platform.Store{Address: w.storeAddress, Client: http.DefaultClient, Timeout: callerDeadline}
	book := account.AdminClient{Store: s, Layout: account.Layout{Prefix: prepaid.PagePrefix, Pages: settings.DefaultGateway().Budgets.Pages}}
	for team, paid := range map[string]int64{"pilots": pilotsPrepaid, "skippers": skippersPrepaid} {
		require.LessOrEqual(w.t, got[team], paid, "%s got more than it paid for", team)
		a, err := book.Get(context.Background(), team)
		require.NoError(w.t, err)
		require.NoError(w.t, a.Check())
		spent := paid - a.Free()
		require.GreaterOrEqual(w.t, spent, got[team], "%s is billed less than it got", team)
		w.t.Logf("%s: got %d tokens, spent or lost %d of %d", team, got[team], spent, paid)
	}
}

// checkRepeats checks the bound on repeats in each window that begins with one.
func (w *world) checkRepeats(service string) {
	seen := map[string]bool{}
	var repeats, requests []time.Time
	slices.SortFunc(w.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, a := range w.arrivals {
		if a.service == service && seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	for _, a := range w.asked {
		if a.service == service {
			requests = append(requests, a.at)
		}
	}
	in := func(list []time.Time, begin time.Time) (n float64) {
		for _, at := range list {
			if !at.Before(begin) && at.Before(begin.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	most := 0.0
	for _, begin := range repeats {
		asked := max(in(requests, begin), in(requests, begin.Add(-retryWindow)), in(requests, begin.Add(-retryWindow/2)))
		most = max(most, in(repeats, begin))
		require.LessOrEqual(w.t, in(repeats, begin), retryRatio*asked+retryExtra, "%s, for %v requests", service, asked)
	}
	w.t.Logf("%s: %v repeats at most in %s", service, most, retryWindow)
}
