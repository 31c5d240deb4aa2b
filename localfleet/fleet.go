// Package localfleet runs a complete fleet in one process, on loopback: routers and lenders of
// several data centres, as the daemons run them, with stand-ins of the operators' platform and of the
// upstreams. They communicate over TCP.
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
	// Assistant is the service of the engines, with one engine per data centre.
	Assistant = "assistant"
	// Alerts is the plain service, with one upstream in the first two data centres.
	Alerts = "alerts"
)

const (
	// engineSlots is the number of requests that an engine runs concurrently.
	engineSlots = 16
	// eventInterval is the time between two events of a stream, events their number.
	eventInterval = 5 * time.Millisecond
	events        = 12
	// plainDuration is the processing time of a plain request.
	plainDuration = 10 * time.Millisecond
	// readyTimeout bounds the start of the fleet, readyInterval is the time between two checks.
	readyTimeout  = 10 * time.Second
	readyInterval = 20 * time.Millisecond
	// stopGrace bounds a planned stop.
	stopGrace = 3 * time.Second
	// storeTimeout bounds an operator's call to the store, and the reading of request headers by the
	// stand-ins.
	storeTimeout = 5 * time.Second
)

// Fleet is a running local fleet.
type Fleet struct {
	Store *standin.Store
	// StoreAddress is the address of the store's stand-in (host:port).
	StoreAddress string
	Engines      []*standin.Upstream
	AlertServers []*standin.Upstream

	regions map[string]string
	log     io.Writer
	ctx     context.Context
	cancel  context.CancelFunc
	servers sync.WaitGroup
	vms     []*vm
	// killedDone receive the results of killed incarnations when their goroutines have ended.
	killedDone []chan error

	mu            sync.Mutex
	reservedPorts map[string]net.Listener
}

// vm is one VM with the process on it.
type vm struct {
	name string
	// callers and ready are the addresses of a router's listeners for callers and for readiness
	// checks, "" for a lender; admin is the address of the process's admin listener.
	callers, ready, admin string
	// start creates the process of a new incarnation and returns the incarnation's name.
	start func(hosted.Network) (p process, incarnation string)
	// incarnation is the name of the running incarnation.
	incarnation string

	network *processNetwork
	stop    context.CancelFunc
	done    chan error
}

// process is a router or a lender.
type process interface{ Run(context.Context) error }

// Start starts a fleet with one router, one engine and one lender in each data centre. The fleet has
// no configuration yet; routers accept callers once they have one, see WaitReady. log receives the log
// lines of the processes.
func Start(ctx context.Context, datacentres []string, log io.Writer) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Store: standin.NewStore(), regions: map[string]string{}, log: &lockedWriter{w: log}, ctx: ctx, cancel: cancel,
		reservedPorts: map[string]net.Listener{}}
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
		engine, err := f.startUpstream(dc, Assistant, fmt.Sprint("engine-", i+1), events, eventInterval)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine.Upstream)
		f.vms = append(f.vms, f.lenderVM(dc, engine.address))
	}
	for i, dc := range datacentres[:min(2, len(datacentres))] {
		alerts, err := f.startUpstream(dc, Alerts, fmt.Sprint("alerts-", i+1), 0, plainDuration)
		if err != nil {
			return err
		}
		f.AlertServers = append(f.AlertServers, alerts.Upstream)
	}
	for _, dc := range datacentres {
		f.vms = append(f.vms, f.routerVM(dc))
	}
	for _, v := range f.vms {
		f.startProcess(v)
	}
	return nil
}

// servedUpstream is a stand-in of an upstream with its address.
type servedUpstream struct {
	*standin.Upstream
	address string
}

// startUpstream starts a stand-in of an upstream and registers it in the store.
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
	s.Listen = settings.GatewayListen{Callers: f.reservePort(), Ready: f.reservePort(), Admin: f.reservePort(), Link: f.reservePort()}
	s.Store.Address = f.StoreAddress
	s.Stop = settings.Stop{Notice: fleet.Duration(100 * time.Millisecond), Grace: fleet.Duration(stopGrace)}
	return &vm{name: s.VM, callers: s.Listen.Callers, ready: s.Listen.Ready, admin: s.Listen.Admin,
		start: func(n hosted.Network) (process, string) {
			g := gateway.New(&s, n, f.log, noDroppedLines)
			return g, g.Incarnation
		}}
}

