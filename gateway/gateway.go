// Package gateway is the router process on the operators' platform: it answers callers
// on an entry VM, and keeps what must last in the platform's store. What the platform
// speaks is translated in package platform; the path of a request is package serving.
package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
)

// memberPrefix begins the keys by which routers know of each other.
const memberPrefix = "arbutusmill/router/"

const (
	// lifeLetters is the length of the random part of a life's name: 40 bits.
	lifeLetters = 8
	// lagPeriod is that of the timer by which the wait for the processor is seen.
	lagPeriod = 50 * time.Millisecond
	// collectorPercent is how much the heap may grow between two collections. The
	// live heap is a few megabytes; with the default of 100 collections took 18 %
	// of the processor time of a streamed answer (BenchmarkStream).
	collectorPercent = 200
	// memoryShare is the part of the process's memory that the collector may fill;
	// the rest is for stacks, buffers of the kernel and a burst between two
	// collections.
	memoryShare = 0.7
	// assumedRouters is the number of routers assumed until the store told it:
	// too many rather than too few, for shares of the retry budget.
	assumedRouters = 8
	// headerTimeout bounds the wait for a request's headers where the operators set
	// no limit, and on the listeners that are not for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds a caller's unused connection where the operators set no
	// limit. Callers use connections again that were idle for many seconds, and a
	// close that crosses a request costs it.
	idleTimeout = 75 * time.Second
	// mostHeaderBytes and mostBodyBytes bound a request whatever the operators
	// allow: a thousand callers at once must fit the memory of a small VM.
	mostHeaderBytes = 64 << 10
	mostBodyBytes   = 8 << 20
	// expirePause is the pause between two looks for entries that did not return.
	expirePause = 200 * time.Millisecond
	// forgetPause is the pause between two looks for upstreams that are gone.
	forgetPause = 10 * time.Second
	// linkHeartbeat and linkDialTimeout watch the connections between routers.
	linkHeartbeat   = time.Second
	linkDialTimeout = 400 * time.Millisecond
	// stopMargin is the part of the grace that is kept for the last writes.
	stopMargin = 700 * time.Millisecond
)

// private is the security of control messages: the platform's internal ports are
// reached by the system's own VMs only.
var private = link.Security{Private: true}

// Network is how a gateway reaches others and is reached.
type Network struct {
	// Listen opens a listening address, as net.Listen does.
	Listen func(network, address string) (net.Listener, error)
	// Dial connects, as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the network of a real process.
func TCP() Network {
	d := &net.Dialer{KeepAliveConfig: keepAlive, Control: boundUnacknowledged}
	return Network{Listen: net.Listen, Dial: d.DialContext}
}

// within bounds the start of a connection.
func (n Network) within(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Dial(ctx, network, address)
	}
}

// Gateway is one router process.
type Gateway struct {
	// settings are those of the start, current those of the last reload.
	settings *settings.Gateway
	current  atomic.Pointer[settings.Gateway]
	log      zerolog.Logger
	// logDropped returns the lines that the log's writer could not keep.
	logDropped func() uint64
	life       string
	network    Network
	meter      linkMeter
	lag        *admission.Lag
	store      *platform.Store

	catalog   catalog.Current
	directory *directory.Directory
	members   *member.Group
	pool      *pool.Pool
	links     *link.Pool
	budgets   *budgets
	repeats   *repeats
	path      *serving.Path
	metrics   *gatewayMetrics
	admin     *observe.Admin

	// What is followed in the store.
	configuration, upstreamEntries, routerEntries dependency

	active   atomic.Int64
	stopping atomic.Bool
	// wasCrowded is what crowded last reported.
	wasCrowded atomic.Bool
}

