// Package lender implements the process that runs on the VMs of upstreams. It holds prepaid
// budgets: as their primary it takes their tokens from the store and lends them to routers. It
// also reports to routers the cached prompt parts and the pending prefill of the engine on its VM,
// since all routers announce to it what they send there. No request passes through it.
//
// Routers can be primaries of budgets, and are where there is no lender. But they are partitioned
// from the store, restarted and replaced far more often: each death of a primary loses the tokens
// that it held, and a primary that cannot reach the store runs out of them.
package lender

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/settings"
)

// reloadableFields are the settings that a reload applies without a restart.
var reloadableFields = map[string]bool{"stop": true}

// Lender is the state of a lender process.
type Lender struct {
	*hosted.Base
	// settings are those from the start, current those from the last reload.
	settings *settings.Lender
	current  atomic.Pointer[settings.Lender]
	upstream upstreamMonitor
	// engine models the upstream's cache and pending prefill.
	engine *prefill.Engine
	// prompts stores the prompts that crash upstreams, as reported by routers.
	prompts *promptKeeper
	streams *streamKeeper
	// loggedLimit is the last logged limit of the upstream, as the bits of a float64.
	loggedLimit atomic.Uint64
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

// New returns a lender; it makes no calls to other processes. dropped returns the number of lines
// that the log writer dropped.
func New(s *settings.Lender, network hosted.Network, log io.Writer, dropped func() uint64) *Lender {
	l := &Lender{settings: s, engine: prefill.NewEngine(time.Now(), s.Upstream.PrefillPerMs)}
	l.prompts = &promptKeeper{isWriter: l.isPromptWriter}
	l.streams = &streamKeeper{}
	methods := l.prompts.methods()
	maps.Copy(methods, hosted.StreamMethods(&l.streams.registry))
	maps.Copy(methods, map[string]link.Handler{
		link.MethodAnnounce:      link.Handle(l.announce),
		link.MethodWithdraw:      link.Handle(l.withdraw),
		link.MethodRemotePrefill: link.Handle(l.recordRemotePrefill),
		link.MethodLimit:         link.Handle(l.observeLimit),
	})
	l.Base = hosted.New(hosted.Parts{
		Role: prepaid.RoleLender, VM: s.VM, Topology: s.Distances.Topology(s.Datacentre, s.Regions), Link: s.Listen.Link, UpstreamAddress: s.Upstream.Address, CanRelay: true,
		Methods: methods, OnRestored: l.prompts.storeRestored,
		MemoryMB: s.Limits.MemoryMB, Store: s.Store, Budgets: s.Budgets, Limits: &prepaid.ReportedLimits{},
		Queueing: s.Queueing.On(s.Queueing.Budgets, s.Regions),
		Network:  network, Log: observe.NewJSONLogger(log, s.Log.Level, s.VM), LogDropped: dropped,
	})
	l.prompts.store, l.prompts.recordUnreadable, l.prompts.log = l.Store, l.RecordUnreadable, l.Log
	l.streams.incarnation, l.streams.members, l.streams.links, l.streams.log = l.Incarnation, l.Members, l.Links, l.Log
	l.streams.moved = l.Metrics.NewCounter("arbutusmill_lender_moved_streams_total")
	l.current.Store(s)
	l.upstream = upstreamMonitor{
		address: s.Upstream.Address,
		timeout: time.Duration(s.Upstream.Timeout),
		client: &http.Client{
			Transport:     bounded.Transport(&http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1}),
			CheckRedirect: bounded.KeepRedirects,
		},
	}
	l.Admin.Dump = l.dump
	l.Metrics.NewGauge("arbutusmill_lender_kept_prompts", func() float64 { return float64(len(l.prompts.registry.List(time.Now()))) })
	l.Metrics.NewGauge("arbutusmill_lender_kept_streams", func() float64 { return float64(l.streams.registry.Len()) })
	l.Metrics.NewGauge("arbutusmill_lender_limit_per_second", func() float64 { return l.engine.State(time.Now()).Limit })
	return l
}

// isPromptWriter reports whether this process ranks first among those that keep prompts and
// therefore writes them to the store.
func (l *Lender) isPromptWriter() bool {
	ranked := l.Members.Rank(poison.KeepersKey, prepaid.RoleLender)
	return len(ranked) > 0 && ranked[0].ID == l.Incarnation
}

// state is the part of a lender that dumps contain.
type state struct {
	Incarnation string `json:"life"`
	Withdrawn   bool   `json:"aside"`
	Budgets     any    `json:"budgets"`
	// Regions are the primaries of each page of budgets by region, in a fleet of several regions.
	Regions any `json:"regions,omitempty"`
	Engine  any `json:"engine"`
	Members any `json:"members"`
	// Followed is the relay that the process follows, Relay what it relays to others.
	Followed any `json:"followed"`
	Relay    any `json:"relay"`
	// Prompts are those during which upstreams crashed, as reported by routers.
	Prompts any `json:"prompts"`
}

func (l *Lender) dump() any {
	return state{Incarnation: l.Incarnation, Withdrawn: l.Members.Withdrawn(), Engine: l.engine.State(time.Now()), Budgets: l.Budgets.State(), Regions: l.Budgets.Regions(), Members: l.Members.Members(),
		Followed: l.Follower.State(), Relay: l.Hub.State(), Prompts: l.prompts.registry.List(time.Now())}
}

