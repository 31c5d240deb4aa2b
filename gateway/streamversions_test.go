package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// versionedEngine is a stand-in engine with a version of its software, which can crash and start again.
type versionedEngine struct {
	*standin.Upstream
	f      *fleet
	server *http.Server
	// stopLender stops the lender beside the engine as planned.
	stopLender func()
}

// startVersioned starts and registers an engine of a version whose streams have the given number of events.
func (f *fleet) startVersioned(id, version string, events int) *versionedEngine {
	e := &versionedEngine{f: f, Upstream: &standin.Upstream{ID: id, Version: version, Events: events, Pause: 20 * time.Millisecond,
		StartUnixMS: time.Now().UnixMilli()}}
	e.listen()
	e.register()
	return e
}

func (e *versionedEngine) register() {
	require.NoError(e.f.t, e.f.store.RegisterVersion(e.ID, "model", upstreamAddress(e.ID), "bergen", "ready", e.Version, 64, e.StartUnixMS))
}

func (e *versionedEngine) listen() {
	l, err := e.f.network.Listen("tcp", upstreamAddress(e.ID))
	require.NoError(e.f.t, err)
	e.server = &http.Server{Handler: e.Upstream}
	server := e.server
	go func() { _ = server.Serve(l) }() // returns on Close
	e.f.t.Cleanup(func() { _ = server.Close() })
}

// crash closes all connections of the engine and refuses new ones; its entry remains.
func (e *versionedEngine) crash() { _ = e.server.Close() }

// restart starts a crashed engine again under its id, with a new start time and its entry.
func (e *versionedEngine) restart(version string) {
	e.Upstream = &standin.Upstream{ID: e.ID, Version: version, Events: e.Events, Pause: e.Pause, StartUnixMS: time.Now().UnixMilli()}
	e.listen()
	e.register()
}

// runningEngine returns the engine that runs an attempt.
func runningEngine(engines []*versionedEngine, attempt string) *versionedEngine {
	for _, e := range engines {
		if e.Runs(attempt) > 0 {
			return e
		}
	}
	return nil
}

// streamCaller is the caller of one stream, which it takes up again after it broke off.
type streamCaller struct {
	f        *fleet
	name     string
	attempts int
	// began is the time of the first attempt.
	began time.Time
	// first is the attempt that brought the first event.
	first string
	// events are the ids of the events received, versions those of the upstreams that sent them.
	events   []string
	versions []string
	key      string
}

// streamResult is the result of one attempt of a streamCaller.
type streamResult struct {
	attempt    string
	status     int
	complete   bool
	retryAfter string
	elapsed    time.Duration
}

// attempt sends the next attempt through a router, and closes its connection after maxEvents events.
func (c *streamCaller) attempt(vm, maxEvents int) streamResult {
	if c.first != "" {
		return c.takeUp(vm, maxEvents)
	}
	return c.send(vm, maxEvents, nil)
}

// takeUp takes the stream up again after the last event received. It names no first attempt if first is "".
func (c *streamCaller) takeUp(vm, maxEvents int) streamResult {
	header := map[string]string{standin.HeaderLastEvent: c.events[len(c.events)-1]}
	if c.first != "" {
		header[standin.HeaderResumes] = c.first
	}
	return c.send(vm, maxEvents, header)
}

