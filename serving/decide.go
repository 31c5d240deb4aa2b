package serving

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
)

// maxReached limits the attempts of one request that reached an upstream, including those that the
// upstream declined: each is load on a service that may be failing.
const maxReached = 4

// maxUnreached limits the upstreams that could not be connected to. Trying them adds no load to
// the service but delays the caller.
const maxUnreached = 8

// retryDecision is the decision that follows an attempt.
type retryDecision struct {
	// retry reports whether another upstream may be tried.
	retry bool
	// countsAsRetry reports whether the next attempt counts against the retry budget.
	countsAsRetry bool
}

// decideRetry implements the retry rule. A request that may have run is sent again only if it is
// idempotent, and to no more upstreams than its route allows; one that provably did not run may
// always be sent again. A recalled request keeps the runs that crashes of its upstreams took from it.
func decideRetry(r *Request, attempts []Attempt, now time.Time) retryDecision {
	last := attempts[len(attempts)-1]
	if last.Result.final() || !now.Before(r.Deadline) {
		return retryDecision{}
	}
	recalled := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Recalled })
	var reached, runs, unreached int
	for _, a := range attempts {
		switch {
		case a.Result == Unreached:
			unreached++
		case a.Result.NotRun():
			reached++
		case a.Crashed && recalled:
			reached++
		default:
			reached++
			runs++
		}
	}
	if reached >= maxReached || unreached >= maxUnreached || runs >= r.maxRuns() {
		return retryDecision{}
	}
	return retryDecision{retry: true, countsAsRetry: reached > 0 && last.Result != Unreached && !last.RetryPermitted}
}

// isRepeatable reports whether a request could be sent again if its next attempt were recalled.
func isRepeatable(r *Request, attempts []Attempt, now time.Time) bool {
	recalled := Attempt{Result: Unknown, Recalled: true}
	return decideRetry(r, append(slices.Clone(attempts), recalled), now).retry
}

// refusalFor returns the refusal of a request without an answer. It states that the request did
// not run only if no attempt may have run.
func refusalFor(r *Request, attempts []Attempt, now time.Time) *contract.Refusal {
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
	if r.StreamVersion != "" {
		return contract.Refuse(contract.NoStreamVersion, "no upstream of %s has the version that began the stream", r.Service.Name)
	}
	return contract.Refuse(contract.NoUpstream, "no upstream of %s can be reached", r.Service.Name)
}

// chargedTokens returns the tokens charged for a request: its prompt once if any run may have
// processed it, and all output that its runs may have produced.
func chargedTokens(r *Request, attempts []Attempt) int64 {
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
