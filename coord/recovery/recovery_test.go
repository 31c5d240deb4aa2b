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

// fleet has a router and an agent in each of two data centres, and one budget of 1000 tokens.
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
		Timing: grant.DefaultTiming(), Transfers: true, ExpectedHolders: 2,
	})}
	require.NoError(t, f.Accounts().Create(f.ctx, budget, "pilots"))
	require.NoError(t, f.Accounts().TopUp(f.ctx, budget, "first", 1000))
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
	n.SyncAllPages(f.ctx)
	return n
}

// begin starts a request of at most 100 tokens.
func (f *fleet) begin(n *lab.Node) *lab.Request {
	f.requests++
	r, err := n.Serve(f.ctx, string(rune('a'+f.requests)), budget, 100)
	require.NoError(f.t, err)
	return r
}

func (f *fleet) account() *account.Account {
	a, err := f.Accounts().Get(f.ctx, budget)
	require.NoError(f.t, err)
	require.NoError(f.t, a.Check())
	return a
}

// spendAll spends all tokens that the node can obtain and returns how many these were.
func (f *fleet) spendAll(n *lab.Node) int64 {
	before := f.Served(budget)
	for tokens := int64(100); tokens > 0; {
		f.requests++
		r, err := n.Serve(f.ctx, "all"+string(rune(f.requests)), budget, tokens)
		if err != nil {
			tokens /= 2
			f.Now = f.Now.Add(2 * time.Second)
			continue
		}
		r.Finish(tokens)
	}
	return f.Served(budget) - before
}

// Guards against losing the rest of a budget, or spending it twice, when a router dies with
// one request running and one that ended unreported: only the dead router had recorded how
// its grant was used.
func TestDeadRouterRecoversExactBalance(t *testing.T) {
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

// Guards against overspending after a router is paused for so long that its VM leaves the
// list: its grant is recovered and spent by others, then it resumes and serves from the grant
// that it still has in memory.
func TestPausedRouterResumesAfterRecovery(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.begin(f.bergen).Finish(10)
		f.bergen.Paused = true
		_, err := f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		f.bergen.Paused = false
		_, err = f.bergen.Serve(f.ctx, "late", budget, 100)
		require.Error(t, err, "its tokens were granted to others")
		f.bergen.SyncPage(f.ctx, f.Layout.PageKey(0))
		require.True(t, f.bergen.Holder.Fenced(), "its row no longer exists")
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// Guards against recovering the tokens of running requests when a router restarts: requests
// of its previous incarnation still run although the VM is present and healthy.
func TestRouterRestartWhileOldRequestsRun(t *testing.T) {
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

// Guards against overspending when a router and the agent that served its request are lost
// together. What was served is unknown, so the rest of the grant is forfeited and reported;
// granting it again would overspend by what the lost agent had served.
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
		require.Equal(t, holds, res.Forfeited, "the agent's new incarnation has no record of what the old one served")
		require.Equal(t, holds, f.account().Forfeited)
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		require.LessOrEqual(t, f.Served(budget), int64(1000))
		given, err := f.Accounts().Release(f.ctx, budget, "ticket-7", holds-70)
		require.NoError(t, err)
		require.Equal(t, holds-70, given)
		again, err := f.Accounts().Release(f.ctx, budget, "ticket-7", holds-70)
		require.NoError(t, err)
		require.Equal(t, given, again, "a repeated order has no effect")
		f.Now = f.Now.Add(6 * time.Minute)
		f.spendAll(f.floro)
		require.Equal(t, int64(1000), f.Served(budget))
	})
}

// Guards against a needless forfeit: an agent's incarnation was lost long before the dead
// router's oldest open reservation, so it served none of that router's unreported requests.
func TestOldAgentLossForfeitsNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.agents[0].Dead = true
		_, err := f.AddAgent(f.ctx, "bergen-engine", "bergen")
		require.NoError(t, err)
		f.Now = f.Now.Add(6 * time.Minute)
		f.begin(f.bergen).Finish(1)
		f.Now = f.Now.Add(6 * time.Minute)
		f.bergen.Sync(f.ctx) // reports, and reads a revision after the loss
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

// Guards against an agent that starts during a recovery: it read the fences before this one
// was written, and the platform's list does not show it yet. If it is not fenced, a paused
// router can resume and be served there with recovered tokens.
func TestAgentStartedDuringRecoveryMustAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		late, err := f.AddAgent(f.ctx, "late-engine", "bergen")
		require.NoError(t, err)
		f.Agents = f.Agents[:2] // not in the list yet
		f.bergen.Paused = true
		_, err = f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.ErrorIs(t, err, recovery.ErrIncomplete)
		f.Agents = append(f.Agents, late)
		_, err = f.Recover(f.ctx, "floro", f.bergen.Holder.ID(), false)
		require.NoError(t, err)
	})
}

// Guards against a lender that gets back more or less than the unused part of a lot when
// the borrowing router dies.
func TestDeadBorrowerReturnsLot(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.spendAllOwn(f.bergen)
		f.Partition("bergen", "floro") // the store is unreachable, so only peers can lend
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