// send sends an attempt with additional headers.
func (c *streamCaller) send(vm, maxEvents int, header map[string]string) streamResult {
	if c.attempts++; c.attempts == 1 {
		c.began = time.Now()
	}
	result := streamResult{attempt: fmt.Sprintf("%s-%d", c.name, c.attempts)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(vm, callersPort)+"/review/x", strings.NewReader("tide?"))
	require.NoError(c.f.t, err)
	req.Host = "a.example"
	for name, value := range map[string]string{standin.HeaderID: result.attempt, standin.HeaderKey: c.key, standin.HeaderUsage: "1000,180",
		standin.HeaderParts: "shared-" + c.name + ":600,own-" + c.name + ":400", standin.HeaderDeadline: fmt.Sprint(streamDeadline.Milliseconds())} {
		req.Header.Set(name, value)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := c.f.client().Do(req)
	result.elapsed = time.Since(start)
	if err != nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.status, result.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	if resp.StatusCode == http.StatusOK {
		result.complete = c.read(bufio.NewScanner(resp.Body), result.attempt, maxEvents)
	}
	return result
}

// read reads up to maxEvents events, and reports whether the last one of the stream was among them.
func (c *streamCaller) read(lines *bufio.Scanner, attempt string, maxEvents int) (complete bool) {
	id := ""
	for n := 0; n < maxEvents && lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = value
		}
		if _, version, ok := strings.Cut(lines.Text(), " of "); ok {
			if c.first == "" {
				c.first = attempt
			}
			c.events, c.versions = append(c.events, id), append(c.versions, version)
			n++
		}
	}
	return len(c.events) == streamEvents
}

// streamDeadline is how long a caller waits for its stream, over all attempts.
const streamDeadline = 12 * time.Second

// streamEvents is the number of events of a test's streams, which take more than a second; all is more.
const (
	streamEvents = 60
	all          = 1000
)

// requireOneStream checks that the caller holds each event once, all of one version.
func (c *streamCaller) requireOneStream() {
	c.f.t.Helper()
	for n, id := range c.events {
		require.Equal(c.f.t, strconv.Itoa(n+1), id)
	}
	versions := slices.Clone(c.versions)
	slices.Sort(versions)
	require.LessOrEqual(c.f.t, len(slices.Compact(versions)), 1, "%s holds events of %v", c.name, versions)
}

// firstStreamLender is the number of the first VM with a lender, above those of all routers.
const firstStreamLender = 500

// withVersions runs a test with routers on VMs 1 to routers, and two engines of each version with lenders.
func withVersions(t *testing.T, routers int, versions []string, test func(f *fleet, engines []*versionedEngine)) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		var engines []*versionedEngine
		for n, version := range slices.Concat(versions, versions) {
			engines = append(engines, f.startVersioned(fmt.Sprint("i-", n+1), version, streamEvents))
		}
		f.startVMs(routers)
		for n, e := range engines {
			e.stopLender, _ = f.startLenderAs(fmt.Sprint("engine-", n+1), firstStreamLender+n, e.ID)
		}
		time.Sleep(time.Duration(f.settings(1).Retries.Window) + 2*time.Second) // retries are allowed from then on
		test(f, engines)
	})
}

// prompts is the number of prompts with which a test is repeated: they prefer different engines.
const prompts = 6

// Guards against streams that go on at another software version when their engine crashes: engines do not
// check it, and the caller's answer would be joined from two versions.
func TestStreamOfACrashedEngineContinuesAtItsVersion(t *testing.T) {
	for n := range prompts {
		t.Run(fmt.Sprint("prompt-", n), func(t *testing.T) {
			withVersions(t, 1, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
				c := &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
				go func() {
					time.Sleep(400 * time.Millisecond)
					runningEngine(engines, c.name+"-1").crash()
				}()
				result := c.attempt(1, all)
				c.requireOneStream()
				require.True(t, result.complete, "the other engine of the version serves")
			})
		})
	}
}

// Guards against a stream that goes on at another version because no engine of its own is left: its answer
// must end as incomplete, and taking it up is refused at once.
func TestStreamEndsWithTheLastEngineOfItsVersion(t *testing.T) {
	for n := range prompts {
		t.Run(fmt.Sprint("prompt-", n), func(t *testing.T) {
			withVersions(t, 2, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
				c := &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
				go func() {
					time.Sleep(400 * time.Millisecond)
					version := runningEngine(engines, c.name+"-1").Version
					for _, e := range engines {
						if e.Version == version {
							require.NoError(t, f.store.Unregister(e.ID))
						}
					}
					f.settle()
					for _, e := range engines {
						if e.Version == version {
							e.crash()
						}
					}
				}()
				require.False(t, c.attempt(1, all).complete)
				require.NotEmpty(t, c.events)
				for vm := 1; vm <= 2; vm++ {
					result := c.attempt(vm, all)
					require.Equal(t, http.StatusServiceUnavailable, result.status)
					require.NotEmpty(t, result.retryAfter)
					require.Less(t, result.elapsed, 500*time.Millisecond)
				}
				c.requireOneStream()
			})
		})
	}
}

