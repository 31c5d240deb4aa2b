package grant_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/internal/lab"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is a fleet under random failures.
type world struct {
	*lab.Fleet
	t      *rapid.T
	ctx    context.Context
	open   []*lab.Request
	credit int64
	count  int
}

var dcs = []string{"bergen", "alesund", "floro"}

func newWorld(ctx context.Context, t *rapid.T) *world {
	policy := rapid.SampledFrom([]grant.Policy{grant.FavourAvailability(), grant.FavourExactness(),
		grant.EvenPolicy{N: 3}, grant.RequestPolicy{}}).Draw(t, "policy")
	w := &world{t: t, ctx: ctx, Fleet: lab.New(lab.Options{Pages: 1, Policy: func() grant.Policy { return policy },
		Timing: grant.DefaultTiming(), Transfers: true, Expect: 3})}
	require.NoError(t, w.Book().Create(ctx, budget, "team"))
	w.topUp()
	for _, dc := range dcs {
		_, err := w.AddAgent(ctx, dc+"-engine", dc)
		require.NoError(t, err)
		w.start(dc)
	}
	return w
}

func (w *world) topUp() {
	n := rapid.Int64Range(1, 2000).Draw(w.t, "credit")
	w.count++
	ctx, cancel := context.WithTimeout(w.ctx, lab.CallTimeout)
	defer cancel()
	if w.Book().TopUp(ctx, budget, fmt.Sprint(w.count), n) == nil {
		w.credit += n
		return
	}
	// Not acknowledged; it may have taken effect. The account tells.
	w.Store.SetFaults(memstore.Faults{})
	a, err := w.Book().Get(w.ctx, budget)
	require.NoError(w.t, err)
	w.credit = a.Credit()
}

func (w *world) start(dc string) {
	ctx, cancel := context.WithTimeout(w.ctx, lab.CallTimeout)
	defer cancel()
	if n, err := w.AddNode(ctx, dc+"-router", dc); err == nil {
		n.Place(w.ctx)
	}
}

func (w *world) node() *lab.Node { return rapid.SampledFrom(w.Nodes).Draw(w.t, "node") }

func (w *world) step() {
	switch rapid.IntRange(0, 14).Draw(w.t, "op") {
	case 0, 1, 2, 3:
		w.serve()
	case 4, 5:
		w.finish()
	case 6:
		w.Now = w.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "seconds")) * time.Second)
		for _, n := range w.Nodes {
			n.Sync(w.ctx)
		}
	case 7:
		w.Cut(rapid.SampledFrom(dcs).Draw(w.t, "cut"))
	case 8:
		w.Heal()
	case 9:
		n := w.node()
		n.Dead = true
		w.start(n.DC)
	case 10:
		n := w.node()
		n.Frozen = !n.Frozen
	case 11:
		w.recover()
	case 12:
		w.Store.SetFaults(memstore.Faults{LoseResponses: rapid.IntRange(0, 2).Draw(w.t, "lose"), Down: rapid.IntRange(0, 5).Draw(w.t, "down") == 0})
		w.DropLots = rapid.IntRange(0, 2).Draw(w.t, "drop")
	case 13:
		for _, n := range w.Nodes {
			n.ReturnLots(0)
			if !n.Dead && !n.Frozen {
				n.Audit()
			}
		}
	case 14:
		w.topUp()
	}
}

func (w *world) serve() {
	n := w.node()
	if n.Dead || n.Frozen {
		return
	}
	w.count++
	r, err := n.Serve(w.ctx, fmt.Sprint("r", w.count), budget, rapid.Int64Range(1, 300).Draw(w.t, "worst"))
	if err == nil {
		w.open = append(w.open, r)
	}
}

func (w *world) finish() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "request")
	w.open[i].Finish(rapid.Int64Range(0, 300).Draw(w.t, "used"))
	w.open = append(w.open[:i], w.open[i+1:]...)
}

// recover recovers a holder that is dead, or only thought dead.
func (w *world) recover() {
	n := w.node()
	_, _ = w.Recover(w.ctx, rapid.SampledFrom(dcs).Draw(w.t, "seat"), n.Holder.ID(), rapid.Bool().Draw(w.t, "forfeit"))
}

func (w *world) check() {
	require.LessOrEqual(w.t, w.Served(budget), w.credit, "overspend")
}

// settleDown ends all failures and requests, and lets every node report.
func (w *world) settleDown() {
	w.Store.SetFaults(memstore.Faults{})
	w.DropLots = 0
	w.Heal()
	for _, r := range w.open {
		r.Finish(1)
	}
	for _, n := range w.Nodes {
		n.Frozen = false
	}
	for range 3 {
		w.Now = w.Now.Add(5 * time.Minute)
		for _, n := range w.Nodes {
			if !n.Dead {
				n.ReturnLots(0)
				n.Audit()
				n.SyncPage(w.ctx, w.Layout.PageKey(0))
			}
		}
	}
}

// noDeadline hides the test's deadline, which may not be asked for in a bubble.
type noDeadline struct{ testing.TB }

// Whatever happens, and in whatever order: cuts, deaths, freezes, wrong recoveries,
// lost answers, lost lots, outages, top-ups. No team is served more than it paid for,
// and when all is quiet the account has settled what the agents served, or more where
// a lot's use could not be proved.
func TestNoOverspendUnderAnyInterleaving(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			w := newWorld(t.Context(), rt)
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				w.step()
				w.Quiesce()
				w.check()
			}
			w.settleDown()
			w.check()
			a, err := w.Book().Get(w.ctx, budget)
			require.NoError(rt, err)
			require.NoError(rt, a.Check())
			require.LessOrEqual(rt, w.Served(budget), a.Settled()+a.Outstanding()+a.Forfeited)
		})
	})
}
