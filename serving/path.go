package serving

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
)

// Upstreams chooses upstreams and sends requests to them in their protocol.
type Upstreams interface {
	// Pick chooses an upstream that was not tried, and reports whether there is one.
	Pick(r *Request, attempts []Attempt) (Target, bool)
	// Limited returns the refusal of a request for which Pick found no upstream only because of
	// the upstreams' rate limits, or the rest that they asked for; nil otherwise.
	Limited(r *Request, attempts []Attempt) *contract.Refusal
	// RetryAfter returns when the first of a request's upstreams may take it, if none does now and that is known.
	RetryAfter(r *Request) (d time.Duration, ok bool)
	// Send sends the request and passes the answer on. It returns when the answer has ended or
	// failed, and never sends a second time.
	Send(ctx context.Context, r *Request, t Target, out Caller) Attempt
}

// Target is a chosen upstream.
type Target struct {
	// Incarnation identifies the incarnation of the upstream.
	Incarnation directory.Incarnation
	// Address is host:port.
	Address string
	// Version is the version of the upstream's software, "" if unknown.
	Version string
	// FetchFrom is the address of an upstream that probably has more of the prompt cached, or "".
	FetchFrom string
	// Deadline is the deadline of this attempt. It is before the request's own deadline if another
	// upstream may still be tried afterwards.
	Deadline time.Time
	// Event is called as each event of the answer arrives, or once with the complete answer.
	Event func(now time.Time)
	// Observe is called as soon as an answer of the upstream has begun, with what it says about the upstream.
	Observe func(s Statement)
	// Done is called once with the attempt, and returns it with the chooser's data: its estimates
	// and the gaps of the stream.
	Done func(Attempt) Attempt
}

// Caller receives the answer on behalf of the client.
type Caller interface {
	// Begin sends status and headers; it is called once, before the first chunk.
	Begin(status int, header map[string][]string) error
	// WriteChunk writes bytes; they may be buffered until Flush.
	WriteChunk(b []byte) error
	Flush() error
	// Began reports whether Begin was called.
	Began() bool
	// LastEvent returns the id of the last complete event that was sent, or "".
	LastEvent() string
	// SetLastEvent records the id of the last complete event.
	SetLastEvent(id string)
}

// Budgets reserves tokens before a request may run.
type Budgets interface {
	// Reserve reserves the request's maximum usage; settle must be called once with the tokens
	// used.
	Reserve(ctx context.Context, r *Request) (settle func(used int64), refusal *contract.Refusal)
}

// RetryBudget limits the attempts beyond the first of each request.
type RetryBudget interface {
	// Request counts a request to a service.
	Request(service string)
	// Allow reports whether the budget permits one more attempt of the request, and counts it.
	Allow(r *Request) bool
}

// PromptGuard prevents repeated attempts with prompts that crash upstreams.
type PromptGuard interface {
	// Refuse is called before the first attempt; nil permits it.
	Refuse(ctx context.Context, r *Request) *contract.Refusal
	// RefuseRetry is called before each further attempt; nil permits it. While another request tries the
	// prompt, it waits for the result.
	RefuseRetry(ctx context.Context, r *Request) *contract.Refusal
	// Proven returns the final refusal of a prompt that is proven to crash upstreams, nil for
	// other prompts.
	Proven(r *Request) *contract.Refusal
	// ConnectionBroken is called when the connection to an upstream broke during the last of a request's
	// attempts. Unless it was the first break for its prompt, ConnectionBroken returns after Refuse takes it
	// into account.
	ConnectionBroken(ctx context.Context, r *Request, attempts []Attempt)
	// Crashed reports whether the upstream of a request's broken attempt is known to have crashed.
	Crashed(r *Request, a Attempt) bool
	// RecordAnswer is called when a request was answered.
	RecordAnswer(r *Request)
	// TrackAttempt is called for each attempt. The returned context is canceled with the cause ErrRecalled or
	// ErrPostponed if other upstreams crash under the request's prompt, unless began was called before, with
	// the first chunk of the answer. It is postponed only if it is repeatable. done is called when the attempt has ended.
	TrackAttempt(ctx context.Context, r *Request, repeatable bool) (tracked context.Context, began, done func())
}

// StreamVersions knows which software version of a service began each stream.
type StreamVersions interface {
	// Began records the version that began a request's stream. It is called before the first event is sent to
	// the caller, and does not block. An unknown version is "".
	Began(r *Request, version string)
	// Find returns the version that began the stream which a request takes up, or the refusal of the request if
	// that is not known.
	Find(ctx context.Context, r *Request) (version string, refusal *contract.Refusal)
}

