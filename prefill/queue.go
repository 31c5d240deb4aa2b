// Package prefill models what an engine has read of prompts and has yet to read, by what was
// sent there. It is pure: the time comes in.
package prefill

import (
	"sync"
	"time"
)

// Queue is the prompt tokens that one engine has yet to read. The load pattern it answers:
// each router knows what it sent itself, and must guess the rest; with four routers or
// thirty, long prompts then meet at one engine while others idle. Whoever sends a prompt
// adds it here, and sees what is before it.
//
// The engine reads at a known rate, so nobody has to tell that a prompt was read: a router
// that dies leaves nothing behind. It is safe for concurrent use.
type Queue struct {
	// PrefillPerMs is the tokens that the engine reads in a millisecond, until others are learned.
	PrefillPerMs float64

	mu     sync.Mutex
	tokens float64 // as of at
	at     time.Time
}

// Add puts tokens into the queue and returns what was in it before. Negative ones take back
// what was added for a prompt that went elsewhere.
func (q *Queue) Add(now time.Time, tokens int64) (before int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	read := float64(now.Sub(q.at)) / float64(time.Millisecond) * q.PrefillPerMs
	left := max(0, q.tokens-read)
	q.tokens, q.at = max(0, left+float64(tokens)), now
	return int64(left)
}

// learnWeight is the weight of one router's rate in the queue's: some twenty prompts decide.
const learnWeight = 0.1

// ObserveRate takes the rate that a router has learned from its prompts; 0 says nothing.
func (q *Queue) ObserveRate(perMs float64) {
	if perMs <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.PrefillPerMs += learnWeight * (perMs - q.PrefillPerMs)
}

// Clear empties the queue.
func (q *Queue) Clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = 0
}
