package grant_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against freeing a dead lender's tokens that were used, when borrowers and witnesses die
// with it or are partitioned, and messages between them are lost, repeated and delayed.
func TestNoOverspendWithWitnesses(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		freed := int64(0)
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			f.settleLenders = true
			f.witnesses = []*process{f.start("witness"), f.start("witness")}
			for range rapid.IntRange(1, 100).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // no call continues in the next step
				}
				synctest.Wait()
				f.forgetRemovedRows(t.Context())
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
			freed += f.freedByWitnesses
		})
		require.Positive(t, freed, "some settlement must free tokens by the reports of witnesses")
	})
}

// forgetRemovedRows drops the recorded use of rows that were removed.
func (f *lenderFleet) forgetRemovedRows(ctx context.Context) {
	f.store.SetFaults(memstore.Faults{})
	defer f.store.SetFaults(f.faults)
	item, err := f.store.Get(ctx, f.layout.PageKey(0))
	require.NoError(f.t, err)
	p, err := account.Decode(item.Value)
	require.NoError(f.t, err)
	for holder := range f.usedOf {
		if a := p.Accounts[budget]; a == nil || a.Rows[holder] == nil {
			delete(f.usedOf, holder)
		}
	}
}

// appoint assigns one or both of the running witnesses to a lender.
func (f *lenderFleet) appoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	ids := []string{f.witnesses[0].id, f.witnesses[1].id}
	from := rapid.IntRange(0, 1).Draw(f.t, "first witness")
	to := rapid.IntRange(from+1, 2).Draw(f.t, "after the last witness")
	_ = f.lender().exposure.Appoint(ctx, ids[from:to]...) // failures are part of the test
}

// changeWitness partitions a witness, reconnects it, or starts another in its place.
func (f *lenderFleet) changeWitness() {
	i := rapid.IntRange(0, 1).Draw(f.t, "which witness")
	if rapid.Bool().Draw(f.t, "cut") {
		f.witnesses[i].partitioned = !f.witnesses[i].partitioned
		return
	}
	f.dead[f.witnesses[i].id] = true
	f.witnesses[i] = f.start("witness")
}

// sendNotice delivers a lender's limits to a witness and records a duplicate for later delivery.
func (p *process) sendNotice(_ context.Context, witness string, notice settlement.Notice) error {
	f := p.fleet
	for _, w := range f.witnesses {
		if w.id != witness || w.partitioned || p.partitioned {
			continue
		}
		again := func() { _ = w.witness.Apply(time.Now(), notice) } // a witness may refuse a late notice
		f.mu.Lock()
		f.delayed = append(f.delayed, again)
		f.mu.Unlock()
		if err := w.witness.Apply(time.Now(), notice); err != nil || !f.loseAnswers {
			return err
		}
	}
	return errLost
}

func (f *lenderFleet) deliverDelayed() {
	if len(f.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.delayed)-1).Draw(f.t, "late message")
	f.delayed[i]()
}

func (f *lenderFleet) askWitness(_ context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
	for _, w := range f.witnesses {
		if w.id == witness && !w.partitioned && !f.loseAnswers {
			return w.witness.Limits(lender, term), nil
		}
	}
	return settlement.WitnessAnswer{}, errLost
}
