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

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// storeAddress is where the store of a test fleet answers.
const storeAddress = "10.9.0.1:80"

// Ports of a router.
const (
	callersPort = iota + 80
	readyPort
	adminPort
	linkPort
)

func address(vm, port int) string { return fmt.Sprintf("10.1.0.%d:%d", vm, port) }

// The configuration of a test fleet, in the platform's form. The verbs are version,
// prepaid tokens, and keys of the team.
const configForm = `{"version":%d,"routes":[
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

// fleet is one gateway between callers and stand-ins, on a network in memory and, when
// it is made inside virtualtime.Test.
type fleet struct {
	t       *testing.T
	network memnet.Network
	store   *standin.Store
	log     *syncBuffer
	// lives are the running gateways, by the number of their VM.
	lives map[int]*life
	// stops end other processes of the test.
	stops   []func()
	version int
	// form is the configuration's, configForm unless a test has another.
	form string
	// flooded counts the requests of flood.
	flooded int
	// cut VMs do not reach the store, those with true nobody else either; storeConns are the connections that they have.
	cut sync.Map
	// linkRate is what the routers' links carry (bytes/s); 0 is no limit.
	linkRate   int
	storeConns sync.Map // net.Conn to VM
}

// cutOff parts a VM from the store, with the connections that it has.
func (f *fleet) cutOff(vm int) {
	f.cut.Store(vm, false)
	f.closeStoreConns(vm)
}

// cutOffAll parts a VM from everything: for all others it has died.
func (f *fleet) cutOffAll(vm int) {
	f.cut.Store(vm, true)
	f.closeStoreConns(vm)
}

// reconnect ends the cut of a VM.
func (f *fleet) reconnect(vm int) { f.cut.Delete(vm) }

func (f *fleet) closeStoreConns(vm int) {
	f.storeConns.Range(func(conn, of any) bool {
		if of == vm {
			_ = conn.(net.Conn).Close() // the other end may have closed it
		}
		return true
	})
}

// life is one process of the gateway.
type life struct {
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

// play runs a test with a fleet in virtual time.
func play(t *testing.T, test func(f *fleet)) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(f)
	})
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: standin.NewStore(), log: &syncBuffer{}, lives: map[int]*life{}}
	f.serve(storeAddress, f.store.Handler())
	return f
}

// serve starts a server that ends with the test.
func (f *fleet) serve(address string, h http.Handler) {
	l, err := f.network.Listen("tcp", address)
	require.NoError(f.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	f.t.Cleanup(func() { _ = s.Close() })
}

// config puts the next version in force.
func (f *fleet) config(prepaid int, keys ...string) {
	f.version++
	require.NoError(f.t, f.store.PutConfig(fmt.Sprintf(cmp.Or(f.form, configForm), f.version, `"`+strings.Join(keys, `","`)+`"`, prepaid)))
}

// largeConfig puts the next version in force, with many more routes.
func (f *fleet) largeConfig(routes int, keys ...string) {
	f.version++
	document := fmt.Sprintf(configForm, f.version, `"`+strings.Join(keys, `","`)+`"`, 0)
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"route-%[1]d","host":"%[1]x.example","prefix":"/%[2]x/%[1]d/","type":"streaming",
 "timeout_ms":12000,"latency_goal_ms":800,"priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":false,
 "gap_target_ms":400},`, i, i*i*7919)
	}
	require.NoError(f.t, f.store.PutConfig(strings.Replace(document, `"routes":[`, `"routes":[`+more.String(), 1)))
}

// upstream starts and registers a stand-in.
func (f *fleet) upstream(id, service string, events int) *standin.Upstream {
	return f.upstreamIn("bergen", id, service, events)
}

// upstreamIn starts and registers a stand-in in a data centre.
func (f *fleet) upstreamIn(datacentre, id, service string, events int) *standin.Upstream {
	u := &standin.Upstream{ID: id, Events: events, Pause: 10 * time.Millisecond}
	f.serve(addressOf(id), u)
	require.NoError(f.t, f.store.Register(id, service, addressOf(id), datacentre, "ready", 6))
	return u
}

// upstreamCold starts a stand-in that is cold for a while.
func (f *fleet) upstreamCold(id, service string, events int, cold time.Duration) *standin.Upstream {
	u := f.upstream(id, service, events)
	f.registerCold(id, service, cold)
	return u
}

// registerCold writes the entry of a stand-in that is cold for a while.
func (f *fleet) registerCold(id, service string, cold time.Duration) {
	require.NoError(f.t, f.store.RegisterCold(id, service, addressOf(id), "bergen", 6, cold))
}

func addressOf(id string) string { return "10.2.0." + strings.TrimPrefix(id, "i-") + ":80" }

func (f *fleet) register(id, service, state string) {
	require.NoError(f.t, f.store.Register(id, service, addressOf(id), "bergen", state, 6))
}

