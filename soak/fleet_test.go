package soak

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// Sizes and settings of the test fleet.
const (
	plainUpstreams = 2
	events         = 8
	eventInterval  = 10 * time.Millisecond
	plainDuration  = 5 * time.Millisecond
	slots          = 16
	tokensPerEvent = 3
	retryRatio     = 0.2
	retryExtra     = 30
	retryWindow    = 10 * time.Second
	pilotsPrepaid  = 10_000_000
	// skippersPrepaid is exhausted in most runs.
	skippersPrepaid = 40_000
	stopGrace       = 8 * time.Second
	host            = "soak.example"
)

// requestRecord records a request when a caller sent it or when an upstream received it.
type requestRecord struct {
	service, id string
	at          time.Time
	// upstream is the id of the upstream that received it, "" if a caller sent it.
	upstream string
}

// testFleet is a fleet of processes together with the stand-ins of the store and the upstreams.
type testFleet struct {
	t     *testing.T
	dir   string
	store *standin.Store
	// storeAddress is the address of the store itself, without a proxy.
	storeAddress string
	additional   settingsFields
	processes    []*process
	upstreams    []*upstream
	version      int64

	mu sync.Mutex
	// sent are the requests of callers, received those that reached upstreams.
	sent, received []requestRecord
}

// upstream is a stand-in behind a proxy.
type upstream struct {
	*standin.Upstream
	service string
	proxy   *proxy
	// endless answers requests without end, or returns false; nil while all answers end.
	endless atomic.Pointer[func(http.ResponseWriter, *http.Request) bool]
	// entry guards starts, the number of its incarnation, and state, that of its entry.
	entry  sync.Mutex
	starts int64
	state  string
	// limit is the stated limit in requests per second until limitEnded; 0 means no limit.
	limit      float64
	limitEnded time.Time
}

func newTestFleet(t *testing.T, dir string) *testFleet { return newTestFleetWith(t, dir, nil) }

// newTestFleetWith returns a fleet whose processes have additional settings.
func newTestFleetWith(t *testing.T, dir string, additional settingsFields) *testFleet {
	tf := &testFleet{t: t, dir: dir, store: standin.NewStore(), additional: additional}
	tf.storeAddress = tf.serve(tf.store.Handler())
	tf.configure()
	for i := range *engines {
		u := tf.startUpstream("model", fmt.Sprint("i-", i+1), events, eventInterval)
		tf.processes = append(tf.processes, tf.newLender(fmt.Sprint("engine-", i+1), u.proxy.address))
	}
	for i := range plainUpstreams {
		tf.startUpstream("plain", fmt.Sprint("i-", *engines+i+1), 0, plainDuration)
	}
	for i := range *routers {
		tf.processes = append(tf.processes, tf.newRouter(fmt.Sprint("router-", i+1)))
	}
	for _, p := range tf.processes {
		p.start()
	}
	return tf
}

// serve runs an HTTP server on a free loopback port until the test ends, and returns its address.
func (tf *testFleet) serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tf.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }() // ends with Close
	tf.t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

func (tf *testFleet) startUpstream(service, id string, events int, pause time.Duration) *upstream {
	version := versions[len(tf.upstreams)%len(versions)]
	u := &upstream{Upstream: &standin.Upstream{ID: id, Version: version, Events: events, Pause: pause}, service: service}
	address := tf.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(standin.HeaderID); id != "" {
			tf.record(&tf.received, requestRecord{service: service, id: id, at: time.Now(), upstream: u.ID})
		}
		if answer := u.endless.Load(); answer != nil && (*answer)(rw, r) {
			return
		}
		u.ServeHTTP(rw, r)
	}))
	u.proxy = tf.newProxy(address)
	tf.upstreams = append(tf.upstreams, u)
	tf.register(u, "ready")
	return u
}

// register writes an upstream's entry. One that left and is ready again is a new incarnation: leaving is final.
func (tf *testFleet) register(u *upstream, state string) {
	u.entry.Lock()
	defer u.entry.Unlock()
	if state == "ready" && u.state != "ready" {
		u.starts++
		u.SetStart(u.starts)
	}
	u.state = state
	tf.writeEntryLocked(u)
}

func (tf *testFleet) writeEntryLocked(u *upstream) {
	require.NoError(tf.t, tf.store.RegisterVersion(u.ID, u.service, u.proxy.address, "bergen", u.state, u.Version, slots, u.starts))
}