// takeUps are what happens between a stream's break and the attempt that takes it up through router 2.
var takeUps = []struct {
	name string
	then func(f *fleet)
}{
	{"at once", func(*fleet) {}},
	{"after the router that began it was killed", func(f *fleet) { f.kill(1) }},
	{"after a restart of the router that gets it", func(f *fleet) {
		f.stopVM(2)
		f.startVM(2)
		time.Sleep(2 * time.Second)
	}},
	{"while the router that gets it is cut off from the store", func(f *fleet) {
		f.disconnectFromStore(2)
		time.Sleep(2 * time.Second)
	}},
	{"while the store is silent", func(f *fleet) {
		f.store.SetUnresponsive(true)
		time.Sleep(2 * time.Second)
	}},
}

// kill ends a router without notice, as seen by all other processes.
func (f *fleet) kill(vm int) {
	f.disconnect(vm)
	f.network.SetBlackholed(address(vm, linkPort), true)
	f.cutLink(address(vm, linkPort))
	f.linkConns.Range(func(conn, of any) bool {
		if of.(linkEnds).from == vm {
			_ = conn.(net.Conn).Close() // the peer may have closed it
		}
		return true
	})
}

// Guards against streams that go on at another version when their callers take them up again at another
// router, which did not begin them, and against refusals while engines of their version serve.
func TestStreamTakenUpAtAnotherRouterContinuesAtItsVersion(t *testing.T) {
	for _, takeUp := range takeUps {
		for n := range prompts {
			t.Run(fmt.Sprintf("%s/prompt-%d", takeUp.name, n), func(t *testing.T) {
				withVersions(t, 4, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
					c := &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
					c.attempt(1, 10)
					require.NoError(t, f.store.Unregister(runningEngine(engines, c.first).ID)) // another engine is to continue it
					f.settle()
					takeUp.then(f)
					// It breaks off again, and the attempt that brought the first event is still the one named.
					c.attempt(2, 20)
					result := c.attempt(3, all)
					c.requireOneStream()
					require.True(t, result.complete, "status %d", result.status)
				})
			})
		}
	}
}

// Guards against a guess where the version that began a stream is not known: it could go on at another one.
func TestStreamOfAnUnknownVersionIsRefused(t *testing.T) {
	unknown := map[string]func(c *streamCaller){
		"an attempt that no router served": func(c *streamCaller) { c.first = "nobody" },
		"no attempt is named":              func(c *streamCaller) { c.first = "" },
		"an overlong name":                 func(c *streamCaller) { c.first = strings.Repeat("x", 4000) },
		"another team's attempt":           func(c *streamCaller) { c.key = "k2" },
	}
	for name, change := range unknown {
		t.Run(name, func(t *testing.T) {
			withVersions(t, 2, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
				f.template = strings.Replace(configTemplate, `"tenants":[`, `"tenants":[{"name":"skippers","api_keys":["k2"]},`, 1)
				f.putConfig(0, "k1")
				f.settle()
				c := &streamCaller{f: f, name: "s", key: "k1"}
				c.attempt(1, 10)
				change(c)
				result := c.takeUp(2, all)
				require.Equal(t, http.StatusServiceUnavailable, result.status)
				require.NotEmpty(t, result.retryAfter)
				require.Nil(t, runningEngine(engines, result.attempt))
			})
		})
	}
}

// Guards against refusals of streams whose callers do not name the first attempt while there is only one
// version, at which they must go on.
func TestStreamGoesOnWhileThereIsOneVersion(t *testing.T) {
	for _, takeUp := range takeUps[:4] {
		t.Run(takeUp.name, func(t *testing.T) {
			withVersions(t, 4, []string{"v1"}, func(f *fleet, _ []*versionedEngine) {
				time.Sleep(30 * time.Second) // for as long as streams of before may be taken up
				c := &streamCaller{f: f, name: "s", key: "k1"}
				c.attempt(1, 10)
				takeUp.then(f)
				c.first = ""
				result := c.takeUp(2, all)
				require.True(t, result.complete, "status %d", result.status)
				c.requireOneStream()
			})
		})
	}
}

