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
	// callers is how many ask at the same time, callerPause the longest pause of each.
	callers     = 12
	callerPause = 60 * time.Millisecond
	promptSize  = 1000
	mostOutput  = 30
)

// outcome is what a caller got for one request.
type outcome struct {
	id, route, team, router string
	began                   time.Time
	// status is 0 if no answer began.
	status int
	events int64
	// whole says that a success ended as the upstream's own whole answer.
	whole bool
	body  string
	err   error
}

// kinds are the routes that callers ask, with the service behind each.
var kinds = map[string]string{"chat": "model", "review": "model", "alert": "plain", "level": "plain"}

// serviceOf is the service behind a route. Those that name a version go to the plain one.
func serviceOf(route string) string {
	if service, ok := kinds[route]; ok {
		return service
	}
	return "plain"
}

var kindNames = []string{"chat", "review", "alert", "level"}

// crowd is callers that ask until they are told to stop.
type crowd struct {
	w    *world
	seed uint64

	mu       sync.Mutex
	outcomes []outcome
}

// run asks until the context ends. Each caller uses its connections for as long as they last.
func (c *crowd) run(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			luck := rand.New(rand.NewPCG(c.seed, uint64(n)))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for i := 0; ctx.Err() == nil; i++ {
				c.one(client, luck, fmt.Sprintf("c%d-%d", n, i))
				time.Sleep(time.Duration(luck.Int64N(int64(callerPause))))
			}
		})
	}
	wg.Wait()
}

// one asks once, and once more through another router where that is safe.
func (c *crowd) one(client *http.Client, luck *rand.Rand, id string) {
	all := c.w.ofRole("gateway")
	route := kindNames[luck.IntN(len(kindNames))]
	team := "pilots"
	if luck.IntN(4) == 0 {
		team = "skippers"
	}
	first := luck.IntN(len(all))
	o := c.ask(client, all[first], route, team, id)
	if o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable {
		c.ask(client, all[(first+1)%len(all)], route, team, id+"-again")
	}
}

// ask sends one request and notes its outcome.
func (c *crowd) ask(client *http.Client, router *process, route, team, id string) outcome {
	o := outcome{id: id, route: route, team: team, router: router.name, began: time.Now()}
	c.w.note(&c.w.asked, arrival{service: serviceOf(route), id: id, at: o.began})
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	req, err := request(ctx, router, route, team, id)
	if err == nil {
		o.read(client.Do(req))
	} else {
		o.err = err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o
}

func request(ctx context.Context, router *process, route, team, id string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.callers+"/"+route+"/x", strings.NewReader("tonight?"))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // or the client would send it again by itself on a stale connection
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderKey, "k-"+team)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if serviceOf(route) == "model" {
		req.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", promptSize, mostOutput))
		req.Header.Set(standin.HeaderParts, fmt.Sprintf("5a:%d,%x:100", promptSize-100, id))
	}
	return req, nil
}

// read reads the answer to its end.
func (o *outcome) read(resp *http.Response, err error) {
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(body), err
	o.events = int64(strings.Count(o.body, "\n\n"))
	o.whole = err == nil && resp.StatusCode == http.StatusOK
}

// expected is the whole answer to a request.
func (o *outcome) expected() string {
	if serviceOf(o.route) == "plain" {
		return standin.PlainAnswer(o.id)
	}
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(standin.Event(n))
	}
	return b.String()
}
