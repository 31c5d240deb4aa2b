// Package serving processes one request in a router: it reserves tokens, chooses an upstream,
// sends the request, decides on retries, and ends with the complete answer or an accurate refusal.
// The protocols of callers and upstreams are behind small interfaces.
package serving

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// Request is one request of a caller.
type Request struct {
	// ID identifies the request; every attempt carries it.
	ID string
	// Team is empty on public routes without a key.
	Team string
	// Prepaid is the team's budget in tokens; 0 is no limit.
	Prepaid int64
	Route   *catalog.Route
	Service catalog.Service
	// Version is the version of the configuration that determined the fields above.
	Version int64
	// Rank is the priority; 0 goes first.
	Rank int
	// Regions are the regions in which the request may be served.
	Regions catalog.Regions

	Method string
	// URI is the path and query, as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte

	// Arrived is the time at which the request's headers were read.
	Arrived time.Time
	// Deadline is the deadline of the caller or the route, whichever is earlier.
	Deadline time.Time
	// CallerDeadline is the time until which the caller waits, over all its attempts.
	CallerDeadline time.Time

	// Prompt and MaxOutput are in tokens; both are 0 for plain services.
	Prompt    int64
	MaxOutput int64
	Parts     []prefill.Part
	// LastEvent is the id of the last event that the caller has, or "".
	LastEvent string
	// Resumes is the id of the attempt that brought the first event of the stream that the caller takes up
	// again, or "".
	Resumes string
	// StreamVersion is the software version that began the stream which the caller takes up, "" if it begins
	// one. Dispatcher sets it.
	StreamVersion string
}

// TakesUp reports whether the caller takes up a stream that an earlier attempt began.
func (r *Request) TakesUp() bool { return r.Resumes != "" || r.LastEvent != "" }

// BoundVersion returns the software version at which the request must go on, since the caller has events of it;
// bound is false if it has none. An unknown version is "": no upstream may continue such a stream.
func (r *Request) BoundVersion(attempts []Attempt) (version string, bound bool) {
	if r.StreamVersion != "" {
		return r.StreamVersion, true
	}
	for _, a := range attempts {
		if a.Events > 0 {
			return a.Version, true
		}
	}
	return "", false
}

// MaxTokens returns the maximum number of tokens that the request can use. An interrupted run may have
// produced unrecorded output, so each further run counts its own.
func (r *Request) MaxTokens() int64 {
	if r.Prompt+r.MaxOutput == 0 {
		return 0
	}
	return r.Prompt + r.MaxOutput*int64(r.maxRuns())
}

// maxRuns is the maximum number of upstreams on which the request may start.
func (r *Request) maxRuns() int {
	if !r.Route.Idempotent() {
		return 1
	}
	return max(1, r.Route.MaxRuns)
}