// Run serves until stop is done, then returns unused tokens. Its error is that of a listening
// address that cannot be opened.
func (l *Lender) Run(stop context.Context) error {
	hosted.LimitMemory(l.settings.Limits.MemoryMB)
	var admin, links net.Listener
	err := l.Network.ListenAll([]hosted.ListenAddress{
		{Setting: "listen.admin", Address: l.settings.Listen.Admin, Listener: &admin},
		{Setting: "listen.link", Address: l.settings.Listen.Link, Listener: &links},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	tasks := process.NewTaskGroup(ctx)
	l.Log.Info().Str("datacentre", l.settings.Datacentre).Str("link", l.settings.Listen.Link).Msg("started")
	l.Serve(tasks, admin, links)
	if l.upstream.address != "" {
		l.Members.SetWithdrawn(true) // until the upstream has answered
		tasks.Go(l.monitorUpstream)
	}
	tasks.Every(expireInterval, l.prompts.expire)
	tasks.Every(storeInterval, l.prompts.write)
	tasks.Every(moveInterval, l.streams.move)
	l.Start(tasks)
	l.Admin.SetReady(true)
	<-stop.Done()
	lastCalls, cancelCalls := context.WithDeadline(context.WithoutCancel(stop), l.stop(ctx))
	defer cancelCalls()
	cancel()
	l.Links.Close()
	tasks.Wait()
	l.Budgets.Stop(lastCalls)
	return nil
}

// announce records a prompt that a router sends to the upstream on this VM.
func (l *Lender) announce(_ context.Context, in prefill.Announcement) (prefill.AnnounceReply, error) {
	reply := l.engine.Announce(time.Now(), in)
	l.countAnnouncement(reply)
	l.logLimit(reply.Limit)
	return reply, nil
}

// countAnnouncement counts a prompt by whether it may be sent to the upstream.
func (l *Lender) countAnnouncement(reply prefill.AnnounceReply) {
	result := "taken"
	switch {
	case reply.Denied && reply.RetryAfter > 0:
		result = "beyond_limit"
	case reply.Denied:
		result = "beyond_cold"
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_lender_announced_prompts_total{result=%q}", result)).Inc()
}

// observeLimit records the request limit that a response of the upstream on this VM named.
func (l *Lender) observeLimit(_ context.Context, in link.LimitReport) (ratelimit.State, error) {
	limit := l.engine.ObserveLimit(time.Now(), in.StartUnixMS, in.Limit)
	l.logLimit(limit)
	return limit, nil
}

// logLimit logs changes of the upstream's recorded limit.
func (l *Lender) logLimit(s ratelimit.State) {
	if was := l.loggedLimit.Swap(math.Float64bits(s.PerSecond)); was != math.Float64bits(s.PerSecond) {
		l.Log.Info().Float64("was_per_second", math.Float64frombits(was)).Float64("per_second", s.PerSecond).
			Int64("number", s.Mark.Number).Msg("upstream_limit")
	}
}

// withdraw revokes the announcement of a prompt that went to another upstream.
func (l *Lender) withdraw(_ context.Context, in link.Withdrawal) (link.Empty, error) {
	l.engine.Withdraw(time.Now(), in.Announcement, in.Reply)
	return link.Empty{}, nil
}

// recordRemotePrefill records that another engine prefills parts of prompts whose preferred engine
// is the one on this VM.
func (l *Lender) recordRemotePrefill(_ context.Context, in prefill.RemotePrefill) (link.Empty, error) {
	l.engine.RecordRemotePrefill(time.Now(), in)
	return link.Empty{}, nil
}

const (
	// stopMargin is the part of the grace period that is reserved for the end of the process.
	stopMargin = time.Second
	// lastCallTime is the part of stopMargin for calls of the store that are still in progress.
	lastCallTime = 500 * time.Millisecond
)

// stop performs a planned stop: other processes become primaries in this one's place, and lent
// tokens are returned as the borrowers' requests end. Tokens still lent afterwards count as used. It returns the end of the time
// for calls of the store that are still in progress.
func (l *Lender) stop(ctx context.Context) time.Time {
	began := time.Now()
	l.stopping.Store(true)
	l.Log.Info().Msg("stopping")
	end := began.Add(time.Duration(l.current.Load().Stop.Grace) - stopMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	l.Members.SetWithdrawn(true)
	l.Hub.Stop()
	l.streams.move(ctx)
	l.Leave(ctx)
	l.streams.move(ctx) // those that came meanwhile
	l.Log.Info().Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
	return end.Add(lastCallTime)
}

// Reload applies validated settings as far as a running process can change them.
func (l *Lender) Reload(s *settings.Lender) {
	changed, restart := settings.Differences(l.current.Load(), s, reloadableFields)
	l.current.Store(s)
	l.RecordReload("taken")
	l.Log.Info().Str("changed", strings.Join(changed, ",")).Str("needs_restart", strings.Join(restart, ",")).Msg("reloaded")
}

// ReloadRefused records a reload with invalid settings; the active settings stay.
func (l *Lender) ReloadRefused(err error) {
	l.RecordReload("refused")
	l.Log.Error().Err(err).Msg("reload_refused")
}
