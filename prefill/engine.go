package prefill

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/warmup"
)

// Announcement is a prompt that a router is about to send to an engine.
type Announcement struct {
	// Prompt is all its tokens, Parts what they consist of.
	Prompt int64  `json:"prompt"`
	Parts  []Part `json:"parts"`
	// Fetched is the leading tokens that the engine will fetch from another one.
	Fetched int64 `json:"fetched,omitempty"`
	// MaxPerSecond is how many prompts in any second a cold engine bears, from all routers together; 0
	// is no bound. Cold says that the router takes the engine for cold.
	MaxPerSecond int  `json:"most,omitempty"`
	Cold bool `json:"cold,omitempty"`
	// PrefillPerMs is the tokens that the engine reads in a millisecond, as the router has learned; 0
	// says nothing.
	PrefillPerMs float64 `json:"per_ms,omitempty"`
	// Rank is the request's priority, 0 for the most urgent.
	Rank int `json:"rank,omitempty"`
	// Limit is what the router knows of the requests a second that the engine takes.
	Limit ratelimit.State `json:"limit,omitzero"`
}

// AnnounceReply is what is known at an engine of a prompt that is announced.
type AnnounceReply struct {
	// Backlog is the tokens that the engine has to read before it.
	Backlog int64 `json:"backlog"`
	// Cached is the leading tokens that the engine has read before.
	Cached int64 `json:"cached"`
	// PrefillTokens is the tokens of the prompt that it has to read.
	PrefillTokens int64 `json:"unread"`
	// StartUnixMS is the start of the engine that this is about, as far as is known beside it; see
	// directory.Life.
	StartUnixMS int64 `json:"born,omitempty"`
	// Denied says that the prompt must not be sent: the engine has got as many in the last
	// second as it bears when cold, or as many as it says that it takes.
	Denied bool `json:"denied,omitempty"`
	// Limit is what is known of the requests a second that the engine takes, and Next in how long one
	// more may go, if that is why the prompt was denied.
	Limit ratelimit.State `json:"limit,omitzero"`
	RetryAfter  time.Duration   `json:"next_ns,omitempty"`
	// RemoteEngine is another engine that keeps more of the prompt's leading tokens, as far as is
	// known beside this one, and ElsewhereTokens how many; 0 is none.
	RemoteEngine       directory.Incarnation `json:"elsewhere,omitzero"`
	RemoteTokens int64          `json:"elsewhere_tokens,omitempty"`
}

// Engine is one engine as seen by a process that hears of every prompt sent there. It is
// safe for concurrent use.
type Engine struct {
	queue Queue

	mu    sync.Mutex
	cache Cache
	room  int64
	born  int64
	// places are the parts that other engines keep.
	places places
	// recent are the prompts that came in the last second, as far as is known since began.
	recent warmup.Window
	began  time.Time
	// cold is when a router last took the engine for cold.
	cold time.Time
	// limiter holds all routers' prompts together to the rate that the engine names.
	limiter ratelimit.Limiter
}

// NewEngine makes the model of an engine that has read nothing.
func NewEngine(now time.Time, perMs float64) *Engine {
	return &Engine{queue: Queue{PrefillPerMs: perMs}, began: now, limiter: ratelimit.NewLimiter()}
}

// SetCacheCapacity says how many tokens of cached parts the engine's memory has room for.
func (e *Engine) SetCacheCapacity(tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.room = tokens
}

// Reset begins anew with an engine that started at born: it has nothing to read, and has
// cached nothing if it is new, much if only the process that keeps this model was away.
func (e *Engine) Reset(born int64, cached []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = born
	e.limiter = ratelimit.NewLimiter()
	e.queue.Clear()
	e.cache = Cache{}
	e.cache.Add(cached, e.room)
}

// MarkUnused says that the engine keeps nothing of any prompt and has no request: it has read none since
// its start. So nothing came before this process began that counts against what it bears when cold.
// After a loss of all power every engine is cold and every such process new; without this all prompts
// were refused for a second more.
func (e *Engine) MarkUnused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began = time.Time{}
}