// restore replaces the store's state by an older copy. Operators and upstreams write theirs again.
func (tf *testFleet) restore(older memstore.Copy) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.store.Restore(older)
	tf.configure()
	for _, u := range tf.upstreams {
		u.entry.Lock()
		tf.writeEntryLocked(u)
		u.entry.Unlock()
	}
}

func (tf *testFleet) newProxy(target string) *proxy {
	p := &proxy{address: freePort(tf.t), target: target, conns: map[*net.TCPConn]bool{}, changed: make(chan struct{})}
	require.NoError(tf.t, p.listen())
	tf.t.Cleanup(p.crash)
	return p
}

func (tf *testFleet) record(list *[]requestRecord, r requestRecord) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	*list = append(*list, r)
}

// configure stores the next configuration version. Its last route is named after the version, so that
// waitServing can detect when a router uses it.
func (tf *testFleet) configure() {
	tf.version++
	route := func(name string, kind standin.Kind, service string, maxUpstreams int, resumable bool) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, MaxUpstreams: maxUpstreams,
			Resumable: resumable, Timeout: callerDeadline, Goal: time.Second, Rank: 1}
	}
	require.NoError(tf.t, tf.store.Configure(standin.Configuration{
		Version: tf.version,
		Routes: []standin.Route{route("chat", standin.Streaming, "model", 1, false), route("review", standin.Streaming, "model", 2, true),
			route("alert", standin.Unsafe, "plain", 1, false), route("level", standin.Safe, "plain", 2, false),
			route(fmt.Sprint("v", tf.version), standin.Safe, "plain", 2, false)},
		Models: []standin.Model{{Name: "model", Slots: slots, MemoryTokens: 400_000, TokensPerEvent: tokensPerEvent}},
		Plain:  []string{"plain"},
		Teams: []standin.Team{{Name: "pilots", Keys: []string{"k-pilots"}, Prepaid: pilotsPrepaid},
			{Name: "skippers", Keys: []string{"k-skippers"}, Prepaid: skippersPrepaid}},
	}))
}

// settingsFields are the fields of a settings file.
type settingsFields map[string]any

func (tf *testFleet) newRouter(name string) *process {
	p := tf.newProcess("gateway", name)
	p.callersAddress = freePort(tf.t)
	p.writeSettings(settingsFields{"vm": name, "datacentre": "bergen", "regions": settingsFields{"bergen": "west"},
		"listen":  settingsFields{"callers": p.callersAddress, "ready": freePort(tf.t), "admin": freePort(tf.t), "link": freePort(tf.t)},
		"store":   settingsFields{"address": p.store.address},
		"limits":  settingsFields{"memory_mb": *routerMemory},
		"repeats": settingsFields{"ratio": retryRatio, "extra": retryExtra, "window": retryWindow.String()},
		"stop":    settingsFields{"notice": "1s", "grace": stopGrace.String()}})
	return p
}

func (tf *testFleet) newLender(name, upstreamAddress string) *process {
	p := tf.newProcess("lender", name)
	p.writeSettings(settingsFields{"vm": name, "datacentre": "bergen",
		"listen":   settingsFields{"admin": freePort(tf.t), "link": freePort(tf.t)},
		"store":    settingsFields{"address": p.store.address},
		"upstream": settingsFields{"address": upstreamAddress},
		"stop":     settingsFields{"grace": stopGrace.String()}})
	return p
}

func (tf *testFleet) newProcess(role, name string) *process {
	log, err := os.Create(filepath.Join(tf.dir, name+".log"))
	require.NoError(tf.t, err)
	tf.t.Cleanup(func() { _ = log.Close() })
	return &process{t: tf.t, role: role, name: name, settings: filepath.Join(tf.dir, name+".yaml"), additional: tf.additional, store: tf.newProxy(tf.storeAddress), log: log}
}

// writeSettings writes the settings file of the process.
func (p *process) writeSettings(f settingsFields) {
	maps.Copy(f, p.additional)
	b, err := yaml.Marshal(f)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.settings, b, 0o600))
}

// The ports are below the range that the system assigns to outgoing connections. A port within that
// range could be taken by another connection while its process restarts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freePort returns a loopback address whose port is currently unused.
func freePort(t *testing.T) string {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprint("127.0.0.1:", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			require.NoError(t, ln.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// ofRole returns the processes of a role.
func (tf *testFleet) ofRole(role string) (out []*process) {
	for _, p := range tf.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}