// Causes of a canceled attempt under whose prompt other upstreams crashed.
var (
	// ErrRecalled means that the prompt is proven to cause the crashes.
	ErrRecalled = errors.New("the prompt was found to crash upstreams")
	// ErrPostponed means that another request tries the prompt first. The retry budget has permitted the next
	// attempt already.
	ErrPostponed = errors.New("other upstreams crashed under the prompt")
)

// ErrStopping is the cause of canceled requests that are active when their router ends.
var ErrStopping = errors.New("the router ends")

// Dispatcher serves requests: it reserves tokens, sends to upstreams and retries.
type Dispatcher struct {
	Upstreams   Upstreams
	Budgets     Budgets
	RetryBudget RetryBudget
	// PromptGuard may be nil.
	PromptGuard PromptGuard
	// Streams may be nil: then streams continue at any version.
	Streams StreamVersions
	// RefuseLate is called before each attempt of a request that has not run. It returns the refusal of a request that may
	// not end before this router does; nil permits the attempt. RefuseLate may be nil.
	RefuseLate func(r *Request) *contract.Refusal
	// Panicked is called with the value and the beginning of the stack of a panic during an attempt. It may be nil.
	Panicked func(r *Request, t Target, value, stack string)
	// Now is the clock.
	Now func() time.Time
}

// Serve processes a request to its end. The caller of Serve sends the refusal, if there is one, or
// closes the connection of a truncated answer.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, out Caller) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.RetryBudget.Request(r.Service.Name)
	if refused := d.refusePoisoned(ctx, r); refused != nil {
		return Outcome{Refusal: refused}
	}
	if refused := d.bindVersion(ctx, r); refused != nil {
		return Outcome{Refusal: refused}
	}
	settle, refused := d.Budgets.Reserve(ctx, r)
	if refused != nil {
		return Outcome{Refusal: refused}
	}
	outcome := d.run(ctx, r, out)
	releaseAnswers(outcome.Attempts)
	outcome.Used = chargedTokens(r, outcome.Attempts)
	settle(outcome.Used)
	return outcome
}

// bindVersion sets the version at which a stream that is taken up must go on.
func (d *Dispatcher) bindVersion(ctx context.Context, r *Request) *contract.Refusal {
	if d.Streams == nil || !r.TakesUp() {
		return nil
	}
	version, refusal := d.Streams.Find(ctx, r)
	r.StreamVersion = version
	return refusal
}

// run makes attempts until the request is answered or no further attempt is allowed.
func (d *Dispatcher) run(ctx context.Context, r *Request, out Caller) Outcome {
	var attempts []Attempt
	for {
		if refused := d.refuseLate(r, attempts); refused != nil {
			return Outcome{Attempts: attempts, Refusal: refused}
		}
		target, ok := d.Upstreams.Pick(r, attempts)
		if !ok {
			return d.finish(r, attempts, out)
		}
		repeatable := isRepeatable(r, attempts, d.Now())
		attempts = append(attempts, target.Done(d.send(ctx, r, target, out, repeatable)))
		d.recordOutcome(ctx, r, attempts)
		next := decideRetry(r, attempts, d.Now())
		// The retry budget comes first: a permission to try the prompt must not be lost for lack of it.
		if !next.retry || next.countsAsRetry && !d.RetryBudget.Allow(r) || d.refuseRetry(ctx, r) != nil {
			return d.finish(r, attempts, out)
		}
	}
}

// refuseLate returns the refusal of a request that has not run and may not end before this router does.
func (d *Dispatcher) refuseLate(r *Request, attempts []Attempt) *contract.Refusal {
	if d.RefuseLate == nil || slices.ContainsFunc(attempts, func(a Attempt) bool { return !a.Result.NotRun() }) {
		return nil
	}
	return d.RefuseLate(r)
}

// send makes one attempt, which can be recalled until its answer begins. The version that begins a stream is
// recorded. After a panic the attempt's outcome is unknown: its tokens and its place at the upstream are released as
// after any attempt, and the caller gets a refusal.
func (d *Dispatcher) send(ctx context.Context, r *Request, t Target, out Caller, repeatable bool) (a Attempt) {
	defer func() {
		if v := recover(); v != nil {
			a = d.panickedAttempt(r, t, out, v)
		}
	}()
	if out.Began() {
		return d.Upstreams.Send(ctx, r, t, out)
	}
	if d.Streams != nil && r.Route.Kind == catalog.Streaming {
		t.Event = beforeFirst(t.Event, func() { d.Streams.Began(r, t.Version) })
	}
	if d.PromptGuard == nil {
		return d.Upstreams.Send(ctx, r, t, out)
	}
	ctx, began, done := d.PromptGuard.TrackAttempt(ctx, r, repeatable)
	defer done()
	t.Event = beforeFirst(t.Event, began)
	return d.Upstreams.Send(ctx, r, t, out)
}

