// Package agent is the sidecar process of an upstream. All requests to that upstream go
// through it: it queues them by priority, claims those that may run only once, meters
// responses, and keeps the second copy of each charge.
package agent

import (
	"cmp"
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/billing"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/claim"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/coord/witness"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/rs/zerolog"
)

// Agent is one agent process.
type Agent struct {
	base        *process.Base
	id          string
	incarnation string
	log         zerolog.Logger
	queue       *Queue
	witness     *witness.Witness
	outbox      *ledger.Outbox
	claims      claim.Registry
	upstream    *upstreamClient
	metrics     *agentMetrics
	nonce       atomic.Int64
	claimCounts claimCounts

	mu      sync.Mutex
	leaving bool
	active  int
	idle    chan struct{} // closed when leaving is set and no request is active
}

// sweepInterval is the pause between two sweeps, which trim the evidence about budgets
// that are no longer in use.
const sweepInterval = time.Minute

// Limits and timeouts of an agent.
const (
	// maxWitnessRuns is the maximum number of runs for which evidence is kept.
	maxWitnessRuns = 50_000
	// sendTimeout bounds sending one batch of charges, including the group commit.
	sendTimeout = 5 * time.Second
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
)

// New creates an agent without making network calls.
func New(s *settings.Settings, log io.Writer, open process.Opener) (*Agent, error) {
	base, err := process.New(s, log, open)
	if err != nil {
		return nil, err
	}
	layout := ledger.Layout{Prefix: process.LedgerPrefix, Shards: s.Ledger.Shards}
	sender := &billing.Sender{Self: s.VM, Links: base.Links, View: base.View, Timeout: sendTimeout}
	a := &Agent{
		base: base, id: s.VM, log: base.Log,
		queue:    NewQueue(s.Upstream.Slots, s.Upstream.Queue),
		witness:  witness.New(maxWitnessRuns),
		outbox:   ledger.NewOutbox(layout, sender, s.Ledger.Backlog),
		claims:   claim.Registry{Store: base.Store, Prefix: process.ClaimPrefix},
		upstream: newUpstreamClient(s.Upstream.URL, s.Upstream.Slots),
		idle:     make(chan struct{}),
	}
	a.metrics = newMetrics(a)
	base.Admin.Metrics, base.Admin.Dump = a.metrics.set, a.dump
	return a, nil
}

// Run serves until stop is done, then shuts down in order: it refuses new requests, waits
// for running ones and flushes charges.
func (a *Agent) Run(stop context.Context) error {
	s := a.base.Settings
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	tasks := process.NewTaskGroup(ctx)
	tasks.Serve(&http.Server{Handler: a.base.Admin.Handler(), ReadHeaderTimeout: headerTimeout}, listeners.admin, nil)
	if err := a.initialize(stop); err != nil {
		cancel()
		tasks.Wait()
		return err
	}
	tasks.Go(a.base.FollowVMs)
	tasks.Go(a.outbox.Run)
	tasks.Every(sweepInterval, a.sweep)
	server := &link.Server{Log: a.base.Log.Printf, Security: a.base.Security, Heartbeat: time.Duration(s.Links.Heartbeat), Methods: a.methods()}
	tasks.Go(func(ctx context.Context) { server.Serve(ctx, listeners.link) })
	work := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
	tasks.Serve(work, listeners.work, a.base.Security.Server)
	a.base.Admin.SetReady(true)
	<-stop.Done()
	a.stop(ctx, time.Duration(s.StopTimeout))
	process.ShutdownServer(work)
	cancel()
	a.base.Links.Close()
	tasks.Wait()
	return nil
}

type listeners struct{ admin, link, work net.Listener }

func (a *Agent) listen() (l listeners, err error) {
	s := a.base.Settings.Listen
	if l.admin, err = a.base.Listen("listen.admin", s.Admin); err != nil {
		return l, err
	}
	if l.link, err = a.base.Listen("listen.link", s.Link); err != nil {
		return l, err
	}
	l.work, err = a.base.Listen("listen.work", s.Work)
	return l, err
}

// initialize registers this incarnation before it reads the fences. A recovery that did not
// see this incarnation has therefore written its fence already, and the fence is read here.
func (a *Agent) initialize(ctx context.Context) error {
	if err := a.base.StartIncarnation(ctx); err != nil {
		return err
	}
	a.incarnation = a.base.Incarnation
	pause := backoff.New(100*time.Millisecond, 2*time.Second)
	for {
		upTo, err := a.base.Fences.Load(ctx)
		if err == nil {
			a.witness.RestoreFences(upTo)
			break
		}
		a.log.Warn().Err(err).Msg("fences_not_read")
		if pause.Wait(ctx) != nil {
			return err
		}
	}
	return a.base.View.Refresh(ctx, a.base.Lister, time.Duration(a.base.Settings.Platform.Timeout))
}

// Handler returns the HTTP handler for routers. Mutual TLS authenticates them if it is
// configured, else the shared secret does.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(WorkPath+"/", a.ServeWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			contract.Refuse(contract.Unauthorized, "the agent takes work from its routers only").Write(w, "")
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (a *Agent) authorized(r *http.Request) bool {
	if a.base.Security.Server != nil {
		return true
	}
	want := "Bearer " + a.base.Security.Secret
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) == 1
}

