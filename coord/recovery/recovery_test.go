package recovery_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/internal/lab"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

const budget = "pilots/2026"

// fleet is two routers and two agents in two data centres, with one budget of 1000.
type fleet struct {
	*lab.Fleet
	t        *testing.T
	ctx      context.Context
	bergen   *lab.Node
	floro    *lab.Node
	agents   [2]*lab.Agent
	requests int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, ctx: t.Context(), Fleet: lab.New(lab.Options{
		Pages: 1, Policy: func() grant.Policy { return grant.FavourAvailability() },
		Timing: grant.DefaultTiming(), Transfers: true, Expect: 2,
	})}
	require.NoError(t, f.Book().Create(f.ctx, budget, "pilots"))
	require.NoError(t, f.Book().TopUp(f.ctx, budget, "first", 1000))
	for i, dc := range []string{"bergen", "floro"} {
		a, err := f.AddAgent(f.ctx, dc+"-engine", dc)
		require.NoError(t, err)
		f.agents[i] = a
	}
	f.bergen, f.floro = f.node("bergen"), f.node("floro")
	return f
}

func (f *fleet) node(dc string) *lab.Node {
	n, err := f.AddNode(f.ctx, dc+"-router", dc)
	require.NoError(f.t, err)
	n.Place(f.ctx)
	return n
}

// begin starts a request of 100 tokens at most.
func (f *fleet) begin(n *lab.Node) *lab.Request {
	f.requests++
	r, err := n.Serve(f.ctx, string(rune('a'+f.requests)), budget, 100)
	require.NoError(f.t, err)
	return r
}

func (f *fleet) account() *account.Account {
	a, err := f.Book().Get(f.ctx, budget)
	require.NoError(f.t, err)
	require.NoError(f.t, a.Check())
	return a
}

// spendAll spends what the node can get and returns how much that was.
func (f *fleet) spendAll(n *lab.Node) int64 {
	before := f.Served(budget)
	for worst := int64(100); worst > 0; {
		f.requests++
		r, err := n.Serve(f.ctx, "all"+string(rune(f.requests)), budget, worst)
		if err != nil {
			worst /= 2
			f.Now = f.Now.Add(2 * time.Second)
			continue
		}
		r.Finish(worst)
	}
	return f.Served(budget) - before
}

