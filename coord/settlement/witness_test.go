package settlement_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// errNoAnswer is the error of a message to an unreachable witness.
var errNoAnswer = errors.New("no answer")

// witnessFixture is a fixture whose lender has witnesses.
type witnessFixture struct {
	*fixture
	exposure    *settlement.Exposure
	witnesses   map[string]*settlement.Witness
	unreachable map[string]bool
	lots        int
}

func newWitnessFixture(t *testing.T) *witnessFixture {
	f := &witnessFixture{fixture: newFixture(t), unreachable: map[string]bool{},
		witnesses: map[string]*settlement.Witness{"lender/2": {}, "lender/3": {}}}
	f.exposure = &settlement.Exposure{Holder: f.lender, Registry: f.registry, Timeout: time.Second, Now: time.Now,
		Notify: func(_ context.Context, witness string, n settlement.Notice) error {
			if f.unreachable[witness] {
				return errNoAnswer
			}
			return f.witnesses[witness].Apply(time.Now(), n)
		}}
	f.settler.AskWitness = func(_ context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
		if f.unreachable[witness] {
			return settlement.WitnessAnswer{}, errNoAnswer
		}
		return f.witnesses[witness].Limits(lender, term), nil
	}
	return f
}

// use lends n tokens to a router that uses some of them; the lot stays open.
func (f *witnessFixture) use(router string, n, used int64) error {
	f.lots++
	if err := f.registry.Admit(f.t.Context(), router); err != nil {
		return err
	}
	own := &grant.Acquirer{Holder: f.lender, Now: time.Now, Chain: []grant.Granter{f.pages}, Exposer: f.exposure}
	l, err := own.Lend(f.t.Context(), budget, router+string(rune('a'+f.lots)), router, n, 0)
	synctest.Wait() // a raise returns at the first witness's answer and still notifies the other
	if err != nil {
		return err
	}
	if f.borrowers[router] == nil {
		f.borrowers[router] = grant.NewHolder(router, account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	}
	h := f.borrowers[router]
	h.Borrow(time.Now(), budget, l)
	r, err := h.Reserve(time.Now(), budget, n)
	require.NoError(f.t, err)
	h.Settle(time.Now(), r, used)
	return nil
}

// returnLots returns all lots of a router.
func (f *witnessFixture) returnLots(router string) {
	for _, r := range f.borrowers[router].CloseLots(time.Now()) {
		f.lender.TakeBack(time.Now(), r)
		f.borrowers[router].Acknowledge(r)
	}
}

// kill ends routers permanently.
func (f *witnessFixture) kill(routers ...string) {
	for _, r := range routers {
		delete(f.borrowers, r)
		f.ended[r] = true
	}
}

func (f *witnessFixture) settle() (used int64, err error) {
	done, err := f.settler.Settle(f.t.Context(), "lender/1", page, false)
	return done.Used[budget], err
}

// Guards against losing all that a lender held when one of its borrowers dies with it.
func TestBorrowerDiesWithItsLender(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, f.use("router/1", 20, 5))
		require.NoError(t, f.use("router/2", 10, 10))
		f.kill("router/2")
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 5+10, used, "one's report and the other's limit")
	})
}

// Guards against a limit that omits what a borrower used of lots that it has returned.
func TestLimitsIncludeUsageOfReturnedLots(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		for range 3 {
			require.NoError(t, f.use("router/1", 20, 15))
			f.returnLots("router/1")
		}
		f.kill("router/1")
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 2*15+20, used, "the last limit was raised for a lot of 20")
	})
}

// Guards against missing a raise that only one of the witnesses has received.
func TestEachWitnessIsQueried(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, witness := range []string{"lender/2", "lender/3"} {
			f := newWitnessFixture(t)
			require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
			require.NoError(t, f.use("router/1", 20, 20))
			f.unreachable[witness] = true
			require.NoError(t, f.use("router/1", 30, 30))
			f.kill("router/1")
			_, err := f.settle()
			require.ErrorIs(t, err, settlement.ErrUsagePending, "the unreachable witness may have higher limits")
			f.unreachable[witness] = false
			used, err := f.settle()
			require.NoError(t, err)
			require.EqualValues(t, 50, used)
		}
	})
}

// Guards against using limits of an earlier term: a witness that was replaced and appointed again may
// have missed raises that others received meanwhile.
func TestReappointedWitnessHasNoLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		for _, witness := range []string{"lender/2", "lender/3"} {
			require.NoError(t, f.exposure.Appoint(t.Context(), witness))
			require.NoError(t, f.use("router/1", 20, 20))
		}
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		f.kill("router/1")
		_, err := f.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown)
	})
}

