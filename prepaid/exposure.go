package prepaid

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/link"
)

const (
	// exposureLookahead is how far in advance a lender's exposure limits are raised. A team may lose
	// twice this time of one router's demand when a lender and that router die together.
	exposureLookahead = 100 * time.Millisecond
	// exposureInterval is the pause between two checks for limits that are nearly reached.
	exposureInterval = 50 * time.Millisecond
	// witnessTimeout bounds one message to a witness.
	witnessTimeout = 300 * time.Millisecond
	// appointInterval is the pause between two checks for witnesses that are gone.
	appointInterval = time.Second
	// replaceWitnessAfter is the time without an answer after which a witness is replaced.
	replaceWitnessAfter = 2 * time.Second
	// limitsRetention is how long a witness keeps the limits of a lender that is gone: longer
	// than an outage of the store can delay the settlement of a dead lender.
	limitsRetention = 10 * time.Minute
	// forgetInterval is the pause between two checks for lenders whose limits can be dropped.
	forgetInterval = time.Minute
)

// newExposure returns the manager of this lender's exposure limits.
func (b *Budgets) newExposure() *settlement.Exposure {
	return &settlement.Exposure{Holder: b.holder, Registry: b.registry, Notify: b.notifyWitness,
		Timeout: witnessTimeout, Lookahead: exposureLookahead, Now: time.Now}
}

// startExposure starts the periodic tasks of witnesses, and those of lenders.
func (b *Budgets) startExposure(every func(time.Duration, func(context.Context))) {
	every(forgetInterval, b.forgetLimits)
	if b.exposure != nil {
		every(exposureInterval, b.raiseExposureLimits)
		every(appointInterval, b.keepWitnesses)
	}
}

func (b *Budgets) raiseExposureLimits(ctx context.Context) {
	if len(b.exposure.Witnesses()) > 0 {
		_ = b.exposure.RaiseLimits(ctx) // notifyWitness logs the witnesses that do not answer
	}
}

// notifyWitness sends limits to a witness. One that failed is skipped until it answers a probe.
func (b *Budgets) notifyWitness(ctx context.Context, witness string, notice settlement.Notice) error {
	o := b.peerOutages.of(witness)
	if o.ongoing() {
		return link.Error.Wrap(link.ErrDown)
	}
	err := b.endpoint.SendLimits(ctx, witness, notice)
	b.recordOutage(o, "witness", witness, err, link.ErrDown)
	return err
}

// queryWitness requests a dead lender's limits from a witness, which may be this process.
func (b *Budgets) queryWitness(ctx context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
	if witness == b.holder.ID() {
		return b.witness.Limits(lender, term), nil
	}
	return b.endpoint.AskLimits(ctx, witness, link.LimitsRequest{Witness: witness, Lender: lender, Term: term})
}

// applyWitnessNotice stores another lender's limits.
func (b *Budgets) applyWitnessNotice(_ context.Context, in settlement.Notice) (link.Empty, error) {
	return link.Empty{}, b.witness.Apply(time.Now(), in)
}

// answerLimits answers only for this incarnation: the limits that an earlier one received are lost.
func (b *Budgets) answerLimits(_ context.Context, in link.LimitsRequest) (settlement.WitnessAnswer, error) {
	if in.Witness != b.holder.ID() {
		return settlement.WitnessAnswer{}, nil
	}
	return b.witness.Limits(in.Lender, in.Term), nil
}

// handOverLimits sends the limits of lenders that have left to another lender: if those of one of a lender's witnesses are missing after a
// restoration of the store, the use of routers that have ended is unknown.
func (b *Budgets) handOverLimits(ctx context.Context) {
	var sent sync.WaitGroup
	for _, notice := range b.witness.Close(b.hasLeft) {
		sent.Go(func() { b.handOver(ctx, notice) })
	}
	sent.Wait()
}

