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
	// Prompt is the total number of tokens, Parts are the parts of the prompt.
	Prompt int64  `json:"prompt"`
	Parts  []Part `json:"parts"`
	// Fetched is the number of leading tokens that the engine will fetch from another one.
	Fetched int64 `json:"fetched,omitempty"`
	// MaxPerSecond is the maximum number of prompts in any second for a cold engine, from all routers
	// together; 0 is no bound. Cold is set if the router considers the engine cold.
	MaxPerSecond int  `json:"most,omitempty"`
	Cold         bool `json:"cold,omitempty"`
	// PrefillPerMs is the router's estimate of the engine's prefill rate in tokens per millisecond; 0
	// is none.
	PrefillPerMs float64 `json:"per_ms,omitempty"`
	// Rank is the request's priority, 0 for the most urgent.
	Rank int `json:"rank,omitempty"`
	// Limit is the engine's limit of requests per second, as known to the router.
	Limit ratelimit.State `json:"limit,omitzero"`
	// CountPrompts asks for AnnounceReply.Prompts.
	CountPrompts bool `json:"count,omitempty"`
}

// AnnounceReply is the reply of an engine's lender to an Announcement.
type AnnounceReply struct {
	// Backlog is the number of tokens that the engine has to prefill before the prompt.
	Backlog int64 `json:"backlog"`
	// Cached is the number of the prompt's leading tokens that the engine has cached.
	Cached int64 `json:"cached"`
	// PrefillTokens is the number of the prompt's tokens that the engine has to prefill.
	PrefillTokens int64 `json:"unread"`
	// StartUnixMS is the start of the engine's incarnation, as known to the lender; see
	// directory.Incarnation.
	StartUnixMS int64 `json:"born,omitempty"`
	// Denied is set if the prompt must not be sent: the last second's prompts have reached the
	// bound for a cold engine, or the limit that the engine states.
	Denied bool `json:"denied,omitempty"`
	// Leaving is set if the engine leaves, which routers may not know from the store yet. Nothing is recorded then.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the engine's limit of requests per second. RetryAfter is the time until another prompt may
	// be sent, if the prompt was denied for the limit.
	Limit      ratelimit.State `json:"limit,omitzero"`
	RetryAfter time.Duration   `json:"next_ns,omitempty"`
	// RemoteEngine is another engine that has more of the prompt's leading tokens cached, as known
	// to the lender, and RemoteTokens their number; 0 is none.
	RemoteEngine directory.Incarnation `json:"elsewhere,omitzero"`
	RemoteTokens int64                 `json:"elsewhere_tokens,omitempty"`
	// Prompts is the number of prompts that all routers sent to the engine in the last second, this one included; 0
	// unless the announcement asked for it.
	Prompts int `json:"prompts,omitempty"`
}

// Engine models one engine for its lender, to which routers announce every prompt sent there.
// It is safe for concurrent use.
type Engine struct {
	queue Queue

	mu            sync.Mutex
	cache         Cache
	cacheCapacity int64
	startUnixMS   int64
	leaving       bool
	// remoteParts are the parts that other engines have cached.
	remoteParts remoteParts
	// recentPrompts counts the prompts of the last second, complete since countingSince.
	recentPrompts warmup.Window
	countingSince time.Time
	// allPrompts counts the prompts of the last second.
	allPrompts warmup.Window
	// coldReportedAt is when a router last considered the engine cold.
	coldReportedAt time.Time
	// limiter limits the prompts of all routers together to the rate that the engine states.
	limiter ratelimit.Limiter
}

// NewEngine returns the model of an engine with an empty cache and backlog. perMs is its prefill
// rate in tokens per millisecond.
func NewEngine(now time.Time, perMs float64) *Engine {
	return &Engine{queue: Queue{PrefillPerMs: perMs}, countingSince: now, limiter: ratelimit.NewLimiter()}
}

// SetCacheCapacity sets the capacity of the engine's cache in tokens.
func (e *Engine) SetCacheCapacity(tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheCapacity = tokens
}

// Reset resets the model to an engine that started at startUnixMS, with an empty backlog. cached are
// the parts in its cache: none for a new engine, many if only the process with this model restarted.
func (e *Engine) Reset(startUnixMS int64, cached []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startUnixMS = startUnixMS
	e.limiter = ratelimit.NewLimiter()
	e.queue.Clear()
	e.cache = Cache{}
	e.cache.Add(cached, e.cacheCapacity)
}

// SetLeaving records whether the engine leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// MarkUnused records that the engine has no cached parts and no requests, so it has had no prompt since
// its start, and none before this process started can count towards the bound for a cold engine.
// After a loss of all power every engine is cold and every lender new; without this, all prompts
// would be refused for one second more.
func (e *Engine) MarkUnused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countingSince = time.Time{}
}