// Limits on what is logged of a panic, in bytes.
const (
	maxPanicValue = 256
	maxPanicStack = 4 << 10
)

// panickedAttempt reports a panic, and returns the attempt that it ended.
func (d *Dispatcher) panickedAttempt(r *Request, t Target, out Caller, panicked any) Attempt {
	value, stack := fmt.Sprint(panicked), debug.Stack()
	value = value[:min(len(value), maxPanicValue)]
	if d.Panicked != nil {
		d.Panicked(r, t, value, string(stack[:min(len(stack), maxPanicStack)]))
	}
	a := Attempt{Upstream: t.Incarnation, Result: Unknown, Began: true, Output: r.MaxOutput, Detail: "panic: " + value}
	if out.Began() {
		a.Result = Broken
	}
	return a
}

// beforeFirst returns a function that calls event, and do before the first call.
func beforeFirst(event func(time.Time), do func()) func(time.Time) {
	first := true
	return func(now time.Time) {
		if first {
			first = false
			do()
		}
		event(now)
	}
}

// refusePoisoned returns the refusal of a prompt that must not be sent now.
func (d *Dispatcher) refusePoisoned(ctx context.Context, r *Request) *contract.Refusal {
	if d.PromptGuard == nil {
		return nil
	}
	return d.PromptGuard.Refuse(ctx, r)
}

// refuseRetry returns the refusal of a prompt that must not be sent again.
func (d *Dispatcher) refuseRetry(ctx context.Context, r *Request) *contract.Refusal {
	if d.PromptGuard == nil {
		return nil
	}
	return d.PromptGuard.RefuseRetry(ctx, r)
}

// recordOutcome reports the last attempt's evidence on the request's prompt to PromptGuard.
func (d *Dispatcher) recordOutcome(ctx context.Context, r *Request, attempts []Attempt) {
	last := attempts[len(attempts)-1]
	switch {
	case d.PromptGuard == nil:
	case last.Break != nil:
		d.PromptGuard.ConnectionBroken(ctx, r, attempts)
		attempts[len(attempts)-1].Crashed = d.PromptGuard.Crashed(r, last)
	case last.Result == Complete:
		d.PromptGuard.RecordAnswer(r)
	}
}

// finalRefusal returns the refusal of a request without an answer.
func (d *Dispatcher) finalRefusal(r *Request, attempts []Attempt) *contract.Refusal {
	suspect := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Break != nil || a.Recalled })
	if suspect && d.PromptGuard != nil {
		if proven := d.PromptGuard.Proven(r); proven != nil {
			return proven
		}
	}
	refusal := refusalFor(r, attempts, d.Now())
	if refusal.Kind == contract.NoUpstream || refusal.Kind == contract.NoStreamVersion {
		if limited := d.Upstreams.Limited(r, attempts); limited != nil {
			return limited
		}
	}
	if refusal.Kind == contract.Overloaded && refusal.RetryAfter == 0 {
		if d, ok := d.Upstreams.RetryAfter(r); ok {
			return refusal.WithRetryAfter(d)
		}
	}
	return refusal
}

// finish passes on the most useful of the available answers and refusals.
func (d *Dispatcher) finish(r *Request, attempts []Attempt, out Caller) Outcome {
	o := Outcome{Attempts: attempts}
	if n := len(attempts); n > 0 {
		last := attempts[n-1]
		if last.Result == Complete || last.Result == CallerGone && !out.Began() {
			return o
		}
	}
	if out.Began() {
		o.Truncated = true
		return o
	}
	if a := failureAnswer(attempts); a != nil {
		o.Truncated = a.SendTo(out) != nil
		return o
	}
	o.Refusal = d.finalRefusal(r, attempts)
	return o
}

func releaseAnswers(attempts []Attempt) {
	for _, a := range attempts {
		if a.Answer != nil && a.Answer.Release != nil {
			a.Answer.Release()
		}
	}
}

// failureAnswer returns the upstream's failure response that the caller gets: that of the last
// run, and only if no later run may have continued, since the outcome is unknown then.
func failureAnswer(attempts []Attempt) *Answer {
	for i := len(attempts) - 1; i >= 0; i-- {
		a := attempts[i]
		if a.Answer != nil {
			return a.Answer
		}
		if !a.Result.NotRun() {
			return nil
		}
	}
	return nil
}
