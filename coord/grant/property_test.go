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

// faultyFleet is a fleet under random failures.
type faultyFleet struct {
	*lab.Fleet
	t      *rapid.T
	ctx    context.Context
	open   []*lab.Request
	credit int64
	count  int
}

var dcs = []string{"bergen", "alesund", "floro"}

func newFaultyFleet(ctx context.Context, t *rapid.T) *faultyFleet {
	policy := rapid.SampledFrom([]grant.Policy{grant.FavourAvailability(), grant.FavourExactness(),
		grant.EvenPolicy{N: 3}, grant.RequestPolicy{}}).Draw(t, "policy")
	f := &faultyFleet{t: t, ctx: ctx, Fleet: lab.New(lab.Options{Pages: 1, Policy: func() grant.Policy { return policy },
		Timing: grant.DefaultTiming(), Transfers: true, ExpectedHolders: 3})}
	require.NoError(t, f.Accounts().Create(ctx, budget, "team"))
	f.topUp()
	for _, dc := range dcs {
		_, err := f.AddAgent(ctx, dc+"-engine", dc)
		require.NoError(t, err)
		f.start(dc)
	}
	return f
}

func (f *faultyFleet) topUp() {
	n := rapid.Int64Range(1, 2000).Draw(f.t, "credit")
	f.count++
	ctx, cancel := context.WithTimeout(f.ctx, lab.CallTimeout)
	defer cancel()
	if f.Accounts().TopUp(ctx, budget, fmt.Sprint(f.count), n) == nil {
		f.credit += n
		return
	}
	// Not acknowledged, but it may have taken effect: read the account.
	f.Store.SetFaults(memstore.Faults{})
	a, err := f.Accounts().Get(f.ctx, budget)
	require.NoError(f.t, err)
	f.credit = a.Credit()
}

func (f *faultyFleet) start(dc string) {
	ctx, cancel := context.WithTimeout(f.ctx, lab.CallTimeout)
	defer cancel()
	if n, err := f.AddNode(ctx, dc+"-router", dc); err == nil {
		n.SyncAllPages(f.ctx)
	}
}

func (f *faultyFleet) node() *lab.Node { return rapid.SampledFrom(f.Nodes).Draw(f.t, "node") }

func (f *faultyFleet) step() {
	switch rapid.IntRange(0, 14).Draw(f.t, "op") {
	case 0, 1, 2, 3:
		f.serve()
	case 4, 5:
		f.finish()
	case 6:
		f.Now = f.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(f.t, "seconds")) * time.Second)
		for _, n := range f.Nodes {
			n.Sync(f.ctx)
		}
	case 7:
		f.Partition(rapid.SampledFrom(dcs).Draw(f.t, "cut"))
	case 8:
		f.Heal()
	case 9:
		n := f.node()
		n.Dead = true
		f.start(n.DC)
	case 10:
		n := f.node()
		n.Paused = !n.Paused
	case 11:
		f.recover()
	case 12:
		f.Store.SetFaults(memstore.Faults{LoseResponses: rapid.IntRange(0, 2).Draw(f.t, "lose"), Down: rapid.IntRange(0, 5).Draw(f.t, "down") == 0})
		f.DropLotReplies = rapid.IntRange(0, 2).Draw(f.t, "drop")
	case 13:
		for _, n := range f.Nodes {
			n.ReturnLots(0)
			if !n.Dead && !n.Paused {
				n.ReclaimLostLots()
			}
		}
	case 14:
		f.topUp()
	}
}

func (f *faultyFleet) serve() {
	n := f.node()
	if n.Dead || n.Paused {
		return
	}
	f.count++
	r, err := n.Serve(f.ctx, fmt.Sprint("r", f.count), budget, rapid.Int64Range(1, 300).Draw(f.t, "worst"))
	if err == nil {
		f.open = append(f.open, r)
	}
}

func (f *faultyFleet) finish() {
	if len(f.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.open)-1).Draw(f.t, "request")
	f.open[i].Finish(rapid.Int64Range(0, 300).Draw(f.t, "used"))
	f.open = append(f.open[:i], f.open[i+1:]...)
}

// recover recovers a holder that is dead or wrongly presumed dead.
func (f *faultyFleet) recover() {
	n := f.node()
	_, _ = f.Recover(f.ctx, rapid.SampledFrom(dcs).Draw(f.t, "seat"), n.Holder.ID(), rapid.Bool().Draw(f.t, "forfeit"))
}

func (f *faultyFleet) check() {
	require.LessOrEqual(f.t, f.Served(budget), f.credit, "overspend")
}

// stabilize ends all failures and requests, and makes every node report.
func (f *faultyFleet) stabilize() {
	f.Store.SetFaults(memstore.Faults{})
	f.DropLotReplies = 0
	f.Heal()
	for _, r := range f.open {
		r.Finish(1)
	}
	for _, n := range f.Nodes {
		n.Paused = false
	}
	for range 3 {
		f.Now = f.Now.Add(5 * time.Minute)
		for _, n := range f.Nodes {
			if !n.Dead {
				n.ReturnLots(0)
				n.ReclaimLostLots()
				n.SyncPage(f.ctx, f.Layout.PageKey(0))
			}
		}
	}
}

// noDeadline hides the test's deadline, which must not be read in a synctest bubble.
type noDeadline struct{ testing.TB }

// Guards against overspend under partitions, crashes, pauses, wrong recoveries, lost answers,
// lost lots, outages and top-ups in any order. No team may be served more than it paid for,
// and after all failures end the account must have settled what the agents served, or more
// where a lot's use could not be proved.
func TestNoOverspendUnderAnyInterleaving(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newFaultyFleet(t.Context(), rt)
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				f.step()
				f.Quiesce()
				f.check()
			}
			f.stabilize()
			f.check()
			a, err := f.Accounts().Get(f.ctx, budget)
			require.NoError(rt, err)
			require.NoError(rt, a.Check())
			require.LessOrEqual(rt, f.Served(budget), a.Settled()+a.Outstanding()+a.Forfeited)
		})
	})
}
