package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

var (
	endlessCallers = flag.Int("endless.callers", 0, "number of callers of TestMemoryBesideAnswersWithoutEnd; 0 skips it")
	endlessTime    = flag.Duration("endless.time", 8*time.Second, "how long upstreams answer without end in TestMemoryBesideAnswersWithoutEnd")
)

const (
	// maxProcessMB is the memory (MiB) that a process may take: the default of limits.memory_mb.
	maxProcessMB = 128
	// shortEndlessTime is how long upstreams answer without end in TestAnswersWithoutEnd; shortRouterMB and shortLenderMB are
	// the memory (MiB) of a process there. A lender's is that of the control on a node (DEVELOPERS.md).
	shortEndlessTime = 3 * time.Second
	shortRouterMB    = 64
	shortLenderMB    = 32
	// endlessShare and endlessReportShare are the numbers of requests and of reports of which an endlessMix answers one
	// without end.
	endlessShare       = 4
	endlessReportShare = 2
)

// endlessAnswer is a way to answer without end.
type endlessAnswer struct {
	// lines are sent after the id and signature in the head, then part over and over, with a pause between two bytes.
	lines, part string
	pause       time.Duration
}

var endlessAnswers = map[string]endlessAnswer{
	"head":         {part: standin.EndlessHeadPart},
	"short lines":  {part: "a:\r\n"},
	"body":         {lines: "\r\n" + `{"text":"`, part: "0123456789abcdef"},
	"event":        {lines: "\r\ndata: ", part: "0123456789abcdef"},
	"slow head":    {part: standin.EndlessHeadPart, pause: time.Second},
	"slow body":    {lines: "\r\n", part: "x", pause: time.Second},
	"empty chunks": {lines: "Transfer-Encoding: chunked\r\n\r\n", part: "0\r\n\r\n"},
}

// serve answers a request. It always returns true: the request has its answer.
func (a endlessAnswer) serve(rw http.ResponseWriter, r *http.Request) bool {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	head := standin.EndlessHead + standin.HeaderID + ": " + r.Header.Get(standin.HeaderID) + "\r\n" + standin.HeaderSignature + ": s\r\n"
	if _, err := io.WriteString(conn, head+a.lines); err == nil {
		(&standin.Endless{Part: a.part, Pause: a.pause}).Send(conn)
	}
	return true
}

// endlessMix answers some requests and reports without end, in all ways in turn. The seed and the request's id determine which
// requests.
type endlessMix struct {
	seed        uint64
	reportCount atomic.Int64

	mu sync.Mutex
	// ids are the requests that it answered; requests and reports count the answers by way.
	ids               map[string]bool
	requests, reports map[string]int
}

func (m *endlessMix) serve(rw http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get(standin.HeaderID)
	if id == "" {
		return m.reportCount.Add(1)%endlessReportShare == 0 && endlessAnswers[m.nextWay(id, m.reports)].serve(rw, r)
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, m.seed, id) // never fails
	return h.Sum64()%endlessShare == 0 && endlessAnswers[m.nextWay(id, m.requests)].serve(rw, r)
}

// nextWay records an answer to a request and returns its way, the one that was sent least often.
func (m *endlessMix) nextWay(id string, sent map[string]int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ids[id] = true
	way := slices.MinFunc(slices.Sorted(maps.Keys(endlessAnswers)), func(a, b string) int { return cmp.Compare(sent[a], sent[b]) })
	sent[way]++
	return way
}

// answerWithoutEnd makes every nth upstream answer without end.
func (tf *testFleet) answerWithoutEnd(nth int, how func(http.ResponseWriter, *http.Request) bool) {
	for n, u := range tf.upstreams {
		if n%nth == 0 {
			u.endless.Store(&how)
		}
	}
}

// Guards against a process whose memory upstreams fill that answer without end, requests and reports alike.
func TestMemoryBesideAnswersWithoutEnd(t *testing.T) {
	if *endlessCallers == 0 {
		t.Skip("by hand, with -endless.callers")
	}
	for way, answer := range endlessAnswers {
		t.Run(way, func(t *testing.T) {
			tf := newTestFleet(t, t.TempDir())
			defer tf.end()
			tf.waitServing()
			tf.answerWithoutEnd(2, answer.serve)
			t.Log("requests by status:", byStatus(tf.flood(*endlessTime, *endlessCallers)))
			tf.checkMemory(maxProcessMB, maxProcessMB)
		})
	}
}

