package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
)

// Versions restricts requests to certain versions of a service's upstreams while the service moves to
// another version, and observes the results. Its methods must not block.
type Versions interface {
	// Eligible returns those of the service's upstreams that the request may be sent to. It must not
	// modify the list.
	Eligible(r *serving.Request, attempts []serving.Attempt, ups []directory.Upstream) []directory.Upstream
	// Begin is called when an attempt begins, with the time that the prompt's prefill should take. The
	// returned function is nil, or is called once with the result, the time to the first event, and
	// the time to the end.
	Begin(r *serving.Request, u directory.Upstream, prefill time.Duration) func(result serving.Result, first, ran time.Duration)
}
