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

// WorkPath is the prefix of an agent's requests; the upstream's path follows.
const WorkPath = "/work"

// run is one request on its way through the agent. Its steps follow in the order in
// which ServeWork calls them; each either goes on or ends the request.
type run struct {
	agent   *Agent
	work    contract.Work
	w       http.ResponseWriter
	r       *http.Request
	started bool // the answer's head was sent
}

// ServeWork handles one request of a router.
func (a *Agent) ServeWork(w http.ResponseWriter, r *http.Request) {
	work, err := contract.WorkOf(r.Header)
	if err != nil {
		a.refuse(w, work, contract.Refuse(contract.BadRequest, "%s: %v", contract.WorkHeader, err))
		return
	}
	if !a.enter() {
		a.refuse(w, work, contract.Refuse(contract.Stopping, "agent %s is leaving", a.id))
		return
	}
	defer a.leave()
	t := &run{agent: a, work: work, w: w, r: r}
	if refusal := t.admit(); refusal != nil {
		a.refuse(w, work, refusal)
	}
}

// refuse answers that the request was not run here, and why.
func (a *Agent) refuse(w http.ResponseWriter, work contract.Work, r *contract.Refusal) {
	a.metrics.refused(r.Kind)
	a.log.Info().Str("id", work.ID).Str("kind", string(r.Kind)).Str("why", r.Message).Msg("refused")
	w.Header().Set(contract.RefusalHeader, string(r.Kind))
	a.load().set(w.Header())
	r.Write(w, work.ID)
}

// admit takes what the request needs, in the order that leaves nothing behind when
// a step refuses: room for the charge, a slot, the witness's entry.
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
	ctx, cancel := t.context(deadline)
	defer cancel()
	return t.claimed(ctx)
}

// beginRefusal maps the witness's errors. A fenced holder is named, so that the
// router knows whether it is shut out itself or a peer whose lot it used.
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

// context bounds the run. A request that may be repeated ends with its caller; one
// that may not is brought to its end, so that its claim can keep the answer.
func (t *run) context(deadline time.Time) (context.Context, context.CancelFunc) {
	parent := t.r.Context()
	if !t.work.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, deadline)
}

// claimed runs the request, behind a durable claim if it is not idempotent.
func (t *run) claimed(ctx context.Context) *contract.Refusal {
	if t.work.Idempotent {
		return t.finish(t.pass(ctx, passThrough{t}))
	}
	return t.agent.once(ctx, t)
}

// finish ends the run's books: what it used, its charge, and the trailer. A refusal
// is returned when the request had no effect and nothing was sent.
func (t *run) finish(o contract.Outcome, refusal *contract.Refusal) *contract.Refusal {
	a := t.agent
	a.witness.End(t.work.ID, o.Billed())
	t.charge(o)
	a.metrics.ended(t.work, o)
	why := ""
	if refusal != nil {
		why = refusal.Message
	}
	a.log.Info().Str("id", t.work.ID).Str("service", t.work.Service).Int64("tokens", o.Used).
		Bool("whole", o.Whole).Str("kind", string(o.Kind)).Str("why", why).Msg("ended")
	if refusal != nil && !t.started {
		return refusal
	}
	o.SetTrailer(t.w.Header())
	return nil
}

// charge hands the charge to the outbox, or gives its room back.
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

// pass sends the request to the upstream and its answer to the sink.
func (t *run) pass(ctx context.Context, to sink) (contract.Outcome, *contract.Refusal) {
	path := strings.TrimPrefix(t.r.URL.RequestURI(), WorkPath)
	resp, err := t.agent.upstream.call(ctx, t.r, path)
	if err != nil {
		return t.failed(ctx, err, 0)
	}
	defer resp.Body.Close()
	if t.work.Engine {
		return t.passEngine(ctx, resp, to)
	}
	if err := passPlain(resp, to); err != nil {
		return t.failed(ctx, err, t.cap(t.work.Price))
	}
	return contract.Outcome{Used: t.cap(t.work.Price), Whole: true}, nil
}

func (t *run) passEngine(ctx context.Context, resp *http.Response, to sink) (contract.Outcome, *contract.Refusal) {
	if resp.StatusCode != http.StatusOK {
		// An engine's error answer generated nothing.
		return contract.Outcome{Whole: true}, passPlainRefusal(resp, to)
	}
	m, err := passEngine(resp, t.work.OutputLimit, to)
	used := t.cap(m.Billed())
	if err != nil {
		return t.failed(ctx, err, used)
	}
	return contract.Outcome{Used: used, Whole: true}, nil
}

func passPlainRefusal(resp *http.Response, to sink) *contract.Refusal {
	if err := passPlain(resp, to); err != nil {
		return contract.Refuse(contract.UpstreamFailed, "%v", err)
	}
	return nil
}

// cap guards against an engine that reports more tokens than were reserved, which
// would show as spend beyond the budget: the bill ends at the reservation, and the
// rest is counted as the operator's loss.
func (t *run) cap(used int64) int64 {
	most := t.work.Reservation.Tokens()
	if used > most {
		t.agent.metrics.overrun.Add(int(used - most))
		return most
	}
	return used
}

// failed maps an error to an outcome. Only an upstream that was not reached makes
// "not run" true.
func (t *run) failed(ctx context.Context, err error, used int64) (contract.Outcome, *contract.Refusal) {
	kind := contract.UpstreamFailed
	switch {
	case errors.Is(err, errNotSent):
		kind = contract.NoUpstream
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = contract.TimedOut
	case !t.work.Idempotent:
		kind = contract.OutcomeUnknown
	}
	return contract.Outcome{Used: used, Kind: kind}, contract.Refuse(kind, "%v", err)
}

// passThrough sends an answer to the router as it comes.
type passThrough struct{ t *run }

func (p passThrough) start(status int, header http.Header) {
	h := p.t.w.Header()
	hop.CopyHeaders(h, header)
	h.Del("Content-Length")
	h.Set("Trailer", contract.OutcomeTrailer)
	p.t.agent.load().set(h)
	p.t.started = true
	p.t.w.WriteHeader(status)
}

func (p passThrough) write(piece []byte) error {
	if _, err := p.t.w.Write(piece); err != nil {
		return err
	}
	return http.NewResponseController(p.t.w).Flush()
}
