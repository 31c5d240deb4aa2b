// Package serving is the path of one request through a router: set tokens aside, choose
// an upstream, send, decide what a failure allows, and end with the whole answer or a
// true refusal. What callers and upstreams speak stands behind small interfaces.
package serving

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// Request is one request of a caller, as far as the path needs to know it.
type Request struct {
	// ID names the request; every send carries it.
	ID string
	// Team is empty on public routes without a key.
	Team string
	// Prepaid is the team's budget in tokens; 0 is no limit.
	Prepaid int64
	Route   *catalog.Route
	Service catalog.Service
	// Version is that of the configuration that decided the fields above.
	Version int64
	// Rank is the priority; 0 goes first.
	Rank int
	// Regions are those in which it may be served.
	Regions catalog.Regions

	Method string
	// URI is the path and query, as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte

	// Arrived is when the request's headers were read.
	Arrived time.Time
	// Deadline is when the caller or the route stops waiting, whichever is first.
	Deadline time.Time

	// Prompt and MaxOutput are tokens; both are 0 for plain services.
	Prompt    int64
	MaxOutput int64
	Parts     []prefill.Part
	// LastEvent is the id of the last event that the caller has, or "".
	LastEvent string
}

// MaxTokens is the most tokens that the request can use. A run that broke off may have
// produced output that is not known here, so each further run counts its own.
func (r *Request) MaxTokens() int64 {
	if r.Prompt+r.MaxOutput == 0 {
		return 0
	}
	return r.Prompt + r.MaxOutput*int64(r.runs())
}

// runs is the most upstreams on which the request may begin to work.
func (r *Request) runs() int {
	if !r.Route.Idempotent() {
		return 1
	}
	return max(1, r.Route.MaxRuns)
}
