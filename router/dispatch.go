package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/agent"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/upstream"
	"github.com/arbutusmill/arbutusmill/vm"
)

// maxAttempts is the maximum number of upstreams that one request is sent to. A request
// is retried only while nothing was forwarded to the caller. A request that runs twice is
// billed once, and a request that may run only once is claimed before it runs, so
// serving.Dispatcher may treat all work of agents as idempotent.
const maxAttempts = 3

// agentRoute is the route of all requests to agents.
var agentRoute = &catalog.Route{Kind: catalog.Safe, MaxRuns: maxAttempts}

// agentDispatch sends one request to agents. It implements serving.Upstreams,
// serving.Budgets and serving.RetryBudget.
type agentDispatch struct {
	*Router
	job *job
	req *http.Request
	// outcome is the outcome reported by the last agent that responded.
	outcome contract.Outcome
	// last is the agent of the last attempt, unresolved the last agent that did not
	// report the outcome of its attempt.
	last, unresolved vm.VM
	// conclusive reports whether the last agent's report is final, whatever the outcome of
	// earlier attempts.
	conclusive bool
	byID       map[string]vm.VM
}

// dispatch sends the request to an upstream and forwards the response to the caller.
func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, j *job) {
	a := &agentDispatch{Router: r, job: j, req: req, byID: map[string]vm.VM{}}
	dispatcher := serving.Dispatcher{Upstreams: a, Budgets: a, RetryBudget: a, RefuseLate: r.refuseLate, Panicked: r.logPanic, Now: time.Now}
	out := serving.NewHTTPCaller(w, time.Duration(r.base.Settings.Limits.WriteTimeout), true)
	end := dispatcher.Serve(req.Context(), &serving.Request{
		ID: j.key, Team: j.team.Name, Route: agentRoute, Service: catalog.Service{Name: j.service.Name},
		Arrived: j.arrived, Deadline: j.arrived.Add(time.Duration(j.service.Timeout)),
	}, out)
	switch {
	case end.Truncated:
		// Guard against a truncated response that looks complete: a normal return would
		// terminate the body properly. Aborting breaks the connection, so that the
		// caller's client reports the truncation.
		r.metrics.truncated.Inc()
		r.log.Warn().Str("id", j.key).Str("agent", a.last.ID).Msg("answer_cut")
		panic(http.ErrAbortHandler)
	case end.Refusal != nil:
		r.refuse(w, j, end.Refusal)
	}
}

// logPanic logs a panic during an attempt.
func (r *Router) logPanic(req *serving.Request, t serving.Target, value, stack string) {
	r.base.Log.Error().Str("id", req.ID).Str("agent", t.Incarnation.ID).Str("value", value).Str("stack", stack).Msg("attempt_panicked")
}

// Pick implements serving.Upstreams.
func (a *agentDispatch) Pick(_ *serving.Request, attempts []serving.Attempt) (serving.Target, bool) {
	tried := map[string]bool{}
	for _, at := range attempts {
		tried[at.Upstream.ID] = true
	}
	if !a.job.body.canSend() {
		return serving.Target{}, false
	}
	chosen, done, ok := a.chooser.Pick(a.base.View.Agents(a.job.service.Name), a.job.prefixKey, tried)
	if !ok {
		return serving.Target{}, false
	}
	if len(attempts) > 0 {
		a.metrics.retries.Inc()
	}
	a.byID[chosen.ID] = chosen
	return serving.Target{Incarnation: directory.Incarnation{ID: chosen.ID}, Address: chosen.Work, Event: func(time.Time) {},
		Done: func(at serving.Attempt) serving.Attempt {
			done(healthyResult(at.Result))
			return at
		}}, true
}

// healthyResult reports whether a result shows that the upstream works.
func healthyResult(r serving.Result) bool {
	return r == serving.Complete || r == serving.Declined || r == serving.Refused
}

// Limited implements serving.Upstreams. Agents report no rate limits.
func (a *agentDispatch) Limited(*serving.Request, []serving.Attempt) *contract.Refusal { return nil }

// RetryAfter implements serving.Upstreams.
func (a *agentDispatch) RetryAfter(*serving.Request) (time.Duration, bool) { return 0, false }

// Send implements serving.Upstreams.
func (a *agentDispatch) Send(ctx context.Context, _ *serving.Request, t serving.Target, out serving.Caller) serving.Attempt {
	a.last = a.byID[t.Incarnation.ID]
	a.conclusive = false
	at := a.send(ctx, out)
	at.Upstream = t.Incarnation
	if !at.Result.NotRun() && !a.conclusive {
		a.unresolved = a.last
	}
	return at
}

func (a *agentDispatch) send(ctx context.Context, out serving.Caller) serving.Attempt {
	req, err := a.workRequest(ctx, a.req, a.job, a.last)
	if err != nil {
		return serving.Attempt{Result: serving.Refused, Refusal: contract.Refuse(contract.Internal, "%v", err)}
	}
	tracker := &hop.ConnTracker{}
	resp, err := a.agentClient.Do(req.WithContext(tracker.Trace(ctx)))
	switch {
	case err != nil && !tracker.Connected():
		return serving.Attempt{Result: serving.Unreached, Detail: err.Error()}
	case err != nil:
		return lostAttempt(ctx, err, serving.Unknown)
	}
	defer resp.Body.Close()
	if load, ok := upstream.ParseLoad(resp.Header.Get(upstream.LoadHeader)); ok {
		a.chooser.Report(a.last.ID, load)
	}
	if k := contract.Kind(resp.Header.Get(contract.RefusalHeader)); k != "" {
		return a.refusedAttempt(k, resp.Header.Get(contract.FencedHeader))
	}
	return a.forwardResponse(ctx, out, resp)
}

