// Package demo runs a fleet of the form with agents in one process, on loopback addresses: the
// platform's stand-in, engines, a plain service, and a router and agents in each
// data centre. Each part is what the daemons run, and they talk over TCP.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/agent"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/etcd"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/router"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("demo")

// Options are the sizes of a local fleet.
type Options struct {
	Datacentres []string
	// Routers and Engines are per data centre; there is one plain service in
	// the first one.
	Routers, Engines int
	Engine           standin.EngineOptions
	// Upstream, if not nil, takes the engines' place.
	Upstream http.Handler
	// Log takes the processes' logs.
	Log io.Writer
	// Tune changes a process's settings before it starts; it may be nil.
	Tune func(*settings.Settings)
}

// Names of the services of a local fleet.
const (
	Assistant = "assistant"
	Orders    = "orders"
)

// Fleet is a running local fleet.
type Fleet struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Service  *standin.Service
	// Callers are the routers' addresses for callers, Admins those of all
	// processes for operators, by VM.
	Callers map[string]string
	Admins  map[string]string
	// StoreURL is the address of the platform's stand-in.
	StoreURL string
	// VMs is the platform's list.
	VMs []vm.VM

	opt   Options
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	procs map[string]*proc
	mu    sync.Mutex
	errs  errs.Group
	// reserved are ports that no process has taken yet.
	reserved map[string]net.Listener
}

// proc is one router or agent.
type proc struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// secret is known to the processes of one local fleet only.
const secret = "loopback-only"

