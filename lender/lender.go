// Package lender is the process on the VMs of upstreams. It holds prepaid budgets: it is home
// to some, takes their tokens from the store and lends them to routers. And it tells routers
// what the engine beside it has cached and has yet to read, since all of them announce to it
// what they send there. No request passes through it.
//
// Routers could be the homes of budgets, and are where there is no lender. But they are
// cut off from the store, restarted and replaced far more often: each death of a home
// loses the tokens that it held, and a home that is cut off runs out of them.
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

// liveFields are the settings that a reload changes in a running process.
var liveFields = map[string]bool{"stop": true}

// Lender is one such process.
type Lender struct {
	*hosted.Base
	// settings are those of the start, current those of the last reload.
	settings *settings.Lender
	current  atomic.Pointer[settings.Lender]
	upstream neighbour
	// engine is what the upstream has read and has yet to read.
	engine *prefill.Engine
	// prompts are those that end upstreams, as routers told.
	prompts *promptKeeper
	// loggedLimit is the upstream's limit as it was last logged, the bits of a float64.
	loggedLimit atomic.Uint64
	// stopping says that a planned stop has begun.
	stopping atomic.Bool
}

// New makes a lender; it makes no call. dropped returns the lines that the log's writer
// could not keep.
func New(s *settings.Lender, network hosted.Network, log io.Writer, dropped func() uint64) *Lender {
	l := &Lender{settings: s, engine: prefill.NewEngine(time.Now(), s.Upstream.PrefillPerMs)}
	l.prompts = &promptKeeper{first: l.isFirstKeeper}
	methods := l.prompts.methods()
	maps.Copy(methods, map[string]link.Handler{
		link.MethodAnnounce:      link.Handle(l.announce),
		link.MethodWithdraw:      link.Handle(l.withdraw),
		link.MethodReadElsewhere: link.Handle(l.readElsewhere),
		link.MethodLimit:         link.Handle(l.limitNamed),
	})
	l.Base = hosted.New(hosted.Parts{
		Role: prepaid.RoleLender, VM: s.VM, Datacentre: s.Datacentre, Link: s.Listen.Link, Beside: s.Upstream.Address, Relays: true,
		Methods: methods,
		Store:   s.Store, Budgets: s.Budgets, Limits: &prepaid.Told{},
		Network: network, Log: observe.NewJSONLogger(log, s.Log.Level, s.VM), LogDropped: dropped,
	})
	l.prompts.store, l.prompts.unreadable, l.prompts.log = l.Store, l.Unreadable, l.Log
	l.current.Store(s)
	l.upstream = neighbour{
		address: s.Upstream.Address,
		timeout: time.Duration(s.Upstream.Timeout),
		client:  &http.Client{Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1}},
	}
	l.Admin.Dump = l.dump
	l.Metrics.NewGauge("arbutusmill_lender_kept_prompts", func() float64 { return float64(len(l.prompts.register.List(time.Now()))) })
	l.Metrics.NewGauge("arbutusmill_lender_limit_per_second", func() float64 { return l.engine.State(time.Now()).Limit })
	return l
}

// isFirstKeeper reports whether this process is the first of those that keep prompts.
func (l *Lender) isFirstKeeper() bool {
	ranked := l.Members.Rank(poison.KeepersKey, prepaid.RoleLender)
	return len(ranked) > 0 && ranked[0].ID == l.Life
}

// state is a lender as dumps show it.
type state struct {
	Life    string `json:"life"`
	Aside   bool   `json:"aside"`
	Budgets any    `json:"budgets"`
	Engine  any    `json:"engine"`
	Members any    `json:"members"`
	// Followed is whom the process follows, Relay what it relays to others.
	Followed any `json:"followed"`
	Relay    any `json:"relay"`
	// Prompts are those that upstreams ended under, as routers told.
	Prompts any `json:"prompts"`
}

func (l *Lender) dump() any {
	return state{Life: l.Life, Aside: l.Members.Withdrawn(), Engine: l.engine.State(time.Now()), Budgets: l.Budgets.State(), Members: l.Members.Members(),
		Followed: l.Follower.State(), Relay: l.Hub.State(), Prompts: l.prompts.register.List(time.Now())}
}

