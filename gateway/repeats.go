package gateway

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
)

// repeats implements serving.Repeats with a budget for each service.
type repeats struct {
	rule    func() retrybudget.Rule
	routers func() int

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

// Request implements serving.Repeats.
func (r *repeats) Request(service string) { r.of(service).Request(time.Now(), r.rule()) }

// Allow implements serving.Repeats.
func (r *repeats) Allow(service string) bool {
	return r.of(service).Allow(time.Now(), r.rule(), r.routers())
}

func (r *repeats) of(service string) *retrybudget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*retrybudget.Budget{}
	}
	b := r.services[service]
	if b == nil {
		b = &retrybudget.Budget{}
		r.services[service] = b
	}
	return b
}