// A router dies with one request running and one that ended unreported. Its team
// then finds the rest of the budget gone, or spends it twice. Cause: only the dead
// router knew what its grant was used for.
func TestDeadRouterLeavesExactRest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.begin(f.bergen).Finish(30)
		running := f.begin(f.bergen)
		holds := f.account().Rows[f.bergen.Holder.ID()].Balance()
		f.bergen.Dead = true
		_, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.ErrorIs(t, err, recovery.ErrIncomplete, "one of its requests still runs")
		running.Finish(50)
		res, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		require.Equal(t, int64(80), res.Used)
		require.Equal(t, holds-80, res.Returned)
		require.Zero(t, res.Forfeited)
		f.Now = f.Now.Add(6 * time.Minute)
		require.Equal(t, int64(920), f.spendAll(f.floro))
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// A router is frozen for so long that its VM drops out of the list; its grant goes
// back and others spend it. Then it wakes and serves from the grant that it still
// has in memory: the team is served more than it paid for.
func TestFrozenRouterWakesAfterRecovery(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.begin(f.bergen).Finish(10)
		f.bergen.Frozen = true
		_, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		f.bergen.Frozen = false
		_, err = f.bergen.Serve(f.ctx, "late", budget, 100)
		require.Error(t, err, "its tokens belong to others now")
		f.bergen.SyncPage(f.ctx, f.Layout.PageKey(0))
		require.True(t, f.bergen.Holder.Fenced(), "it notices that its row is gone")
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// A router restarts while requests of its former life still run. Their tokens must
// not come back before they ended, although the VM is there and healthy.
func TestNewLifeWhileOldRequestsRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		old := f.bergen
		running := f.begin(old)
		old.Dead = true
		f.bergen = f.node("bergen")
		_, err := f.Recover(f.ctx, "bergen", old.Holder.ID(), false)
		require.ErrorIs(t, err, recovery.ErrIncomplete)
		running.Finish(100)
		_, err = f.Recover(f.ctx, "bergen", old.Holder.ID(), false)
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.bergen)
		f.spendAll(f.floro)
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// The router of a request and the agent that served it are lost together. Nobody
// knows what was served, so the rest of the grant is forfeited and shown; spending it
// again would overspend by what the lost agent had served.
func TestRouterAndAgentLostTogether(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.begin(f.bergen).Finish(70)
		holds := f.account().Rows[f.bergen.Holder.ID()].Balance()
		f.bergen.Dead, f.agents[0].Dead = true, true
		_, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.ErrorIs(t, err, recovery.ErrIncomplete, "the agent may come back")
		_, err = f.AddAgent(f.ctx, "bergen-engine", "bergen")
		require.NoError(t, err)
		res, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		require.Equal(t, holds, res.Forfeited, "its new life knows nothing of the old one's work")
		require.Equal(t, holds, f.account().Forfeited)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		require.LessOrEqual(t, f.Served(budget), int64(1000))
		given, err := f.Book().Release(f.ctx, budget, "ticket-7", holds-70)
		require.NoError(t, err)
		require.Equal(t, holds-70, given)
		again, err := f.Book().Release(f.ctx, budget, "ticket-7", holds-70)
		require.NoError(t, err)
		require.Equal(t, given, again, "an order counts once")
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// An agent had a lost life long before the dead router's oldest open reservation.
// Its loss says nothing about that router, so nothing is forfeited.
func TestOldAgentLossCostsNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.agents[0].Dead = true
		_, err := f.AddAgent(f.ctx, "bergen-engine", "bergen")
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.begin(f.bergen).Finish(1)
		f.Now = f.Now.Add(6 * time.Minute)
		f.bergen.Sync(f.ctx) // reports, and learns a revision after the loss
		f.begin(f.bergen).Finish(1)
		f.Now = f.Now.Add(6 * time.Minute)
		f.bergen.Sync(f.ctx) // reports with that revision
		f.begin(f.bergen).Finish(20)
		f.bergen.Dead = true
		res, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		require.Zero(t, res.Forfeited)
		require.Equal(t, int64(20), res.Used)
	})
}

// An agent starts while a recovery runs: it read the fences before this one was
// written, and the platform's list does not show it yet. If it is not asked, a
// frozen router can wake and be served there with recovered tokens.
func TestAgentStartedDuringRecoveryMustAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		late, err := f.AddAgent(f.ctx, "late-engine", "bergen")
		require.NoError(t, err)
		f.Agents = f.Agents[:2] // not in the list yet
		f.bergen.Frozen = true
		_, err = f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.ErrorIs(t, err, recovery.ErrIncomplete)
		f.Agents = append(f.Agents, late)
		_, err = f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
	})
}

// A router borrows a lot from a peer and dies. The lender must get back what the
// lot was not used for, no more: the rest was served.
func TestDeadBorrowerReturnsLot(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.spendAllOwn(f.bergen)
		f.Cut("bergen", "floro") // no store: only peers are left
		r := f.begin(f.bergen)
		require.Equal(t, f.floro.Holder.ID(), r.Res.Parts[0].Holder, "served from a lot")
		r.Finish(40)
		f.Heal()
		f.bergen.Dead = true
		_, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// spendAllOwn spends the node's own grant without borrowing.
func (f *fleet) spendAllOwn(n *lab.Node) {
	for {
		state := n.Holder.State(f.Now)
		if len(state) == 0 || state[0].Available < 1 {
			return
		}
		f.requests++
		r, err := n.Serve(f.ctx, "own"+string(rune(f.requests)), budget, state[0].Available)
		require.NoError(f.t, err)
		r.Finish(r.Res.Tokens())
	}
}
