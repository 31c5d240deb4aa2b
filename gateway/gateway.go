// Package gateway implements the router process on the operators' platform. A router serves
// callers on an entry VM and keeps durable state in the platform's store. Package platform
// translates the platform's protocols; package serving processes the requests.
package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/link"
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
	// lagPeriod is the period of the timer that measures the wait for the processor.
	lagPeriod = 50 * time.Millisecond
	// assumedRouters is the number of routers assumed until the store has been read.
	assumedRouters = 8
	// headerTimeout limits the wait for a request's headers where the operators set
	// no limit, and on the listeners that are not for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout limits the idle time of a caller's connection where the operators set
	// no limit. Callers reuse connections that were idle for many seconds, and a request
	// that crosses the close is lost.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes and maxBodyBytes limit a request's size where the operators set no
	// limit: a thousand concurrent callers must fit the memory of a small VM. Operators
	// cannot raise the limit on headers above maxHeaderBytes.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	// expireInterval is the interval between checks for missing entries that did not return.
	expireInterval = 200 * time.Millisecond
	// pruneInterval is the interval between removals of the state of upstreams that are gone.
	pruneInterval = 10 * time.Second
	// minRelayMbps is the minimum rate of a VM's link (Mbit/s) for relaying the store's
	// changes: at this rate, a hundred followers that request a copy at once are served in a second.
	minRelayMbps = 100
)

// Gateway is one router process.
type Gateway struct {
	*hosted.Base
	// settings are the settings at startup, current those of the last reload.
	settings *settings.Gateway
	current  atomic.Pointer[settings.Gateway]
	meter    linkMeter
	lag      *admission.Lag
	crowding admission.Crowding
	// roundTrip is the wait of messages to other processes and their replies.
	roundTrip admission.RoundTrip
	// workRatio is the share of the work at the last tick, as the bits of a float64.
	workRatio atomic.Uint64

	catalog        catalog.Current
	operatorReader *operatorReader
	activeConfig   activeConfig
	directory      *directory.Directory
	pool           *pool.Pool
	lenders        *lenderClient
	retryBudgets   *retryBudgets
	prompts        *promptGuard
	rollouts       *rollouts
	streams        *streamVersions
	transport      *bounded.CheckedTransport
	dispatcher     *serving.Dispatcher
	// bodies limits the bodies of callers' requests that are in memory at a time.
	bodies  *bounded.Sum
	metrics *gatewayMetrics

	// Availability of the configuration and of the upstreams' entries in the store.
	configWatch, upstreamWatch hosted.Dependency

	activeRequests atomic.Int64
	// callerConns holds callers' open connections.
	callerConns *callerConns
	stopping    atomic.Bool
	// endOfStop is when a stopping router ends its requests. It is set when the notice period is over.
	endOfStop atomic.Pointer[time.Time]
	// requestsContext is the parent of all requests' contexts; cancelRequests cancels it.
	requestsContext context.Context
	cancelRequests  context.CancelCauseFunc
	// wasOverloaded is the last result of linkOverloaded.
	wasOverloaded atomic.Bool
}

