// Package agent is the process in the slot beside an upstream. It is the only way
// to that upstream: it queues by priority, claims what may run only once, counts
// what answers cost, and keeps the second copy of each charge.
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
	upstream    *upstreamCaller
	metrics     *agentMetrics
	nonce       atomic.Int64
	claimCounts claimCounts

	mu      sync.Mutex
	leaving bool
	active  int
	idle    chan struct{} // closed when leaving and nothing is active
}

// sweepInterval is the pause between two questions about evidence of budgets that
// are not in use any more.
const sweepInterval = time.Minute

// Limits of an agent's memory.
const (
	// witnessRuns bounds the runs whose evidence is kept.
	witnessRuns = 50_000
	// sendTimeout bounds one send of charges, the group commit included.
	sendTimeout = 5 * time.Second
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 10 * time.Second
)

// New makes an agent; it makes no call.
func New(s *settings.Settings, log io.Writer, open process.Opener) (*Agent, error) {
	base, err := process.New(s, log, open)
	if err != nil {
		return nil, err
	}
	layout := ledger.Layout{Prefix: process.LedgerPrefix, Shards: s.Ledger.Shards}
	sender := &billing.Sender{Self: s.VM, Links: base.Links, View: base.View, Timeout: sendTimeout}
	a := &Agent{
		base: base, id: s.VM, log: base.Log,
		queue:   NewQueue(s.Upstream.Slots, s.Upstream.Queue),
		witness: witness.New(witnessRuns),
		outbox:  ledger.NewOutbox(layout, sender, s.Ledger.Backlog),
		claims:  claim.Registry{Store: base.Store, Prefix: process.ClaimPrefix},
		upstream: &upstreamCaller{url: s.Upstream.URL, client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: s.Upstream.Slots, DisableCompression: true}}},
		idle: make(chan struct{}),
	}
	a.metrics = newMetrics(a)
	base.Admin.Metrics, base.Admin.Dump = a.metrics.set, a.dump
	return a, nil
}

// Run serves until stop is done, then stops in order: no new work, what runs comes
// to its end, charges are flushed.
func (a *Agent) Run(stop context.Context) error {
	s := a.base.Settings
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	duties := process.NewDuties(ctx)
	duties.Serve(&http.Server{Handler: a.base.Admin.Handler(), ReadHeaderTimeout: headerTimeout}, listeners.admin, nil)
	if err := a.begin(stop); err != nil {
		cancel()
		duties.Wait()
		return err
	}
	duties.Go(a.base.Follow)
	duties.Go(a.outbox.Run)
	duties.Every(sweepInterval, a.sweep)
	server := &link.Server{Log: a.base.Log.Printf, Security: a.base.Security, Methods: a.methods()}
	duties.Go(func(ctx context.Context) { server.Serve(ctx, listeners.link) })
	work := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
	duties.Serve(work, listeners.work, a.base.Security.Server)
	a.base.Admin.SetReady(true)
	<-stop.Done()
	a.stop(ctx, time.Duration(s.StopTimeout))
	process.Finish(work)
	cancel()
	a.base.Links.Close()
	duties.Wait()
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

// begin registers this life first and reads the fences after it: a recovery that
// does not see this life has written its fence before it is read here.
func (a *Agent) begin(ctx context.Context) error {
	if err := a.base.Begin(ctx); err != nil {
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

// Handler is the HTTP interface for routers. With mutual TLS the handshake has
// admitted them; else the shared secret does.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(WorkPath+"/", a.ServeWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.known(r) {
			contract.Refuse(contract.Unauthorized, "the agent takes work from its routers only").Write(w, "")
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (a *Agent) known(r *http.Request) bool {
	if a.base.Security.Server != nil {
		return true
	}
	want := "Bearer " + a.base.Security.Secret
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) == 1
}

// enter counts a request in; it refuses when the agent is leaving.
func (a *Agent) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return false
	}
	a.active++
	return true
}

func (a *Agent) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.leaving && a.active == 0 {
		close(a.idle)
	}
}

// stop ends new work, waits for what runs, and flushes the charges. The life counts
// as clean only when nothing was left behind.
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
	for ctx.Err() == nil && !a.handedOver(ctx) {
		_ = pause.Wait(ctx)
	}
	left := a.outbox.Waiting()
	runs := a.witness.State().Runs
	if left == 0 && runs == 0 {
		if err := a.base.Lives.MarkClean(ctx, a.incarnation); err != nil {
			a.log.Warn().Err(err).Msg("clean_end_not_recorded")
		}
	}
	a.log.Info().Int("charges_left", left).Int("runs_left", runs).Msg("stopped")
}

// handedOver sends what is left to routers, and reports whether nothing is.
func (a *Agent) handedOver(ctx context.Context) bool {
	_ = a.outbox.Flush(ctx)
	a.sweep(ctx)
	return a.outbox.Waiting() == 0 && a.witness.State().Runs == 0
}

// sweep asks how far holders have reported, for budgets that no request has told it
// of, and forgets that evidence.
func (a *Agent) sweep(ctx context.Context) {
	for holder, budgets := range a.witness.Rows() {
		in := link.WatermarkRequest{Holder: holder, Budgets: budgets, Urgent: a.isLeaving()}
		out, ok := a.askWatermarks(ctx, holder, in)
		if !ok {
			continue
		}
		for budget, through := range out.Through {
			a.witness.Trim(budget, map[string]int64{holder: through})
		}
	}
}

// askWatermarks asks the holder's own VM, and any other router when that one does not
// answer: the pages tell it too, if later.
func (a *Agent) askWatermarks(ctx context.Context, holder string, in link.WatermarkRequest) (link.WatermarkReply, bool) {
	routers := slices.Clone(a.base.View.Routers())
	own := vm.IDOf(holder)
	slices.SortStableFunc(routers, func(x, y vm.VM) int {
		return cmp.Compare(distance(own, x), distance(own, y))
	})
	for _, m := range routers[:min(len(routers), askedRouters)] {
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

// askedRouters bounds the routers that are asked about one holder.
const askedRouters = 3

// distance puts the VM named own first.
func distance(own string, m vm.VM) int {
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

// State is an agent as dumps show it.
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
	life := ""
	if a.base.Admin.Ready() {
		life = a.incarnation
	}
	return State{
		Incarnation: life, Ready: a.base.Admin.Ready(), Leaving: leaving, Active: active,
		Charges: a.outbox.Waiting(), Queue: a.queue.State(), Witness: a.witness.State(), Claims: a.claimCounts.state(),
		VMs: a.base.View.State(), Links: a.base.Links.Peers(),
	}
}
