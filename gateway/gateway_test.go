package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	settingsfleet "github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// storeAddress is the address of a test fleet's store.
const storeAddress = "10.9.0.1:80"

// Ports of a router.
const (
	callersPort = iota + 80
	readyPort
	adminPort
	linkPort
)

func address(vm, port int) string { return fmt.Sprintf("10.1.0.%d:%d", vm, port) }

// configTemplate is the configuration of a test fleet in the platform's format. Its verbs are
// the version, the team's keys and its prepaid tokens.
const configTemplate = `{"version":%d,"routes":[
 {"name":"chat","host":"a.example","prefix":"/chat/","type":"streaming","timeout_ms":6000,"latency_goal_ms":800,
  "priority":0,"service":"model","max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":400},
 {"name":"review","host":"a.example","prefix":"/review/","type":"streaming","timeout_ms":12000,"latency_goal_ms":800,
  "priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400},
 {"name":"alert","host":"a.example","prefix":"/alert/","type":"unsafe","timeout_ms":1000,"latency_goal_ms":150,
  "priority":2,"service":"plain","max_attempts":1},
 {"name":"level","host":"a.example","prefix":"/level/","type":"safe","timeout_ms":1000,"latency_goal_ms":150,
  "priority":2,"service":"plain","max_attempts":2},
 {"name":"deep","host":"a.example","prefix":"/level/deep/","type":"safe","timeout_ms":1000,"latency_goal_ms":150,
  "priority":2,"service":"none","max_attempts":2,"public":true}],
 "services":[{"name":"model","max_connections":360,
  "engine":{"slots":64,"kv_capacity_tokens":400000,"kv_bytes":327680,"link_mbps":250000,"stride":3}},
  {"name":"plain","max_connections":100},{"name":"none","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"pilots","api_keys":[%s],"priority":1,"prepaid":%d}]}`

// fleet runs gateways between callers and stand-ins, on a network in memory and, when it is
// created inside virtualtime.Test, in virtual time.
type fleet struct {
	t       *testing.T
	network memnet.Network
	store   *standin.Store
	log     *syncBuffer
	// gateways holds the running gateways by the number of their VM.
	gateways map[int]*gatewayProcess
	// stopFuncs stop the other processes of the test.
	stopFuncs []func()
	version   int
	// template is the template of the configuration; configTemplate if empty.
	template string
	// upstreams holds the stand-ins that upstreamIn started, by id.
	upstreams map[string]*standin.Upstream
	// floodRequests is the number of requests sent by flood.
	floodRequests int
	// disconnected holds the VMs that cannot reach the store; the value is true for those that
	// cannot reach any other process either.
	disconnected sync.Map
	// unreachable holds the addresses that no process can connect to.
	unreachable sync.Map
	// notice is how long a stopping router still serves; 0 means the default.
	notice time.Duration
	// connections is the maximum number of callers' connections of a router; 0 means the default.
	connections int
	// queueing makes work wait for room; see settings.Queueing.
	queueing bool
	// linkRate is the capacity of the routers' links in bytes/s; 0 means unlimited.
	linkRate   int
	storeConns sync.Map // numbers of the VMs by their net.Conn to the store
	openConns  sync.Map // addresses by the processes' net.Conn to them
	// dialDelays holds the time by which dials of an address are delayed.
	dialDelays sync.Map
	// cutLinks holds the linkEnds between which no connection can be opened.
	cutLinks sync.Map
	// linkConns holds the linkEnds of routers' net.Conn to other processes.
	linkConns sync.Map
	// delaysVMs is set if delayVM is used; delays holds the time by which what a VM receives from others is delayed, by the number of the VM.
	delaysVMs bool
	delays    sync.Map
	// addedRoutes are the prefixes of the routes that addRoute added.
	addedRoutes []string
}

// cutLink closes all connections to an address, and lets new dials block until joinLink.
func (f *fleet) cutLink(address string) {
	f.network.SetBlackholed(address, true)
	f.openConns.Range(func(conn, to any) bool {
		if to == address {
			_ = conn.(net.Conn).Close() // the peer may have closed it
		}
		return true
	})
}

