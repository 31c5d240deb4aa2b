// Package demo runs a fleet with agents in one process, on loopback addresses: the
// platform's stand-in, engines, a plain service, and routers and agents in each data
// centre. Each component is the one that the daemons run; they communicate over TCP.
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

// Options configure a local fleet.
type Options struct {
	Datacentres []string
	// Routers and Engines are counts per data centre. The first data centre also
	// has one plain service.
	Routers, Engines int
	Engine           standin.EngineOptions
	// Upstream, if not nil, replaces the stand-in engines.
	Upstream http.Handler
	// Log receives the logs of all processes.
	Log io.Writer
	// Tune, if not nil, modifies a process's settings before it starts.
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
	// CallerAddresses maps a router's VM to its address for callers, AdminAddresses the VM of each
	// process to its admin address.
	CallerAddresses map[string]string
	AdminAddresses  map[string]string
	// StoreURL is the address of the platform's stand-in.
	StoreURL string
	// VMs is the platform's VM list.
	VMs []vm.VM

	opt   Options
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	procs map[string]*proc
	mu    sync.Mutex
	errs  errs.Group
	// reservedPorts are open listeners that no process uses yet, by address.
	reservedPorts map[string]net.Listener
}

// proc is a running router or agent.
type proc struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// secret is the shared secret of the processes; the fleet listens on loopback only.
const secret = "loopback-only"

// Start starts the stand-ins and all processes and waits until all are ready.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{opt: opt, ctx: ctx, stop: cancel, CallerAddresses: map[string]string{}, AdminAddresses: map[string]string{}, procs: map[string]*proc{}, reservedPorts: map[string]net.Listener{}}
	f.Platform = standin.NewPlatform(nil)
	var err error
	if f.StoreURL, err = f.startServer(f.Platform.Handler()); err != nil {
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
		f.VMs = append(f.VMs, vmFromSettings(s))
	}
	f.Platform.SetVMs(f.VMs)
	for _, s := range all {
		if err := f.start(s); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// startServer runs an HTTP server on a free loopback port until the fleet stops.
func (f *Fleet) startServer(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.wg.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	return "http://" + ln.Addr().String(), nil
}

func (f *Fleet) baseSettings(id, dc, role string) *settings.Settings {
	s := settings.Default()
	s.Role, s.VM, s.Datacentre = role, id, dc
	s.Platform.Store, s.Platform.VMs = f.StoreURL, f.StoreURL+"/vms"
	s.Security.SharedSecret = secret
	s.Listen.Link, s.Listen.Admin = f.reservePort(), f.reservePort()
	s.Ledger.Flush = fleet.Duration(50 * time.Millisecond)
	s.Budgets.LotIdle = fleet.Duration(500 * time.Millisecond)
	s.StopNotice = 0
	s.StopTimeout = fleet.Duration(20 * time.Second)
	return &s
}

func (f *Fleet) routerSettings(dc string, i int) *settings.Settings {
	s := f.baseSettings(fmt.Sprintf("%s-router-%d", dc, i+1), dc, settings.RoleRouter)
	s.Listen.Callers = f.reservePort()
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
	url, err := f.startServer(h)
	if err != nil {
		return nil, err
	}
	s := f.baseSettings(fmt.Sprintf("%s-engine-%d", dc, i+1), dc, settings.RoleAgent)
	s.Listen.Work = f.reservePort()
	s.Upstream = settings.Upstream{Service: Assistant, URL: url, Slots: f.opt.Engine.Slots, Queue: 64}
	return s, nil
}

func (f *Fleet) serviceSettings(dc string) (*settings.Settings, error) {
	f.Service = standin.NewService()
	url, err := f.startServer(f.Service.Handler())
	if err != nil {
		return nil, err
	}
	s := f.baseSettings(dc+"-orders-1", dc, settings.RoleAgent)
	s.Listen.Work = f.reservePort()
	s.Upstream = settings.Upstream{Service: Orders, URL: url, Slots: 8, Queue: 64}
	return s, nil
}

func vmFromSettings(s *settings.Settings) vm.VM {
	m := vm.VM{ID: s.VM, Datacentre: s.Datacentre, Role: vm.Role(s.Role), State: vm.Live, Link: s.Listen.Link}
	m.Work, m.Service = s.Listen.Work, s.Upstream.Service
	return m
}

// reservePort listens on a free loopback port and keeps the listener for the process that
// will use it: if it were closed, another process could take the port in the meantime.
func (f *Fleet) reservePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservedPorts[ln.Addr().String()] = ln
	return ln.Addr().String()
}

// listen returns the listener of a reserved port, or opens a new one.
func (f *Fleet) listen(network, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.reservedPorts[address]; ln != nil {
		delete(f.reservedPorts, address)
		return ln, nil
	}
	return net.Listen(network, address)
}

// runner is a router or an agent.
type runner interface{ Run(context.Context) error }

func (f *Fleet) newRunner(s *settings.Settings) (runner, error) {
	if s.Role == settings.RoleRouter {
		return router.New(s, f.opt.Log, f.listen)
	}
	return agent.New(s, f.opt.Log, f.listen)
}

func (f *Fleet) start(s *settings.Settings) error {
	if f.opt.Tune != nil {
		f.opt.Tune(s)
	}
	if err := s.Check(); err != nil {
		return err
	}
	run, err := f.newRunner(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	p := &proc{settings: s, stop: cancel, done: make(chan struct{})}
	f.procs[s.VM] = p
	f.AdminAddresses[s.VM] = s.Listen.Admin
	if s.Role == settings.RoleRouter {
		f.CallerAddresses[s.VM] = s.Listen.Callers
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

// StopOne stops one process gracefully and waits until it has exited.
func (f *Fleet) StopOne(id string) {
	p := f.procs[id]
	p.stop()
	<-p.done
}

// Restart starts a stopped process again, as a new incarnation.
func (f *Fleet) Restart(id string) error { return f.start(f.procs[id].settings) }

// readyTimeout bounds the wait until the processes are ready, and until the routers have
// loaded a configuration.
const readyTimeout = 10 * time.Second

func (f *Fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	for id, addr := range f.AdminAddresses {
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

// Stop gracefully stops all processes, agents first so that they can deliver their charges
// to the routers, and then the stand-ins. It returns the errors of all processes.
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

// Store returns a client of the platform's stand-in.
func (f *Fleet) Store() *etcd.Store {
	return &etcd.Store{URL: f.StoreURL, Client: http.DefaultClient, Timeout: 5 * time.Second}
}

// Accounts returns an operator's client of the accounts.
func (f *Fleet) Accounts() account.AdminClient {
	return account.AdminClient{Store: f.Store(), Layout: account.Layout{Prefix: process.PagePrefix, Pages: settings.Default().Budgets.Pages}}
}

// Ledger returns an operator's reader of the ledger.
func (f *Fleet) Ledger() ledger.Reader {
	return ledger.Reader{Store: f.Store(), Layout: ledger.Layout{Prefix: process.LedgerPrefix, Shards: settings.Default().Ledger.Shards}}
}