// New makes a gateway; it makes no call.
func New(s *settings.Gateway, network Network, log io.Writer, dropped func() uint64) *Gateway {
	meter := newMeter(s.Limits.LinkMbps)
	g := &Gateway{
		settings:   s,
		log:        observe.NewJSONLogger(log, s.Log.Level, s.VM),
		logDropped: dropped,
		life:       s.VM + "/" + rand.Text()[:lifeLetters],
		network:    network.metered(meter),
		meter:      meter,
		lag:        &admission.Lag{Period: lagPeriod},
		admin:      &observe.Admin{},
	}
	g.current.Store(s)
	g.log = g.log.With().Str("life", g.life).Logger()
	g.store = newStore(s.Store, g.network)
	g.directory = &directory.Directory{Decode: platform.DecodeUpstream, Report: g, Now: time.Now}
	g.members = g.newMembers()
	g.links = &link.Pool{From: g.life, Security: private, Heartbeat: linkHeartbeat, DialTimeout: linkDialTimeout,
		Dial: g.network.Dial}
	g.budgets = newBudgets(g.life, s.Budgets, g.store, g.members, g.links, &g.catalog, g.log)
	g.repeats = &repeats{rule: g.repeatRule, routers: g.routers}
	g.pool = &pool.Pool{
		Directory:    g.directory,
		PrefillPerMs: s.Upstreams.PrefillPerMs,
		Routers:      g.routers,
		Here:         s.Datacentre,
		Now:          time.Now,
	}
	g.path = &serving.Path{
		Upstreams: &upstreams{Pool: g.pool, transport: newTransport(g.network, s.Upstreams)},
		Budgets:   g.budgets,
		Repeats:   g.repeats,
		Now:       time.Now,
	}
	g.metrics = newMetrics(g)
	g.admin.Metrics, g.admin.Dump = g.metrics.set, g.dump
	return g
}

func newStore(s settings.GatewayStore, n Network) *platform.Store {
	return &platform.Store{
		Address:    s.Address,
		Client:     &http.Client{Transport: storeTransport(n)},
		Timeout:    time.Duration(s.Timeout),
		WatchWait:  time.Duration(s.WatchWait),
		WatchPause: time.Duration(s.WatchPause),
	}
}

func (g *Gateway) newMembers() *member.Group {
	s := g.settings
	return &member.Group{
		Store:    g.store,
		Prefix:   memberPrefix,
		TTL:      time.Duration(s.Store.MemberTTL),
		Interval: time.Duration(s.Store.MemberInterval),
		Report:   g,
		Self:     member.Member{ID: g.life, VM: s.VM, Datacentre: s.Datacentre, Address: s.Listen.Link},
	}
}

func storeTransport(n Network) *http.Transport {
	return &http.Transport{DialContext: n.within(time.Second), MaxIdleConnsPerHost: storeIdleConns}
}

// storeIdleConns bounds the kept connections to the store: two watches, the lease and
// a few calls at once.
const storeIdleConns = 8

// routers is how many routers there are, as far as is known.
func (g *Gateway) routers() int {
	if n, known := g.members.Count(); known {
		return n
	}
	return assumedRouters
}

// repeatRule is the bound on repeats by the settings in force.
func (g *Gateway) repeatRule() retrybudget.Rule {
	s := g.current.Load().Repeats
	return retrybudget.Rule{Ratio: s.Ratio, Extra: s.Extra, Window: time.Duration(s.Window)}
}

// version is that of the configuration in force, 0 before the first.
func (g *Gateway) version() int64 {
	if t := g.catalog.Load(); t != nil {
		return t.Version
	}
	return 0
}

// ready reports whether callers should be sent here. A router that lost the store goes
// on with what it knows; one that never knew anything cannot serve, and one whose link is
// full serves those who are here better if no others come.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && !g.crowded() && g.catalog.Load() != nil && g.directory.Read()
}

// crowded reports whether this VM's link has been full for a while.
func (g *Gateway) crowded() bool {
	now := g.meter.usage.Overloaded(time.Now())
	if g.wasCrowded.Swap(now) != now {
		g.log.Info().Bool("crowded", now).Int64("active", g.active.Load()).Msg("link_usage")
	}
	return now
}