// Announce notes a prompt, and tells what was known before.
func (e *Engine) Announce(now time.Time, a Announcement) AnnounceReply {
	e.mu.Lock()
	e.limiter.ObserveReported(now, a.Limit)
	told := AnnounceReply{StartUnixMS: e.born, Limit: e.limiter.State()}
	if told.Denied, told.RetryAfter = e.deniesLocked(now, a); told.Denied {
		defer e.mu.Unlock()
		return told
	}
	told.Cached = e.cache.Match(a.Parts)
	if by, tokens := e.places.find(now, a.Parts); tokens > told.Cached {
		told.RemoteEngine, told.RemoteTokens = by, tokens
	}
	e.cache.Add(a.Parts, e.room)
	e.mu.Unlock()
	e.queue.ObserveRate(a.PrefillPerMs)
	// Whoever is told of another engine has the parts fetched from there.
	told.PrefillTokens = max(0, a.Prompt-max(told.Cached, a.Fetched, told.RemoteTokens))
	told.Backlog = e.queue.Add(now, told.PrefillTokens)
	return told
}

// RecordRemotePrefill notes that another engine reads parts for which prompts prefer this one.
func (e *Engine) RecordRemotePrefill(now time.Time, other RemotePrefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.places.note(now, other)
}

// coldHeardFor is how long an engine counts as cold for all routers after one took it for cold.
// Others hear of it up to a second later.
const coldHeardFor = time.Second

// deniesLocked counts a prompt that the engine takes, and reports whether it does not, and in how long
// one more may go if that is known.
func (e *Engine) deniesLocked(now time.Time, a Announcement) (denied bool, next time.Duration) {
	if !e.limiter.Take(now, wholeLimit, a.Rank) {
		return true, e.limiter.RetryAfter(now, wholeLimit, a.Rank)
	}
	if !e.leaveLocked(now, a) {
		e.limiter.Return(wholeLimit)
		return true, 0
	}
	return false, 0
}

// wholeLimit is the share of an engine's limit that is given out beside it.
const wholeLimit = 1

// ObserveLimit takes what an answer of the engine's life that started at born said of the requests
// a second that it takes, and returns what is known.
func (e *Engine) ObserveLimit(now time.Time, born int64, w ratelimit.NamedLimit) ratelimit.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if born == e.born {
		e.limiter.Observe(now, w)
	}
	return e.limiter.State()
}

// leaveLocked counts a prompt, and reports whether the engine bears it. One that is warm bears
// all; to hold it to what it would bear cold, in case that it has become so unnoticed, cost
// 2 in 100 of what a day of cold returns at twice the usual load is worth (five seeds).
func (e *Engine) leaveLocked(now time.Time, a Announcement) bool {
	if a.MaxPerSecond == 0 {
		return true
	}
	if a.Cold {
		e.cold = now
	}
	if e.cold.IsZero() || now.Sub(e.cold) >= coldHeardFor {
		e.recent.Count(now)
		return true
	}
	if now.Sub(e.began) < time.Second {
		return false // what came before this process began is not known
	}
	return e.recent.Take(now, warmup.PermitLimit(a.MaxPerSecond))
}

// Withdraw takes an announcement back: the prompt went elsewhere. One that was made before the
// engine's restart is gone already; to take it back would remove what others announced since.
func (e *Engine) Withdraw(now time.Time, a Announcement, told AnnounceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.MaxPerSecond > 0 {
		e.recent.Return()
	}
	if told.StartUnixMS != e.born {
		return
	}
	e.limiter.Return(wholeLimit)
	e.queue.Add(now, -told.PrefillTokens)
	e.cache.Forget(beyond(a.Parts, told.Cached))
}

// beyond are the parts after the leading tokens.
func beyond(parts []Part, tokens int64) []Part {
	for i, p := range parts {
		if tokens < p.Tokens {
			return parts[i:]
		}
		tokens -= p.Tokens
	}
	return nil
}

// State is what is known of an engine, for dumps; all are tokens.
type State struct {
	Backlog int64 `json:"backlog"`
	Cached  int64 `json:"cached"`
	CacheCapacity    int64 `json:"room"`
	StartUnixMS    int64 `json:"born_unix_ms,omitempty"`
	// Limit is the requests a second that it takes, 0 if it names none.
	Limit float64 `json:"limit_per_second,omitempty"`
}

// State returns what is known now.
func (e *Engine) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Backlog: e.queue.Add(now, 0), Cached: e.cache.Tokens(), CacheCapacity: e.room, StartUnixMS: e.born, Limit: e.limiter.State().PerSecond}
}
