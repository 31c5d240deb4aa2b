// Package localfleet runs a whole fleet in one process, on loopback: routers and lenders in
// several data centres, as the daemons run them, on stand-ins of the operators' platform and of the
// upstreams. All of them talk over TCP.
package localfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/lender"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("localfleet")

// Services of a local fleet.
const (
	// Assistant is the service of the engines, one a data centre.
	Assistant = "assistant"
	// Alerts is the plain service, with one upstream in the first two data centres.
	Alerts = "alerts"
)

const (
	// engineSlots is how many requests an engine runs at once.
	engineSlots = 16
	// eventPause is the time between two events of a stream, events how many it has.
	eventPause = 5 * time.Millisecond
	events     = 12
	// plainTime is what a plain answer takes.
	plainTime = 10 * time.Millisecond
	// readyWait bounds the start of the fleet, readyPause is the pause between two looks.
	readyWait  = 10 * time.Second
	readyPause = 20 * time.Millisecond
	// stopGrace bounds a planned stop.
	stopGrace = 3 * time.Second
	// storeTimeout bounds an operator's call of the store.
	storeTimeout = 5 * time.Second
)

// Fleet is a running local fleet.
type Fleet struct {
	Store *standin.Store
	// StoreAddress is where the store's stand-in answers (host:port).
	StoreAddress string
	Engines      []*standin.Upstream
	AlertServers []*standin.Upstream

	regions map[string]string
	log     io.Writer
	ctx     context.Context
	end     context.CancelFunc
	servers sync.WaitGroup
	vms     []*vm
	// killed tell when the remains of killed lives have ended.
	killed []chan error

	mu       sync.Mutex
	reserved map[string]net.Listener
}

// vm is one machine with the process on it.
type vm struct {
	name string
	// callers is where a router answers callers, "" on a lender's; admin where the process tells
	// operators of itself.
	callers, ready, admin string
	// start makes the process of a new life, and names that.
	start func(hosted.Network) (p process, life string)
	// life is the one that runs now.
	life string

	link *link
	stop context.CancelFunc
	done chan error
}

// process is a router or a lender.
type process interface{ Run(context.Context) error }

// Start starts a fleet with one router, one engine and one lender in each data centre. It has no
// configuration yet, and routers take callers once they have one; see WaitReady. log takes the
// processes' lines.
func Start(ctx context.Context, datacentres []string, log io.Writer) (*Fleet, error) {
	ctx, end := context.WithCancel(ctx)
	f := &Fleet{Store: standin.NewStore(), regions: map[string]string{}, log: &lockedWriter{w: log}, ctx: ctx, end: end,
		reserved: map[string]net.Listener{}}
	if err := f.startAll(datacentres); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) startAll(datacentres []string) (err error) {
	if f.StoreAddress, err = f.serve(f.Store.Handler()); err != nil {
		return err
	}
	for i, dc := range datacentres {
		f.regions[dc] = "vestland"
		engine, err := f.startUpstream(dc, Assistant, fmt.Sprint("engine-", i+1), events, eventPause)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine.Upstream)
		f.vms = append(f.vms, f.lenderVM(dc, engine.address))
	}
	for i, dc := range datacentres[:min(2, len(datacentres))] {
		alerts, err := f.startUpstream(dc, Alerts, fmt.Sprint("alerts-", i+1), 0, plainTime)
		if err != nil {
			return err
		}
		f.AlertServers = append(f.AlertServers, alerts.Upstream)
	}
	for _, dc := range datacentres {
		f.vms = append(f.vms, f.routerVM(dc))
	}
	for _, v := range f.vms {
		f.run(v)
	}
	return nil
}

// servedUpstream is a stand-in of an upstream and where it answers.
type servedUpstream struct {
	*standin.Upstream
	address string
}

// startUpstream starts and registers a stand-in.
func (f *Fleet) startUpstream(dc, service, id string, events int, pause time.Duration) (servedUpstream, error) {
	u := servedUpstream{Upstream: &standin.Upstream{ID: id, Events: events, Pause: pause}}
	var err error
	if u.address, err = f.serve(u.Upstream); err != nil {
		return u, err
	}
	return u, f.Store.Register(id, service, u.address, dc, "ready", engineSlots)
}

// serve runs an HTTP server on a free loopback port until the fleet stops.
func (f *Fleet) serve(h http.Handler) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: storeTimeout}
	f.servers.Go(func() { _ = s.Serve(ln) }) // ends with Close
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	return ln.Addr().String(), nil
}

