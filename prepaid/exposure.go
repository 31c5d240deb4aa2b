package prepaid

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/link"
)

const (
	// exposeAhead is for how long a lender's limits of exposure are raised ahead of what it lends.
	// A team may lose twice that of one router's demand when a lender dies together with it.
	exposeAhead = 100 * time.Millisecond
	// exposePause is the pause between two looks for limits that are nearly reached.
	exposePause = 50 * time.Millisecond
	// exposeTimeout bounds one message to a witness.
	exposeTimeout = 300 * time.Millisecond
	// appointPause is the pause between two looks for witnesses that are gone.
	appointPause = time.Second
	// witnessLostFor is the time without an answer after which a witness is replaced.
	witnessLostFor = 2 * time.Second
	// rememberLimits is for how long a witness keeps the limits of a lender that is gone: longer
	// than the settlement of a dead lender can be put off by an outage of the store.
	rememberLimits = 10 * time.Minute
	// forgetPause is the pause between two looks for such lenders.
	forgetPause = time.Minute
)

// newExposure is a lender's side of its limits of exposure.
func (b *Budgets) newExposure() *settlement.Exposure {
	return &settlement.Exposure{Holder: b.holder, Register: b.register, Notify: b.tellWitness,
		Timeout: exposeTimeout, Lookahead: exposeAhead, Now: time.Now}
}

// startExposure starts the duties of witnesses, and those of lenders.
func (b *Budgets) startExposure(every func(time.Duration, func(context.Context))) {
	every(forgetPause, b.forgetLimits)
	if b.exposure != nil {
		every(exposePause, b.keepExposure)
		every(appointPause, b.appointWitnesses)
	}
}

func (b *Budgets) keepExposure(ctx context.Context) {
	if len(b.exposure.Witnesses()) > 0 {
		_ = b.exposure.RaiseLimits(ctx) // witnesses that do not answer are logged by tellWitness
	}
}

// tellWitness does not wait for a witness that failed before it has answered a probe.
func (b *Budgets) tellWitness(ctx context.Context, witness string, notice settlement.Notice) error {
	o := b.peers.of(witness)
	if o.lasts() {
		return link.Error.Wrap(link.ErrDown)
	}
	err := b.desk.Tell(ctx, witness, notice)
	b.noteOutage(o, "witness", witness, err, link.ErrDown)
	return err
}

// askWitness asks a witness, which may be this process, for a dead lender's limits.
func (b *Budgets) askWitness(ctx context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
	if witness == b.holder.ID() {
		return b.witness.Limits(lender, term), nil
	}
	return b.desk.AskLimits(ctx, witness, link.LimitsRequest{Witness: witness, Lender: lender, Term: term})
}

// noteLimits takes another lender's limits.
func (b *Budgets) noteLimits(_ context.Context, in settlement.Notice) (link.Empty, error) {
	return link.Empty{}, b.witness.Apply(time.Now(), in)
}

// testify answers only for this life: what an earlier one was told is not known.
func (b *Budgets) testify(_ context.Context, in link.LimitsRequest) (settlement.WitnessAnswer, error) {
	if in.Witness != b.holder.ID() {
		return settlement.WitnessAnswer{}, nil
	}
	return b.witness.Limits(in.Lender, in.Term), nil
}

// forgetLimits drops the limits of lenders that are long gone.
func (b *Budgets) forgetLimits(context.Context) {
	if b.store.lasts() {
		return // members cannot be told from missing ones now
	}
	b.witness.Forget(time.Now().Add(-rememberLimits), func(lender string) bool {
		_, listed := b.members.Get(lender)
		return !listed
	})
}

// appointWitnesses names witnesses once something is lent, and others in the place of those that
// are gone.
func (b *Budgets) appointWitnesses(ctx context.Context) {
	if !b.register.HasBorrowers() || b.store.lasts() {
		return
	}
	now := b.exposure.Witnesses()
	next := chooseWitnesses(b.members.Self, b.serving(now), b.members.Rank(b.holder.ID(), RoleLender), b.isLost)
	if len(next) == 0 || slices.Equal(now, next) && !b.appointAgain {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	err := b.exposure.Appoint(ctx, next...)
	b.appointAgain = err != nil // the store may have taken the names all the same
	switch {
	case errors.Is(err, settlement.ErrSealed):
		b.takenForDead(err)
		return
	case err != nil:
		b.log.Warn().Err(err).Strs("witnesses", next).Msg("witnesses_not_appointed") // it is tried again
		return
	}
	b.log.Info().Strs("witnesses", next).Strs("before", now).Msg("witnesses_appointed")
}

// serving are the members among the witnesses that are listed and answer.
func (b *Budgets) serving(witnesses []string) []member.Member {
	var out []member.Member
	for _, id := range witnesses {
		m, listed := b.members.Get(id)
		silent := b.silentWitnesses.since(time.Now(), id, b.peers.of(id).lasts())
		if listed && silent < witnessLostFor {
			out = append(out, m)
		}
	}
	return out
}

// isLost reports whether a member did not answer lately.
func (b *Budgets) isLost(id string) bool { return b.peers.of(id).lasts() }

// mostWitnesses is one in the lender's data centre, which answers when that is cut off, and one
// elsewhere, which outlives it.
const mostWitnesses = 2

// chooseWitnesses keeps those that serve and fills up from the ranked lenders, one in the own
// data centre and one in another where there are such.
func chooseWitnesses(self member.Member, serving, ranked []member.Member, lost func(id string) bool) []string {
	chosen := slices.Clone(serving)
	near := func(m member.Member) bool { return m.Datacentre == self.Datacentre }
	far := func(m member.Member) bool { return !near(m) }
	add := func(wanted func(member.Member) bool) {
		if len(chosen) == mostWitnesses || slices.ContainsFunc(chosen, wanted) {
			return
		}
		for _, m := range ranked {
			if m.VM != self.VM && wanted(m) && !lost(m.ID) {
				chosen = append(chosen, m)
				return
			}
		}
	}
	add(near)
	add(far)
	add(func(m member.Member) bool { return !slices.Contains(chosen, m) })
	out := make([]string, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}
