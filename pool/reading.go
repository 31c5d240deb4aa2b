package pool

import (
	"sync"
	"time"
)

const (
	// readingKept is the weight that all earlier observations keep with each new one: those of
	// the last few hundred prompts count.
	readingKept = 0.997
	// readingLeast is the number of observations, by weight, from which they say something, and
	// readingSpread the least standard deviation (tokens) of their prompts: with prompts all of
	// one length nothing tells the reading from what each request takes beside it.
	readingLeast  = 40
	readingSpread = 500
	// readingMost bounds how far the learned rate may be from the one in the settings, as a
	// factor: a wrong one would send all prompts to one engine, or to any.
	readingMost = 8
)

// reading learns how fast the engines of a service read prompts, from prompts that found nothing
// to be read before them: the time to the first event is the same for all, plus the reading. It is
// the line through these times. Settings name one rate, and engines of some models read a third, or
// three times, as much: believed too fast they look idle, believed too slow prompts leave engines
// that have cached them. The zero value knows nothing; it is safe for concurrent use.
type reading struct {
	mu sync.Mutex
	// Sums by weight: observations, tokens, milliseconds, and their products.
	n, tokens, ms, tokens2, tokensMs float64
}

// note takes one prompt: the tokens that the engine had to read, and the time to its first event.
func (r *reading) note(tokens int64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	for _, sum := range []*float64{&r.n, &r.tokens, &r.ms, &r.tokens2, &r.tokensMs} {
		*sum *= readingKept
	}
	r.n++
	r.tokens += x
	r.ms += y
	r.tokens2 += x * x
	r.tokensMs += x * y
}

// perMs is the tokens that an engine reads in a millisecond, and whether that is known; if not it
// is the rate that the settings assume.
func (r *reading) perMs(assumed float64) (rate float64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n < readingLeast {
		return assumed, false
	}
	variance := r.tokens2/r.n - (r.tokens/r.n)*(r.tokens/r.n)
	together := r.tokensMs/r.n - (r.tokens/r.n)*(r.ms/r.n)
	if variance < readingSpread*readingSpread || together <= 0 {
		return assumed, false
	}
	return min(assumed*readingMost, max(assumed/readingMost, variance/together)), true
}
