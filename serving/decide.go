package serving

import (
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
)

// maxSends bounds the sends of one request, those that upstreams declined included:
// each is an arrival at a service that may be failing.
const maxSends = 4

// maxUnreached bounds the upstreams that a request could not even be sent to. Trying
// them costs the service nothing, but the caller time.
const maxUnreached = 8

// verdict is what follows an attempt.
type verdict struct {
	// again says that another upstream may be tried.
	again bool
	// counted says that another send is a repeat by the retry budget.
	counted bool
}

// decide is the rule on repeats. A request that may have run is sent again only if it
// is idempotent, and to no more upstreams than its route allows; one that provably did
// not run may always be sent again.
func decide(r *Request, attempts []Attempt, now time.Time) verdict {
	last := attempts[len(attempts)-1]
	if last.Result.final() || !now.Before(r.Deadline) {
		return verdict{}
	}
	var sends, runs, unreached int
	for _, a := range attempts {
		switch {
		case a.Result == Unreached:
			unreached++
		case a.Result.NotRun():
			sends++
		default:
			sends++
			runs++
		}
	}
	if sends >= maxSends || unreached >= maxUnreached || runs >= r.runs() {
		return verdict{}
	}
	return verdict{again: true, counted: sends > 0}
}

// refusal names how a request without an answer ended. "Not run" is said only when no
// attempt may have run.
func refusal(r *Request, attempts []Attempt, now time.Time) *contract.Refusal {
	ran := false
	declined := false
	for _, a := range attempts {
		ran = ran || !a.Result.NotRun()
		declined = declined || a.Result == Declined
	}
	late := !now.Before(r.Deadline)
	if n := len(attempts); n > 0 && attempts[n-1].Refusal != nil && (!ran || attempts[n-1].Result == Failed) {
		return attempts[n-1].Refusal
	}
	switch {
	case ran && late:
		return contract.Refuse(contract.TimedOut, "no whole answer in time")
	case ran:
		return contract.Refuse(contract.OutcomeUnknown, "the upstream did not answer; the request may have run")
	case late:
		return contract.Refuse(contract.DeadlineTooShort, "no upstream took the request in time")
	case declined:
		return contract.Refuse(contract.Overloaded, "the upstreams of %s are full", r.Service.Name)
	}
	return contract.Refuse(contract.NoUpstream, "no upstream of %s can be reached", r.Service.Name)
}

// used is what a request is charged: its prompt once if any run may have read it, and
// all output that its runs may have produced.
func used(r *Request, attempts []Attempt) int64 {
	var n int64
	began := false
	for _, a := range attempts {
		if a.Began {
			began = true
			n += a.Output
		}
	}
	if began {
		n += r.Prompt
	}
	return min(n, r.MaxTokens())
}
