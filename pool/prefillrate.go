package pool

import (
	"sync"
	"time"
)

const (
	// observationDecay multiplies the weight of all earlier observations with each new one, so that
	// the last few hundred prompts count.
	observationDecay = 0.997
	// minObservations is the weighted number of observations needed for an estimate, and
	// minTokenStdDev the minimum standard deviation (tokens) of their prompts: with prompts of one
	// length, prefill time cannot be separated from the fixed time per request.
	minObservations = 40
	minTokenStdDev  = 500
	// maxRateFactor bounds the ratio between the estimated rate and the one in the settings: a wrong
	// estimate would send all prompts to one engine, or spread them without regard to caches.
	maxRateFactor = 8
)

// prefillRate estimates the prefill rate of a service's engines from prompts that found an empty
// backlog: their time to the first event is a constant plus the prefill time, and a linear fit gives
// the rate. The settings have one rate, and engines of some models prefill at a third or three times
// of it: overestimated engines look idle, and with underestimated ones prompts leave engines that
// have them cached. The zero value has no estimate; it is safe for concurrent use.
type prefillRate struct {
	mu sync.Mutex
	// Weighted sums: observations, tokens, milliseconds, and products.
	n, tokens, ms, tokens2, tokensMs float64
}

// observe adds one prompt: the tokens that the engine had to prefill, and the time to its first event.
func (r *prefillRate) observe(tokens int64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	for _, sum := range []*float64{&r.n, &r.tokens, &r.ms, &r.tokens2, &r.tokensMs} {
		*sum *= observationDecay
	}
	r.n++
	r.tokens += x
	r.ms += y
	r.tokens2 += x * x
	r.tokensMs += x * y
}

// tokensPerMs returns the prefill rate in tokens per millisecond and whether it is estimated;
// otherwise it is the assumed rate.
func (r *prefillRate) tokensPerMs(assumed float64) (rate float64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n < minObservations {
		return assumed, false
	}
	variance := r.tokens2/r.n - (r.tokens/r.n)*(r.tokens/r.n)
	covariance := r.tokensMs/r.n - (r.tokens/r.n)*(r.ms/r.n)
	if variance < minTokenStdDev*minTokenStdDev || covariance <= 0 {
		return assumed, false
	}
	return min(assumed*maxRateFactor, max(assumed/maxRateFactor, variance/covariance)), true
}
