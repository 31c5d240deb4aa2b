package serving

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
)

// Upstreams chooses upstreams and speaks their dialect.
type Upstreams interface {
	// Pick chooses an upstream that was not tried, or none.
	Pick(r *Request, attempts []Attempt) (Target, bool)
	// Send sends the request and passes the answer on. It returns when the answer
	// has ended, one way or another, and never sends a second time.
	Send(ctx context.Context, r *Request, t Target, out Caller) Attempt
}

// Target is the upstream that was chosen.
type Target struct {
	// Life is the upstream and its start.
	Life directory.Life
	// Address is host:port.
	Address string
	// FetchFrom is the address of an upstream that probably has more of the
	// prompt cached, or "".
	FetchFrom string
	// Until bounds this attempt; it is before the request's own bound when
	// another upstream may still be tried after it.
	Until time.Time
	// Event is called as each event of the answer arrives, or once with all of it.
	Event func(now time.Time)
	// Done is called once with the attempt, and returns it with what the chooser knows
	// of it: what it expected, and how the stream paused.
	Done func(Attempt) Attempt
}

// Caller is the caller's side of an answer.
type Caller interface {
	// Begin sends status and headers; it is called once, with the first piece.
	Begin(status int, header map[string][]string) error
	// Piece sends bytes; they need not be on their way before Flush.
	Piece(b []byte) error
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

// Repeats bounds the sends beyond the first of each request.
type Repeats interface {
	// Request counts a request of a service.
	Request(service string)
	// Allow reports whether one more send of the request is within the bound, and
	// counts it.
	Allow(r *Request) bool
}

// Watcher hears of attempts.
type Watcher interface {
	// Broke is called when the connection to an upstream broke under a request. It must not
	// block.
	Broke(r *Request, a Attempt)
}

// Path is the path of requests.
type Path struct {
	Upstreams Upstreams
	Budgets   Budgets
	Repeats   Repeats
	// Watcher may be nil.
	Watcher Watcher
	// Now is the clock.
	Now func() time.Time
}

// Serve takes a request to its end. The caller of Serve sends the refusal, if there is
// one, or breaks the connection of an answer that was cut.
func (p *Path) Serve(ctx context.Context, r *Request, out Caller) End {
	ctx, cancel := context.WithDeadline(ctx, r.Until)
	defer cancel()
	p.Repeats.Request(r.Service.Name)
	settle, refused := p.Budgets.Reserve(ctx, r)
	if refused != nil {
		return End{Refusal: refused}
	}
	end := p.run(ctx, r, out)
	end.Used = used(r, end.Attempts)
	settle(end.Used)
	return end
}

// run sends the request until it has its answer or nothing more is allowed.
func (p *Path) run(ctx context.Context, r *Request, out Caller) End {
	var attempts []Attempt
	for {
		target, ok := p.Upstreams.Pick(r, attempts)
		if !ok {
			return p.end(r, attempts, out)
		}
		attempt := target.Done(p.Upstreams.Send(ctx, r, target, out))
		attempts = append(attempts, attempt)
		if attempt.Break != nil && p.Watcher != nil {
			p.Watcher.Broke(r, attempt)
		}
		v := decide(r, attempts, p.Now())
		if !v.again || v.counted && !p.Repeats.Allow(r) {
			return p.end(r, attempts, out)
		}
	}
}

// end passes on the best of what there is.
func (p *Path) end(r *Request, attempts []Attempt, out Caller) End {
	e := End{Attempts: attempts}
	if n := len(attempts); n > 0 {
		last := attempts[n-1]
		if last.Result == Whole || last.Result == CallerGone && !out.Began() {
			return e
		}
	}
	if out.Began() {
		e.Cut = true
		return e
	}
	if a := failure(attempts); a != nil {
		e.Cut = a.Pass(out) != nil
		return e
	}
	e.Refusal = refusal(r, attempts, p.Now())
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
