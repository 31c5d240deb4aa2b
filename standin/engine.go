package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/cespare/xxhash/v2"
)

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	// Step is the duration of one step, in which each running request without
	// pending prefill generates one token.
	Step time.Duration
	// Slots is the maximum number of requests in one batch.
	Slots int
	// PrefillTokens is the number of prompt tokens that a request prefills in one step.
	PrefillTokens int
	// CacheBlocks is the maximum number of cached prefix blocks.
	CacheBlocks int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// Overrun adds this many tokens to each usage report.
	Overrun int64
}

// DefaultEngineOptions returns the options of a small engine.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{Step: 6 * time.Millisecond, Slots: 8, PrefillTokens: 512, CacheBlocks: 4096,
		LoadLag: 500 * time.Millisecond, ChecksFencing: true}
}

// blockBytes is the size of a cached prefix block; bytesPerToken is the number of
// bytes that the stand-in counts as one token.
const (
	blockBytes    = 64
	bytesPerToken = 4
)

// Engine is a stand-in of a model engine with continuous batching, a prefix cache and
// request priorities. The tokens it generates are numbered, so a response shows its
// length.
type Engine struct {
	opt EngineOptions

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   map[uint64]bool
	// cacheOrder lists the cached blocks from oldest to newest, for eviction.
	cacheOrder []uint64
	served     Served
	fencing    int64
	refusals   int
	// silentRefusals makes refusals have no body.
	silentRefusals bool
	reports        []loadReport
	wake           chan struct{}
}

// Served counts the work that the engine has done.
type Served struct {
	Requests         int64            `json:"requests"`
	PromptTokens     int64            `json:"prompt_tokens"`
	CompletionTokens int64            `json:"completion_tokens"`
	PrefilledTokens  int64            `json:"prefilled_tokens"`
	ByKey            map[string]int64 `json:"runs_by_key"`
}

// loadReport is the engine's load at one point in time.
type loadReport struct {
	at               time.Time
	Running, Waiting int
}

// sequence is one request in the engine.
type sequence struct {
	ctx            context.Context
	priority       int
	pendingPrefill int // prompt tokens still to be prefilled
	remaining      int64
	tokens         chan int64 // numbers of the generated tokens, from 1
	generated      int64
}

// NewEngine returns an engine, which generates tokens while Run executes.
func NewEngine(opt EngineOptions) *Engine {
	return &Engine{opt: opt, cache: map[uint64]bool{}, served: Served{ByKey: map[string]int64{}}, wake: make(chan struct{}, 1)}
}

// Run executes steps while there is work, until the context ends.
func (e *Engine) Run(ctx context.Context) {
	t := time.NewTicker(e.opt.Step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if e.step() {
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
	}
}

// step runs one batch and reports whether any request is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitLocked()
	active := e.running[:0]
	for _, s := range e.running {
		if e.advanceLocked(s) {
			active = append(active, s)
		}
	}
	e.running = active
	e.reportLocked()
	return len(e.running)+len(e.waiting) > 0
}

// admitLocked fills the batch with waiting requests, the lowest priority number first.
func (e *Engine) admitLocked() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.priority - b.priority })
	for len(e.running) < e.opt.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// advanceLocked runs one step of a sequence and reports whether it continues.
func (e *Engine) advanceLocked(s *sequence) bool {
	if s.ctx.Err() != nil {
		close(s.tokens)
		return false
	}
	if s.pendingPrefill > 0 {
		n := min(s.pendingPrefill, e.opt.PrefillTokens)
		s.pendingPrefill -= n
		e.served.PrefilledTokens += int64(n)
		return true
	}
	s.generated++
	s.remaining--
	e.served.CompletionTokens++
	s.tokens <- s.generated // never blocks: the channel's buffer holds all tokens
	if s.remaining <= 0 {
		close(s.tokens)
		return false
	}
	return true
}

// reportLocked adds a load report and drops those that are older than the one to show.
func (e *Engine) reportLocked() {
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, Running: len(e.running), Waiting: len(e.waiting)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) > e.opt.LoadLag {
		e.reports = e.reports[1:]
	}
}

// Handler returns the HTTP interface: the OpenAI API, /load, /orders and
// /control/served.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.ChatPath, e.handleCompletion)
	mux.HandleFunc("POST "+openai.CompletionsPath, e.handleCompletion)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /control/served", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Served()) })
	return mux
}

// Served returns a copy of the engine's counters.
func (e *Engine) Served() Served {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.served
	s.ByKey = map[string]int64{}
	for k, n := range e.served.ByKey {
		s.ByKey[k] = n
	}
	return s
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var r loadReport
	if len(e.reports) > 0 {
		r = e.reports[0]
	}
	writeJSON(w, r)
}

