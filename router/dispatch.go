package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/agent"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/upstream"
	"github.com/arbutusmill/arbutusmill/vm"
)

// maxTries bounds the upstreams that one request is sent to. Another one is tried
// only while nothing was passed to the caller. A second run of one request is not
// billed twice, and what may run only once is claimed before it runs.
const maxTries = 3

// maxUnreached bounds the upstreams that could not even be reached: a list that lags
// names some that are gone, and trying them costs little.
const maxUnreached = 8

// attempt is what one upstream made of a request.
type attempt struct {
	started bool // the caller has got something
	reached bool // the agent may have got the request
	known   bool // the outcome is the agent's own word
	outcome contract.Outcome
	refusal *contract.Refusal
}

// dispatch sends the request to an upstream and its answer to the caller.
func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, j *job) {
	tried := map[string]bool{}
	var last, unsure vm.VM
	at := attempt{known: true, refusal: contract.Refuse(contract.NoUpstream, "no upstream of %s is live", j.service.Name)}
	reached := 0
	for reached < maxTries && len(tried) < maxTries+maxUnreached && j.body.again() {
		chosen, done, ok := r.chooser.Pick(r.base.View.Agents(j.service.Name), j.prefixKey, tried)
		if !ok {
			break
		}
		tried[chosen.ID] = true
		last = chosen
		at = r.try(w, req, j, chosen)
		done(at.answered())
		if at.reached {
			reached++
		}
		if !at.known {
			unsure = chosen
		}
		if !at.tryOther(req.Context()) {
			break
		}
		r.metrics.retries.Inc()
	}
	// Guard against a false "not run": an earlier upstream may have run the
	// request although the last one refused it.
	if unsure.ID != "" && at.known && at.refusal != nil && !at.started {
		last = unsure
		at = attempt{refusal: contract.Refuse(contract.OutcomeUnknown, "%s did not answer", unsure.ID)}
	}
	r.conclude(w, j, last, at)
}

// answered reports whether the upstream is in working order.
func (a attempt) answered() bool {
	return a.reached && a.known && a.outcome.Kind != contract.UpstreamFailed
}

// tryOther reports whether another upstream may help.
func (a attempt) tryOther(ctx context.Context) bool {
	if a.started || a.refusal == nil || ctx.Err() != nil {
		return false
	}
	k := a.refusal.Kind
	return !a.known || k.Answer().TryOther || k == contract.NoUpstream || k == contract.UpstreamFailed
}

// conclude settles the books and ends the answer.
func (r *Router) conclude(w http.ResponseWriter, j *job, last vm.VM, at attempt) {
	if at.known {
		r.settle(j, at.outcome)
	} else {
		r.limbo.add(j, last)
	}
	if at.refusal == nil {
		return
	}
	if !at.started {
		r.refuse(w, j, at.refusal)
		return
	}
	// Guard against a cut answer that looks whole: ending the handler normally
	// would end the body as if that were all. Aborting breaks the connection,
	// so that the caller's client reports the cut.
	r.metrics.cut.Inc()
	r.log.Warn().Str("id", j.key).Str("kind", string(at.refusal.Kind)).Msg("answer_cut")
	panic(http.ErrAbortHandler)
}

// try sends the request to one upstream.
func (r *Router) try(w http.ResponseWriter, req *http.Request, j *job, chosen vm.VM) attempt {
	ctx, cancel := context.WithTimeout(req.Context(), j.left())
	defer cancel()
	out, err := r.workRequest(ctx, req, j, chosen)
	if err != nil {
		return attempt{known: true, refusal: contract.Refuse(contract.Internal, "%v", err)}
	}
	sent := &hop.Sent{}
	resp, err := r.work.Do(out.WithContext(sent.Trace(ctx)))
	switch {
	case err != nil && !sent.Connected():
		return attempt{known: true, refusal: contract.Refuse(contract.NoUpstream, "%s could not be reached", chosen.ID)}
	case err != nil:
		return r.failed(ctx, err)
	}
	defer resp.Body.Close()
	if load, ok := upstream.ParseLoad(resp.Header.Get(upstream.LoadHeader)); ok {
		r.chooser.Report(chosen.ID, load)
	}
	if k := contract.Kind(resp.Header.Get(contract.RefusalHeader)); k != "" {
		return r.refusedBy(chosen, k, resp.Header.Get(contract.FencedHeader))
	}
	return r.pass(ctx, w, resp, j)
}

// failed is a request whose agent did not answer. Whether it ran is not known: the
// connection may have broken after the agent got it.
func (r *Router) failed(ctx context.Context, err error) attempt {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt{reached: true, refusal: contract.Refuse(contract.TimedOut, "no answer in time")}
	}
	return attempt{reached: true, refusal: contract.Refuse(contract.OutcomeUnknown, "the upstream's agent did not answer: %v", err)}
}

// refusedBy is a request that an agent refused, on the agent's own word.
func (r *Router) refusedBy(chosen vm.VM, k contract.Kind, fenced string) attempt {
	switch {
	case k == contract.Stopping:
		r.base.View.MarkLeaving(chosen.ID)
	case k == contract.Fenced && fenced == r.holder.ID():
		r.holder.Fence()
	case k == contract.Fenced:
		r.holder.ShutOut(fenced)
	}
	return attempt{reached: true, known: true, refusal: contract.Refuse(k, "refused by %s", chosen.ID)}
}

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
func (r *Router) pass(ctx context.Context, w http.ResponseWriter, resp *http.Response, j *job) attempt {
	h := w.Header()
	hop.CopyHeaders(h, resp.Header)
	h.Del(upstream.LoadHeader)
	h.Set(idempotencyHeader, j.key)
	h.Set(contract.RequestIDHeader, j.key)
	w.WriteHeader(resp.StatusCode)
	err := r.copy(w, resp.Body)
	o, ok := contract.OutcomeOf(resp.Trailer)
	if err != nil || !ok {
		at := r.failed(ctx, errors.Join(err, errors.New("the answer has no end")))
		at.started = true
		return at
	}
	at := attempt{started: true, reached: true, known: true, outcome: o}
	if !o.Whole {
		at.refusal = contract.Refuse(o.Kind, "the upstream's answer was cut")
	}
	return at
}

// copy passes the body on piece by piece. A caller that takes no piece within the
// write timeout is cut off, so that slow callers hold bounded memory.
func (r *Router) copy(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	timeout := time.Duration(r.base.Settings.Limits.WriteTimeout)
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(timeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
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
