package serving

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
)

// Result is the outcome of one attempt.
type Result int

// The results.
const (
	// Complete means that the caller has the complete answer.
	Complete Result = iota
	// Unreached means that no connection was made and nothing was sent.
	Unreached
	// Declined means that the upstream refused and proved that it did not run the request.
	Declined
	// Misdirected means that another process answered at the address; it did not run the request.
	Misdirected
	// Failed means that the upstream ran the request and answered with a failure.
	Failed
	// Unknown means that the request was sent and no valid answer arrived.
	Unknown
	// Broken means that a stream stopped after the caller had received part of it.
	Broken
	// CallerGone means that the caller disconnected or stopped reading.
	CallerGone
	// Refused means that the upstream refused the request permanently: no other upstream would
	// accept it. Attempt.Refusal holds the reason.
	Refused
	// OutOfTime means that the request's deadline passed while the upstream had it.
	OutOfTime
)

var resultNames = [...]string{"whole", "unreached", "declined", "misdirected", "failed",
	"unknown", "broken", "caller_gone", "refused", "out_of_time"}

// String returns the name used in logs.
func (r Result) String() string { return resultNames[r] }

// NotRun reports whether the result proves that the upstream did not run the request.
func (r Result) NotRun() bool {
	return r == Unreached || r == Declined || r == Misdirected || r == Refused
}

// final reports whether no other upstream may be tried after the result.
func (r Result) final() bool {
	return r == Complete || r == CallerGone || r == OutOfTime || r == Refused
}

// Attempt is one forwarding of a request to an upstream, and its outcome.
type Attempt struct {
	Upstream directory.Incarnation
	// Version is the version of the upstream's software, "" if unknown.
	Version string
	Result  Result
	// Events is the number of events of a stream that were forwarded to the caller.
	Events int64
	// Detail gives details for the log.
	Detail string
	// Cost and PendingPrefill are the estimates made when the upstream was chosen.
	Cost           time.Duration
	PendingPrefill int64
	// Crossing is what crossed to another region.
	Crossing Crossing
	// Gap is the longest gap between two events.
	Gap Gap
	// Answer is the upstream's failure response, for Failed; it is passed on unless the request is
	// sent again.
	Answer *Answer
	// Refusal is the reason given by the upstream, for Declined, Refused and Failed; if nil, Dispatcher
	// determines it.
	Refusal *contract.Refusal
	// Break is set if the connection broke while the upstream had the request.
	Break *Break
	// Recalled reports whether the attempt was canceled because other upstreams crashed under its prompt. It
	// says nothing about its upstream.
	Recalled bool
	// RetryPermitted reports whether the retry budget has permitted the next attempt already.
	RetryPermitted bool
	// Crashed reports whether the upstream is known to have crashed.
	Crashed bool
	// Output is the maximum number of tokens that the run may have produced.
	Output int64
	// Began reports whether the upstream may have processed the prompt.
	Began bool
}

// Crossing is what of an attempt crossed between regions, in a fleet of several.
type Crossing struct {
	// Region is the region of the upstream if it is not the router's, and Reason why the request was sent there.
	Region string
	Reason CrossingReason
	// Fetched is the number of cached tokens that the upstream was told to fetch from another region.
	Fetched int64
}

// CrossingReason is why a request was sent to another region.
type CrossingReason string

// The reasons.
const (
	// NotAllowedHere means that the request must not be served in the router's region.
	NotAllowedHere CrossingReason = "not_allowed_here"
	// NoneHere means that no upstream in the router's region takes requests.
	NoneHere CrossingReason = "none_here"
	// FasterThere means that upstreams in the router's region would take longer.
	FasterThere CrossingReason = "faster_there"
)

// Statement is what an upstream's answer says about the upstream.
type Statement struct {
	// Limit is the requests per second that it accepts from all routers together; 0 if the answer names no
	// limit. LimitError is set if the limit is invalid.
	Limit      float64
	LimitError error
	// Leaving is set if the upstream leaves and wants no new work.
	Leaving bool
	// Rest is the time for which it wants nothing from this router; 0 if it does not say.
	Rest time.Duration
	// Invalid is set if Leaving or Rest cannot be parsed.
	Invalid error
}

// Break describes a connection that broke while the upstream had a request.
type Break struct {
	// Address is the address of the upstream.
	Address string
	// Events is the number of answer events received, and Running the time since the first of
	// them.
	Events  int64
	Running time.Duration
	// Sent is when the attempt began.
	Sent time.Time
}

// Gap is the time between two consecutive events of a stream.
type Gap struct {
	Duration time.Duration
	// ConcurrentLoad is the router's other load at the upstream when the gap ended, for the log: an
	// engine that prefills a long prompt delays the streams that run concurrently.
	ConcurrentLoad Load
}

// Load is one router's load at an upstream.
type Load struct {
	// Running is the number of requests that have not ended.
	Running int
	// PendingPrefill is the number of prompt tokens of requests whose first event has not arrived.
	PendingPrefill int64
}

// Answer is a complete answer that has not been passed on yet.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Release, if set, is called once the request has ended, and releases the memory that Body was counted for.
	Release func()
}

// SendTo writes the complete answer to a caller that has received nothing yet.
func (a *Answer) SendTo(out Caller) error {
	if err := out.Begin(a.Status, a.Header); err != nil {
		return err
	}
	if err := out.WriteChunk(a.Body); err != nil {
		return err
	}
	return out.Flush()
}

// Outcome is the outcome of a request.
type Outcome struct {
	Attempts []Attempt
	// Refusal is set if no upstream's answer is passed on.
	Refusal *contract.Refusal
	// Truncated reports whether the caller received only part of an answer. Its connection must be
	// closed abnormally, or the part would look complete.
	Truncated bool
	// Used is the number of tokens charged to the team.
	Used int64
}
