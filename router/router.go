// Package router is the process on an entry VM. It authenticates callers, reserves the
// maximum cost of each request from its team's budget, chooses an upstream, forwards the
// response, and settles the actual cost.
package router

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/lending"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/upstream"
	"github.com/rs/zerolog"
)

// Router is one router process.
type Router struct {
	base     *process.Base
	log      zerolog.Logger
	current  *fleet.Current
	topology datacentre.Topology
	layout   account.Layout

	holder       *grant.Holder
	endpoint     *lending.Endpoint
	storeGranter *grant.StoreGranter
	acquirer     *grant.Acquirer
	outbox       *ledger.Outbox
	shards       *shards
	chooser      *upstream.Chooser
	lost         lostRequests
	suspects     suspectTracker
	metrics      *routerMetrics
	agentClient  *http.Client
	scheme       string
	// initialized is set once the incarnation, holder and ledger exist.
	initialized atomic.Bool
	// fenced is closed when this incarnation may not spend any more tokens.
	fenced     chan struct{}
	fencedOnce sync.Once

	// endOfStop is when a stopping router ends. It is set when the notice period is over.
	endOfStop atomic.Pointer[time.Time]

	mu      sync.Mutex
	leaving bool
	active  int
	idle    chan struct{}
}

// Bounds of a router's calls.
const (
	// sendTimeout bounds sending one batch of charges, including the group commit.
	sendTimeout = 5 * time.Second
	// linkTimeout bounds a control message.
	linkTimeout = 2 * time.Second
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
	// maxIdleConnsPerAgent is the maximum number of idle connections to one agent.
	maxIdleConnsPerAgent = 64
	// budgetSyncInterval is the pause between two rounds of syncing due pages.
	budgetSyncInterval = 200 * time.Millisecond
	// resolveInterval is the pause between two rounds of resolving lost requests.
	resolveInterval = time.Second
)

// New creates a router without making network calls.
func New(s *settings.Settings, log io.Writer, open process.Opener) (*Router, error) {
	base, err := process.New(s, log, open)
	if err != nil {
		return nil, err
	}
	r := &Router{
		base: base, log: base.Log, current: &fleet.Current{}, chooser: upstream.NewChooser(),
		topology:    datacentre.Topology{Local: s.Datacentre, Regions: s.Regions},
		layout:      account.Layout{Prefix: process.PagePrefix, Pages: s.Budgets.Pages},
		agentClient: newAgentClient(base.Security), scheme: "http", idle: make(chan struct{}), fenced: make(chan struct{}),
	}
	if base.Security.Client != nil {
		r.scheme = "https"
	}
	base.Admin.Dump = r.dump
	return r, nil
}

func newAgentClient(sec link.Security) *http.Client {
	return &http.Client{
		Transport: bounded.Transport(&http.Transport{
			TLSClientConfig: sec.Client, MaxIdleConnsPerHost: maxIdleConnsPerAgent, DisableCompression: true,
		}),
		CheckRedirect: bounded.KeepRedirects,
	}
}

// Run serves until stop is done, then shuts down in order: it reports not ready to the
// load balancer, refuses new requests, waits for running ones, flushes charges and returns
// grants.
func (r *Router) Run(stop context.Context) error {
	secure, err := callersTLS(r.base.Settings.Security.Callers)
	if err != nil {
		return err
	}
	l, err := r.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	tasks := process.NewTaskGroup(ctx)
	r.metrics = newMetrics(r)
	r.base.Admin.Metrics = r.metrics.set
	tasks.Serve(&http.Server{Handler: r.base.Admin.Handler(), ReadHeaderTimeout: headerTimeout}, l.admin, nil)
	if err := r.initialize(stop); err != nil {
		cancel()
		tasks.Wait()
		return err
	}
	callers := r.start(tasks, l, secure)
	err = r.serveUntil(stop)
	r.stop(ctx)
	process.ShutdownServer(callers)
	cancel()
	r.base.Links.Close()
	tasks.Wait()
	return err
}

// serveUntil accepts requests until stop is done or this incarnation is fenced.
func (r *Router) serveUntil(stop context.Context) error {
	if err := r.loadFloors(stop); err != nil {
		return err
	}
	r.base.Admin.SetReady(true)
	select {
	case <-stop.Done():
		return nil
	case <-r.fenced:
		return grant.Error.Wrap(grant.ErrFenced)
	}
}

// loadFloors loads the ledger's positions before the first request.
func (r *Router) loadFloors(ctx context.Context) error {
	pause := backoff.New(50*time.Millisecond, 2*time.Second)
	for {
		err := r.outbox.LoadFloors(ctx)
		if err == nil {
			return nil
		}
		r.log.Warn().Err(err).Msg("ledger_not_reached")
		if pause.Wait(ctx) != nil {
			return ctx.Err()
		}
	}
}

type listeners struct{ admin, link, callers net.Listener }

func (r *Router) listen() (l listeners, err error) {
	s := r.base.Settings.Listen
	if l.admin, err = r.base.Listen("listen.admin", s.Admin); err != nil {
		return l, err
	}
	if l.link, err = r.base.Listen("listen.link", s.Link); err != nil {
		return l, err
	}
	l.callers, err = r.base.Listen("listen.callers", s.Callers)
	return l, err
}