func (f *Fleet) lenderVM(dc, engine string) *vm {
	s := settings.DefaultLender()
	s.VM, s.Datacentre, s.Regions = dc+"-engine", dc, f.regions
	s.Listen = settings.LenderListen{Admin: f.reservePort(), Link: f.reservePort()}
	s.Store.Address, s.Upstream.Address = f.StoreAddress, engine
	s.Stop.Grace = fleet.Duration(stopGrace)
	return &vm{name: s.VM, admin: s.Listen.Admin,
		start: func(n hosted.Network) (process, string) {
			l := lender.New(&s, n, f.log, noDroppedLines)
			return l, l.Incarnation
		}}
}

// noDroppedLines is the count of dropped log lines: always 0, since lines are written synchronously.
func noDroppedLines() uint64 { return 0 }

// reservePort listens on a free loopback port and keeps the listener for the process that will use it,
// since a port that was closed again could be taken in the meantime.
func (f *Fleet) reservePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0" // the process reports the error when it fails to listen
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservedPorts[ln.Addr().String()] = ln
	return ln.Addr().String()
}

// listen returns the listener of a reserved port, or listens on the port again for a later incarnation.
func (f *Fleet) listen(network, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.reservedPorts[address]; ln != nil {
		delete(f.reservedPorts, address)
		return ln, nil
	}
	return net.Listen(network, address)
}

// startProcess starts the next incarnation of a VM's process.
func (f *Fleet) startProcess(v *vm) {
	ctx, stop := context.WithCancel(f.ctx)
	v.network, v.stop, v.done = newProcessNetwork(f.listen), stop, make(chan error, 1)
	p, incarnation := v.start(v.network.Network)
	v.incarnation = incarnation
	done := v.done
	go func() { done <- p.Run(ctx) }()
}

// routers returns the VMs with routers.
func (f *Fleet) routers() []*vm {
	return slices.DeleteFunc(slices.Clone(f.vms), func(v *vm) bool { return v.callers == "" })
}

// incarnations returns the names of the running incarnations.
func (f *Fleet) incarnations() map[string]bool {
	running := map[string]bool{}
	for _, v := range f.vms {
		running[v.incarnation] = true
	}
	return running
}

// WaitReady waits until all routers accept callers. It returns an error if one is not ready in time.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range f.routers() {
		for !Ready(ctx, v.ready) {
			select {
			case <-ctx.Done():
				return Error.New("%s is not ready", v.name)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// Ready reports whether a router is ready for callers, as a load balancer checks it; address is that of
// the router's readiness listener.
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

// KillAll kills all routers and lenders at once, as a complete power loss does, and starts their next
// incarnations. The goroutines of the killed incarnations have no network and end by themselves.
func (f *Fleet) KillAll() {
	for _, v := range f.vms {
		v.network.kill()
	}
	for _, v := range f.vms {
		v.stop()
		f.killedDone = append(f.killedDone, v.done)
		f.startProcess(v)
	}
}

// Stop stops all processes as planned, routers first, and then the stand-ins. It returns the errors of
// the processes.
func (f *Fleet) Stop() error {
	var failures errs.Group
	for _, role := range []func(*vm) bool{func(v *vm) bool { return v.callers != "" }, func(v *vm) bool { return v.callers == "" }} {
		var stopping []*vm
		for _, v := range f.vms {
			if role(v) && v.stop != nil {
				v.stop()
				stopping = append(stopping, v)
			}
		}
		for _, v := range stopping {
			failures.Add(<-v.done)
		}
	}
	for _, done := range f.killedDone {
		<-done // a killed process cannot hand anything over, so its error is expected
	}
	f.cancel()
	f.servers.Wait()
	return failures.Err()
}

// Accounts returns an operator's client for the accounts.
func (f *Fleet) Accounts() account.AdminClient {
	s := &platform.Store{Address: f.StoreAddress, Client: http.DefaultClient, Timeout: storeTimeout}
	return account.AdminClient{Store: s, Layout: account.Layout{Prefix: prepaid.PagePrefix, Pages: settings.DefaultGateway().Budgets.Pages}}
}

// Addresses lists the addresses of the processes for callers and operators, one line per process.
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

// lockedWriter serializes the writes of several processes to one writer.
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
