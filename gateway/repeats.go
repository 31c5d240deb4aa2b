package gateway

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/serving"
)

// repeats implements serving.Repeats with a budget for each service.
type repeats struct {
	rule func() retrybudget.Rule
	// share is this router's part in what all routers share.
	share func() retrybudget.Share
	// decided is told of each decision on one more send, and of the share that it was made with.
	decided func(r *serving.Request, d retrybudget.Decision, share retrybudget.Share)

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

// Request implements serving.Repeats.
func (r *repeats) Request(service string) { r.of(service).RecordRequest(time.Now(), r.rule()) }

// Allow implements serving.Repeats.
func (r *repeats) Allow(request *serving.Request) bool {
	share := r.share()
	d := r.of(request.Service.Name).TryRetry(time.Now(), r.rule(), share)
	r.decided(request, d, share)
	return d.Allowed
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