// linkEnds are a router's VM and the address to which it connects.
type linkEnds struct {
	from int
	to   string
}

// cut closes a router's connections to an address and refuses new ones.
func (f *fleet) cut(ends linkEnds) {
	f.cutLinks.Store(ends, true)
	f.linkConns.Range(func(conn, of any) bool {
		if of == ends {
			_ = conn.(net.Conn).Close() // the peer may have closed it
		}
		return true
	})
}

// joinLink lets an address answer dials again.
func (f *fleet) joinLink(address string) { f.network.SetBlackholed(address, false) }

// heal lets a router connect to an address again.
func (f *fleet) heal(ends linkEnds) { f.cutLinks.Delete(ends) }

// disconnectFromStore closes a VM's connections to the store and refuses new ones.
func (f *fleet) disconnectFromStore(vm int) {
	f.disconnected.Store(vm, false)
	f.closeStoreConns(vm)
}

// disconnect closes a VM's connections to the store, and refuses all connections that it opens
// from then on. To all other processes this looks like the VM's death.
func (f *fleet) disconnect(vm int) {
	f.disconnected.Store(vm, true)
	f.closeStoreConns(vm)
}

// reconnect lets a disconnected VM open connections again.
func (f *fleet) reconnect(vm int) { f.disconnected.Delete(vm) }

func (f *fleet) closeStoreConns(vm int) {
	f.storeConns.Range(func(conn, of any) bool {
		if of == vm {
			_ = conn.(net.Conn).Close() // the peer may have closed it
		}
		return true
	})
}

// gatewayProcess is one running incarnation of a gateway.
type gatewayProcess struct {
	gateway *gateway.Gateway
	stop    context.CancelFunc
	done    chan error
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// withFleet runs a test with a new fleet in virtual time.
func withFleet(t *testing.T, test func(f *fleet)) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(f)
	})
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: standin.NewStore(), log: &syncBuffer{}, gateways: map[int]*gatewayProcess{}}
	f.serve(storeAddress, f.store.Handler())
	return f
}