// Run serves until stop is done, then gives unused tokens back.
func (l *Lender) Run(stop context.Context) error {
	hosted.LimitMemory(l.settings.Limits.MemoryMB)
	var admin, links net.Listener
	err := l.Network.ListenAll([]hosted.Listening{
		{Field: "listen.admin", Address: l.settings.Listen.Admin, Into: &admin},
		{Field: "listen.link", Address: l.settings.Listen.Link, Into: &links},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	duties := process.NewDuties(ctx)
	l.Log.Info().Str("datacentre", l.settings.Datacentre).Str("link", l.settings.Listen.Link).Msg("started")
	l.Serve(duties, admin, links)
	if l.upstream.address != "" {
		l.Members.SetWithdrawn(true) // until the upstream has answered
		duties.Go(l.followUpstream)
	}
	duties.Every(lapsePause, l.prompts.lapse)
	duties.Every(storePause, l.prompts.write)
	l.Start(duties)
	l.Admin.SetReady(true)
	<-stop.Done()
	l.stop(ctx)
	cancel()
	l.Links.Close()
	duties.Wait()
	l.Budgets.Wait()
	return nil
}

// announce takes a prompt that a router sends to the upstream beside.
func (l *Lender) announce(_ context.Context, in prefill.Announcement) (prefill.AnnounceReply, error) {
	told := l.engine.Announce(time.Now(), in)
	l.announced(told)
	l.limitKnown(told.Limit)
	return told, nil
}

// announced counts a prompt by whether it may go to the upstream.
func (l *Lender) announced(told prefill.AnnounceReply) {
	result := "taken"
	switch {
	case told.Denied && told.RetryAfter > 0:
		result = "beyond_limit"
	case told.Denied:
		result = "beyond_cold"
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_lender_announced_prompts_total{result=%q}", result)).Inc()
}

// limitNamed takes what an answer of the upstream beside said of the requests that it takes.
func (l *Lender) limitNamed(_ context.Context, in link.LimitNamed) (ratelimit.State, error) {
	known := l.engine.ObserveLimit(time.Now(), in.Born, in.Word)
	l.limitKnown(known)
	return known, nil
}

// limitKnown logs when what is known of the upstream's limit has changed.
func (l *Lender) limitKnown(k ratelimit.State) {
	if was := l.loggedLimit.Swap(math.Float64bits(k.PerSecond)); was != math.Float64bits(k.PerSecond) {
		l.Log.Info().Float64("was_per_second", math.Float64frombits(was)).Float64("per_second", k.PerSecond).
			Int64("number", k.Mark.Number).Msg("upstream_limit")
	}
}

// withdraw takes back a prompt that went elsewhere.
func (l *Lender) withdraw(_ context.Context, in link.Withdrawal) (link.Empty, error) {
	l.engine.Withdraw(time.Now(), in.Announcement, in.Told)
	return link.Empty{}, nil
}

// readElsewhere takes that another engine reads parts of prompts which prefer the one beside.
func (l *Lender) readElsewhere(_ context.Context, in prefill.RemotePrefill) (link.Empty, error) {
	l.engine.RecordRemotePrefill(time.Now(), in)
	return link.Empty{}, nil
}

// stopMargin is the part of the grace that is kept for the end of the process.
const stopMargin = time.Second

// stop is a planned stop: others become homes in this process's place, and what it lent
// comes back as the borrowers' requests end. What is still out then counts as used.
func (l *Lender) stop(ctx context.Context) {
	began := time.Now()
	l.stopping.Store(true)
	l.Log.Info().Msg("stopping")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.current.Load().Stop.Grace)-stopMargin)
	defer cancel()
	l.Members.SetWithdrawn(true)
	l.Hub.Stop()
	l.Leave(ctx)
	l.Log.Info().Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
}

// Reload puts checked settings in force, as far as a running process can change.
func (l *Lender) Reload(s *settings.Lender) {
	changed, restart := settings.Differences(l.current.Load(), s, liveFields)
	l.current.Store(s)
	l.Reloaded("taken")
	l.Log.Info().Str("changed", strings.Join(changed, ",")).Str("needs_restart", strings.Join(restart, ",")).Msg("reloaded")
}

// ReloadRefused notes settings that are wrong; those in force stay.
func (l *Lender) ReloadRefused(err error) {
	l.Reloaded("refused")
	l.Log.Error().Err(err).Msg("reload_refused")
}