// Start starts the stand-ins and all processes and waits until they are ready.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{opt: opt, ctx: ctx, stop: cancel, Callers: map[string]string{}, Admins: map[string]string{}, procs: map[string]*proc{}, reserved: map[string]net.Listener{}}
	f.Platform = standin.NewPlatform(nil)
	var err error
	if f.StoreURL, err = f.serve(f.Platform.Handler()); err != nil {
		cancel()
		return nil, err
	}
	if err := f.startAll(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	var all []*settings.Settings
	for _, dc := range f.opt.Datacentres {
		for i := range f.opt.Routers {
			all = append(all, f.routerSettings(dc, i))
		}
		for i := range f.opt.Engines {
			s, err := f.engineSettings(dc, i)
			if err != nil {
				return err
			}
			all = append(all, s)
		}
	}
	s, err := f.serviceSettings(f.opt.Datacentres[0])
	if err != nil {
		return err
	}
	all = append(all, s)
	for _, s := range all {
		f.VMs = append(f.VMs, vmOf(s))
	}
	f.Platform.SetVMs(f.VMs)
	for _, s := range all {
		if err := f.start(s); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// serve runs an HTTP server on a free loopback port until the fleet stops.
func (f *Fleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.wg.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	return "http://" + ln.Addr().String(), nil
}

func (f *Fleet) base(id, dc, role string) *settings.Settings {
	s := settings.Default()
	s.Role, s.VM, s.Datacentre = role, id, dc
	s.Platform.Store, s.Platform.VMs = f.StoreURL, f.StoreURL+"/vms"
	s.Security.SharedSecret = secret
	s.Listen.Link, s.Listen.Admin = f.reserve(), f.reserve()
	s.Ledger.Flush = fleet.Duration(50 * time.Millisecond)
	s.Budgets.LotIdle = fleet.Duration(500 * time.Millisecond)
	s.StopNotice = 0
	s.StopTimeout = fleet.Duration(20 * time.Second)
	return &s
}

func (f *Fleet) routerSettings(dc string, i int) *settings.Settings {
	s := f.base(fmt.Sprintf("%s-router-%d", dc, i+1), dc, settings.RoleRouter)
	s.Listen.Callers = f.reserve()
	return s
}

func (f *Fleet) engineSettings(dc string, i int) (*settings.Settings, error) {
	e := standin.NewEngine(f.opt.Engine)
	f.Engines = append(f.Engines, e)
	f.wg.Go(func() { e.Run(f.ctx) })
	h := e.Handler()
	if f.opt.Upstream != nil {
		h = f.opt.Upstream
	}
	url, err := f.serve(h)
	if err != nil {
		return nil, err
	}
	s := f.base(fmt.Sprintf("%s-engine-%d", dc, i+1), dc, settings.RoleAgent)
	s.Listen.Work = f.reserve()
	s.Upstream = settings.Upstream{Service: Assistant, URL: url, Slots: f.opt.Engine.Slots, Queue: 64}
	return s, nil
}

func (f *Fleet) serviceSettings(dc string) (*settings.Settings, error) {
	f.Service = standin.NewService()
	url, err := f.serve(f.Service.Handler())
	if err != nil {
		return nil, err
	}
	s := f.base(dc+"-orders-1", dc, settings.RoleAgent)
	s.Listen.Work = f.reserve()
	s.Upstream = settings.Upstream{Service: Orders, URL: url, Slots: 8, Queue: 64}
	return s, nil
}

func vmOf(s *settings.Settings) vm.VM {
	m := vm.VM{ID: s.VM, Datacentre: s.Datacentre, Role: vm.Role(s.Role), State: vm.Live, Link: s.Listen.Link}
	m.Work, m.Service = s.Listen.Work, s.Upstream.Service
	return m
}

// reserve opens a free loopback port and keeps it open for the process that will
// have it: a port that were only looked up could be taken by another one meanwhile.
func (f *Fleet) reserve() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved[ln.Addr().String()] = ln
	return ln.Addr().String()
}

// open hands a reserved port over.
func (f *Fleet) open(network, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.reserved[address]; ln != nil {
		delete(f.reserved, address)
		return ln, nil
	}
	return net.Listen(network, address)
}

// runner is a router or an agent.
type runner interface{ Run(context.Context) error }

func (f *Fleet) make(s *settings.Settings) (runner, error) {
	if s.Role == settings.RoleRouter {
		return router.New(s, f.opt.Log, f.open)
	}
	return agent.New(s, f.opt.Log, f.open)
}

func (f *Fleet) start(s *settings.Settings) error {
	if f.opt.Tune != nil {
		f.opt.Tune(s)
	}
	if err := s.Check(); err != nil {
		return err
	}
	run, err := f.make(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	p := &proc{settings: s, stop: cancel, done: make(chan struct{})}
	f.procs[s.VM] = p
	f.Admins[s.VM] = s.Listen.Admin
	if s.Role == settings.RoleRouter {
		f.Callers[s.VM] = s.Listen.Callers
	}
	f.wg.Go(func() {
		defer close(p.done)
		if err := run.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.errs.Add(err)
		}
	})
	return nil
}

// StopOne makes a planned stop of one process and waits for its end.
func (f *Fleet) StopOne(id string) {
	p := f.procs[id]
	p.stop()
	<-p.done
}

// Restart starts a stopped process again, as its next life.
func (f *Fleet) Restart(id string) error { return f.start(f.procs[id].settings) }

// readyTimeout bounds the start of a local fleet.
const readyTimeout = 10 * time.Second

func (f *Fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	for id, addr := range f.Admins {
		for !isReady(ctx, addr) {
			select {
			case <-ctx.Done():
				return Error.New("%s is not ready", id)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
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

// Stop makes a planned stop of all processes, routers last so that agents can hand
// over their charges, and then of the stand-ins.
func (f *Fleet) Stop() error {
	for _, role := range []string{settings.RoleAgent, settings.RoleRouter} {
		var wg sync.WaitGroup
		for id, p := range f.procs {
			if p.settings.Role == role {
				wg.Go(func() { f.StopOne(id) })
			}
		}
		wg.Wait()
	}
	f.stop()
	f.wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errs.Err()
}

// Store is an operator's access to the platform's stand-in.
func (f *Fleet) Store() *etcd.Store {
	return &etcd.Store{URL: f.StoreURL, Client: http.DefaultClient, Timeout: 5 * time.Second}
}

// Book is an operator's access to the accounts.
func (f *Fleet) Book() account.AdminClient {
	return account.AdminClient{Store: f.Store(), Layout: account.Layout{Prefix: process.PagePrefix, Pages: settings.Default().Budgets.Pages}}
}

// Ledger is an operator's access to the ledger.
func (f *Fleet) Ledger() ledger.Reader {
	return ledger.Reader{Store: f.Store(), Layout: ledger.Layout{Prefix: process.LedgerPrefix, Shards: settings.Default().Ledger.Shards}}
}
