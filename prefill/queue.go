// Package prefill models the prefill backlog and the prompt cache of an engine from the prompts
// that were sent there. It reads no clock: callers pass the time.
package prefill

import (
	"sync"
	"time"
)

// Queue is the prefill backlog of one engine in tokens. A router has exact data only about
// its own prompts and must estimate the rest; with four routers or thirty, long prompts
// then collide at one engine while others are idle. So each router adds its prompts to this
// shared queue, and gets the backlog before them.
//
// The backlog decreases at a known rate, without a message when a prompt is prefilled, so a
// router that crashes leaves no stale entries. It is safe for concurrent use.
type Queue struct {
	// PrefillPerMs is the prefill rate in tokens per millisecond; ObserveRate adjusts it.
	PrefillPerMs float64

	mu        sync.Mutex
	tokens    float64 // as of updatedAt
	updatedAt time.Time
}

// Add adds tokens to the queue and returns the backlog before them. A negative number removes
// the tokens of a prompt that went elsewhere.
func (q *Queue) Add(now time.Time, tokens int64) (before int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	prefilled := float64(now.Sub(q.updatedAt)) / float64(time.Millisecond) * q.PrefillPerMs
	left := max(0, q.tokens-prefilled)
	q.tokens, q.updatedAt = max(0, left+float64(tokens)), now
	return int64(left)
}

// rateWeight is the weight of one router's rate in the queue's moving average, which covers about twenty prompts.
const rateWeight = 0.1

// ObserveRate updates the prefill rate with a router's estimate in tokens per millisecond; 0 is ignored.
func (q *Queue) ObserveRate(perMs float64) {
	if perMs <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.PrefillPerMs += rateWeight * (perMs - q.PrefillPerMs)
}

// Clear empties the queue.
func (q *Queue) Clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = 0
}
