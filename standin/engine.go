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

// EngineOptions are the traits of a stand-in engine.
type EngineOptions struct {
	// Step is the time of one step; each running request gets one token in it.
	Step time.Duration
	// Slots is the most requests that run in one step.
	Slots int
	// PrefillTokens is how many prompt tokens one step reads.
	PrefillTokens int
	// CacheBlocks bounds the cached prefix blocks.
	CacheBlocks int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// Overrun adds this many tokens to each usage report.
	Overrun int64
}

// DefaultEngineOptions are those of a small engine.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{Step: 6 * time.Millisecond, Slots: 8, PrefillTokens: 512, CacheBlocks: 4096,
		LoadLag: 500 * time.Millisecond, ChecksFencing: true}
}

// blockBytes is the size of a cached prefix block; bytesPerToken is how the
// stand-in counts tokens.
const (
	blockBytes    = 64
	bytesPerToken = 4
)

// Engine is a stand-in of a model engine: it batches continuously, caches prefixes
// and honours priorities. What it generates says how long it was.
type Engine struct {
	opt EngineOptions

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   map[uint64]bool
	order   []uint64
	served  Served
	fencing int64
	reports []loadReport
	wake    chan struct{}
}

// Served is the engine's own count of what it did.
type Served struct {
	Requests         int64            `json:"requests"`
	PromptTokens     int64            `json:"prompt_tokens"`
	CompletionTokens int64            `json:"completion_tokens"`
	PrefilledTokens  int64            `json:"prefilled_tokens"`
	ByKey            map[string]int64 `json:"runs_by_key"`
}

// loadReport is the load at a moment.
type loadReport struct {
	at               time.Time
	Running, Waiting int
}

// sequence is one request in the engine.
type sequence struct {
	ctx      context.Context
	priority int
	prefill  int // prompt tokens still to read
	left     int64
	out      chan int64 // numbers of the generated tokens
	made     int64
}

// NewEngine returns an engine; Run makes it step.
func NewEngine(opt EngineOptions) *Engine {
	return &Engine{opt: opt, cache: map[uint64]bool{}, served: Served{ByKey: map[string]int64{}}, wake: make(chan struct{}, 1)}
}

// Run steps while there is work, until the context ends.
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

// step runs one batch; it reports whether anything is left to do.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitLocked()
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advanceLocked(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.reportLocked()
	return len(e.running)+len(e.waiting) > 0
}

// admitLocked fills the batch, the lowest priority number first.
func (e *Engine) admitLocked() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.priority - b.priority })
	for len(e.running) < e.opt.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// advanceLocked gives a sequence its part of a step; it reports whether it goes on.
func (e *Engine) advanceLocked(s *sequence) bool {
	if s.ctx.Err() != nil {
		close(s.out)
		return false
	}
	if s.prefill > 0 {
		n := min(s.prefill, e.opt.PrefillTokens)
		s.prefill -= n
		e.served.PrefilledTokens += int64(n)
		return true
	}
	s.made++
	s.left--
	e.served.CompletionTokens++
	s.out <- s.made // never blocks: the channel has room for all
	if s.left <= 0 {
		close(s.out)
		return false
	}
	return true
}

// reportLocked keeps the load reports as long as they may still be shown.
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
	mux.HandleFunc("POST "+openai.ChatPath, e.complete)
	mux.HandleFunc("POST "+openai.CompletionsPath, e.complete)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.HandleFunc("GET /control/served", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Served()) })
	return mux
}

// Served returns the engine's own count.
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

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var r loadReport
	if len(e.reports) > 0 {
		r = e.reports[0]
	}
	reply(w, r)
}

// order is an operator's order to an engine.
type order struct {
	Fencing int64  `json:"fencing"`
	Action  string `json:"action"`
	Name    string `json:"name"`
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !read(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksFencing && o.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	reply(w, o)
}

// engineRequest is what the stand-in reads of a request.
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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in engineRequest
	if !read(w, r, &in) {
		return
	}
	text := in.text()
	prompt := int64(len(text)/bytesPerToken + 1)
	seq := e.submit(r, in, text, prompt)
	usage := func(made int64) *openai.Usage {
		return &openai.Usage{PromptTokens: prompt, CompletionTokens: made + e.opt.Overrun, TotalTokens: prompt + made + e.opt.Overrun}
	}
	if in.Stream {
		stream(w, in.Model, seq, usage)
		return
	}
	var out string
	var made int64
	for n := range seq.out {
		made = n
		out += word(n)
	}
	stop := "stop"
	reply(w, openai.Chunk{ID: "standin", Object: "chat.completion", Model: in.Model, Usage: usage(made),
		Choices: []openai.Choice{{Message: &openai.Message{Role: "assistant", Content: out}, FinishReason: &stop}}})
}

// submit queues a request; its answer's length depends on its text only.
func (e *Engine) submit(r *http.Request, in engineRequest, text string, prompt int64) *sequence {
	const shortest, spread = 8, 25
	want := int64(shortest + xxhash.Sum64String(text)%spread)
	if in.MaxTokens > 0 {
		want = min(want, in.MaxTokens)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cachedLocked(text)
	s := &sequence{ctx: r.Context(), priority: in.Priority, left: want, out: make(chan int64, want)}
	s.prefill = max(0, int(prompt)-cached/bytesPerToken)
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

// cachedLocked returns how many bytes of the prompt were cached, and caches it.
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
		e.order = append(e.order, h)
	}
	for len(e.order) > e.opt.CacheBlocks {
		delete(e.cache, e.order[0])
		e.order = e.order[1:]
	}
	return hit
}

func word(n int64) string { return fmt.Sprintf("w%d ", n) }

func stream(w http.ResponseWriter, model string, s *sequence, usage func(int64) *openai.Usage) {
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
	var made int64
	for n := range s.out {
		made = n
		send(openai.Chunk{Choices: []openai.Choice{{Delta: &openai.Message{Content: word(n)}}}})
	}
	if s.ctx.Err() != nil {
		return
	}
	stop := "stop"
	send(openai.Chunk{Choices: []openai.Choice{{Delta: &openai.Message{}, FinishReason: &stop}}})
	send(openai.Chunk{Usage: usage(made)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = rc.Flush()
}
