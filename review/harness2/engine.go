package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// tokensPerEvent is the number of tokens in one event of a stream.
const tokensPerEvent = 3

// engine is a stand-in of a model engine. It answers each request with a stream of as many events as the request asks for.
type engine struct {
	id      string
	address string
	// pause is the time before each event.
	pause time.Duration

	mu   sync.Mutex
	runs []engineRun
}

// engineRun is a request that the engine ran.
type engineRun struct {
	id, team     string
	prompt, made int64
}

func (c *caseRun) newEngine(id string, pause time.Duration) (*engine, error) {
	e := &engine{id: id, pause: pause}
	var err error
	e.address, err = c.serve(e)
	return e, err
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/arbutusmill/report":
		_, _ = io.WriteString(w, `{"stage":"both","state":"ready","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":400000,"handles":0}`)
		return
	case "/arbutusmill/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(standin.HeaderID)
	w.Header().Set(standin.HeaderID, id)
	if want := r.Header.Get(standin.HeaderInstance); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, output := parseUsage(r.Header.Get(standin.HeaderUsage))
	n := e.begin(engineRun{id: id, team: r.Header.Get(standin.HeaderTeam), prompt: prompt})
	w.Header().Set(standin.HeaderSignature, "signature-of-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for event := int64(1); event*tokensPerEvent <= output; event++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)); err != nil {
			return
		}
		_ = rc.Flush()
		e.made(n, tokensPerEvent)
	}
}

func (e *engine) begin(r engineRun) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
	return len(e.runs) - 1
}

func (e *engine) made(n int, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].made += tokens
}

func (e *engine) list() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineRun(nil), e.runs...)
}

// parseUsage parses the prompt's tokens and the maximum number of output tokens.
func parseUsage(usage string) (prompt, output int64) {
	p, o, _ := strings.Cut(usage, ",")
	prompt, _ = strconv.ParseInt(p, 10, 64)
	output, _ = strconv.ParseInt(o, 10, 64)
	return prompt, output
}
