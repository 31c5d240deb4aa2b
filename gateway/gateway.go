// Package gateway is the router process on the operators' platform: it answers callers
// on an entry VM, and keeps what must last in the platform's store. What the platform
// speaks is translated in package platform; the path of a request is package serving.
package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/warmup"
)

const (
	// lagPeriod is that of the timer by which the wait for the processor is seen.
	lagPeriod = 50 * time.Millisecond
	// assumedRouters is the number of routers assumed until the store told it.
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
	// relayMbps is the rate of a VM's link (Mbit/s) from which it may relay the store's
	// changes: the copies that a hundred followers ask for at once go through it in a second.
	relayMbps = 100
	// stopMargin is the part of the grace that is kept for the last writes.
	stopMargin = 700 * time.Millisecond
)

// Gateway is one router process.
type Gateway struct {
	*hosted.Base
	// settings are those of the start, current those of the last reload.
	settings *settings.Gateway
	current  atomic.Pointer[settings.Gateway]
	meter    linkMeter
	lag      *admission.Lag

	catalog   catalog.Current
	operators *operatorReader
	directory *directory.Directory
	pool      *pool.Pool
	beside    *announcer
	repeats   *repeats
	prompts   *promptGuard
	path      *serving.Dispatcher
	metrics   *gatewayMetrics

	// What is followed in the store.
	configuration, upstreamEntries hosted.Dependency

	active   atomic.Int64
	stopping atomic.Bool
	// wasCrowded is what crowded last reported.
	wasCrowded atomic.Bool
}

// New makes a gateway; it makes no call.
func New(s *settings.Gateway, network hosted.Network, log io.Writer, dropped func() uint64) *Gateway {
	meter := newMeter(s.Limits.LinkMbps)
	g := &Gateway{
		settings: s,
		meter:    meter,
		lag:      &admission.Lag{Period: lagPeriod},
	}
	g.current.Store(s)
	g.operators = &operatorReader{g: g, emptied: map[string]store.Revision{}}
	g.directory = &directory.Directory{Decode: platform.DecodeUpstream, Report: g, Now: time.Now}
	g.Base = hosted.New(hosted.Parts{
		Methods: g.promptMethods(),
		Role:    prepaid.RoleRouter, VM: s.VM, Datacentre: s.Datacentre, Link: s.Listen.Link,
		Store: s.Store, Budgets: s.Budgets, Limits: prepaid.Configured{Catalog: &g.catalog},
		Readers: map[string]mirror.Reader{platform.OperatorPrefix: g.operators, platform.UpstreamPrefix: g.directory},
		Relays:  s.Limits.LinkMbps == 0 || s.Limits.LinkMbps >= relayMbps,
		Network: metered(network, meter), Log: observe.NewJSONLogger(log, s.Log.Level, s.VM), LogDropped: dropped,
	})
	g.metrics = newMetrics(g)
	g.prompts = newPromptGuard(g)
	g.repeats = &repeats{rule: g.repeatRule, share: g.share, decided: g.repeatDecided}
	g.beside = newAnnouncer(g.Members, g.Links, time.Duration(s.Upstreams.AnnounceTimeout))
	g.pool = &pool.Pool{
		Directory:     g.directory,
		PrefillPerMs:  s.Upstreams.PrefillPerMs,
		Routers:       g.routers,
		Datacentre:          s.Datacentre,
		Announce:           g.beside.ask,
		Withdraw:      g.beside.withdraw,
		ReportRemotePrefill: g.beside.readElsewhere,
		OnStallProne:       g.engineExposed,
		Limits:        limits{g},
		Region:        func(datacentre string) string { return s.Regions[datacentre] },
		Cold:          warmup.Tolerance{Overshoot: s.Cold.Overshoot, Slack: s.Cold.Slack},
		HasLender:        g.beside.known,
		ColdShare:         g.shareOfCold,
		Now:           time.Now,
	}
	g.path = &serving.Dispatcher{
		Upstreams: &upstreams{Pool: g.pool, transport: newTransport(g.Network, s.Upstreams)},
		Budgets:   g.Budgets,
		RetryBudget:   g.repeats,
		Poison:    g.prompts,
		Now:       time.Now,
	}
	g.Admin.Dump = g.dump
	return g
}