// order is an operator's order to an engine.
type order struct {
	Fencing int64  `json:"fencing"`
	Action  string `json:"action"`
	Name    string `json:"name"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksFencing && o.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	writeJSON(w, o)
}

// engineRequest holds the fields of a request that the stand-in reads.
type engineRequest struct {
	Model     string           `json:"model"`
	Stream    bool             `json:"stream"`
	MaxTokens int64            `json:"max_tokens"`
	Priority  int              `json:"priority"`
	Messages  []openai.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
}

func (r engineRequest) text() string {
	t := r.Prompt
	for _, m := range r.Messages {
		t += m.Role + ":" + m.Content + "\n"
	}
	return t
}

// Refuse makes the engine refuse the next n requests with 429.
func (e *Engine) Refuse(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals, e.silentRefusals = n, false
}

// RefuseWithoutBody makes the engine refuse the next n requests with 429 and no body, which leaves the connection open.
func (e *Engine) RefuseWithoutBody(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals, e.silentRefusals = n, true
}

// refuses reports whether it refused a request.
func (e *Engine) refuses(w http.ResponseWriter) bool {
	e.mu.Lock()
	e.refusals--
	refuses, silent := e.refusals >= 0, e.silentRefusals
	e.mu.Unlock()
	switch {
	case refuses && silent:
		w.WriteHeader(http.StatusTooManyRequests)
	case refuses:
		http.Error(w, "the engine's queue is full", http.StatusTooManyRequests)
	}
	return refuses
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var in engineRequest
	if !readJSON(w, r, &in) {
		return
	}
	if e.refuses(w) {
		return
	}
	text := in.text()
	prompt := int64(len(text)/bytesPerToken + 1)
	seq := e.submit(r, in, text, prompt)
	usage := func(generated int64) *openai.Usage {
		return &openai.Usage{PromptTokens: prompt, CompletionTokens: generated + e.opt.Overrun, TotalTokens: prompt + generated + e.opt.Overrun}
	}
	if in.Stream {
		writeStream(w, in.Model, seq, usage)
		return
	}
	var out string
	var generated int64
	for n := range seq.tokens {
		generated = n
		out += tokenText(n)
	}
	stop := "stop"
	writeJSON(w, openai.Chunk{ID: "standin", Object: "chat.completion", Model: in.Model, Usage: usage(generated),
		Choices: []openai.Choice{{Message: &openai.Message{Role: "assistant", Content: out}, FinishReason: &stop}}})
}

// submit queues a request. The length of its response depends only on its text and
// max_tokens.
func (e *Engine) submit(r *http.Request, in engineRequest, text string, prompt int64) *sequence {
	const minTokens, tokenRange = 8, 25
	total := int64(minTokens + xxhash.Sum64String(text)%tokenRange)
	if in.MaxTokens > 0 {
		total = min(total, in.MaxTokens)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cachedLocked(text)
	s := &sequence{ctx: r.Context(), priority: in.Priority, remaining: total, tokens: make(chan int64, total)}
	s.pendingPrefill = max(0, int(prompt)-cached/bytesPerToken)
	e.served.Requests++
	e.served.PromptTokens += prompt
	e.served.ByKey[r.Header.Get("Idempotency-Key")]++
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// cachedLocked returns the length in bytes of the prompt's cached prefix, and caches
// the prompt.
func (e *Engine) cachedLocked(text string) int {
	hit, missed := 0, false
	for end := blockBytes; end <= len(text); end += blockBytes {
		h := xxhash.Sum64String(text[:end])
		if e.cache[h] && !missed {
			hit = end
			continue
		}
		missed = true
		e.cache[h] = true
		e.cacheOrder = append(e.cacheOrder, h)
	}
	for len(e.cacheOrder) > e.opt.CacheBlocks {
		delete(e.cache, e.cacheOrder[0])
		e.cacheOrder = e.cacheOrder[1:]
	}
	return hit
}

func tokenText(n int64) string { return fmt.Sprintf("w%d ", n) }

func writeStream(w http.ResponseWriter, model string, s *sequence, usage func(int64) *openai.Usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	send := func(c openai.Chunk) {
		c.ID, c.Object, c.Model = "standin", "chat.completion.chunk", model
		if c.Choices == nil {
			c.Choices = []openai.Choice{}
		}
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		_ = rc.Flush()
	}
	var generated int64
	for n := range s.tokens {
		generated = n
		send(openai.Chunk{Choices: []openai.Choice{{Delta: &openai.Message{Content: tokenText(n)}}}})
	}
	if s.ctx.Err() != nil {
		return
	}
	stop := "stop"
	send(openai.Chunk{Choices: []openai.Choice{{Delta: &openai.Message{}, FinishReason: &stop}}})
	send(openai.Chunk{Usage: usage(generated)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = rc.Flush()
}