func (f *Fleet) routerVM(dc string) *vm {
	s := settings.DefaultGateway()
	s.VM, s.Datacentre, s.Regions = dc+"-router", dc, f.regions
	s.Listen = settings.GatewayListen{Callers: f.reserve(), Ready: f.reserve(), Admin: f.reserve(), Link: f.reserve()}
	s.Store.Address = f.StoreAddress
	s.Stop = settings.Stop{Notice: fleet.Duration(100 * time.Millisecond), Grace: fleet.Duration(stopGrace)}
	return &vm{name: s.VM, callers: s.Listen.Callers, ready: s.Listen.Ready, admin: s.Listen.Admin,
		start: func(n hosted.Network) (process, string) {
			g := gateway.New(&s, n, f.log, noneDropped)
			return g, g.Life
		}}
}

func (f *Fleet) lenderVM(dc, engine string) *vm {
	s := settings.DefaultLender()
	s.VM, s.Datacentre = dc+"-engine", dc
	s.Listen = settings.LenderListen{Admin: f.reserve(), Link: f.reserve()}
	s.Store.Address, s.Upstream.Address = f.StoreAddress, engine
	s.Stop.Grace = fleet.Duration(stopGrace)
	return &vm{name: s.VM, admin: s.Listen.Admin,
		start: func(n hosted.Network) (process, string) {
			l := lender.New(&s, n, f.log, noneDropped)
			return l, l.Life
		}}
}

// noneDropped says that no log line was dropped: lines are written as they come.
func noneDropped() uint64 { return 0 }

// reserve opens a free loopback port and keeps it for the process that will have it: one that was
// only looked up could be taken meanwhile.
func (f *Fleet) reserve() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0" // the process tells when it fails to listen
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved[ln.Addr().String()] = ln
	return ln.Addr().String()
}

// open hands a reserved port over, or opens it again for a later life.
func (f *Fleet) open(network, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.reserved[address]; ln != nil {
		delete(f.reserved, address)
		return ln, nil
	}
	return net.Listen(network, address)
}

// run starts the next life of a VM's process.
func (f *Fleet) run(v *vm) {
	ctx, stop := context.WithCancel(f.ctx)
	v.link, v.stop, v.done = newLink(f.open), stop, make(chan error, 1)
	p, life := v.start(v.link.Network)
	v.life = life
	done := v.done
	go func() { done <- p.Run(ctx) }()
}

// routers are the VMs that callers come to.
func (f *Fleet) routers() []*vm {
	return slices.DeleteFunc(slices.Clone(f.vms), func(v *vm) bool { return v.callers == "" })
}

// lives are the names of those that run now.
func (f *Fleet) lives() map[string]bool {
	lives := map[string]bool{}
	for _, v := range f.vms {
		lives[v.life] = true
	}
	return lives
}

// WaitReady waits until all routers take callers.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, v := range f.routers() {
		for !Ready(ctx, v.ready) {
			select {
			case <-ctx.Done():
				return Error.New("%s is not ready", v.name)
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}

// Ready asks a router as the balancer does whether callers should be sent there; address is that of
// its listener for this question.
func Ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// KillAll ends all routers and lenders at once, as a loss of all power does, and starts their next
// lives. What is left of the lives before reaches nobody, and ends by itself.
func (f *Fleet) KillAll() {
	for _, v := range f.vms {
		v.link.kill()
	}
	for _, v := range f.vms {
		v.stop()
		f.killed = append(f.killed, v.done)
		f.run(v)
	}
}

// Stop makes a planned stop of all processes, routers first, and then of the stand-ins.
func (f *Fleet) Stop() error {
	var failed errs.Group
	for _, role := range []func(*vm) bool{func(v *vm) bool { return v.callers != "" }, func(v *vm) bool { return v.callers == "" }} {
		var stopping []*vm
		for _, v := range f.vms {
			if role(v) && v.stop != nil {
				v.stop()
				stopping = append(stopping, v)
			}
		}
		for _, v := range stopping {
			failed.Add(<-v.done)
		}
	}
	for _, done := range f.killed {
		<-done // that it could not hand anything over is what a kill is
	}
	f.end()
	f.servers.Wait()
	return failed.Err()
}

// Book is an operator's access to the accounts.
func (f *Fleet) Book() account.AdminClient {
	s := &platform.Store{Address: f.StoreAddress, Client: http.DefaultClient, Timeout: storeTimeout}
	return account.AdminClient{Store: s, Layout: account.Layout{Prefix: prepaid.PagePrefix, Pages: settings.DefaultGateway().Budgets.Pages}}
}

// Addresses tells where callers and operators reach the processes, a line each.
func (f *Fleet) Addresses() string {
	var b strings.Builder
	for _, v := range f.vms {
		fmt.Fprintf(&b, "%-14s admin %s", v.name, v.admin)
		if v.callers != "" {
			fmt.Fprintf(&b, "  callers %s", v.callers)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// lockedWriter lets several processes write whole lines to one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