// handOver sends limits to the first lender that accepts them.
func (b *Budgets) handOver(ctx context.Context, notice settlement.Notice) {
	ranked := b.members.Rank(notice.Lender, RoleLender)
	for _, m := range ranked[:min(maxQueriedLenders, len(ranked))] {
		if m.VM == b.members.Self.VM || m.ID == notice.Lender || b.isUnreachable(m.ID) {
			continue
		}
		if err := b.sendLimits(ctx, m.ID, notice); err != nil {
			b.log.Warn().Err(err).Str("lender", notice.Lender).Str("witness", m.ID).Msg("limits_not_sent") // the next one gets them
			continue
		}
		b.log.Info().Str("lender", notice.Lender).Str("witness", m.ID).Strs("of", notice.Of).Msg("limits_handed_over")
		return
	}
	b.log.Warn().Str("lender", notice.Lender).Msg("limits_not_handed_over") // the lender's limits count as unknown
}

func (b *Budgets) sendLimits(ctx context.Context, witness string, notice settlement.Notice) error {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return b.endpoint.SendLimits(ctx, witness, notice)
}

// hasLeft reports whether a lender has left the list, was replaced or has announced its end.
func (b *Budgets) hasLeft(id string) bool {
	_, listed := b.members.Get(id)
	return !listed || b.hasEnded(id)
}

// forgetLimits drops the limits of lenders that are long gone.
func (b *Budgets) forgetLimits(context.Context) {
	if b.storeOutage.ongoing() {
		return // missing members cannot be detected without the store
	}
	b.witness.Forget(time.Now().Add(-limitsRetention), b.hasLeft)
}

// keepWitnesses appoints witnesses, replaces those that are gone, and sends them the limits that they do not have yet.
func (b *Budgets) keepWitnesses(ctx context.Context) {
	b.appointWitnesses(ctx)
	_ = b.exposure.Inform(ctx) // notifyWitness logs the witnesses that do not answer
}

// appointWitnesses appoints witnesses before anything is lent, and replaces those that are gone.
func (b *Budgets) appointWitnesses(ctx context.Context) {
	if b.storeOutage.ongoing() {
		return
	}
	now := b.exposure.Witnesses()
	next := b.nextWitnesses(b.reachableWitnesses(now), b.members.Rank(b.holder.ID(), RoleLender))
	if len(next) == 0 || slices.Equal(now, next) && !b.reappoint {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	err := b.exposure.Appoint(ctx, next...)
	b.reappoint = err != nil // the store may have accepted the names nevertheless
	switch {
	case errors.Is(err, settlement.ErrSealed):
		b.stopPresumedDead(err)
		return
	case err != nil:
		b.log.Warn().Err(err).Strs("witnesses", next).Msg("witnesses_not_appointed") // retried with the next run
		return
	}
	b.log.Info().Strs("witnesses", next).Strs("before", now).Msg("witnesses_appointed")
}

// reachableWitnesses returns the witnesses that are listed members and answer.
func (b *Budgets) reachableWitnesses(witnesses []string) []member.Member {
	var out []member.Member
	for _, id := range witnesses {
		m, listed := b.members.Get(id)
		unreachable := b.unreachableWitnesses.heldFor(time.Now(), id, b.peerOutages.of(id).ongoing())
		if listed && unreachable < replaceWitnessAfter {
			out = append(out, m)
		}
	}
	return out
}

// isUnreachable reports whether the last call to a member failed.
func (b *Budgets) isUnreachable(id string) bool { return b.peerOutages.of(id).ongoing() }

// maxWitnesses allows one in the lender's data centre, which answers while that is partitioned, and
// one elsewhere, which survives the loss of that data centre.
const maxWitnesses = 2

// chooseWitnesses keeps the reachable witnesses and adds ranked lenders, one in the own data centre
// and one in another if there are any.
func chooseWitnesses(self member.Member, reachable, ranked []member.Member, unreachable func(id string) bool) []string {
	chosen := slices.Clone(reachable)
	local := func(m member.Member) bool { return m.Datacentre == self.Datacentre }
	remote := func(m member.Member) bool { return !local(m) }
	add := func(wanted func(member.Member) bool) {
		if len(chosen) == maxWitnesses || slices.ContainsFunc(chosen, wanted) {
			return
		}
		for _, m := range ranked {
			if m.VM != self.VM && wanted(m) && !unreachable(m.ID) {
				chosen = append(chosen, m)
				return
			}
		}
	}
	add(local)
	add(remote)
	add(func(m member.Member) bool { return !slices.Contains(chosen, m) })
	return sortedIDs(chosen)
}