func callersTLS(k settings.KeyPair) (*tls.Config, error) {
	if k.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return nil, process.Error.New("security.callers_tls: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// initialize starts the incarnation, creates the holder and the ledger, and reads the list
// of VMs.
func (r *Router) initialize(ctx context.Context) error {
	if err := r.base.StartIncarnation(ctx); err != nil {
		return err
	}
	r.makeHolder()
	r.makeLedger()
	r.initialized.Store(true)
	pause := backoff.New(100*time.Millisecond, 2*time.Second)
	for {
		err := r.base.View.Refresh(ctx, r.base.Lister, time.Duration(r.base.Settings.Platform.Timeout))
		if err == nil {
			return nil
		}
		r.log.Warn().Err(err).Msg("vm_list_failed")
		if pause.Wait(ctx) != nil {
			return err
		}
	}
}

// start starts the background tasks and returns the server for callers.
func (r *Router) start(tasks *process.TaskGroup, l listeners, secure *tls.Config) *http.Server {
	b := r.base.Settings.Budgets
	tasks.Go(r.base.FollowVMs)
	tasks.Go(func(ctx context.Context) { r.base.FollowConfig(ctx, r.current) })
	tasks.Go(r.outbox.Run)
	r.shards.start(tasks)
	tasks.Every(budgetSyncInterval, r.syncDuePages)
	tasks.Every(min(time.Second, time.Duration(b.LotIdle)/2), r.returnLots)
	tasks.Every(time.Duration(b.LotIdle)*auditIdlePeriods, r.endpoint.AuditLots)
	tasks.Every(resolveInterval, r.resolveLost)
	tasks.Every(time.Duration(b.RecoverInterval), r.recoverDead)
	tasks.Go(r.placeTokens)
	tasks.Every(time.Duration(b.PlacementInterval), r.placeTokens)
	server := &link.Server{Log: r.base.Log.Printf, Security: r.base.Security, Heartbeat: time.Duration(r.base.Settings.Links.Heartbeat),
		Methods: r.methods()}
	tasks.Go(func(ctx context.Context) { server.Serve(ctx, l.link) })
	callers := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: r.base.Settings.Limits.HeaderBytes}
	tasks.Serve(callers, l.callers, secure)
	return callers
}

// beginRequest counts a request as active. It refuses the request if the router is full or
// shutting down.
func (r *Router) beginRequest() *contract.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return contract.Refuse(contract.Stopping, "this router is leaving")
	}
	if r.active >= r.base.Settings.Limits.Concurrent {
		return contract.Refuse(contract.Overloaded, "this router is full")
	}
	r.active++
	return nil
}

func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.leaving && r.active == 0 {
		close(r.idle)
	}
}

// stop performs a planned shutdown.
func (r *Router) stop(ctx context.Context) {
	s := r.base.Settings
	end := time.Now().Add(time.Duration(s.StopTimeout))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	r.base.Admin.SetReady(false)
	_ = backoff.Sleep(ctx, time.Duration(s.StopNotice)) // shorter if stop_timeout expires first
	r.endOfStop.Store(&end)
	r.mu.Lock()
	r.leaving = true
	if r.active == 0 {
		close(r.idle)
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
	}
	pause := backoff.New(50*time.Millisecond, time.Second)
	for ctx.Err() == nil && !r.holder.Fenced() && !r.handOver(ctx) {
		_ = pause.Wait(ctx)
	}
	r.log.Info().Int("charges_left", r.outbox.Waiting()).Int("lost_requests_left", r.lost.size()).Msg("stopped")
}

// refuseLate implements serving.Dispatcher.RefuseLate: once the notice period is over, callers with more time than this router
// are better served by another one. Such a request began before, and its body ended late.
func (r *Router) refuseLate(req *serving.Request) *contract.Refusal {
	end := r.endOfStop.Load()
	if end == nil || !req.Deadline.After(*end) {
		return nil
	}
	return contract.Refuse(contract.Stopping, "this router stops before the deadline of the request")
}

// handOver resolves lost requests, flushes charges and returns grants. It reports whether
// nothing is left; the incarnation is then marked clean.
func (r *Router) handOver(ctx context.Context) bool {
	r.resolveLost(ctx)
	_ = r.outbox.Flush(ctx)
	clean := r.returnTokens(ctx)
	if !clean || r.outbox.Waiting() > 0 || r.lost.size() > 0 {
		return false
	}
	return r.base.Incarnations.MarkClean(ctx, r.base.Incarnation) == nil
}

// State is a summary of a router for debug dumps.
type State struct {
	Incarnation string              `json:"incarnation"`
	Ready       bool                `json:"ready"`
	Leaving     bool                `json:"leaving"`
	Fenced      bool                `json:"fenced"`
	Active      int                 `json:"active_requests"`
	Generation  int64               `json:"configuration_generation"`
	Preset      string              `json:"preset"`
	Charges     int                 `json:"waiting_charges"`
	Lost        int                 `json:"lost_requests"`
	Budgets     []grant.BudgetState `json:"budgets"`
	Shards      []ledger.ShardState `json:"ledger_shards"`
	Upstreams   []upstream.State    `json:"upstreams"`
	Suspects    map[string]string   `json:"suspected_holders"`
	VMs         any                 `json:"vms"`
	Links       []string            `json:"links"`
}

func (r *Router) dump() any {
	r.mu.Lock()
	leaving, active := r.leaving, r.active
	r.mu.Unlock()
	s := State{Ready: r.base.Admin.Ready(), Leaving: leaving, Active: active,
		Upstreams: r.chooser.States(), VMs: r.base.View.State(), Links: r.base.Links.Peers(),
		Lost: r.lost.size(), Suspects: r.suspects.state()}
	if snap := r.current.Load(); snap != nil {
		s.Generation, s.Preset = snap.Generation, snap.Document.Preset
	}
	if r.initialized.Load() {
		s.Incarnation = r.base.Incarnation
		s.Budgets, s.Fenced = r.holder.State(time.Now()), r.holder.Fenced()
		s.Charges, s.Shards = r.outbox.Waiting(), r.shards.state()
	}
	return s
}
