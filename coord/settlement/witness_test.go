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

// errNoAnswer is what a message to a witness ends with that is cut off.
var errNoAnswer = errors.New("no answer")

// witnessed is a world whose lender has witnesses.
type witnessed struct {
	*world
	exposure  *settlement.Exposure
	witnesses map[string]*settlement.Witness
	cut       map[string]bool
	lots      int
}

func newWitnessed(t *testing.T) *witnessed {
	w := &witnessed{world: newWorld(t), cut: map[string]bool{},
		witnesses: map[string]*settlement.Witness{"lender/2": {}, "lender/3": {}}}
	w.exposure = &settlement.Exposure{Holder: w.lender, Register: w.register, Timeout: time.Second, Now: time.Now,
		Notify: func(_ context.Context, witness string, n settlement.Notice) error {
			if w.cut[witness] {
				return errNoAnswer
			}
			return w.witnesses[witness].Apply(time.Now(), n)
		}}
	w.settler.AskWitness = func(_ context.Context, witness, lender string, term int64) (settlement.WitnessAnswer, error) {
		if w.cut[witness] {
			return settlement.WitnessAnswer{}, errNoAnswer
		}
		return w.witnesses[witness].Limits(lender, term), nil
	}
	return w
}

// use lends n tokens to a router that uses some of them; the lot stays open.
func (w *witnessed) use(router string, n, used int64) error {
	w.lots++
	if err := w.register.Admit(w.t.Context(), router); err != nil {
		return err
	}
	own := &grant.Acquirer{Holder: w.lender, Now: time.Now, Chain: []grant.Granter{w.pages}, Exposer: w.exposure}
	l, err := own.Lend(w.t.Context(), budget, router+string(rune('a'+w.lots)), router, n, 0)
	synctest.Wait() // a raise ends with the first witness's answer, and goes on to the other
	if err != nil {
		return err
	}
	if w.borrowers[router] == nil {
		w.borrowers[router] = grant.NewHolder(router, account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	}
	h := w.borrowers[router]
	h.Borrow(time.Now(), budget, l)
	r, err := h.Reserve(time.Now(), budget, n)
	require.NoError(w.t, err)
	h.Settle(time.Now(), r, used)
	return nil
}

// giveBack returns all lots of a router.
func (w *witnessed) giveBack(router string) {
	for _, r := range w.borrowers[router].CloseLots(time.Now()) {
		w.lender.TakeBack(time.Now(), r)
		w.borrowers[router].Acknowledge(r)
	}
}

// die ends routers for good.
func (w *witnessed) die(routers ...string) {
	for _, r := range routers {
		delete(w.borrowers, r)
		w.over[r] = true
	}
}

func (w *witnessed) settle() (used int64, err error) {
	done, err := w.settler.Settle(w.t.Context(), "lender/1", page, false)
	return done.Used[budget], err
}

// Guards against all that a lender held being lost when a router that it lent to dies with it.
func TestBorrowerDiesWithItsLender(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, w.use("router/1", 20, 5))
		require.NoError(t, w.use("router/2", 10, 10))
		w.die("router/2")
		used, err := w.settle()
		require.NoError(t, err)
		require.EqualValues(t, 5+10, used, "what one told, and the other's limit")
	})
}

// Guards against a limit that forgets what a borrower used of lots that it gave back.
func TestLimitsHoldWhatCameBackUsed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		for range 3 {
			require.NoError(t, w.use("router/1", 20, 15))
			w.giveBack("router/1")
		}
		w.die("router/1")
		used, err := w.settle()
		require.NoError(t, err)
		require.EqualValues(t, 2*15+20, used, "the last limit was raised for a lot of 20")
	})
}

// Guards against a raise being missed that only one of the witnesses has heard of.
func TestEachWitnessIsAsked(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, cut := range []string{"lender/2", "lender/3"} {
			w := newWitnessed(t)
			require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
			require.NoError(t, w.use("router/1", 20, 20))
			w.cut[cut] = true
			require.NoError(t, w.use("router/1", 30, 30))
			w.die("router/1")
			_, err := w.settle()
			require.ErrorIs(t, err, settlement.ErrUsagePending, "the one that is cut off may know more")
			w.cut[cut] = false
			used, err := w.settle()
			require.NoError(t, err)
			require.EqualValues(t, 50, used)
		}
	})
}

// Guards against limits of an earlier term: a witness that was replaced and appointed again may
// have missed what others heard meanwhile.
func TestWitnessAppointedAgainKnowsNothingYet(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		for _, witness := range []string{"lender/2", "lender/3"} {
			require.NoError(t, w.exposure.Appoint(t.Context(), witness))
			require.NoError(t, w.use("router/1", 20, 20))
		}
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		w.die("router/1")
		_, err := w.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown)
	})
}

// Guards against limits that lack what was lent in earlier terms, or before there were witnesses.
func TestNewWitnessIsToldAllLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.use("router/1", 20, 20))
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, w.use("router/2", 15, 15))
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/3"))
		require.NoError(t, w.use("router/3", 10, 10))
		w.die("router/1", "router/2", "router/3")
		used, err := w.settle()
		require.NoError(t, err)
		require.EqualValues(t, 45, used)
	})
}

