package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
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

// maxProcessMB is the memory (MiB) that a process may take: the default of limits.memory_mb.
const maxProcessMB = 128

// endlessAnswer is a way to answer without end.
type endlessAnswer struct {
	// lines are sent after the id and signature in the head.
	lines, part string
}

var endlessAnswers = map[string]*endlessAnswer{
	"head":        {part: standin.EndlessHeadPart},
	"short lines": {part: "a:\r\n"},
	"body":        {lines: "\r\n" + `{"text":"`, part: "0123456789abcdef"},
}

func (a *endlessAnswer) serve(rw http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := standin.EndlessHead + standin.HeaderID + ": " + r.Header.Get(standin.HeaderID) + "\r\n" + standin.HeaderSignature + ": s\r\n"
	(&standin.Endless{Begin: head + a.lines, Part: a.part}).Send(conn)
}

// Guards against a process whose memory upstreams fill that answer without end, requests and reports alike. Half of the
// engines and of the plain upstreams do.
func TestMemoryBesideAnswersWithoutEnd(t *testing.T) {
	if *endlessCallers == 0 {
		t.Skip("by hand, with -endless.callers")
	}
	for way, answer := range endlessAnswers {
		t.Run(way, func(t *testing.T) {
			tf := newTestFleet(t, t.TempDir())
			defer func() {
				for _, p := range tf.processes {
					p.stop(syscall.SIGKILL)
				}
			}()
			tf.waitServing()
			for n, u := range tf.upstreams {
				if n%2 == 0 {
					u.endless.Store(answer)
				}
			}
			ctx, stop := context.WithTimeout(t.Context(), *endlessTime)
			defer stop()
			t.Log("requests by status:", tf.flood(ctx, *endlessCallers))
			for _, p := range tf.processes {
				most := p.peakMemoryMB()
				t.Logf("%s: %d MiB", p.name, most)
				require.LessOrEqual(t, most, maxProcessMB, p.name)
			}
		})
	}
}

// flood sends requests through all routers until the context ends, and counts them by status.
func (tf *testFleet) flood(ctx context.Context, callers int) map[int]int {
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
	byStatus := map[int]int{}
	for _, o := range g.outcomes {
		byStatus[o.status]++
	}
	return byStatus
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
