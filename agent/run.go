package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/witness"
	"github.com/arbutusmill/arbutusmill/hop"
)

// WorkPath is the path prefix of requests to an agent; the upstream's path follows.
const WorkPath = "/work"

// run is one request in the agent. Its methods follow in the order in which they are
// called; each either continues or ends the request.
type run struct {
	agent   *Agent
	work    contract.Work
	w       http.ResponseWriter
	r       *http.Request
	started bool // the response headers were sent
}

// ServeWork handles one request of a router.
func (a *Agent) ServeWork(w http.ResponseWriter, r *http.Request) {
	work, err := contract.WorkOf(r.Header)
	if err != nil {
		a.refuse(w, work, contract.Refuse(contract.BadRequest, "%s: %v", contract.WorkHeader, err))
		return
	}
	if !a.beginRequest() {
		a.refuse(w, work, contract.Refuse(contract.Stopping, "agent %s is leaving", a.id))
		return
	}
	defer a.endRequest()
	t := &run{agent: a, work: work, w: w, r: r}
	if refusal := t.admit(); refusal != nil {
		a.refuse(w, work, refusal)
	}
}

// refuse logs and writes a refusal, with the current load in the headers.
func (a *Agent) refuse(w http.ResponseWriter, work contract.Work, r *contract.Refusal) {
	a.metrics.refused(r.Kind)
	a.log.Info().Str("id", work.ID).Str("kind", string(r.Kind)).Str("why", r.Message).Msg("refused")
	w.Header().Set(contract.RefusalHeader, string(r.Kind))
	a.load().set(w.Header())
	r.Write(w, work.ID)
}

// admit acquires what the request needs and runs it. The order is a place in the outbox, a
// slot, the witness's record, so that a refusal leaves nothing behind.
func (t *run) admit() *contract.Refusal {
	a := t.agent
	a.witness.Trim(t.work.Reservation.Budget, t.work.Watermarks)
	if err := a.outbox.Admit(); err != nil {
		return contract.Refuse(contract.ChargeBacklog, "%v", err)
	}
	deadline := time.Now().Add(t.work.Timeout())
	release, refusal := a.queue.Acquire(t.r.Context(), t.work.Class, t.work.Team, t.work.Timeout())
	if refusal != nil {
		a.outbox.Cancel()
		return refusal
	}
	defer release()
	run := witness.Run{ID: t.work.ID, Spender: t.work.Spender, Reservation: t.work.Reservation}
	if err := a.witness.Begin(run); err != nil {
		a.outbox.Cancel()
		return t.beginRefusal(err)
	}
	ctx, cancel := t.runContext(deadline)
	defer cancel()
	return t.execute(ctx)
}

// beginRefusal maps the witness's errors to refusals. The response names a fenced holder,
// so that the router can tell whether it is fenced itself or a peer whose lot it used.
func (t *run) beginRefusal(err error) *contract.Refusal {
	kind := contract.ChargeBacklog
	var fenced *witness.FencedError
	switch {
	case errors.As(err, &fenced):
		kind = contract.Fenced
		t.w.Header().Set(contract.FencedHeader, fenced.Holder)
	case errors.Is(err, witness.ErrRunning):
		kind = contract.InProgress
	case errors.Is(err, witness.ErrCancelled):
		kind = contract.DeadlineTooShort
	}
	return contract.Refuse(kind, "%v", err)
}

// runContext returns the run's context, which ends at the deadline. An idempotent request
// also ends when its caller disconnects; another one continues, so that its claim can keep
// the response.
func (t *run) runContext(deadline time.Time) (context.Context, context.CancelFunc) {
	parent := t.r.Context()
	if !t.work.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, deadline)
}

// execute runs the request, under a durable claim if it is not idempotent.
func (t *run) execute(ctx context.Context) *contract.Refusal {
	if t.work.Idempotent {
		return t.finish(t.forward(ctx, routerSink{t}))
	}
	return t.agent.runOnce(ctx, t)
}

// finish records the usage, queues the charge and sets the trailer. It returns the refusal
// only if the response has not started.
func (t *run) finish(o contract.Outcome, refusal *contract.Refusal) *contract.Refusal {
	a := t.agent
	a.witness.End(t.work.ID, o.Billed())
	t.charge(o)
	a.metrics.recordEnd(t.work, o)
	reason := ""
	if refusal != nil {
		reason = refusal.Message
	}
	a.log.Info().Str("id", t.work.ID).Str("service", t.work.Service).Int64("tokens", o.Used).
		Bool("whole", o.Complete).Str("kind", string(o.Kind)).Str("why", reason).Msg("ended")
	if refusal != nil && !t.started {
		return refusal
	}
	o.SetTrailer(t.w.Header())
	return nil
}

