package router

import (
	"context"
	"sync"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/vm"
)

// lostRequests holds the requests whose outcome only their agent knows: the connection
// broke, or the caller went away. Their reservations stay open until it is known.
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

// resolveLost asks the agents what became of lost requests. An agent that does not
// answer is asked once a round, or a silent one would hold up all the others.
func (r *Router) resolveLost(ctx context.Context) {
	silent := map[string]bool{}
	for key, lost := range r.lost.list() {
		if silent[lost.agent.ID] {
			continue
		}
		done, answered := r.resolve(ctx, lost)
		silent[lost.agent.ID] = !answered
		if done {
			r.lost.remove(key)
		}
	}
}

// resolve settles one lost request if its outcome can be known. An agent that says
// that it does not know the request never began it and never will, unless it is a new life of that
// agent: then the work of the old one is gone with it. What the old life had served
// is not known; its own charge may be in the ledger. The whole reservation counts
// as used then, so that no token can be spent twice, and the caller is not billed by
// this router.
func (r *Router) resolve(ctx context.Context, lost lostJob) (done, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var out link.OutcomeReply
	err := r.base.Links.Call(ctx, lost.agent.Link, link.MethodOutcome, link.OutcomeRequest{Reservation: lost.job.reservation}, &out)
	if err != nil {
		return r.abandon(ctx, lost), false
	}
	if out.Running {
		return false, true
	}
	if !out.Known && r.lostSince(ctx, lost) {
		r.strand(lost)
		return true, true
	}
	r.settle(lost.job, contract.Outcome{Used: out.Used})
	return true, true
}

// lostSince reports whether the agent had another life since the request began.
func (r *Router) lostSince(ctx context.Context, lost lostJob) bool {
	lives, err := r.base.Lives.All(ctx)
	if err != nil {
		return true
	}
	for _, e := range lives {
		if e.VM == lost.agent.ID {
			return e.LostSince(lost.job.revision)
		}
	}
	return false
}

// abandon gives up on an agent whose VM is gone for good.
func (r *Router) abandon(ctx context.Context, lost lostJob) bool {
	if _, listed := r.base.View.Get(lost.agent.ID); listed {
		return false
	}
	lives, err := r.base.Lives.All(ctx)
	if err != nil {
		return false
	}
	for _, e := range lives {
		if e.VM == lost.agent.ID && e.Gone {
			r.strand(lost)
			return true
		}
	}
	return false
}

// strand counts the whole reservation as used, without a bill.
func (r *Router) strand(lost lostJob) {
	n := lost.job.reservation.Tokens()
	r.holder.Settle(lost.job.arrived, lost.job.reservation, n)
	r.outbox.Cancel()
	r.metrics.stranded.Add(int(n))
	r.log.Warn().Str("id", lost.job.id()).Str("agent", lost.agent.ID).Int64("tokens", n).
		Str("kind", string(contract.OutcomeUnknown)).Msg("outcome_lost")
}
