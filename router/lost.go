package router

import (
	"context"
	"sync"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/vm"
)

// lostRequests holds the requests whose outcome this router did not receive: the connection
// to the agent broke, or the caller disconnected. Their reservations stay open until the
// agent reports the outcome.
type lostRequests struct {
	mu   sync.Mutex
	jobs map[string]lostJob
}

type lostJob struct {
	job   *job
	agent vm.VM
}

func (l *lostRequests) add(j *job, agent vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == nil {
		l.jobs = map[string]lostJob{}
	}
	l.jobs[j.id()+"@"+agent.ID] = lostJob{job: j, agent: agent}
}

func (l *lostRequests) list() map[string]lostJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]lostJob, len(l.jobs))
	for k, v := range l.jobs {
		out[k] = v
	}
	return out
}

func (l *lostRequests) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, key)
}

func (l *lostRequests) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}

// resolveLost queries the agents for the outcomes of lost requests. An agent that does not
// reply is queried only once per round; otherwise its timeouts would delay all the others.
func (r *Router) resolveLost(ctx context.Context) {
	unresponsive := map[string]bool{}
	for key, lost := range r.lost.list() {
		if unresponsive[lost.agent.ID] {
			continue
		}
		done, replied := r.resolve(ctx, lost)
		unresponsive[lost.agent.ID] = !replied
		if done {
			r.lost.remove(key)
		}
	}
}

// resolve settles one lost request if its outcome can be determined. If the agent has no
// record of the request, it never began it and never will, unless the agent has restarted:
// then the previous incarnation's record is lost. What that incarnation served is unknown,
// and its charge may be in the ledger. The whole reservation then counts as used, so that
// no token is spent twice, and this router does not bill the caller.
func (r *Router) resolve(ctx context.Context, lost lostJob) (done, replied bool) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var out link.OutcomeReply
	err := r.base.Links.Call(ctx, lost.agent.Link, link.MethodOutcome, link.OutcomeRequest{Reservation: lost.job.reservation}, &out)
	if err != nil {
		return r.strandIfGone(ctx, lost), false
	}
	if out.Running {
		return false, true
	}
	if !out.Known && r.agentStateLost(ctx, lost) {
		r.strand(lost)
		return true, true
	}
	r.settle(lost.job, contract.Outcome{Used: out.Used})
	return true, true
}

// agentStateLost reports whether an incarnation of the agent may have ended, and lost its
// state, since the request began.
func (r *Router) agentStateLost(ctx context.Context, lost lostJob) bool {
	incarnations, err := r.base.Incarnations.All(ctx)
	if err != nil {
		return true
	}
	for _, e := range incarnations {
		if e.VM == lost.agent.ID {
			return e.LostSince(lost.job.revision)
		}
	}
	return false
}

// strandIfGone strands the request if its agent's VM is gone permanently.
func (r *Router) strandIfGone(ctx context.Context, lost lostJob) bool {
	if _, listed := r.base.View.Get(lost.agent.ID); listed {
		return false
	}
	incarnations, err := r.base.Incarnations.All(ctx)
	if err != nil {
		return false
	}
	for _, e := range incarnations {
		if e.VM == lost.agent.ID && e.Gone {
			r.strand(lost)
			return true
		}
	}
	return false
}

// strand counts the whole reservation as used, without billing it.
func (r *Router) strand(lost lostJob) {
	n := lost.job.reservation.Tokens()
	r.holder.Settle(lost.job.arrived, lost.job.reservation, n)
	r.outbox.Cancel()
	r.metrics.stranded.Add(int(n))
	r.log.Warn().Str("id", lost.job.id()).Str("agent", lost.agent.ID).Int64("tokens", n).
		Str("kind", string(contract.OutcomeUnknown)).Msg("outcome_lost")
}
