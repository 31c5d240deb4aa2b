// Package router is the process on an entry VM. It knows the callers, sets the
// worst case of each request aside from its team's budget, chooses an upstream,
// passes the answer on, and settles what it cost.
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
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/upstream"
	"github.com/rs/zerolog"
)

// Router is one router process.
type Router struct {
	base    *process.Base
	log     zerolog.Logger
	current *fleet.Current
	places  datacentre.Map
	layout  account.Layout

	holder   *grant.Holder
	desk     *lending.Desk
	pages    *grant.StoreGranter
	acquirer *grant.Acquirer
	outbox   *ledger.Outbox
	shards   *shards
	chooser  *upstream.Chooser
	lost     lostRequests
	watch    watch
	metrics  *routerMetrics
	work     *http.Client
	scheme   string
	// begun says that this life has its incarnation, holder and ledger.
	begun atomic.Bool
	// fenced is closed when this life may spend nothing more.
	fenced     chan struct{}
	fencedOnce sync.Once

	mu      sync.Mutex
	leaving bool
	active  int
	idle    chan struct{}
}

// Bounds of a router's calls.
const (
	// sendTimeout bounds one send of charges, the group commit included.
	sendTimeout = 5 * time.Second
	// linkTimeout bounds a control message.
	linkTimeout = 2 * time.Second
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 10 * time.Second
	// idleConns bounds the kept connections to one agent.
	idleConns = 64
	// dutyInterval is the pause between two rounds of the budget duties.
	dutyInterval = 200 * time.Millisecond
	// lostInterval is the pause between two rounds of questions about lost
	// requests.
	lostInterval = time.Second
)

// New makes a router; it makes no call.
func New(s *settings.Settings, log io.Writer, open process.Opener) (*Router, error) {
	base, err := process.New(s, log, open)
	if err != nil {
		return nil, err
	}
	r := &Router{
		base: base, log: base.Log, current: &fleet.Current{}, chooser: upstream.NewChooser(),
		places: datacentre.Map{Here: s.Datacentre, Regions: s.Regions},
		layout: account.Layout{Prefix: process.PagePrefix, Pages: s.Budgets.Pages},
		work:   workClient(base.Security), scheme: "http", idle: make(chan struct{}), fenced: make(chan struct{}),
	}
	if base.Security.Client != nil {
		r.scheme = "https"
	}
	base.Admin.Dump = r.dump
	return r, nil
}

func workClient(sec link.Security) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: sec.Client, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
	}}
}

// Run serves until stop is done, then stops in order: not ready for the balancer,
// no new work, streams finish, charges are flushed, grants go back.
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
	duties := process.NewDuties(ctx)
	r.metrics = newMetrics(r)
	r.base.Admin.Metrics = r.metrics.set
	duties.Serve(&http.Server{Handler: r.base.Admin.Handler(), ReadHeaderTimeout: headerTimeout}, l.admin, nil)
	if err := r.begin(stop); err != nil {
		cancel()
		duties.Wait()
		return err
	}
	callers := r.start(duties, l, secure)
	err = r.serveUntil(stop)
	r.stop(ctx)
	process.Finish(callers)
	cancel()
	r.base.Links.Close()
	duties.Wait()
	return err
}

// serveUntil takes requests until the stop, or until this life is fenced.
func (r *Router) serveUntil(stop context.Context) error {
	if err := r.prime(stop); err != nil {
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

// prime learns the ledger's positions before the first request.
func (r *Router) prime(ctx context.Context) error {
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

// begin takes the incarnation, the list of VMs and the first configuration.
func (r *Router) begin(ctx context.Context) error {
	if err := r.base.Begin(ctx); err != nil {
		return err
	}
	r.makeHolder()
	r.makeLedger()
	r.begun.Store(true)
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

// start starts a goroutine for each duty, and returns the server for callers.
func (r *Router) start(d *process.Duties, l listeners, secure *tls.Config) *http.Server {
	b := r.base.Settings.Budgets
	d.Go(r.base.Follow)
	d.Go(func(ctx context.Context) { r.base.FollowConfig(ctx, r.current) })
	d.Go(r.outbox.Run)
	r.shards.start(d)
	d.Every(dutyInterval, r.syncDue)
	d.Every(min(time.Second, time.Duration(b.LotIdle)/2), r.returnLots)
	d.Every(time.Duration(b.LotIdle)*auditRounds, r.desk.AuditLots)
	d.Every(lostInterval, r.resolveLost)
	d.Every(time.Duration(b.RecoverInterval), r.recoverDead)
	d.Go(r.placeTokens)
	d.Every(time.Duration(b.Place), r.placeTokens)
	server := &link.Server{Log: r.base.Log.Printf, Security: r.base.Security, Methods: r.methods()}
	d.Go(func(ctx context.Context) { server.Serve(ctx, l.link) })
	callers := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: r.base.Settings.Limits.HeaderBytes}
	d.Serve(callers, l.callers, secure)
	return callers
}

// enter counts a request in.
func (r *Router) enter() *contract.Refusal {
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

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.leaving && r.active == 0 {
		close(r.idle)
	}
}

// stop is a planned stop.
func (r *Router) stop(ctx context.Context) {
	s := r.base.Settings
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.StopTimeout))
	defer cancel()
	r.base.Admin.SetReady(false)
	_ = backoff.Sleep(ctx, time.Duration(s.StopNotice)) // a shorter notice when the time to stop ends
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
	for ctx.Err() == nil && !r.holder.Fenced() && !r.handedOver(ctx) {
		_ = pause.Wait(ctx)
	}
	r.log.Info().Int("charges_left", r.outbox.Waiting()).Int("lost_requests_left", r.lost.size()).Msg("stopped")
}

// handedOver flushes charges, resolves lost requests and gives grants back; it
// reports whether nothing is left. A life that left nothing ends clean.
func (r *Router) handedOver(ctx context.Context) bool {
	r.resolveLost(ctx)
	_ = r.outbox.Flush(ctx)
	clean := r.giveBack(ctx)
	if !clean || r.outbox.Waiting() > 0 || r.lost.size() > 0 {
		return false
	}
	return r.base.Lives.MarkClean(ctx, r.base.Incarnation) == nil
}

// State is a router as dumps show it.
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
		Lost: r.lost.size(), Suspects: r.watch.state()}
	if snap := r.current.Load(); snap != nil {
		s.Generation, s.Preset = snap.Generation, snap.Document.Preset
	}
	if r.begun.Load() {
		s.Incarnation = r.base.Incarnation
		s.Budgets, s.Fenced = r.holder.State(time.Now()), r.holder.Fenced()
		s.Charges, s.Shards = r.outbox.Waiting(), r.shards.state()
	}
	return s
}