// New returns a gateway that has not started: it sends nothing and does not listen. dropped returns
// the number of log lines that were dropped.
func New(s *settings.Gateway, network hosted.Network, log io.Writer, dropped func() uint64) *Gateway {
	meter := newLinkMeter(s.Limits.LinkMbps)
	g := &Gateway{
		settings:    s,
		meter:       meter,
		lag:         &admission.Lag{Period: lagPeriod},
		bodies:      bounded.NewSum(s.Limits.BodyBytes()),
		callerConns: newCallerConns(s.Limits.MaxConnections()),
	}
	g.current.Store(s)
	g.requestsContext, g.cancelRequests = context.WithCancelCause(context.Background())
	g.operatorReader = &operatorReader{g: g, drained: map[string]store.Revision{}}
	g.directory = &directory.Directory{Decode: platform.DecodeUpstream, Report: g, Now: time.Now}
	g.rollouts = newRollouts(g)
	methods := g.promptMethods()
	maps.Copy(methods, g.rollouts.methods())
	g.streams = newStreamVersions(g)
	maps.Copy(methods, g.streams.methods())
	methods[link.MethodConfig] = link.Handle(g.activeConfig.newerThan)
	g.Base = hosted.New(hosted.Parts{
		Methods: methods,
		Role:    prepaid.RoleRouter, VM: s.VM, Topology: s.Distances.Topology(s.Datacentre, s.Regions), Link: s.Listen.Link,
		MemoryMB: s.Limits.MemoryMB, Store: s.Store, Budgets: s.Budgets, Limits: prepaid.ConfiguredLimits{Catalog: &g.catalog},
		Readers:  map[string]mirror.Reader{platform.OperatorPrefix: g.operatorReader, platform.UpstreamPrefix: g.directory},
		Queueing: s.Queueing.On(s.Queueing.Budgets, s.Regions),
		CanRelay: s.Limits.LinkMbps == 0 || s.Limits.LinkMbps >= minRelayMbps,
		Network:  meteredNetwork(network, meter), Log: observe.NewJSONLogger(log, s.Log.Level, s.VM), LogDropped: dropped,
	})
	g.Links.OnHeartbeat = func(took time.Duration) { g.roundTrip.Observe(time.Now(), took) }
	g.metrics = newMetrics(g)
	g.retryBudgets = &retryBudgets{rule: g.retryRule, share: g.fleetShare, onDecision: g.recordRetryDecision}
	g.prompts = newPromptGuard(g)
	g.lenders = newLenderClient(g.Members, g.Links, time.Duration(s.Upstreams.AnnounceTimeout))
	g.pool = &pool.Pool{
		Directory:           g.directory,
		PrefillPerMs:        s.Upstreams.PrefillPerMs,
		Routers:             g.routerCount,
		Datacentre:          s.Datacentre,
		Topology:            g.severalRegions(),
		Announce:            g.lenders.announce,
		Withdraw:            g.lenders.withdraw,
		ReportRemotePrefill: g.lenders.reportRemotePrefill,
		OnStallProne:        g.logStallProne,
		OnStatement:         g.logStatement,
		Limits:              limits{g},
		Region:              func(datacentre string) string { return s.Regions[datacentre] },
		Cold:                warmup.Tolerance{Overshoot: s.Cold.Overshoot, Slack: s.Cold.Slack},
		Versions:            g.rollouts,
		HasLender:           g.lenders.hasLender,
		ColdShare:           g.coldShare,
		MeasureWork:         g.handsOver(),
		Now:                 time.Now,
	}
	g.directory.ConfirmedAt = func() time.Time { return g.Follower.ConfirmedAt(platform.UpstreamPrefix) }
	g.transport = newTransport(g.Network, s.Upstreams)
	g.dispatcher = &serving.Dispatcher{
		Upstreams: &upstreams{Pool: g.pool, transport: g.transport, unread: &unreadHeaders{log: g.Log, metrics: g.metrics},
			memory: newResponseMemory(s.Limits.MemoryMB), log: g.Log, metrics: g.metrics},
		Budgets:     g.Budgets,
		RetryBudget: g.retryBudgets,
		PromptGuard: g.prompts,
		Streams:     g.streams,
		RefuseLate:  g.refuseLate,
		Panicked:    g.logPanic,
		Now:         time.Now,
	}
	g.Admin.Dump = g.dump
	return g
}

// routerCount returns the known number of routers, or assumedRouters.
func (g *Gateway) routerCount() int {
	if n, known := g.Members.Count(prepaid.RoleRouter); known {
		return n
	}
	return assumedRouters
}

// coldShare returns how many of the maxRequests that a cold upstream accepts per second this router
// may send.
func (g *Gateway) coldShare(upstream string, maxRequests int) int {
	share := g.fleetShare()
	if share.Processes == 0 {
		return 0
	}
	routers := slices.Collect(maps.Keys(g.Members.Newest(prepaid.RoleRouter)))
	return warmup.Share(g.settings.VM, time.Since(share.Since), routers, upstream, maxRequests)
}

// fleetShare returns this router's share of the limits that all routers divide without messages:
// the fixed number of retries, and the maximum load of cold upstreams. The share is zero while
// another router might not count this one, or this one might not count another: when it is not
// listed, and when its copy of the list is older than a window, in which new routers may have begun
// to use their shares. Its own entry stays listed for longer than that, until its lease expires, so
// that others divide by one fewer only after this router has stopped using its share.
func (g *Gateway) fleetShare() retrybudget.Share {
	if g.FollowedAge() > g.retryRule().Window {
		return retrybudget.Share{}
	}
	n, since := g.Members.Sharers()
	return retrybudget.Share{Processes: n, Since: since}
}

