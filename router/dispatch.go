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

// maxTries bounds the upstreams that one request is sent to. Another one is tried
// only while nothing was passed to the caller. A second run of one request is not
// billed twice, and what may run only once is claimed before it runs, so to the path of
// requests all work of agents is idempotent.
const maxTries = 3

// agentRoute is the route of all requests that go through agents.
var agentRoute = &catalog.Route{Kind: catalog.Safe, MaxRuns: maxTries}

// agents is the dialect of agents for one request: it implements serving.Upstreams,
// serving.Budgets and serving.Repeats.
type agents struct {
	*Router
	job *job
	req *http.Request
	// outcome is what the last agent that answered said of the request.
	outcome contract.Outcome
	// last is the agent that was tried last, unsure the last one that did not say
	// what became of the request.
	last, unsure vm.VM
	// served says that the last agent's word is final, whatever became of earlier runs.
	served bool
	byID   map[string]vm.VM
}

// dispatch sends the request to an upstream and its answer to the caller.
func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, j *job) {
	a := &agents{Router: r, job: j, req: req, byID: map[string]vm.VM{}}
	path := serving.Dispatcher{Upstreams: a, Budgets: a, RetryBudget: a, Now: time.Now}
	out := serving.NewHTTPCaller(w, time.Duration(r.base.Settings.Limits.WriteTimeout), true)
	end := path.Serve(req.Context(), &serving.Request{
		ID: j.key, Team: j.team.Name, Route: agentRoute, Service: catalog.Service{Name: j.service.Name},
		Arrived: j.arrived, Deadline: j.arrived.Add(time.Duration(j.service.Timeout)),
	}, out)
	switch {
	case end.Truncated:
		// Guard against a cut answer that looks whole: ending the handler normally
		// would end the body as if that were all. Aborting breaks the connection,
		// so that the caller's client reports the cut.
		r.metrics.cut.Inc()
		r.log.Warn().Str("id", j.key).Str("agent", a.last.ID).Msg("answer_cut")
		panic(http.ErrAbortHandler)
	case end.Refusal != nil:
		r.refuse(w, j, end.Refusal)
	}
}

// Pick implements serving.Upstreams.
func (a *agents) Pick(_ *serving.Request, attempts []serving.Attempt) (serving.Target, bool) {
	tried := map[string]bool{}
	for _, at := range attempts {
		tried[at.Upstream.ID] = true
	}
	if !a.job.body.again() {
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
	return serving.Target{Life: directory.Incarnation{ID: chosen.ID}, Address: chosen.Work, Event: func(time.Time) {},
		Done: func(at serving.Attempt) serving.Attempt {
			done(answered(at.Result))
			return at
		}}, true
}

// answered reports whether a result shows the upstream in working order.
func answered(r serving.Result) bool {
	return r == serving.Complete || r == serving.Declined || r == serving.Refused
}

// Limited implements serving.Upstreams. Agents name no limits.
func (a *agents) Limited(*serving.Request, []serving.Attempt) *contract.Refusal { return nil }

// Send implements serving.Upstreams.
func (a *agents) Send(ctx context.Context, _ *serving.Request, t serving.Target, out serving.Caller) serving.Attempt {
	a.last = a.byID[t.Life.ID]
	a.served = false
	at := a.send(ctx, out)
	at.Upstream = t.Life
	if !at.Result.NotRun() && !a.served {
		a.unsure = a.last
	}
	return at
}

func (a *agents) send(ctx context.Context, out serving.Caller) serving.Attempt {
	req, err := a.workRequest(ctx, a.req, a.job, a.last)
	if err != nil {
		return serving.Attempt{Result: serving.Refused, Refusal: contract.Refuse(contract.Internal, "%v", err)}
	}
	sent := &hop.Sent{}
	resp, err := a.work.Do(req.WithContext(sent.Trace(ctx)))
	switch {
	case err != nil && !sent.Connected():
		return serving.Attempt{Result: serving.Unreached, Detail: err.Error()}
	case err != nil:
		return lost(ctx, err, serving.Unknown)
	}
	defer resp.Body.Close()
	if load, ok := upstream.ParseLoad(resp.Header.Get(upstream.LoadHeader)); ok {
		a.chooser.Report(a.last.ID, load)
	}
	if k := contract.Kind(resp.Header.Get(contract.RefusalHeader)); k != "" {
		return a.refusedBy(k, resp.Header.Get(contract.FencedHeader))
	}
	return a.pass(ctx, out, resp)
}

// lost is a request whose agent did not say what became of it: the connection may have
// broken after the agent got it.
func lost(ctx context.Context, err error, result serving.Result) serving.Attempt {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = serving.OutOfTime
	case ctx.Err() != nil:
		result = serving.CallerGone
	}
	return serving.Attempt{Result: result, Detail: err.Error()}
}

// refusedBy is a request that an agent refused, on the agent's own word.
func (a *agents) refusedBy(k contract.Kind, fenced string) serving.Attempt {
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
		at.Result, a.served = serving.Failed, true
	case k.Answer().TryOther || k == contract.NoUpstream:
		at.Result = serving.Declined
	}
	return at
}

// Reserve implements serving.Budgets. The tokens were set aside before; what is settled
// is the agent's own outcome, or, while that is not known, nothing yet.
func (a *agents) Reserve(context.Context, *serving.Request) (func(int64), *contract.Refusal) {
	return func(int64) {
		// Guard against a false "not run": an earlier upstream may have run the
		// request although the last one refused it.
		if a.unsure.ID != "" && !a.served {
			a.lost.add(a.job, a.unsure)
			return
		}
		a.settle(a.job, a.outcome)
	}, nil
}

// Request implements serving.Repeats: the number of tries is the only bound here.
func (a *agents) Request(string) {}

// Allow implements serving.Repeats.
func (a *agents) Allow(*serving.Request) bool { return true }

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
		Floor: r.outbox.Floor(j.team.Name), Class: j.class, TimeoutMS: j.left().Milliseconds(),
		Idempotent: j.idempotent, Engine: j.engine, Price: j.service.PriceTokens,
		OutputLimit: j.outputLimit, Generation: j.snapshot.Generation,
	}
}

// copyBuffer is the piece in which answers are passed on.
const copyBuffer = 16 << 10

// pass sends an answer to the caller. It is whole only when the agent's trailer says
// so: a connection that ends early can look like the end of the body.
func (a *agents) pass(ctx context.Context, out serving.Caller, resp *http.Response) serving.Attempt {
	h := resp.Header
	h.Del(upstream.LoadHeader)
	h.Set(idempotencyHeader, a.job.key)
	h.Set(contract.RequestIDHeader, a.job.key)
	if err := out.Begin(resp.StatusCode, h); err != nil {
		return serving.Attempt{Result: serving.CallerGone, Detail: err.Error()}
	}
	err := copyPieces(out, resp.Body)
	o, ok := contract.OutcomeOf(resp.Trailer)
	if err != nil || !ok {
		return lost(ctx, errors.Join(err, errors.New("the answer has no end")), serving.Broken)
	}
	a.outcome, a.served = o, true
	if !o.Whole {
		return serving.Attempt{Result: serving.Refused, Detail: string(o.Kind)}
	}
	return serving.Attempt{Result: serving.Complete}
}

// copyPieces passes the body on piece by piece.
func copyPieces(out serving.Caller, body io.Reader) error {
	buf := make([]byte, copyBuffer)
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
