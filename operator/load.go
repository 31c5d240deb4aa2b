package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/openai"
)

type loadFlags struct {
	url      string
	key      string
	model    string
	rate     float64
	requests int
	prompt   string
	tokens   int
}

// Limits of a load run, so that it ends by itself.
const (
	maxLoadRequests = 100_000
	maxLoadRate     = 2000
	loadTimeout     = 2 * time.Minute
	maxRefusalBytes = 64 << 10
)

func loadCommand() *command {
	l := &loadFlags{}
	return &command{
		name:     "load",
		synopsis: "send a bounded load of streamed requests to a router on this machine",
		usage: `load [flags]
Sends -requests streamed requests at -rate per second, open loop, and prints the time to
the first token, the time between tokens, and the number of requests by outcome. Loopback
only.
Example: arbutusmill load -url http://127.0.0.1:8080 -key am_... -rate 20 -requests 200
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&l.url, "url", "http://127.0.0.1:8080", "router's `URL` for callers")
			f.StringVar(&l.key, "key", "", "team's `key`")
			f.StringVar(&l.model, "model", "tides-1", "`model` to request")
			f.Float64Var(&l.rate, "rate", 10, "requests per second")
			f.IntVar(&l.requests, "requests", 100, "total number of requests")
			f.StringVar(&l.prompt, "prompt", "When is low water tonight?", "`text` of the prompt; a number is appended")
			f.IntVar(&l.tokens, "max-tokens", 64, "output limit of each request")
		},
		run: l.run,
	}
}

// loadResult collects the results of a load run.
type loadResult struct {
	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram // microseconds
	betweenTokens *hdrhistogram.Histogram // microseconds
	outcomes      map[string]int
	billedTokens  int64
}

func newLoadResult() *loadResult {
	const lowest, highest, digits = 1, int64(time.Minute / time.Microsecond), 3
	return &loadResult{firstToken: hdrhistogram.New(lowest, highest, digits),
		betweenTokens: hdrhistogram.New(lowest, highest, digits), outcomes: map[string]int{}}
}

func (l *loadFlags) validate() error {
	u, err := url.Parse(l.url)
	if err != nil {
		return usagef("-url: %v", err)
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return usagef("-url: %q is not on this machine", l.url)
	}
	if l.requests < 1 || l.requests > maxLoadRequests {
		return usagef("-requests: must be from 1 to %d", maxLoadRequests)
	}
	if l.rate <= 0 || l.rate > maxLoadRate {
		return usagef("-rate: must be above 0 and at most %d", maxLoadRate)
	}
	return nil
}

func (l *loadFlags) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("no arguments are taken")
	}
	if err := l.validate(); err != nil {
		return err
	}
	res := newLoadResult()
	client := &http.Client{
		Transport:     bounded.Transport(&http.Transport{MaxIdleConnsPerHost: 256}),
		CheckRedirect: bounded.KeepRedirects,
		Timeout:       loadTimeout,
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	for i := range l.requests {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { l.sendRequest(ctx, client, i, res) })
	}
	wg.Wait()
	res.print()
	return nil
}

func (l *loadFlags) sendRequest(ctx context.Context, client *http.Client, i int, res *loadResult) {
	body, _ := json.Marshal(map[string]any{"model": l.model, "stream": true, "max_tokens": l.tokens,
		"messages": []openai.Message{{Role: "user", Content: fmt.Sprintf("%s (%d)", l.prompt, i)}}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url+openai.ChatPath, strings.NewReader(string(body)))
	if err != nil {
		res.recordOutcome("bad_request")
		return
	}
	req.Header.Set("Authorization", "Bearer "+l.key)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		res.recordOutcome("no_answer")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.recordOutcome(refusalKind(resp.Body))
		return
	}
	res.readStream(start, resp.Body)
}

func refusalKind(r io.Reader) string {
	var e contract.ErrorBody
	if bounded.DecodeJSON(r, maxRefusalBytes, "refusal", &e) != nil || e.Error.Kind == "" {
		return "unreadable_refusal"
	}
	return string(e.Error.Kind)
}

func (r *loadResult) readStream(start time.Time, body io.Reader) {
	var m openai.Meter
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		before := m.Outputs
		m.RecordLine(lines.Bytes())
		if m.Outputs > before {
			now := time.Now()
			r.recordToken(before == 0, now.Sub(last))
			last = now
		}
	}
	if lines.Err() != nil || !m.Done {
		r.recordOutcome("cut")
		return
	}
	r.mu.Lock()
	r.billedTokens += m.Billed()
	r.mu.Unlock()
	r.recordOutcome("whole")
}

func (r *loadResult) recordToken(first bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.betweenTokens
	if first {
		h = r.firstToken
	}
	_ = h.RecordValue(d.Microseconds()) // out of range only above a minute
}

func (r *loadResult) recordOutcome(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

func (r *loadResult) print() {
	for _, outcome := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Printf("%-20s %d\n", outcome, r.outcomes[outcome])
	}
	fmt.Printf("billed tokens        %d\n", r.billedTokens)
	printLatencies("first token", r.firstToken)
	printLatencies("between tokens", r.betweenTokens)
}

func printLatencies(name string, h *hdrhistogram.Histogram) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%-20s p50 %.1f ms  p95 %.1f ms  p99 %.1f ms  max %.1f ms\n", name, ms(50), ms(95), ms(99), float64(h.Max())/1000)
}