// Guards against upstreams that answer without end, in all ways mixed, and take memory, let requests run twice, leave requests
// without an answer, or keep routers from serving after they answer properly again. Its short form of the test by hand runs in CI.
func TestAnswersWithoutEnd(t *testing.T) {
	tf := newTestFleetWith(t, t.TempDir(), settingsFields{"limits": settingsFields{"memory_mb": shortRouterMB}})
	defer tf.end()
	tf.waitServing()
	mix := &endlessMix{seed: *firstSeed, ids: map[string]bool{}, requests: map[string]int{}, reports: map[string]int{}}
	tf.answerWithoutEnd(1, mix.serve)
	outcomes := tf.flood(shortEndlessTime, concurrentCallers)
	for _, u := range tf.upstreams {
		u.endless.Store(nil)
	}
	tf.waitServing()
	tf.checkMemory(shortRouterMB, shortLenderMB)
	tf.checkBeside(mix, outcomes)
}

// checkBeside checks the outcomes of requests some of which were answered without end.
func (tf *testFleet) checkBeside(mix *endlessMix, outcomes []outcome) {
	attempts := map[string]int{}
	for _, r := range tf.received {
		attempts[r.id]++
	}
	statuses := byStatus(outcomes)
	tf.t.Log("requests by status:", statuses, "answers without end:", mix.requests, "reports:", mix.reports)
	require.Len(tf.t, mix.requests, len(endlessAnswers), "all ways were used")
	require.Positive(tf.t, statuses[http.StatusOK], "other requests are served")
	for _, o := range outcomes {
		require.NotZero(tf.t, o.status, "%s through %s got no answer: %v", o.id, o.router, o.err)
		if o.route == "alert" || o.route == "chat" {
			require.LessOrEqual(tf.t, attempts[o.id], 1, "%s was sent more than once", o.id)
		}
		if notRun(o.status) {
			require.False(tf.t, mix.ids[o.id], "%s was refused with %d and may have run", o.id, o.status)
		}
		if o.complete && !(mix.ids[o.id] && o.body == "") { // empty chunks end an empty body
			require.Equal(tf.t, o.expectedBody(), o.body, "response to %s", o.id)
		}
	}
}

// end ends all processes at once.
func (tf *testFleet) end() {
	for _, p := range tf.processes {
		p.stop(syscall.SIGKILL)
	}
}

// flood sends requests through all routers for a time and returns their outcomes.
func (tf *testFleet) flood(d time.Duration, callers int) []outcome {
	ctx, stop := context.WithTimeout(tf.t.Context(), d)
	defer stop()
	g := &loadGenerator{fleet: tf}
	routers := tf.ofRole("gateway")
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for i := 0; ctx.Err() == nil; i++ {
				g.send(client, routers[n%len(routers)], routeNames[i%len(routeNames)], "pilots", fmt.Sprintf("e%d-%d", n, i))
			}
		})
	}
	wg.Wait()
	return g.outcomes
}

func byStatus(outcomes []outcome) map[int]int {
	out := map[int]int{}
	for _, o := range outcomes {
		out[o.status]++
	}
	return out
}

// checkMemory checks the largest resident memory of all processes; the race detector's is allowed for.
func (tf *testFleet) checkMemory(routerMB, lenderMB int) {
	for _, p := range tf.processes {
		most, maxMB := p.peakMemoryMB(), lenderMB
		if p.role == "gateway" {
			maxMB = routerMB
		}
		tf.t.Logf("%s: %d MiB", p.name, most)
		require.LessOrEqual(tf.t, most, maxMB*memoryFactor, p.name)
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryMB returns the largest resident memory (MiB) that the process had.
func (p *process) peakMemoryMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	found := peakMemory.FindSubmatch(status)
	require.NotNil(p.t, found, "the process runs")
	kb, err := strconv.Atoi(string(found[1]))
	require.NoError(p.t, err)
	return kb >> 10
}