// retryRule returns the limit on retries from the current settings.
func (g *Gateway) retryRule() retrybudget.Rule {
	s := g.current.Load().Retries
	return retrybudget.Rule{Ratio: s.Ratio, Extra: s.Extra, Window: time.Duration(s.Window)}
}

// configVersion returns the version of the active configuration, 0 before the first.
func (g *Gateway) configVersion() int64 {
	if table := g.catalog.Load(); table != nil {
		return table.Version
	}
	return 0
}

// ready reports whether the balancer should send callers here. A router that lost its
// connection to the store continues with its last copy; one that never read the store cannot serve.
// A router with an overloaded link, one that is crowded, or one whose connections run out, serves its present callers better if
// it gets no new ones.
func (g *Gateway) ready() bool {
	return !g.closesConnections() && g.catalog.Load() != nil && g.directory.Read() && g.rollouts.ready()
}

// linkOverloaded reports whether this VM's link has been overloaded for some time.
func (g *Gateway) linkOverloaded() bool {
	overloaded := g.meter.usage.Overloaded(time.Now())
	if g.wasOverloaded.Swap(overloaded) != overloaded {
		g.Log.Info().Bool("crowded", overloaded).Int64("active", g.activeRequests.Load()).Msg("link_usage")
	}
	return overloaded
}

// beginRequest counts a request as active. It returns false if the limit is reached.
func (g *Gateway) beginRequest() bool {
	if g.activeRequests.Add(1) > int64(g.current.Load().Limits.MaxConcurrent()) {
		g.activeRequests.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) endRequest() { g.activeRequests.Add(-1) }

// Run serves until stop is done, then shuts down: it reports not ready to the balancer, serves
// new requests for the notice period, lets active requests finish and returns unused tokens. It
// returns an error if it cannot listen.
func (g *Gateway) Run(stop context.Context) error {
	hosted.LimitMemory(g.settings.Limits.MemoryMB)
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	defer g.cancelRequests(context.Canceled)
	tasks := process.NewTaskGroup(ctx)
	g.Log.Info().Str("datacentre", g.settings.Datacentre).Str("callers", g.settings.Listen.Callers).Msg("started")
	callers := g.callerServer()
	g.startServers(tasks, listeners, callers)
	g.startTasks(tasks)
	<-stop.Done()
	lastCalls, cancelCalls := context.WithDeadline(context.WithoutCancel(stop), g.shutdown(ctx, callers))
	defer cancelCalls()
	g.transport.CloseIdleConnections()
	cancel()
	g.Links.Close()
	tasks.Wait()
	g.Budgets.Stop(lastCalls)
	return nil
}

type listeners struct{ callers, ready, admin, link net.Listener }

func (g *Gateway) listen() (l listeners, err error) {
	s := g.settings.Listen
	err = g.Network.ListenAll([]hosted.ListenAddress{
		{Setting: "listen.callers", Address: s.Callers, Listener: &l.callers},
		{Setting: "listen.ready", Address: s.Ready, Listener: &l.ready},
		{Setting: "listen.admin", Address: s.Admin, Listener: &l.admin},
		{Setting: "listen.link", Address: s.Link, Listener: &l.link},
	})
	return l, err
}

func (g *Gateway) startServers(tasks *process.TaskGroup, l listeners, callers *http.Server) {
	tasks.Serve(callers, g.callerListener(l.callers), nil)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	tasks.Serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, l.ready, nil)
	g.Serve(tasks, l.admin, l.link)
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) startTasks(tasks *process.TaskGroup) {
	tasks.Go(g.lenders.run)
	g.prompts.start(tasks)
	g.rollouts.start(tasks)
	g.streams.start(tasks)
	tasks.Go(g.fetchNewerConfig)
	g.Start(tasks)
	tasks.Every(lagPeriod, func(context.Context) { g.tickLag(time.Now()) })
	tasks.Every(expireInterval, func(context.Context) {
		g.directory.Expire()
		g.operatorReader.applyUncertain()
	})
	tasks.Every(pruneInterval, func(context.Context) { g.pool.Prune() })
}