// lostAttempt returns the attempt of a request whose agent did not report an outcome: the
// connection may have broken after the agent received the request.
func lostAttempt(ctx context.Context, err error, result serving.Result) serving.Attempt {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = serving.OutOfTime
	case ctx.Err() != nil:
		result = serving.CallerGone
	}
	return serving.Attempt{Result: result, Detail: err.Error()}
}

// refusedAttempt returns the attempt of a request that an agent refused.
func (a *agentDispatch) refusedAttempt(k contract.Kind, fenced string) serving.Attempt {
	switch {
	case k == contract.Stopping:
		a.base.View.MarkLeaving(a.last.ID)
	case k == contract.Fenced && fenced == a.holder.ID():
		a.holder.Fence()
	case k == contract.Fenced:
		a.holder.ExcludeHolder(fenced)
	}
	a.outcome = contract.Outcome{}
	at := serving.Attempt{Result: serving.Refused, Detail: string(k), Refusal: contract.Refuse(k, "refused by %s", a.last.ID)}
	switch {
	case k == contract.UpstreamFailed:
		at.Result, a.conclusive = serving.Failed, true
	case k.Answer().TryOther || k == contract.NoUpstream:
		at.Result = serving.Declined
	}
	return at
}

// Reserve implements serving.Budgets. The tokens are reserved already. The returned function
// settles them by the agent's outcome, or leaves them open while the outcome is unknown.
func (a *agentDispatch) Reserve(context.Context, *serving.Request) (func(int64), *contract.Refusal) {
	return func(int64) {
		// Guard against a false "not run": an earlier upstream may have run the
		// request although the last one refused it.
		if a.unresolved.ID != "" && !a.conclusive {
			a.lost.add(a.job, a.unresolved)
			return
		}
		a.settle(a.job, a.outcome)
	}, nil
}

// Request implements serving.RetryBudget. Retries are limited by maxAttempts only.
func (a *agentDispatch) Request(string) {}

// Allow implements serving.RetryBudget.
func (a *agentDispatch) Allow(*serving.Request) bool { return true }

func (r *Router) workRequest(ctx context.Context, req *http.Request, j *job, chosen vm.VM) (*http.Request, error) {
	url := r.scheme + "://" + chosen.Work + agent.WorkPath + j.path
	out, err := http.NewRequestWithContext(ctx, req.Method, url, nil)
	if err != nil {
		return nil, err
	}
	out.Body = j.body.reader()
	out.ContentLength = j.body.length()
	hop.CopyHeaders(out.Header, req.Header)
	out.Header.Set(idempotencyHeader, j.key)
	if secret := r.base.Security.Secret; secret != "" {
		out.Header.Set("Authorization", "Bearer "+secret)
	}
	return out, r.workOf(j).SetHeader(out.Header)
}

func (r *Router) workOf(j *job) contract.Work {
	return contract.Work{
		ID: j.id(), Team: j.team.Name, Service: j.service.Name, Spender: r.base.Incarnation,
		Reservation: j.reservation, Watermarks: r.holder.Watermarks(j.reservation.Budget),
		Floor: r.outbox.Floor(j.team.Name), Class: j.class, TimeoutMS: j.remaining().Milliseconds(),
		Idempotent: j.idempotent, Engine: j.engine, Price: j.service.PriceTokens,
		OutputLimit: j.outputLimit, Generation: j.snapshot.Generation,
	}
}

// copyBufferSize is the size of the buffer that forwards response bodies.
const copyBufferSize = 16 << 10

// forwardResponse forwards a response to the caller. The response is complete only if the
// agent's trailer says so: a connection that ends early can look like the end of the body.
func (a *agentDispatch) forwardResponse(ctx context.Context, out serving.Caller, resp *http.Response) serving.Attempt {
	h := resp.Header
	h.Del(upstream.LoadHeader)
	h.Set(idempotencyHeader, a.job.key)
	h.Set(contract.RequestIDHeader, a.job.key)
	if err := out.Begin(resp.StatusCode, h); err != nil {
		return serving.Attempt{Result: serving.CallerGone, Detail: err.Error()}
	}
	err := copyBody(out, resp.Body)
	o, ok := contract.OutcomeOf(resp.Trailer)
	if err != nil || !ok {
		return lostAttempt(ctx, errors.Join(err, errors.New("response without a valid outcome trailer")), serving.Broken)
	}
	a.outcome, a.conclusive = o, true
	if !o.Complete {
		return serving.Attempt{Result: serving.Refused, Detail: string(o.Kind)}
	}
	return serving.Attempt{Result: serving.Complete}
}

// copyBody forwards the body and flushes after each read.
func copyBody(out serving.Caller, body io.Reader) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := out.WriteChunk(buf[:n]); werr != nil {
				return werr
			}
			if ferr := out.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