func (f *fleet) settings(vm int) *settings.Gateway {
	s := settings.DefaultGateway()
	s.VM, s.Datacentre = fmt.Sprint("router-", vm), "bergen"
	s.Regions = map[string]string{"bergen": "west", "oslo": "east"}
	s.Listen = settings.GatewayListen{Callers: address(vm, callersPort), Ready: address(vm, readyPort),
		Admin: address(vm, adminPort), Link: address(vm, linkPort)}
	s.Store.Address = storeAddress
	s.Cold = settings.Cold{Overshoot: 1.5, Slack: 5}
	return &s
}

// start starts the gateway of VM 1 and waits until it has settled, and until it may use its part of
// the fixed number of repeats: a life that is younger than their window may not.
func (f *fleet) start() {
	f.startVM(1)
	time.Sleep(time.Duration(f.settings(1).Repeats.Window) + time.Second)
	f.settle()
}

// startVM starts the gateway of a VM.
func (f *fleet) startVM(vm int) { f.startVMAs(f.settings(vm).VM, vm) }

// startVMAs starts a gateway on the VM of that name, at the addresses of the number vm.
func (f *fleet) startVMAs(name string, vm int) {
	s := f.settings(vm)
	s.VM = name
	ctx, stop := context.WithCancel(context.Background())
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if all, cut := f.cut.Load(vm); cut && (to == storeAddress || all == true) {
			return nil, memnet.ErrRefused
		}
		conn, err := f.network.Dial(ctx, network, to)
		if err == nil && to == storeAddress {
			f.storeConns.Store(conn, vm)
		}
		if err == nil && f.linkRate > 0 {
			conn = newSlowConn(conn, f.linkRate)
		}
		return conn, err
	}
	g := gateway.New(s, hosted.Network{Listen: f.network.Listen, Dial: dial}, f.log,
		func() uint64 { return 0 })
	l := &life{gateway: g, stop: stop, done: make(chan error, 1)}
	f.lives[vm] = l
	go func() { l.done <- g.Run(ctx) }()
}

// stopVM makes a planned stop and waits for its end.
func (f *fleet) stopVM(vm int) {
	l := f.lives[vm]
	delete(f.lives, vm)
	l.stop()
	require.NoError(f.t, <-l.done)
}

// settle lets half a second pass, enough for what a change needs to be in force.
func (f *fleet) settle() { time.Sleep(500 * time.Millisecond) }

// close ends everything that the test started.
func (f *fleet) close() {
	for vm := range f.lives {
		f.stopVM(vm)
	}
	for _, stop := range f.stops {
		stop()
	}
	f.store.SetSilent(false)
	f.store.Compact() // ends waiting calls
}

// question is one request of a caller.
type question struct {
	id, method, path, key, body string
	deadline                    time.Duration
	usage, parts                string
	header                      map[string]string
	ctx                         context.Context
	vm                          int // 0 stands for 1
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut says that the body did not end.
	cut  bool
	took time.Duration
	err  error
}

// client is a caller with a connection of its own.
func (f *fleet) client() *http.Client {
	t := &http.Transport{DialContext: f.network.Dial, DisableCompression: true}
	f.t.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

func (f *fleet) ask(q question) answer { return f.askWith(f.client(), q) }

func (f *fleet) askWith(c *http.Client, q question) answer {
	ctx := q.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	if q.method == "" {
		q.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+address(max(1, q.vm), callersPort)+q.path, strings.NewReader(q.body))
	require.NoError(f.t, err)
	req.Host = "a.example"
	for name, value := range map[string]string{standin.HeaderID: q.id, "Api-Key": q.key,
		standin.HeaderUsage: q.usage, standin.HeaderParts: q.parts} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if q.deadline > 0 {
		req.Header.Set(standin.HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), cut: err != nil, took: time.Since(began)}
}

// alert is a request that must not run twice, level one that may.
func alert(id string) question {
	return question{id: id, path: "/alert/x?y=1", key: "k1", body: "surge", deadline: time.Second}
}

func level(id string) question {
	return question{id: id, method: http.MethodGet, path: "/level/x", key: "k1", deadline: time.Second}
}

// chat is a stream that must not run twice, review one that may be resumed.
func chat(id string) question {
	return question{id: id, path: "/chat/x", key: "k1", body: "tide?", deadline: 6 * time.Second,
		usage: "1000,60", parts: "aa:600,bb:400"}
}

func review(id string) question {
	q := chat(id)
	q.path, q.deadline = "/review/x", 12*time.Second
	return q
}

// events is the whole stream of n events.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(standin.Event(i))
	}
	return b.String()
}

// ready asks as the balancer does.
func (f *fleet) ready() int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address(1, readyPort)+"/arbutusmill/readyz", nil)
	require.NoError(f.t, err)
	resp, err := f.client().Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
