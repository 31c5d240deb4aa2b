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

// Guards against tokens that a lender's death frees although they were used: borrowers and
// witnesses die with it, are cut off, and messages between them are lost, repeated and late.
func TestNoOverspendWithWitnesses(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		freed := int64(0)
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLeanFleet(rt)
			f.settles = true
			f.witnesses = []*leanLife{f.start("witness"), f.start("witness")}
			for range rapid.IntRange(1, 100).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // nothing of a step goes on in the next one
				}
				synctest.Wait()
				f.noteFolded(t.Context())
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
			freed += f.freedByWitnesses
		})
		require.Positive(t, freed, "some settlement freed tokens by the word of witnesses")
	})
}

// noteFolded forgets what was used of rows that are gone.
func (f *leanFleet) noteFolded(ctx context.Context) {
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

// appoint gives a lender one or both of the witnesses that live now.
func (f *leanFleet) appoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	ids := []string{f.witnesses[0].id, f.witnesses[1].id}
	from := rapid.IntRange(0, 1).Draw(f.t, "first witness")
	to := rapid.IntRange(from+1, 2).Draw(f.t, "after the last witness")
	_ = f.lender().exposure.Appoint(ctx, ids[from:to]...) // failures are part of the world
}

// disturbWitness cuts a witness off, brings it back, or starts another in its place.
func (f *leanFleet) disturbWitness() {
	i := rapid.IntRange(0, 1).Draw(f.t, "which witness")
	if rapid.Bool().Draw(f.t, "cut") {
		f.witnesses[i].cut = !f.witnesses[i].cut
		return
	}
	f.dead[f.witnesses[i].id] = true
	f.witnesses[i] = f.start("witness")
}

// tell brings a lender's limits to a witness; some arrive once more, much later.
func (l *leanLife) tell(_ context.Context, witness string, notice settlement.Notice) error {
	f := l.fleet
	for _, w := range f.witnesses {
		if w.id != witness || w.cut || l.cut {
			continue
		}
		again := func() { _ = w.witness.Apply(time.Now(), notice) } // a witness may refuse what is late
		f.mu.Lock()
		f.late = append(f.late, again)
		f.mu.Unlock()
		if err := w.witness.Apply(time.Now(), notice); err != nil || !f.loseAnswers {
			return err
		}
	}
	return errLost
}

func (f *leanFleet) deliverLate() {
	if len(f.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(f.t, "late message")
	f.late[i]()
}

func (f *leanFleet) askWitness(_ context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
	for _, w := range f.witnesses {
		if w.id == witness && !w.cut && !f.loseAnswers {
			return w.witness.Limits(lender, term), nil
		}
	}
	return settlement.WitnessAnswer{}, errLost
}