// Guards against limits that omit what was lent in earlier terms, or before there were witnesses.
func TestNewWitnessReceivesAllLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.use("router/1", 20, 20))
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, f.use("router/2", 15, 15))
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/3"))
		require.NoError(t, f.use("router/3", 10, 10))
		f.kill("router/1", "router/2", "router/3")
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 45, used)
	})
}

// Guards against freeing tokens that a borrower may still use: one that does not answer, or whose
// address answers for another incarnation, counts as alive until it has certainly ended.
func TestSettleWaitsForBorrowerThatMayBeAlive(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, f.use("router/1", 20, 20))
		router := f.borrowers["router/1"]
		delete(f.borrowers, "router/1")
		_, err := f.settle()
		require.ErrorIs(t, err, settlement.ErrUsagePending, "no answer")
		f.settler.AskBorrower = func(context.Context, string, string) (grant.Borrowed, error) { return grant.Borrowed{}, nil }
		_, err = f.settle()
		require.ErrorIs(t, err, settlement.ErrUsagePending, "another incarnation answers")
		f.borrowers["router/1"] = router
		f.ended["router/1"] = true
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 20, used)
	})
}

// Guards against a lender that lent nothing and has no witness: it looks like one whose witnesses have ended. The store is not
// called for it.
func TestWitnessKnowsALenderThatLentNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		f.unreachable["lender/3"] = true
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.ErrorIs(t, f.exposure.Inform(t.Context()), errNoAnswer)
		require.True(t, f.witnesses["lender/2"].Limits("lender/1", settlement.AnyTerm).Known)
		require.False(t, f.witnesses["lender/3"].Limits("lender/1", settlement.AnyTerm).Known)
		f.unreachable["lender/3"] = false
		require.NoError(t, f.exposure.Inform(t.Context()))
		answer := f.witnesses["lender/3"].Limits("lender/1", settlement.AnyTerm)
		require.True(t, answer.Known)
		require.Empty(t, answer.Limits)
		item, err := f.store.Get(t.Context(), prefix+"lender/1")
		require.NoError(t, err)
		require.Zero(t, item.Revision)
	})
}

// Guards against limits that end with a planned stop of their witness, that count as those of the witness that took them over, or that
// are handed over while the lender still raises them.
func TestWitnessThatEndsHandsItsLimitsOver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, f.use("router/1", 20, 20))
		for id, w := range f.witnesses {
			w.ID = id
		}
		notices := f.witnesses["lender/3"].Close(func(string) bool { return true })
		require.Len(t, notices, 1)
		require.Equal(t, []string{"lender/3"}, notices[0].Of)
		require.ErrorIs(t, f.witnesses["lender/3"].Apply(time.Now(), settlement.Notice{Lender: "lender/1", Term: 1, Full: true}), settlement.ErrWitnessEnds)
		require.NoError(t, f.witnesses["lender/2"].Apply(time.Now(), notices[0]))
		require.Equal(t, []string{"lender/3", "lender/2"}, f.witnesses["lender/2"].Limits("lender/1", settlement.AnyTerm).Of)
		other := settlement.Witness{ID: "lender/4"}
		require.NoError(t, other.Apply(time.Now(), notices[0]))
		answer := other.Limits("lender/1", settlement.AnyTerm)
		require.Equal(t, []string{"lender/3"}, answer.Of)
		require.EqualValues(t, 20, answer.Limits[budget]["router/1"])
		require.False(t, other.Limits("lender/1", 1).Known, "the lender has sent it nothing")
		changed := settlement.Notice{Lender: "lender/1", Term: 1}
		require.ErrorIs(t, other.Apply(time.Now(), changed), settlement.ErrNotAppointed)
		require.NoError(t, other.Apply(time.Now(), settlement.Notice{Lender: "lender/1", Term: 2, Full: true}))
		require.Empty(t, other.Limits("lender/1", settlement.AnyTerm).Of, "its own of a later term")
	})
}