// beginRequest counts a request as active. It reports false if the agent is shutting down.
func (a *Agent) beginRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return false
	}
	a.active++
	return true
}

func (a *Agent) endRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.leaving && a.active == 0 {
		close(a.idle)
	}
}

// stop refuses new requests, waits for running ones and flushes the charges. The
// incarnation is marked clean only if no charge and no evidence is left.
func (a *Agent) stop(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.base.Admin.SetReady(false)
	a.mu.Lock()
	a.leaving = true
	if a.active == 0 {
		close(a.idle)
	}
	a.mu.Unlock()
	select {
	case <-a.idle:
	case <-ctx.Done():
	}
	pause := backoff.New(50*time.Millisecond, time.Second)
	for ctx.Err() == nil && !a.handOver(ctx) {
		_ = pause.Wait(ctx)
	}
	left := a.outbox.Waiting()
	runs := a.witness.State().Runs
	if left == 0 && runs == 0 {
		if err := a.base.Incarnations.MarkClean(ctx, a.incarnation); err != nil {
			a.log.Warn().Err(err).Msg("clean_end_not_recorded")
		}
	}
	a.log.Info().Int("charges_left", left).Int("runs_left", runs).Msg("stopped")
}

// handOver flushes charges and trims evidence. It reports whether nothing is left.
func (a *Agent) handOver(ctx context.Context) bool {
	_ = a.outbox.Flush(ctx)
	a.sweep(ctx)
	return a.outbox.Waiting() == 0 && a.witness.State().Runs == 0
}

// sweep queries the holders' watermarks and trims the evidence up to them. It covers
// budgets that no current request carries watermarks for.
func (a *Agent) sweep(ctx context.Context) {
	for holder, budgets := range a.witness.Rows() {
		in := link.WatermarkRequest{Holder: holder, Budgets: budgets, Urgent: a.isLeaving()}
		out, ok := a.queryWatermarks(ctx, holder, in)
		if !ok {
			continue
		}
		for budget, through := range out.Through {
			a.witness.Trim(budget, map[string]int64{holder: through})
		}
	}
}

// queryWatermarks queries the holder's own VM, then other routers if it does not reply: they
// read the watermarks from the pages, which may lag.
func (a *Agent) queryWatermarks(ctx context.Context, holder string, in link.WatermarkRequest) (link.WatermarkReply, bool) {
	routers := slices.Clone(a.base.View.Routers())
	own := vm.IDOf(holder)
	slices.SortStableFunc(routers, func(x, y vm.VM) int {
		return cmp.Compare(queryRank(own, x), queryRank(own, y))
	})
	for _, m := range routers[:min(len(routers), maxQueriedRouters)] {
		var out link.WatermarkReply
		call, cancel := context.WithTimeout(ctx, sendTimeout)
		err := a.base.Links.Call(call, m.Link, link.MethodWatermarks, in, &out)
		cancel()
		if err == nil {
			return out, true
		}
	}
	return link.WatermarkReply{}, false
}

// maxQueriedRouters is the maximum number of routers that are queried about one holder.
const maxQueriedRouters = 3

// queryRank orders the VM named own before all others.
func queryRank(own string, m vm.VM) int {
	if m.ID == own {
		return 0
	}
	return 1
}

func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *Agent) methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodFence: link.Handle(func(_ context.Context, in link.FenceRequest) (recovery.Evidence, error) {
			a.log.Warn().Str("holder", in.Holder).Msg("fenced")
			return a.witness.Fence(in.Holder), nil
		}),
		link.MethodForget: link.Handle(func(_ context.Context, in link.FenceRequest) (link.Empty, error) {
			a.witness.Forget(in.Holder)
			return link.Empty{}, nil
		}),
		link.MethodOutcome: link.Handle(func(_ context.Context, in link.OutcomeRequest) (link.OutcomeReply, error) {
			used, running, known := a.witness.Resolve(in.Reservation)
			return link.OutcomeReply{Known: known, Running: running, Used: used}, nil
		}),
	}
}

// State is a summary of an agent for debug dumps.
type State struct {
	Incarnation string        `json:"incarnation"`
	Ready       bool          `json:"ready"`
	Leaving     bool          `json:"leaving"`
	Active      int           `json:"active_requests"`
	Charges     int           `json:"waiting_charges"`
	Queue       QueueState    `json:"queue"`
	Witness     witness.State `json:"witness"`
	Claims      ClaimState    `json:"claims"`
	VMs         vm.ViewState  `json:"vms"`
	Links       []string      `json:"links"`
}

func (a *Agent) dump() any {
	a.mu.Lock()
	leaving, active := a.leaving, a.active
	a.mu.Unlock()
	incarnation := ""
	if a.base.Admin.Ready() {
		incarnation = a.incarnation
	}
	return State{
		Incarnation: incarnation, Ready: a.base.Admin.Ready(), Leaving: leaving, Active: active,
		Charges: a.outbox.Waiting(), Queue: a.queue.State(), Witness: a.witness.State(), Claims: a.claimCounts.state(),
		VMs: a.base.View.State(), Links: a.base.Links.Peers(),
	}
}
