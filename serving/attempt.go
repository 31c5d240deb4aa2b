package serving

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
)

// Result is what one send came to.
type Result int

// The results.
const (
	// Complete says that the caller has the whole answer.
	Complete Result = iota
	// Unreached says that nothing was sent: no connection was made.
	Unreached
	// Declined says that the upstream refused and proved that it did not run.
	Declined
	// Misdirected says that another process answered at the address; it did not run.
	Misdirected
	// Failed says that the upstream ran the request and answered with a failure.
	Failed
	// Unknown says that the request was sent and no valid answer came.
	Unknown
	// Broken says that a stream stopped after the caller had got a part of it.
	Broken
	// CallerGone says that the caller left or took nothing more.
	CallerGone
	// Refused says that the upstream refused the request for good: no other one
	// would take it. Attempt.Refusal has its reason.
	Refused
	// OutOfTime says that the request's time ended while the upstream had it.
	OutOfTime
)

var resultNames = [...]string{"whole", "unreached", "declined", "misdirected", "failed",
	"unknown", "broken", "caller_gone", "refused", "out_of_time"}

// String is the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// NotRun reports whether the result proves that the upstream did not run the request.
func (r Result) NotRun() bool {
	return r == Unreached || r == Declined || r == Misdirected || r == Refused
}

// final reports whether no other upstream may be tried after the result.
func (r Result) final() bool {
	return r == Complete || r == CallerGone || r == OutOfTime || r == Refused
}

// Attempt is one send and what came of it.
type Attempt struct {
	Upstream directory.Incarnation
	Result   Result
	// Detail says more, for the log.
	Detail string
	// Cost and Unread are what the choice of the upstream expected.
	Cost   time.Duration
	PendingPrefill int64
	// Pause is the longest one between two events.
	Pause Gap
	// Answer is the upstream's failure, for Failed; it is passed on unless the
	// request is sent again.
	Answer *Answer
	// Refusal is the reason that the upstream gave, for Declined, Refused and Failed;
	// nil leaves it to the path.
	Refusal *contract.Refusal
	// Break is set if the connection broke while the upstream had the request.
	Break *Break
	// Recalled says that the send was ended since its prompt was found to end upstreams.
	Recalled bool
	// Output is the most tokens that the run may have produced.
	Output int64
	// Began says that the run read the prompt, or may have.
	Began bool
}

// Break is the end of a connection to an upstream that had a request.
type Break struct {
	// Address is the upstream's.
	Address string
	// Events is how many events of its answer had come, and Running the time since the first
	// of them.
	Events  int64
	Running time.Duration
}

// Gap is one between two events of a stream.
type Gap struct {
	Duration time.Duration
	// ConcurrentLoad is what else this router had at the upstream when the pause ended, for the
	// log: an engine that reads a long prompt pauses the streams that run beside.
	ConcurrentLoad Load
}

// Load is what a router has at an upstream.
type Load struct {
	// Running is requests that have not ended.
	Running int
	// PendingPrefill is the prompt tokens of those whose first event has not come.
	PendingPrefill int64
}

// Answer is a complete answer that is not yet passed on.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendTo gives the whole answer to a caller who has had nothing of one yet.
func (a *Answer) SendTo(out Caller) error {
	if err := out.Begin(a.Status, a.Header); err != nil {
		return err
	}
	if err := out.WriteChunk(a.Body); err != nil {
		return err
	}
	return out.Flush()
}

// Outcome is how a request ended.
type Outcome struct {
	Attempts []Attempt
	// Refusal is set when the caller gets none of an upstream's answers.
	Refusal *contract.Refusal
	// Truncated says that the caller has a part of an answer that never ends; its
	// connection must be broken, or the part would look whole.
	Truncated bool
	// Used is what the team is charged, in tokens.
	Used int64
}
