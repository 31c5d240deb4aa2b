package serving

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
)

// Upstreams chooses upstreams and speaks their dialect.
type Upstreams interface {
	// Pick chooses an upstream that was not tried, or none.
	Pick(r *Request, attempts []Attempt) (Target, bool)
	// Limited is the refusal of a request for which Pick found none, if upstreams would have served it
	// but for the requests a second that they take; nil otherwise.
	Limited(r *Request, attempts []Attempt) *contract.Refusal
	// Send sends the request and passes the answer on. It returns when the answer
	// has ended, one way or another, and never sends a second time.
	Send(ctx context.Context, r *Request, t Target, out Caller) Attempt
}

// Target is the upstream that was chosen.
type Target struct {
	// Life is the upstream and its start.
	Life directory.Incarnation
	// Address is host:port.
	Address string
	// FetchFrom is the address of an upstream that probably has more of the
	// prompt cached, or "".
	FetchFrom string
	// Deadline bounds this attempt; it is before the request's own bound when
	// another upstream may still be tried after it.
	Deadline time.Time
	// Event is called as each event of the answer arrives, or once with all of it.
	Event func(now time.Time)
	// Limit is called as soon as an answer of the upstream has begun, with how many requests a second
	// it says that it takes from all routers together, 0 if it names no limit, or why that cannot be read.
	Limit func(perSecond float64, err error)
	// Done is called once with the attempt, and returns it with what the chooser knows
	// of it: what it expected, and how the stream paused.
	Done func(Attempt) Attempt
}

// Caller is the caller's side of an answer.
type Caller interface {
	// Begin sends status and headers; it is called once, with the first piece.
	Begin(status int, header map[string][]string) error
	// WriteChunk sends bytes; they need not be on their way before Flush.
	WriteChunk(b []byte) error
	Flush() error
	// Began reports whether Begin was called.
	Began() bool
	// LastEvent is the id of the last whole event that was sent, or "".
	LastEvent() string
	// SetLastEvent notes it.
	SetLastEvent(id string)
}

// Budgets sets tokens aside before a request may run.
type Budgets interface {
	// Reserve sets the request's worst case aside; settle must be called once
	// with what was used.
	Reserve(ctx context.Context, r *Request) (settle func(used int64), refusal *contract.Refusal)
}

// RetryBudget bounds the sends beyond the first of each request.
type RetryBudget interface {
	// Request counts a request of a service.
	Request(service string)
	// Allow reports whether one more send of the request is within the bound, and
	// counts it.
	Allow(r *Request) bool
}

// PromptGuard keeps prompts that end upstreams from being sent again.
type PromptGuard interface {
	// Refuse is asked before each send; nil lets the request be sent.
	Refuse(ctx context.Context, r *Request) *contract.Refusal
	// Proven is the final refusal of a prompt that is known to end upstreams, nil of others.
	Proven(r *Request) *contract.Refusal
	// ConnectionBroken is told when the connection to an upstream broke under the last of a request's
	// attempts. Unless it was the first one under its prompt, Broke returns when Refuse knows.
	ConnectionBroken(ctx context.Context, r *Request, attempts []Attempt)
	// RecordAnswer is told that a request was answered.
	RecordAnswer(r *Request)
	// TrackSend is told of each send. The context that it returns ends with ErrRecalled as its cause if
	// the request's prompt is found to end upstreams, unless began was called before, with the first
	// piece of the answer. done is called when the send has ended.
	TrackSend(ctx context.Context, r *Request) (sending context.Context, began, done func())
}

// ErrRecalled is why a send ended: its prompt was found to end upstreams.
var ErrRecalled = errors.New("the prompt was found to end upstreams")

// Dispatcher is the path of requests.
type Dispatcher struct {
	Upstreams Upstreams
	Budgets   Budgets
	RetryBudget   RetryBudget
	// Poison may be nil.
	Poison PromptGuard
	// Now is the clock.
	Now func() time.Time
}

