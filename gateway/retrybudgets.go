package gateway

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/serving"
)

// retryBudgets implements serving.RetryBudget with one retry budget per service.
type retryBudgets struct {
	rule func() retrybudget.Rule
	// share returns this router's share of the limits of all routers.
	share func() retrybudget.Share
	// onDecision is called for each decision on a retry, with the share that it is based on.
	onDecision func(r *serving.Request, d retrybudget.Decision, share retrybudget.Share)

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

// Request implements serving.RetryBudget.
func (r *retryBudgets) Request(service string) {
	r.forService(service).RecordRequest(time.Now(), r.rule())
}

// Allow implements serving.RetryBudget.
func (r *retryBudgets) Allow(request *serving.Request) bool {
	share := r.share()
	d := r.forService(request.Service.Name).TryRetry(time.Now(), r.rule(), share)
	r.onDecision(request, d, share)
	return d.Allowed
}

func (r *retryBudgets) forService(service string) *retrybudget.Budget {
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