// enter counts a request in.
func (g *Gateway) enter() bool {
	if g.active.Add(1) > int64(g.current.Load().Limits.Concurrent) {
		g.active.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) leave() { g.active.Add(-1) }

// Run serves until stop is done, then stops in order: not ready for the balancer, new
// work still served for a while, open requests finish, unused tokens go back.
func (g *Gateway) Run(stop context.Context) error {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(g.settings.Limits.MemoryMB<<20)))
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	duties := process.NewDuties(ctx)
	g.log.Info().Str("datacentre", g.settings.Datacentre).Str("callers", g.settings.Listen.Callers).Msg("started")
	callers := g.callerServer()
	g.serve(duties, listeners, callers)
	g.start(duties)
	<-stop.Done()
	g.stop(ctx, callers)
	cancel()
	g.links.Close()
	duties.Wait()
	return nil
}

type listeners struct{ callers, ready, admin, link net.Listener }

func (g *Gateway) listen() (l listeners, err error) {
	s := g.settings.Listen
	for _, x := range []struct {
		field, address string
		into           *net.Listener
	}{
		{"listen.callers", s.Callers, &l.callers},
		{"listen.ready", s.Ready, &l.ready},
		{"listen.admin", s.Admin, &l.admin},
		{"listen.link", s.Link, &l.link},
	} {
		if *x.into, err = g.network.Listen("tcp", x.address); err != nil {
			return l, process.Error.New("%s: %w", x.field, err)
		}
	}
	return l, nil
}

// serve starts the process's servers.
func (g *Gateway) serve(d *process.Duties, l listeners, callers *http.Server) {
	d.Serve(callers, callerListener{l.callers, g.callerLimits}, nil)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	d.Serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, l.ready, nil)
	d.Serve(&http.Server{Handler: g.admin.Handler(), ReadHeaderTimeout: headerTimeout}, l.admin, nil)
	links := &link.Server{Security: private, Log: g.log.Printf, Methods: g.budgets.methods()}
	d.Go(func(ctx context.Context) { links.Serve(ctx, l.link) })
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// start starts a goroutine for each duty.
func (g *Gateway) start(d *process.Duties) {
	config := &mirror.Mirror{Store: g.store, Prefix: platform.ConfigKey, Reader: configReader{g}}
	upstreams := &mirror.Mirror{Store: g.store, Prefix: platform.UpstreamPrefix, Reader: g.directory}
	d.Go(config.Run)
	d.Go(upstreams.Run)
	d.Go(g.members.Keep)
	d.Every(syncPause, g.budgets.step)
	d.Every(lagPeriod, func(context.Context) { g.lag.Tick(time.Now()) })
	d.Every(expirePause, func(context.Context) { g.directory.Expire() })
	d.Every(forgetPause, func(context.Context) { g.pool.Forget() })
	d.Every(lotPause, g.budgets.returnLots)
	d.Every(auditPause, g.budgets.desk.AuditLots)
	d.Every(auditPause, g.budgets.settleGone)
}

// stop is a planned stop.
func (g *Gateway) stop(ctx context.Context, callers *http.Server) {
	began := time.Now()
	s := g.current.Load().Stop
	g.stopping.Store(true)
	g.log.Info().Int64("active", g.active.Load()).Msg("stopping")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Grace)-stopMargin)
	defer cancel()
	_ = backoff.Sleep(ctx, time.Duration(s.Notice)) // a shorter notice when the time to stop ends
	if err := callers.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.log.Error().Err(err).Msg("shutdown_failed")
	}
	last, end := context.WithTimeout(context.WithoutCancel(ctx), stopMargin/2)
	defer end()
	if err := g.budgets.giveBack(last); err != nil {
		g.log.Warn().Err(err).Msg("tokens_not_given_back")
	}
	if err := g.members.Leave(last); err != nil {
		g.log.Warn().Err(err).Msg("lease_not_ended")
	}
	g.log.Info().Int64("active", g.active.Load()).Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
}