// Announce records a prompt, and returns the engine's state before it.
func (e *Engine) Announce(now time.Time, a Announcement) AnnounceReply {
	e.mu.Lock()
	e.limiter.ObserveReported(now, a.Limit)
	reply := AnnounceReply{StartUnixMS: e.startUnixMS, Limit: e.limiter.State(), Leaving: e.leaving}
	if reply.Leaving {
		defer e.mu.Unlock()
		return reply
	}
	if reply.Denied, reply.RetryAfter = e.denyLocked(now, a); reply.Denied {
		defer e.mu.Unlock()
		return reply
	}
	reply.Cached = e.cache.Match(a.Parts)
	if engine, tokens := e.remoteParts.find(now, a.Parts); tokens > reply.Cached {
		reply.RemoteEngine, reply.RemoteTokens = engine, tokens
	}
	e.cache.Add(a.Parts, e.cacheCapacity)
	e.allPrompts.Count(now)
	if a.CountPrompts {
		reply.Prompts = e.allPrompts.Len(now)
	}
	e.mu.Unlock()
	e.queue.ObserveRate(a.PrefillPerMs)
	// A router that gets RemoteTokens has the engine fetch the parts from there.
	reply.PrefillTokens = max(0, a.Prompt-max(reply.Cached, a.Fetched, reply.RemoteTokens))
	reply.Backlog = e.queue.Add(now, reply.PrefillTokens)
	return reply
}

// RecordRemotePrefill records that another engine prefills parts of prompts that prefer this one.
func (e *Engine) RecordRemotePrefill(now time.Time, other RemotePrefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remoteParts.record(now, other)
}

// coldReportTTL is how long an engine counts as cold for all routers after one of them reported it
// cold. The other routers are notified up to a second later.
const coldReportTTL = time.Second

// denyLocked counts a prompt if the engine can take it, and otherwise reports it as denied, with the
// time until another may be sent if that is known.
func (e *Engine) denyLocked(now time.Time, a Announcement) (denied bool, retryAfter time.Duration) {
	if !e.limiter.Take(now, fullShare, a.Rank) {
		return true, e.limiter.RetryAfter(now, fullShare, a.Rank)
	}
	if !e.admitColdLocked(now, a) {
		e.limiter.Return(fullShare)
		return true, 0
	}
	return false, 0
}

// fullShare is the share of an engine's limit that its lender allots.
const fullShare = 1

// ObserveLimit records the limit of requests per second that an answer of the engine's incarnation
// started at startUnixMS stated, and returns the limit that applies. Other incarnations are ignored.
func (e *Engine) ObserveLimit(now time.Time, startUnixMS int64, n ratelimit.NamedLimit) ratelimit.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if startUnixMS == e.startUnixMS {
		e.limiter.Observe(now, n)
	}
	return e.limiter.State()
}

// admitColdLocked counts a prompt, and reports whether it is within the bound for a cold engine. A
// warm one has no bound: bounding it as well, in case it has become cold unnoticed, cost 2 % of the
// value of a day on which engines return cold, at twice the usual load (five seeds).
func (e *Engine) admitColdLocked(now time.Time, a Announcement) bool {
	if a.MaxPerSecond == 0 {
		return true
	}
	if a.Cold {
		e.coldReportedAt = now
	}
	if e.coldReportedAt.IsZero() || now.Sub(e.coldReportedAt) >= coldReportTTL {
		e.recentPrompts.Count(now)
		return true
	}
	if now.Sub(e.countingSince) < time.Second {
		return false // the prompts before countingSince are unknown
	}
	return e.recentPrompts.Take(now, warmup.PermitLimit(a.MaxPerSecond))
}

// Withdraw revokes an announcement whose prompt went elsewhere. An announcement from before the
// engine's restart is no longer recorded; revoking it would remove what others have announced since.
func (e *Engine) Withdraw(now time.Time, a Announcement, reply AnnounceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.MaxPerSecond > 0 {
		e.recentPrompts.Return()
	}
	if reply.StartUnixMS != e.startUnixMS {
		return
	}
	e.allPrompts.Return()
	e.limiter.Return(fullShare)
	e.queue.Add(now, -reply.PrefillTokens)
	e.cache.Forget(partsAfter(a.Parts, reply.Cached))
}

// partsAfter returns the parts after the leading tokens.
func partsAfter(parts []Part, tokens int64) []Part {
	for i, p := range parts {
		if tokens < p.Tokens {
			return parts[i:]
		}
		tokens -= p.Tokens
	}
	return nil
}

// State is the state of an engine for debug dumps. Backlog, Cached and CacheCapacity are in tokens.
type State struct {
	Backlog       int64 `json:"backlog"`
	Cached        int64 `json:"cached"`
	CacheCapacity int64 `json:"room"`
	StartUnixMS   int64 `json:"born_unix_ms,omitempty"`
	// Limit is the engine's limit of requests per second, 0 if it states none.
	Limit float64 `json:"limit_per_second,omitempty"`
}

// State returns the current state.
func (e *Engine) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Backlog: e.queue.Add(now, 0), Cached: e.cache.Tokens(), CacheCapacity: e.cacheCapacity, StartUnixMS: e.startUnixMS, Limit: e.limiter.State().PerSecond}
}