// Guards against streams that are taken up at the only version listed although another one served when they
// began, and against that version being forgotten too early.
func TestStreamThatBeganBeforeItsVersionWasReplaced(t *testing.T) {
	withVersions(t, 2, []string{"v1"}, func(f *fleet, engines []*versionedEngine) {
		time.Sleep(30 * time.Second)
		c := &streamCaller{f: f, name: "s", key: "k1"}
		c.attempt(1, 10)
		for _, e := range engines {
			require.NoError(t, f.store.Unregister(e.ID))
		}
		f.startVersioned("i-5", "v2", streamEvents)
		f.startVersioned("i-6", "v2", streamEvents)
		f.settle()
		for _, first := range []string{c.first, "", "nobody"} {
			c.first = first
			require.Equal(t, http.StatusServiceUnavailable, c.takeUp(2, all).status, "first attempt %q", first)
		}
		time.Sleep(time.Minute)
		c.first = "nobody"
		require.Equal(t, http.StatusOK, c.takeUp(2, all).status, "no stream of v1 can be taken up any more")
	})
}

// Guards against a router that goes by its own list of upstreams while another one may already have used a version that is
// missing there.
func TestStreamAtARouterWhoseViewLags(t *testing.T) {
	withVersions(t, 2, []string{"v1"}, func(f *fleet, _ []*versionedEngine) {
		time.Sleep(30 * time.Second)
		c := &streamCaller{f: f, name: "s", key: "k1"}
		c.attempt(1, 10)
		f.store.SetWatchesStalled(true)
		f.startVersioned("i-5", "v2", streamEvents)
		c.first = ""
		require.Equal(t, http.StatusServiceUnavailable, c.takeUp(2, all).status)
	})
}

// Guards against a refusal of streams that are not taken up while two versions serve.
func TestNewStreamsBeginAtAnyVersion(t *testing.T) {
	withVersions(t, 1, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
		for n := range 4 * prompts {
			c := &streamCaller{f: f, name: fmt.Sprint("n", n), key: "k1"}
			require.True(t, c.attempt(1, all).complete)
			c.requireOneStream()
		}
		began := map[string]int{}
		for _, e := range engines {
			began[e.Version] += len(e.IDs())
		}
		require.Len(t, began, 2)
		require.NotZero(t, began["v1"])
		require.NotZero(t, began["v2"])
	})
}

// Guards against streams that a roll-out moves to another version, against refusals while both versions serve, and
// against streams of a version that was rolled back, which must get nothing more.
func TestStreamKeepsItsVersionDuringARollOut(t *testing.T) {
	withVersions(t, 4, []string{"v1", "v2"}, func(f *fleet, _ []*versionedEngine) {
		state := func() string {
			state, _, err := f.store.RolloutStatus("model")
			require.NoError(t, err)
			return state
		}
		require.NoError(t, f.store.OrderRollout("model", "v2", 6*time.Second))
		last := map[string]*streamCaller{}
		for n := range 1000 {
			c := &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
			require.Equal(t, http.StatusOK, c.attempt(1+n%4, 3).status)
			result := c.attempt(1+(n+1)%4, 3)
			if state() != "in_progress" && state() != "" {
				break
			}
			require.Equal(t, http.StatusOK, result.status)
			c.requireOneStream()
			last[c.versions[0]] = c
		}
		require.Equal(t, "rolled_back", state(), "too few requests to know the version")
		require.Len(t, last, 2, "some streams began at the new version")
		f.settle()
		require.Equal(t, http.StatusOK, last["v1"].attempt(1, 3).status)
		last["v1"].requireOneStream()
		require.Equal(t, http.StatusServiceUnavailable, last["v2"].attempt(1, 3).status)
	})
}