// routers is how many routers there are, as far as is known.
func (g *Gateway) routers() int {
	if n, known := g.Members.Count(prepaid.RoleRouter); known {
		return n
	}
	return assumedRouters
}

// shareOfCold is how many of the requests in a second that a cold upstream bears are this
// router's.
func (g *Gateway) shareOfCold(upstream string, most int) int {
	share := g.share()
	if share.Processes == 0 {
		return 0
	}
	routers := slices.Collect(maps.Keys(g.Members.Newest(prepaid.RoleRouter)))
	return warmup.Share(g.settings.VM, time.Since(share.Since), routers, upstream, most)
}

// share is this router's part in what all routers share without messages: the fixed number of
// repeats, and what cold upstreams bear. It has none while others may not count it, or it may not
// count them: when it is not listed, and when what it knows of the list is older than a window, in
// which others may have begun to use theirs. Its own entry outlives that by the time of its lease,
// so that others divide by one fewer only after it has stopped.
func (g *Gateway) share() retrybudget.Share {
	if g.FollowedAge() > g.repeatRule().Window {
		return retrybudget.Share{}
	}
	n, since := g.Members.Sharers()
	return retrybudget.Share{Processes: n, Since: since}
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
		g.Log.Info().Bool("crowded", now).Int64("active", g.active.Load()).Msg("link_usage")
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
	hosted.LimitMemory(g.settings.Limits.MemoryMB)
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	duties := process.NewDuties(ctx)
	g.Log.Info().Str("datacentre", g.settings.Datacentre).Str("callers", g.settings.Listen.Callers).Msg("started")
	callers := g.callerServer()
	g.serve(duties, listeners, callers)
	g.start(duties)
	<-stop.Done()
	g.stop(ctx, callers)
	cancel()
	g.Links.Close()
	duties.Wait()
	g.Budgets.Wait()
	return nil
}

type listeners struct{ callers, ready, admin, link net.Listener }

func (g *Gateway) listen() (l listeners, err error) {
	s := g.settings.Listen
	err = g.Network.ListenAll([]hosted.Listening{
		{Field: "listen.callers", Address: s.Callers, Into: &l.callers},
		{Field: "listen.ready", Address: s.Ready, Into: &l.ready},
		{Field: "listen.admin", Address: s.Admin, Into: &l.admin},
		{Field: "listen.link", Address: s.Link, Into: &l.link},
	})
	return l, err
}

// serve starts the process's servers.
func (g *Gateway) serve(d *process.Duties, l listeners, callers *http.Server) {
	d.Serve(callers, callerListener{l.callers, g.callerLimits}, nil)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	d.Serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, l.ready, nil)
	g.Serve(d, l.admin, l.link)
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
	d.Go(g.beside.run)
	g.prompts.start(d)
	g.Start(d)
	d.Every(lagPeriod, func(context.Context) { g.lag.Tick(time.Now()) })
	d.Every(expirePause, func(context.Context) { g.directory.Expire() })
	d.Every(forgetPause, func(context.Context) { g.pool.Prune() })
}

// stop is a planned stop.
func (g *Gateway) stop(ctx context.Context, callers *http.Server) {
	began := time.Now()
	s := g.current.Load().Stop
	g.stopping.Store(true)
	g.Log.Info().Int64("active", g.active.Load()).Msg("stopping")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Grace)-stopMargin)
	defer cancel()
	_ = backoff.Sleep(ctx, time.Duration(s.Notice)) // a shorter notice when the time to stop ends
	if err := callers.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.Log.Error().Err(err).Msg("shutdown_failed")
	}
	last, end := context.WithTimeout(context.WithoutCancel(ctx), stopMargin/2)
	defer end()
	g.Leave(last)
	g.Log.Info().Int64("active", g.active.Load()).Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
}