// charge puts the charge into the outbox, or releases its place there.
func (t *run) charge(o contract.Outcome) {
	if o.Billed() == 0 {
		t.agent.outbox.Cancel()
		return
	}
	t.agent.outbox.Put(ledger.Charge{
		ID: t.work.ID, Team: t.work.Team, Budget: t.work.Reservation.Budget, Service: t.work.Service,
		Tokens: o.Used, Floor: t.work.Floor, Unix: time.Now().Unix(),
	})
}

// forward sends the request to the upstream and the response to the sink.
func (t *run) forward(ctx context.Context, to sink) (contract.Outcome, *contract.Refusal) {
	path := strings.TrimPrefix(t.r.URL.RequestURI(), WorkPath)
	var tracker hop.ConnTracker
	resp, err := t.agent.upstream.call(tracker.Trace(ctx), t.r, path)
	if err != nil {
		return t.failed(ctx, err, 0)
	}
	defer resp.Body.Close()
	switch {
	case t.work.Engine && refusesLoad(resp.StatusCode):
		// net/http keeps the connection of a response without a body, and a later refusal there would prove nothing.
		t.agent.upstream.client.CloseIdleConnections()
		return engineRefusal(resp.StatusCode, tracker.Reused())
	case t.work.Engine:
		return t.forwardEngine(ctx, resp, to)
	}
	if err := copyPlainResponse(resp, to); err != nil {
		return t.failed(ctx, err, t.capUsage(t.work.Price))
	}
	return contract.Outcome{Used: t.capUsage(t.work.Price), Complete: true}, nil
}

// refusesLoad reports whether an engine's status means that it takes no request now.
func refusesLoad(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// engineRefusal returns the end of a request that the engine refused. It proves that the request did not run only on a new
// connection: on a reused one it may be the copy of an earlier answer.
func engineRefusal(status int, reused bool) (contract.Outcome, *contract.Refusal) {
	kind := contract.Overloaded
	if reused {
		kind = contract.UpstreamFailed
	}
	return contract.Outcome{Kind: kind}, contract.Refuse(kind, "the engine refused the request with status %d", status)
}

func (t *run) forwardEngine(ctx context.Context, resp *http.Response, to sink) (contract.Outcome, *contract.Refusal) {
	if resp.StatusCode != http.StatusOK {
		// An error response of an engine generated no tokens.
		return contract.Outcome{Complete: true}, copyErrorResponse(resp, to)
	}
	m, err := copyEngineResponse(resp, t.work.OutputLimit, to)
	used := t.capUsage(m.Billed())
	if err != nil {
		return t.failed(ctx, err, used)
	}
	return contract.Outcome{Used: used, Complete: true}, nil
}

func copyErrorResponse(resp *http.Response, to sink) *contract.Refusal {
	if err := copyPlainResponse(resp, to); err != nil {
		return contract.Refuse(contract.UpstreamFailed, "%v", err)
	}
	return nil
}

// capUsage guards against an engine that reports more tokens than were reserved, which
// would appear as spending beyond the budget: the bill is capped at the reservation, and
// the excess is counted as the operator's loss.
func (t *run) capUsage(used int64) int64 {
	reserved := t.work.Reservation.Tokens()
	if used > reserved {
		t.agent.metrics.overrun.Add(int(used - reserved))
		return reserved
	}
	return used
}

// failed maps an error to an outcome. The request is reported as not run only if the
// upstream was not reached.
func (t *run) failed(ctx context.Context, err error, used int64) (contract.Outcome, *contract.Refusal) {
	kind := contract.UpstreamFailed
	switch {
	case errors.Is(err, errUnreached):
		kind = contract.NoUpstream
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = contract.TimedOut
	case !t.work.Idempotent:
		kind = contract.OutcomeUnknown
	}
	return contract.Outcome{Used: used, Kind: kind}, contract.Refuse(kind, "%v", err)
}

// routerSink forwards a response to the router as it arrives.
type routerSink struct{ t *run }

func (s routerSink) start(status int, header http.Header) {
	h := s.t.w.Header()
	hop.CopyHeaders(h, header)
	h.Del("Content-Length")
	h.Set("Trailer", contract.OutcomeTrailer)
	s.t.agent.load().set(h)
	s.t.started = true
	s.t.w.WriteHeader(status)
}

func (s routerSink) write(chunk []byte) error {
	if _, err := s.t.w.Write(chunk); err != nil {
		return err
	}
	return http.NewResponseController(s.t.w).Flush()
}
