package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

const (
	callerDeadline = 4 * time.Second
	// concurrentCallers send requests at the same time, each with a random pause of up to
	// maxCallerPause between two requests.
	concurrentCallers = 12
	maxCallerPause    = 60 * time.Millisecond
	promptSize        = 1000
	maxOutput         = 30
)

// outcome is the result of one request as its caller received it.
type outcome struct {
	id, route, team, router string
	startedAt               time.Time
	// taken is the stream that the request takes up, nil if it begins one or is for another service.
	taken *takenStream
	// status is 0 if no response began.
	status int
	events int64
	// complete reports whether a successful response was read to its end.
	complete bool
	body     string
	err      error
}

// routeServices maps the routes that callers use to the service behind each.
var routeServices = map[string]string{"chat": "model", "review": "model", "alert": "plain", "level": "plain"}

// serviceOf returns the service behind a route. Routes named after a configuration version use the
// plain service.
func serviceOf(route string) string {
	if service, ok := routeServices[route]; ok {
		return service
	}
	return "plain"
}

var routeNames = []string{"chat", "review", "alert", "level"}

// loadGenerator runs callers and collects the outcomes of their requests.
type loadGenerator struct {
	fleet *testFleet
	seed  uint64

	mu       sync.Mutex
	outcomes []outcome
}

// run sends requests until the context ends. Each caller reuses its connections for as long as they
// stay open.
func (g *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range concurrentCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(g.seed, uint64(n)))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for i := 0; ctx.Err() == nil; i++ {
				g.sendWithRetry(client, rng, fmt.Sprintf("c%d-%d", n, i))
				time.Sleep(time.Duration(rng.Int64N(int64(maxCallerPause))))
			}
		})
	}
	wg.Wait()
}

// sendWithRetry sends a request, and once more through the next router if the response promises that
// it did not run.
func (g *loadGenerator) sendWithRetry(client *http.Client, rng *rand.Rand, id string) {
	routers := g.fleet.ofRole("gateway")
	route := routeNames[rng.IntN(len(routeNames))]
	team := "pilots"
	if rng.IntN(4) == 0 {
		team = "skippers"
	}
	first := rng.IntN(len(routers))
	o := g.send(client, routers[first], route, team, id)
	if o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable {
		o = g.send(client, routers[(first+1)%len(routers)], route, team, id+"-again")
	}
	g.takeUp(client, rng, o)
}

// send sends one request and records its outcome.
func (g *loadGenerator) send(client *http.Client, router *process, route, team, id string) outcome {
	return g.sendAttempt(client, router, outcome{id: id, route: route, team: team})
}

// sendAttempt sends the request of an outcome and records it.
func (g *loadGenerator) sendAttempt(client *http.Client, router *process, o outcome) outcome {
	o.router, o.startedAt = router.name, time.Now()
	route, team, id := o.route, o.team, o.id
	g.fleet.record(&g.fleet.sent, requestRecord{service: serviceOf(route), id: id, at: o.startedAt})
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	req, err := newRequest(ctx, router, route, team, id)
	if err == nil {
		o.taken.setHeaders(req.Header)
		o.readResponse(client.Do(req))
	} else {
		o.err = err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
	return o
}

func newRequest(ctx context.Context, router *process, route, team, id string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.callersAddress+"/"+route+"/x", strings.NewReader("tonight?"))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents the client from retrying by itself on a stale connection
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderKey, "k-"+team)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if serviceOf(route) == "model" {
		req.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", promptSize, maxOutput))
		req.Header.Set(standin.HeaderParts, fmt.Sprintf("5a:%d,%x:100", promptSize-100, id))
	}
	return req, nil
}

// readResponse reads the response to its end.
func (o *outcome) readResponse(resp *http.Response, err error) {
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(body), err
	o.events = int64(strings.Count(o.body, "\n\n"))
	o.complete = err == nil && resp.StatusCode == http.StatusOK
}

// expectedBody returns the complete response body for a request.
func (o *outcome) expectedBody() string {
	if serviceOf(o.route) == "plain" {
		return standin.PlainAnswer(o.id)
	}
	return expectedEvents(o)
}