// Guards against tokens that are freed while a borrower may still use them: one that does not
// answer, or whose address answers for another life, lives on until it is known to be over.
func TestBorrowerThatMayLiveIsWaitedFor(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, w.use("router/1", 20, 20))
		router := w.borrowers["router/1"]
		delete(w.borrowers, "router/1")
		_, err := w.settle()
		require.ErrorIs(t, err, settlement.ErrUsagePending, "no answer")
		w.settler.AskBorrower = func(context.Context, string, string) (grant.Borrowed, error) { return grant.Borrowed{}, nil }
		_, err = w.settle()
		require.ErrorIs(t, err, settlement.ErrUsagePending, "another life answers")
		w.borrowers["router/1"] = router
		w.over["router/1"] = true
		used, err := w.settle()
		require.NoError(t, err)
		require.EqualValues(t, 20, used)
	})
}

// Guards against lending that no witness knows of.
func TestNothingIsLentBeyondALimitThatNoWitnessTook(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, w.use("router/1", 20, 20))
		w.cut["lender/2"], w.cut["lender/3"] = true, true
		require.ErrorIs(t, w.use("router/1", 10, 10), settlement.ErrNoWitness)
		w.cut["lender/3"] = false
		require.NoError(t, w.use("router/1", 10, 10))
	})
}

// Guards against a witness that died, or that was never reached, counting as one that knows of
// no lots.
func TestWitnessThatKnowsNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		w.cut["lender/3"] = true
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2", "lender/3"))
		require.NoError(t, w.use("router/1", 20, 20))
		w.die("router/1")
		w.over["lender/3"] = true
		_, err := w.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown, "it is gone")
		w.cut["lender/3"] = false
		_, err = w.settle()
		require.ErrorIs(t, err, settlement.ErrUsageUnknown, "it was never told")
	})
}

// Guards against limits that go back when a message arrives late, twice, or from an earlier term.
func TestNoticesThatComeLate(t *testing.T) {
	var w settlement.Witness
	notice := func(term int64, whole bool, limit int64) settlement.Notice {
		return settlement.Notice{Lender: "lender/1", Term: term, Full: whole,
			Limits: grant.ExposureLimits{budget: {"router/1": limit}}}
	}
	now := time.Now()
	require.ErrorIs(t, w.Apply(now, notice(2, false, 5)), settlement.ErrNotAppointed, "a change before the whole")
	require.NoError(t, w.Apply(now, notice(2, true, 20)))
	require.NoError(t, w.Apply(now, notice(2, false, 30)))
	require.NoError(t, w.Apply(now, notice(2, false, 25)))
	require.NoError(t, w.Apply(now, notice(2, true, 20)))
	require.ErrorIs(t, w.Apply(now, notice(1, true, 50)), settlement.ErrNotAppointed)
	require.ErrorIs(t, w.Apply(now, notice(3, false, 50)), settlement.ErrNotAppointed)
	require.Equal(t, settlement.WitnessAnswer{Known: true, Limits: notice(2, true, 30).Limits}, w.Limits("lender/1", 2))
	require.Equal(t, settlement.WitnessAnswer{}, w.Limits("lender/1", 3))
	w.Forget(now, func(string) bool { return true })
	require.True(t, w.Limits("lender/1", 2).Known, "it was heard lately")
	w.Forget(now.Add(time.Second), func(string) bool { return false })
	require.True(t, w.Limits("lender/1", 2).Known, "it is listed")
	w.Forget(now.Add(time.Second), func(string) bool { return true })
	require.False(t, w.Limits("lender/1", 2).Known)
}

// Guards against a witness that forgot a lender and then takes none of its changes for good.
func TestWitnessThatForgotIsToldAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, w.use("router/1", 20, 20))
		w.witnesses["lender/2"].Forget(time.Now().Add(time.Second), func(string) bool { return true })
		require.Error(t, w.use("router/2", 10, 10))
		require.NoError(t, w.use("router/2", 10, 10))
		w.die("router/1", "router/2")
		used, err := w.settle()
		require.NoError(t, err)
		require.EqualValues(t, 30, used)
	})
}

// Guards against refused lots in a burst: all of one router's lots that come at once get a raise.
func TestManyLotsAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWitnessed(t)
		require.NoError(t, w.exposure.Appoint(t.Context(), "lender/2"))
		require.NoError(t, w.use("router/1", 1, 1))
		tell, raises := w.exposure.Notify, 0
		w.exposure.Notify = func(ctx context.Context, witness string, n settlement.Notice) error {
			raises++
			time.Sleep(time.Millisecond)
			return tell(ctx, witness, n)
		}
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() {
				own := &grant.Acquirer{Holder: w.lender, Now: time.Now, Chain: []grant.Granter{w.pages}, Exposer: w.exposure}
				_, err := own.Lend(t.Context(), budget, fmt.Sprint("burst-", n), "router/1", 2, 2)
				assert.NoError(t, err)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, raises, 4)
	})
}
