package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// Sizes and settings of the soak's fleet.
const (
	plains         = 2
	events         = 8
	eventPause     = 10 * time.Millisecond
	plainTime      = 5 * time.Millisecond
	slots          = 16
	tokensPerEvent = 3
	retryRatio     = 0.2
	retryExtra     = 30
	retryWindow    = 10 * time.Second
	pilotsPrepaid  = 10_000_000
	// skippersPrepaid is used up in most runs.
	skippersPrepaid = 40_000
	stopGrace       = 8 * time.Second
	host            = "soak.example"
)

// arrival is a request as a caller sent it, or as it reached an upstream.
type arrival struct {
	service, id string
	at          time.Time
	// upstream is where it came; "" for a caller's.
	upstream string
}

// world is a fleet of processes and all that surrounds them.
type world struct {
	t     *testing.T
	dir   string
	store *standin.Store
	// storeAddress is the store itself, without a proxy.
	storeAddress string
	processes    []*process
	upstreams    []*upstream
	version      int64

	mu sync.Mutex
	// asked are the callers' requests, arrivals what reached upstreams.
	asked, arrivals []arrival
}

// upstream is a stand-in behind a proxy.
type upstream struct {
	*standin.Upstream
	service string
	proxy   *proxy
	// limit is the requests a second that it named, until limitEnded; 0 is none.
	limit      float64
	limitEnded time.Time
}

func newWorld(t *testing.T, dir string) *world {
	w := &world{t: t, dir: dir, store: standin.NewStore()}
	w.storeAddress = w.serve(w.store.Handler())
	w.configure()
	for i := range *engines {
		u := w.startUpstream("model", fmt.Sprint("i-", i+1), events, eventPause)
		w.processes = append(w.processes, w.newLender(fmt.Sprint("engine-", i+1), u.proxy.own))
	}
	for i := range plains {
		w.startUpstream("plain", fmt.Sprint("i-", *engines+i+1), 0, plainTime)
	}
	for i := range *routers {
		w.processes = append(w.processes, w.newRouter(fmt.Sprint("router-", i+1)))
	}
	for _, p := range w.processes {
		p.start()
	}
	return w
}

// serve runs a server of the surroundings until the test ends.
func (w *world) serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }() // ends with Close
	w.t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

func (w *world) startUpstream(service, id string, events int, pause time.Duration) *upstream {
	u := &upstream{Upstream: &standin.Upstream{ID: id, Events: events, Pause: pause}, service: service}
	address := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(standin.HeaderID); id != "" {
			w.note(&w.arrivals, arrival{service: service, id: id, at: time.Now(), upstream: u.ID})
		}
		u.ServeHTTP(rw, r)
	}))
	u.proxy = w.newProxy(address)
	w.upstreams = append(w.upstreams, u)
	w.register(u, "ready")
	return u
}

func (w *world) register(u *upstream, state string) {
	require.NoError(w.t, w.store.Register(u.ID, u.service, u.proxy.own, "bergen", state, slots))
}

func (w *world) newProxy(target string) *proxy {
	p := &proxy{own: freePort(w.t), target: target, conns: map[*net.TCPConn]bool{}, changed: make(chan struct{})}
	require.NoError(w.t, p.listen())
	w.t.Cleanup(p.crash)
	return p
}

func (w *world) note(list *[]arrival, a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, a)
}

// configure puts the next version in force. Its newest route names the version.
func (w *world) configure() {
	w.version++
	route := func(name string, kind standin.Kind, service string, most int, resumable bool) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, MostUpstreams: most,
			Resumable: resumable, Timeout: callerDeadline, Goal: time.Second, Rank: 1}
	}
	require.NoError(w.t, w.store.Configure(standin.Configuration{
		Version: w.version,
		Routes: []standin.Route{route("chat", standin.Streaming, "model", 1, false), route("review", standin.Streaming, "model", 2, true),
			route("alert", standin.Unsafe, "plain", 1, false), route("level", standin.Safe, "plain", 2, false),
			route(fmt.Sprint("v", w.version), standin.Safe, "plain", 2, false)},
		Models: []standin.Model{{Name: "model", Slots: slots, MemoryTokens: 400_000, TokensPerEvent: tokensPerEvent}},
		Plain:  []string{"plain"},
		Teams: []standin.Team{{Name: "pilots", Keys: []string{"k-pilots"}, Prepaid: pilotsPrepaid},
			{Name: "skippers", Keys: []string{"k-skippers"}, Prepaid: skippersPrepaid}},
	}))
}

// fields are settings in the form of a settings file.
type fields map[string]any

func (w *world) newRouter(name string) *process {
	p := w.newProcess("gateway", name)
	p.callers = freePort(w.t)
	p.write(fields{"vm": name, "datacentre": "bergen", "regions": fields{"bergen": "west"},
		"listen":  fields{"callers": p.callers, "ready": freePort(w.t), "admin": freePort(w.t), "link": freePort(w.t)},
		"store":   fields{"address": p.store.own},
		"repeats": fields{"ratio": retryRatio, "extra": retryExtra, "window": retryWindow.String()},
		"stop":    fields{"notice": "1s", "grace": stopGrace.String()}})
	return p
}

func (w *world) newLender(name, beside string) *process {
	p := w.newProcess("lender", name)
	p.write(fields{"vm": name, "datacentre": "bergen",
		"listen":   fields{"admin": freePort(w.t), "link": freePort(w.t)},
		"store":    fields{"address": p.store.own},
		"upstream": fields{"address": beside},
		"stop":     fields{"grace": stopGrace.String()}})
	return p
}

func (w *world) newProcess(role, name string) *process {
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = log.Close() })
	return &process{t: w.t, role: role, name: name, settings: filepath.Join(w.dir, name+".yaml"), store: w.newProxy(w.storeAddress), log: log}
}

// write writes the settings file.
func (p *process) write(f fields) {
	b, err := yaml.Marshal(f)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.settings, b, 0o600))
}

// Ports are taken from below those that the system gives to outgoing connections: one that a
// process left for a moment could be taken meanwhile.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freePort finds a loopback port that nobody has now.
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

// ofRole are the processes of a role.
func (w *world) ofRole(role string) (out []*process) {
	for _, p := range w.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}
