package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// host is the host of all routes.
const host = "tide.example"

// clients sends requests and counts what they get.
type clients struct {
	run  *caseRun
	http *http.Client
	last atomic.Int64

	mu sync.Mutex
	// delivered are the output tokens that arrived, by key, byStatus the answers; 0 stands for none.
	delivered map[string]int64
	byStatus  map[string]map[int]int
	waiting   sync.WaitGroup
}

func newClients(c *caseRun) *clients {
	return &clients{run: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 15 * time.Second},
		byStatus: map[string]map[int]int{}, delivered: map[string]int64{}}
}

// generation is a request to a model engine.
type generation struct {
	// phase names the part of the case for the record.
	phase, router, path, key string
	prompt, output           int64
}

// every sends a request at each interval for a time.
func (c *clients) every(interval, duration time.Duration, g generation) {
	end := time.Now().Add(duration)
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		c.waiting.Go(func() { c.send(g) })
	}
}

// send sends one request and reads the answer.
func (c *clients) send(g generation) {
	n := c.last.Add(1)
	id := fmt.Sprintf("%s-%06d", g.phase, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+g.router+g.path, strings.NewReader("{}"))
	if err != nil {
		c.ended(g, id, 0, 0, err)
		return
	}
	req.Host = host
	h := req.Header
	h.Set(standin.HeaderID, id)
	h.Set(standin.HeaderKey, g.key)
	h.Set(standin.HeaderDeadline, "12000")
	h.Set("Arbutusmill-Model", "m")
	h.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", g.prompt, g.output))
	h.Set(standin.HeaderParts, fmt.Sprintf("%x:%d", 1<<40+n, g.prompt))
	resp, err := c.http.Do(req)
	if err != nil {
		c.ended(g, id, 0, 0, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var events int64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") && resp.StatusCode == http.StatusOK {
			events++
		}
	}
	c.ended(g, id, resp.StatusCode, events, lines.Err())
}

func (c *clients) ended(g generation, id string, status int, events int64, err error) {
	c.run.note("client %s at %s: status %d, %d events, error %v", id, g.path, status, events, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered[g.key] += events * tokensPerEvent
	if c.byStatus[g.phase] == nil {
		c.byStatus[g.phase] = map[int]int{}
	}
	c.byStatus[g.phase][status]++
}

// answered returns how many requests of a phase ended with a status.
func (c *clients) answered(phase string, status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byStatus[phase][status]
}