// serve starts a server that is closed when the test ends.
func (f *fleet) serve(address string, h http.Handler) {
	l, err := f.network.Listen("tcp", address)
	require.NoError(f.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // returns on Close
	f.t.Cleanup(func() { _ = s.Close() })
}

// putConfig writes the next version of the configuration.
func (f *fleet) putConfig(prepaid int, keys ...string) {
	f.version++
	document := fmt.Sprintf(cmp.Or(f.template, configTemplate), f.version, `"`+strings.Join(keys, `","`)+`"`, prepaid)
	require.NoError(f.t, f.store.PutConfig(withoutZeroLimit(document)))
}

// withoutZeroLimit leaves out prepaid tokens of 0, which stand for no limit in the tests' calls.
func withoutZeroLimit(document string) string {
	return strings.Replace(document, `,"prepaid":0}`, "}", 1)
}

// putLargeConfig writes the next version of the configuration, with additional routes.
func (f *fleet) putLargeConfig(routes int, keys ...string) {
	f.version++
	document := fmt.Sprintf(configTemplate, f.version, `"`+strings.Join(keys, `","`)+`"`, 0)
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"route-%[1]d","host":"%[1]x.example","prefix":"/%[2]x/%[1]d/","type":"streaming",
 "timeout_ms":12000,"latency_goal_ms":800,"priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":false,
 "gap_target_ms":400},`, i, i*i*7919)
	}
	document = withoutZeroLimit(document)
	require.NoError(f.t, f.store.PutConfig(strings.Replace(document, `"routes":[`, `"routes":[`+more.String(), 1)))
}

// upstream starts and registers a stand-in.
func (f *fleet) upstream(id, service string, events int) *standin.Upstream {
	return f.upstreamIn("bergen", id, service, events)
}

// upstreamIn starts and registers a stand-in in a data centre.
func (f *fleet) upstreamIn(datacentre, id, service string, events int) *standin.Upstream {
	u := &standin.Upstream{ID: id, Events: events, Pause: 10 * time.Millisecond}
	f.serve(upstreamAddress(id), u)
	if f.upstreams == nil {
		f.upstreams = map[string]*standin.Upstream{}
	}
	f.upstreams[id] = u
	require.NoError(f.t, f.store.Register(id, service, upstreamAddress(id), datacentre, "ready", 6))
	return u
}

// upstreamCold starts and registers a stand-in that is cold for a while.
func (f *fleet) upstreamCold(id, service string, events int, cold time.Duration) *standin.Upstream {
	u := f.upstream(id, service, events)
	f.registerCold(id, service, cold)
	return u
}

// registerCold writes the entry of a stand-in that is cold for a while.
func (f *fleet) registerCold(id, service string, cold time.Duration) {
	require.NoError(f.t, f.store.RegisterCold(id, service, upstreamAddress(id), "bergen", 6, cold))
}

func upstreamAddress(id string) string { return "10.2.0." + strings.TrimPrefix(id, "i-") + ":80" }

func (f *fleet) register(id, service, state string) {
	require.NoError(f.t, f.store.Register(id, service, upstreamAddress(id), "bergen", state, 6))
}

func (f *fleet) settings(vm int) *settings.Gateway {
	s := settings.DefaultGateway()
	s.VM, s.Datacentre = fmt.Sprint("router-", vm), "bergen"
	s.Regions = map[string]string{"bergen": "west", "oslo": "east"}
	s.Listen = settings.GatewayListen{Callers: address(vm, callersPort), Ready: address(vm, readyPort),
		Admin: address(vm, adminPort), Link: address(vm, linkPort)}
	s.Store.Address = storeAddress
	s.Cold = settings.Cold{Overshoot: 1.5, Slack: 5}
	s.Queueing.Enabled = &f.queueing
	s.Limits.Connections = f.connections
	if f.notice > 0 {
		s.Stop.Notice = settingsfleet.Duration(f.notice)
	}
	return &s
}

// start starts the gateway of VM 1 and waits until it may use its share of the fixed number of
// retries: an incarnation that is younger than their window may not.
func (f *fleet) start() {
	f.startVM(1)
	time.Sleep(time.Duration(f.settings(1).Retries.Window) + time.Second)
	f.settle()
}

// startVM starts the gateway of a VM.
func (f *fleet) startVM(vm int) { f.startVMAs(f.settings(vm).VM, vm) }

// startVMAs starts a gateway on the VM called name, at the addresses of VM number vm.
func (f *fleet) startVMAs(name string, vm int) {
	s := f.settings(vm)
	s.VM = name
	ctx, stop := context.WithCancel(context.Background())
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if all, found := f.disconnected.Load(vm); found && (to == storeAddress || all == true) {
			return nil, memnet.ErrRefused
		}
		if _, found := f.unreachable.Load(to); found {
			return nil, memnet.ErrRefused
		}
		if delay, found := f.dialDelays.Load(to); found {
			time.Sleep(delay.(time.Duration))
		}
		if _, found := f.cutLinks.Load(linkEnds{vm, to}); found {
			return nil, memnet.ErrRefused
		}
		if backoff.Sleep(ctx, f.delayOf(vm)) != nil { // the answer to the first packet
			return nil, ctx.Err()
		}
		conn, err := f.network.Dial(ctx, network, to)
		if err == nil && to == storeAddress {
			f.storeConns.Store(conn, vm)
		}
		if err == nil {
			f.openConns.Store(conn, to)
			f.linkConns.Store(conn, linkEnds{vm, to})
		}
		if err == nil && f.linkRate > 0 {
			conn = newSlowConn(conn, f.linkRate)
		}
		if err == nil && f.delaysVMs {
			conn = newDelayedConn(conn, func() time.Duration { return f.delayOf(vm) })
		}
		return conn, err
	}
	g := gateway.New(s, hosted.Network{Listen: f.network.Listen, Dial: dial}, f.log,
		func() uint64 { return 0 })
	p := &gatewayProcess{gateway: g, stop: stop, done: make(chan error, 1)}
	f.gateways[vm] = p
	go func() { p.done <- g.Run(ctx) }()
}

// stopVM stops a gateway as planned and waits until it has stopped.
func (f *fleet) stopVM(vm int) {
	p := f.gateways[vm]
	delete(f.gateways, vm)
	p.stop()
	require.NoError(f.t, <-p.done)
}

// settle waits half a second, enough for a change to take effect.
func (f *fleet) settle() { time.Sleep(500 * time.Millisecond) }

// close stops all processes that the test started.
func (f *fleet) close() {
	for vm := range f.gateways {
		f.stopVM(vm)
	}
	for _, stop := range f.stopFuncs {
		stop()
	}
	f.store.SetUnresponsive(false)
	f.store.Compact() // ends pending calls
}

// request is a request of a caller.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	usage, parts                string
	header                      map[string]string
	ctx                         context.Context
	vm                          int // 0 means 1
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// truncated reports whether the body was incomplete.
	truncated bool
	// closes reports whether the router closes the connection.
	closes  bool
	elapsed time.Duration
	err     error
}

// client returns a caller with its own connections.
func (f *fleet) client() *http.Client {
	t := &http.Transport{DialContext: f.network.Dial, DisableCompression: true}
	f.t.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

func (f *fleet) send(req request) response { return f.sendWith(f.client(), req) }

func (f *fleet) sendWith(c *http.Client, req request) response {
	ctx := req.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	if req.method == "" {
		req.method = http.MethodPost
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+address(max(1, req.vm), callersPort)+req.path, strings.NewReader(req.body))
	require.NoError(f.t, err)
	httpReq.Host = "a.example"
	for name, value := range map[string]string{standin.HeaderID: req.id, "Api-Key": req.key,
		standin.HeaderUsage: req.usage, standin.HeaderParts: req.parts} {
		if value != "" {
			httpReq.Header.Set(name, value)
		}
	}
	if req.deadline > 0 {
		httpReq.Header.Set(standin.HeaderDeadline, fmt.Sprint(req.deadline.Milliseconds()))
	}
	for name, value := range req.header {
		httpReq.Header.Set(name, value)
	}
	start := time.Now()
	httpResp, err := c.Do(httpReq)
	if err != nil {
		return response{err: err, elapsed: time.Since(start)}
	}
	defer func() { _ = httpResp.Body.Close() }()
	body, err := io.ReadAll(httpResp.Body)
	return response{status: httpResp.StatusCode, header: httpResp.Header, body: string(body), truncated: err != nil, closes: httpResp.Close, elapsed: time.Since(start)}
}

// alert returns a request that must not run twice.
func alert(id string) request {
	return request{id: id, path: "/alert/x?y=1", key: "k1", body: "surge", deadline: time.Second}
}

// level returns a request that may run twice.
func level(id string) request {
	return request{id: id, method: http.MethodGet, path: "/level/x", key: "k1", deadline: time.Second}
}

// chat returns the request of a stream that must not run twice.
func chat(id string) request {
	return request{id: id, path: "/chat/x", key: "k1", body: "tide?", deadline: 6 * time.Second,
		usage: "1000,60", parts: "aa:600,bb:400"}
}

// review returns the request of a stream that may be resumed.
func review(id string) request {
	req := chat(id)
	req.path, req.deadline = "/review/x", 12*time.Second
	return req
}

// events returns the complete stream of n events.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(standin.Event(i))
	}
	return b.String()
}

// readyStatus returns the status of the readiness check that the load balancer queries, or 0
// if it cannot be reached.
func (f *fleet) readyStatus() int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address(1, readyPort)+"/arbutusmill/readyz", nil)
	require.NoError(f.t, err)
	resp, err := f.client().Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