// Serve takes a request to its end. The caller of Serve sends the refusal, if there is
// one, or breaks the connection of an answer that was cut.
func (p *Dispatcher) Serve(ctx context.Context, r *Request, out Caller) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	p.RetryBudget.Request(r.Service.Name)
	if refused := p.poisoned(ctx, r); refused != nil {
		return Outcome{Refusal: refused}
	}
	settle, refused := p.Budgets.Reserve(ctx, r)
	if refused != nil {
		return Outcome{Refusal: refused}
	}
	end := p.run(ctx, r, out)
	end.Used = used(r, end.Attempts)
	settle(end.Used)
	return end
}

// run sends the request until it has its answer or nothing more is allowed.
func (p *Dispatcher) run(ctx context.Context, r *Request, out Caller) Outcome {
	var attempts []Attempt
	for {
		target, ok := p.Upstreams.Pick(r, attempts)
		if !ok {
			return p.end(r, attempts, out)
		}
		attempts = append(attempts, target.Done(p.send(ctx, r, target, out)))
		p.learn(ctx, r, attempts)
		v := decide(r, attempts, p.Now())
		if !v.again || p.poisoned(ctx, r) != nil || v.counted && !p.RetryBudget.Allow(r) {
			return p.end(r, attempts, out)
		}
	}
}

// send sends the request once, so that it can be recalled until its answer begins.
func (p *Dispatcher) send(ctx context.Context, r *Request, t Target, out Caller) Attempt {
	if p.Poison == nil || out.Began() {
		return p.Upstreams.Send(ctx, r, t, out)
	}
	ctx, began, done := p.Poison.TrackSend(ctx, r)
	defer done()
	event := t.Event
	t.Event = func(now time.Time) {
		began()
		event(now)
	}
	return p.Upstreams.Send(ctx, r, t, out)
}

// poisoned is the refusal of a prompt that must not be sent now.
func (p *Dispatcher) poisoned(ctx context.Context, r *Request) *contract.Refusal {
	if p.Poison == nil {
		return nil
	}
	return p.Poison.Refuse(ctx, r)
}

// learn tells what the last attempt says of the request's prompt.
func (p *Dispatcher) learn(ctx context.Context, r *Request, attempts []Attempt) {
	last := attempts[len(attempts)-1]
	switch {
	case p.Poison == nil:
	case last.Break != nil:
		p.Poison.ConnectionBroken(ctx, r, attempts)
	case last.Result == Complete:
		p.Poison.RecordAnswer(r)
	}
}

// refusal names how a request without an answer ended.
func (p *Dispatcher) refusal(r *Request, attempts []Attempt) *contract.Refusal {
	hit := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Break != nil || a.Recalled })
	if hit && p.Poison != nil {
		if proven := p.Poison.Proven(r); proven != nil {
			return proven
		}
	}
	named := refusal(r, attempts, p.Now())
	if named.Kind == contract.NoUpstream {
		if limited := p.Upstreams.Limited(r, attempts); limited != nil {
			return limited
		}
	}
	return named
}

// end passes on the best of what there is.
func (p *Dispatcher) end(r *Request, attempts []Attempt, out Caller) Outcome {
	e := Outcome{Attempts: attempts}
	if n := len(attempts); n > 0 {
		last := attempts[n-1]
		if last.Result == Complete || last.Result == CallerGone && !out.Began() {
			return e
		}
	}
	if out.Began() {
		e.Truncated = true
		return e
	}
	if a := failure(attempts); a != nil {
		e.Truncated = a.SendTo(out) != nil
		return e
	}
	e.Refusal = p.refusal(r, attempts)
	return e
}

// failure is the upstream's own failure that the caller gets. It is the last one of a
// run, and only if no later run may have gone on: then the outcome is not known.
func failure(attempts []Attempt) *Answer {
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