// Guards against lots that no witness has: witnesses that were appointed before the first borrower are missing from the list,
// or accept no limits.
func TestWitnessesAppointedBeforeTheFirstBorrower(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/3"))
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		f.unreachable["lender/2"] = true
		require.ErrorIs(t, f.use("router/1", 20, 20), settlement.ErrNoWitness)
		f.unreachable["lender/2"] = false
		require.NoError(t, f.use("router/1", 20, 20))
		item, err := f.store.Get(t.Context(), prefix+"lender/1")
		require.NoError(t, err)
		require.JSONEq(t, `{"borrowers":["router/1"],"witnesses":["lender/2"],"term":2}`, string(item.Value))
		f.kill("router/1")
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 20, used)
	})
}

// Guards against lending beyond a limit that no witness has accepted.
func TestNoLendingBeyondUnacceptedLimit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, f.use("router/1", 20, 20))
		f.unreachable["lender/2"], f.unreachable["lender/3"] = true, true
		require.ErrorIs(t, f.use("router/1", 10, 10), settlement.ErrNoWitness)
		f.unreachable["lender/3"] = false
		require.NoError(t, f.use("router/1", 10, 10))
	})
}

// Guards against a witness that died, or was never reached, counting as one whose limits are zero.
func TestWitnessWithoutLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		f.unreachable["lender/3"] = true
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, f.use("router/1", 20, 20))
		f.kill("router/1")
		f.ended["lender/3"] = true
		_, err := f.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown, "it has ended")
		f.unreachable["lender/3"] = false
		_, err = f.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown, "it was never notified")
	})
}

// Guards against limits that decrease when a notice arrives late, twice, or from an earlier term.
func TestLateNotices(t *testing.T) {
	var w settlement.Witness
	notice := func(term int64, full bool, limit int64) settlement.Notice {
		return settlement.Notice{Lender: "lender/1", Term: term, Full: full,
			Limits: grant.ExposureLimits{budget: {"router/1": limit}}}
	}
	now := time.Now()
	require.ErrorIs(t, w.Apply(now, notice(2, false, 5)), settlement.ErrNotAppointed, "changes before the full set of limits")
	require.NoError(t, w.Apply(now, notice(2, true, 20)))
	require.NoError(t, w.Apply(now, notice(2, false, 30)))
	require.NoError(t, w.Apply(now, notice(2, false, 25)))
	require.NoError(t, w.Apply(now, notice(2, true, 20)))
	require.ErrorIs(t, w.Apply(now, notice(1, true, 50)), settlement.ErrNotAppointed)
	require.ErrorIs(t, w.Apply(now, notice(3, false, 50)), settlement.ErrNotAppointed)
	require.Equal(t, settlement.WitnessAnswer{Known: true, Term: 2, Limits: notice(2, true, 30).Limits}, w.Limits("lender/1", 2))
	require.Equal(t, settlement.WitnessAnswer{}, w.Limits("lender/1", 3))
	w.Forget(now, func(string) bool { return true })
	require.True(t, w.Limits("lender/1", 2).Known, "its last notice is recent")
	w.Forget(now.Add(time.Second), func(string) bool { return false })
	require.True(t, w.Limits("lender/1", 2).Known, "its list still exists")
	w.Forget(now.Add(time.Second), func(string) bool { return true })
	require.False(t, w.Limits("lender/1", 2).Known)
}

// Guards against a witness that dropped a lender and then rejects all its changes permanently.
func TestWitnessThatLostLimitsReceivesAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, f.use("router/1", 20, 20))
		f.witnesses["lender/2"].Forget(time.Now().Add(time.Second), func(string) bool { return true })
		require.Error(t, f.use("router/2", 10, 10))
		require.NoError(t, f.use("router/2", 10, 10))
		f.kill("router/1", "router/2")
		used, err := f.settle()
		require.NoError(t, err)
		require.EqualValues(t, 30, used)
	})
}

// Guards against refused lots in a burst: all concurrent lots of one router are covered by a raise.
func TestConcurrentLotsShareRaises(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newWitnessFixture(t)
		require.NoError(t, f.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, f.use("router/1", 1, 1))
		notify, raises := f.exposure.Notify, 0
		f.exposure.Notify = func(ctx context.Context, witness string, n settlement.Notice) error {
			raises++
			time.Sleep(time.Millisecond)
			return notify(ctx, witness, n)
		}
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() {
				own := &grant.Acquirer{Holder: f.lender, Now: time.Now, Chain: []grant.Granter{f.pages}, Exposer: f.exposure}
				_, err := own.Lend(t.Context(), budget, fmt.Sprint("burst-", n), "router/1", 2, 2)
				assert.NoError(t, err)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, raises, 4)
	})
}
