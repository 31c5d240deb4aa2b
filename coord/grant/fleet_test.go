package grant_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/internal/lab"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

const budget = "lakeshore/rulings"

func newFleet(t *testing.T, credit int64) (*lab.Fleet, *lab.Node, *lab.Node) {
	f := lab.New(lab.Options{Pages: 1, Policy: func() grant.Policy { return grant.FavourAvailability() },
		Timing: grant.DefaultTiming(), Transfers: true, Expect: 2})
	ctx := t.Context()
	require.NoError(t, f.Book().Create(ctx, budget, "lakeshore"))
	if credit > 0 {
		require.NoError(t, f.Book().TopUp(ctx, budget, "first", credit))
	}
	var nodes []*lab.Node
	for _, dc := range []string{"cleveland", "detroit"} {
		_, err := f.AddAgent(ctx, dc+"-engine", dc)
		require.NoError(t, err)
		n, err := f.AddNode(ctx, dc+"-router", dc)
		require.NoError(t, err)
		n.Place(ctx)
		nodes = append(nodes, n)
	}
	return f, nodes[0], nodes[1]
}

// drain serves requests of one token until the node refuses, and returns how many.
func drain(ctx context.Context, f *lab.Fleet, n *lab.Node) int64 {
	before := f.Served(budget)
	for i := 0; ; i++ {
		r, err := n.Serve(ctx, n.Holder.ID()+time.Duration(f.Served(budget)).String(), budget, 1)
		if err != nil {
			return f.Served(budget) - before
		}
		r.Finish(1)
	}
}

// Two data centres lose each other for an hour, and the team tops up on either
// side: one top-up reaches the store, the other cannot and is not acknowledged. Both
// sides go on serving. If either spent what it does not hold, the sum of both would
// pass the budget when they meet again.
func TestHourOfPartitionWithTopUps(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Cut("detroit")
		farServed := drain(ctx, f, far)
		require.Positive(t, farServed, "tokens were placed there before the cut")
		require.NoError(t, f.Book().TopUp(ctx, budget, "second", 500))
		for range 60 {
			f.Now = f.Now.Add(time.Minute)
			near.Sync(ctx)
			far.Sync(ctx)
			drain(ctx, f, near)
			drain(ctx, f, far)
		}
		require.LessOrEqual(t, f.Served(budget), int64(1500))
		f.Heal()
		f.Now = f.Now.Add(time.Minute)
		drain(ctx, f, far)
		drain(ctx, f, near)
		require.Equal(t, int64(1500), f.Served(budget), "nothing is lost either")
	})
}

// The store is down for ten minutes. Callers must be served from what routers hold,
// and the store must agree with what was served when it is back.
func TestStoreDownTenMinutes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Down: true})
		for range 10 {
			f.Now = f.Now.Add(time.Minute)
			for _, n := range []*lab.Node{near, far} {
				n.Sync(ctx)
				r, err := n.Serve(ctx, n.VM+f.Now.String(), budget, 20)
				require.NoError(t, err)
				r.Finish(20)
			}
		}
		f.Store.SetFaults(memstore.Faults{})
		f.Now = f.Now.Add(6 * time.Minute)
		near.Sync(ctx)
		far.Sync(ctx)
		a, err := f.Book().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(400), a.Settled())
	})
}

// Each call to the store takes 400 ms. Requests that find tokens at hand must not
// wait for it, and a refill must come through before its request's deadline.
func TestSlowStore(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, _ := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Delay: 100 * time.Millisecond})
		start := time.Now()
		r, err := near.Serve(ctx, "quick", budget, 100)
		require.NoError(t, err)
		require.Zero(t, time.Since(start))
		r.Finish(100)
		f.Now = f.Now.Add(time.Minute)
		r, err = near.Serve(ctx, "refill", budget, 550)
		require.NoError(t, err)
		require.Positive(t, time.Since(start))
		r.Finish(550)
	})
}

// The answer to a write is lost after the write took effect. The holder must neither
// count the tokens twice nor forget them, whichever write it was: a grant, a
// settlement's report, a give-back, or the removal of an idle row.
func TestLostAnswers(t *testing.T) {
	steps := map[string]func(ctx context.Context, f *lab.Fleet, n *lab.Node){
		"grant": func(ctx context.Context, _ *lab.Fleet, n *lab.Node) {
			r, err := n.Serve(ctx, "x", budget, 600)
			require.NoError(t, err)
			r.Finish(600)
		},
		"report": func(ctx context.Context, f *lab.Fleet, n *lab.Node) {
			f.Now = f.Now.Add(6 * time.Minute)
			n.Sync(ctx)
		},
		"fold": func(ctx context.Context, f *lab.Fleet, n *lab.Node) {
			r, err := n.Serve(ctx, "y", budget, 10)
			require.NoError(t, err)
			r.Finish(10)
			f.Now = f.Now.Add(time.Hour)
			n.Sync(ctx)
		},
		"return": func(ctx context.Context, f *lab.Fleet, n *lab.Node) {
			n.Holder.ReturnAll()
			n.SyncPage(ctx, f.Layout.PageKey(0))
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f, near, far := newFleet(t, 1000)
				ctx := t.Context()
				f.Store.SetFaults(memstore.Faults{LoseResponses: 1})
				step(ctx, f, near)
				require.False(t, near.Holder.Fenced())
				f.Now = f.Now.Add(time.Minute)
				drain(ctx, f, near)
				f.Now = f.Now.Add(time.Minute)
				drain(ctx, f, far)
				if name == "return" {
					return // the node that stopped has nothing, and far got all
				}
				f.Now = f.Now.Add(time.Minute)
				drain(ctx, f, near)
				require.Equal(t, int64(1000), f.Served(budget))
			})
		})
	}
}

// A peer lends a lot and its answer is lost; the borrower asks again and gets
// another. The first one must come back, or its tokens are out of reach for ever,
// and an answer that arrives after all must not revive it.
func TestLostLotComesBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Down: true})
		drainOwn(ctx, f, near)
		f.DropLots = 1
		_, err := near.Serve(ctx, "lost", budget, 50)
		require.ErrorIs(t, err, grant.ErrUnreachable)
		lots := far.Holder.LentLots()[near.Holder.ID()]
		require.Len(t, lots, 1)
		far.Audit()
		require.Empty(t, far.Holder.LentLots())
		near.Holder.Borrow(f.Now, budget, grant.Lot{Part: lots[0]}) // late
		require.Equal(t, int64(0), near.Holder.State(f.Now)[0].Spendable)
		total := drain(ctx, f, near)
		f.Now = f.Now.Add(time.Minute)
		near.ReturnLots(time.Second)
		total += drain(ctx, f, far)
		require.Equal(t, int64(1000), f.Served(budget), "served %d after the loss", total)
	})
}

// drainOwn spends the node's own grant.
func drainOwn(ctx context.Context, f *lab.Fleet, n *lab.Node) {
	own := n.Holder.State(f.Now)[0].Available
	if r, err := n.Serve(ctx, "own", budget, own); err == nil {
		r.Finish(own)
	}
}

// The messages about a lot arrive twice and out of order: a repeated request must get
// the same lot, a repeated return must count once, and a return that arrives before
// its own repeat must not open the lot again.
func TestLotMessagesRepeatedAndReordered(t *testing.T) {
	f, near, far := newFleet(t, 1000)
	// An open reservation before the lot keeps the lot's settlement in the books.
	_, err := far.Serve(t.Context(), "open", budget, 10)
	require.NoError(t, err)
	available := far.Holder.State(f.Now)[0].Available
	one, err := far.Holder.Lend(f.Now, budget, "near/1", near.Holder.ID(), 100, 100)
	require.NoError(t, err)
	two, err := far.Holder.Lend(f.Now, budget, "near/1", near.Holder.ID(), 100, 100)
	require.NoError(t, err)
	require.Equal(t, one, two)
	near.Holder.Borrow(f.Now, budget, one)
	near.Holder.Borrow(f.Now, budget, two)
	back := grant.LotReturn{Lender: far.Holder.ID(), Budget: budget, Seq: one.Part.Seq, Used: 30}
	far.Holder.TakeBack(f.Now, back)
	back.Used = 0
	far.Holder.TakeBack(f.Now, back)
	require.Equal(t, available-30, far.Holder.State(f.Now)[0].Available)
}

// An operator's top-up takes effect and its answer is lost; the operator repeats it,
// and a second operator enters the same invoice. The team must be credited once.
func TestTopUpCountsOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, _, _ := newFleet(t, 0)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{LoseResponses: 1})
		done := make(chan error, 2)
		for range 2 {
			go func() { done <- f.Book().TopUp(ctx, budget, "invoice-1", 700) }()
		}
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		a, err := f.Book().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(700), a.Credit())
		err = f.Book().TopUp(ctx, budget, "invoice-1", 900)
		require.ErrorIs(t, err, account.ErrCreditDiffers)
	})
}

// A recovery is begun for a router that is only frozen, and stays incomplete. Its peer
// had used a lot of it. When the router wakes it must learn what was used: if the peer
// had forgotten the lot, the router would take it back as unused and spend it again.
func TestShutOutLenderIsStillSettled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Down: true})
		drainOwn(ctx, f, near)
		r, err := near.Serve(ctx, "lot", budget, 50)
		require.NoError(t, err)
		r.Finish(50)
		f.Store.SetFaults(memstore.Faults{})
		far.Frozen = true
		f.Agents[1].Dead = true
		_, err = f.Recover(ctx, near.DC, far.Holder.ID(), false)
		require.Error(t, err, "one agent does not answer")
		far.Frozen, f.Agents[1].Dead = false, false
		far.Audit()
		near.ReturnLots(0)
		far.Audit()
		f.Now = f.Now.Add(10 * time.Minute)
		far.Sync(ctx)
		a, err := f.Book().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(50), a.Rows[far.Holder.ID()].Settled)
	})
}

// The store is cut off and a peer has tokens. A request must not spend its whole time
// on the store, or it is refused although it could be served.
func TestStoreOutageLeavesTimeForPeers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Cut("cleveland", "detroit")
		drainOwn(ctx, f, near)
		r, err := near.Serve(ctx, "peer", budget, 50)
		require.NoError(t, err)
		require.Equal(t, far.Holder.ID(), r.Res.Parts[0].Holder)
	})
}

// Two requests wait for the same look at a page; the caller of the first goes away. The
// second must not be refused for that.
func TestFirstCallerGoesAway(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		far.Dead = true
		require.NoError(t, f.Book().TopUp(t.Context(), budget, "second", 5000))
		f.Store.SetFaults(memstore.Faults{Delay: 50 * time.Millisecond})
		first, cancel := context.WithCancel(t.Context())
		go func() { _, _ = near.Serve(first, "first", budget, 800) }()
		synctest.Wait()
		got := make(chan error, 1)
		go func() {
			_, err := near.Serve(t.Context(), "second", budget, 900)
			got <- err
		}()
		synctest.Wait()
		cancel()
		require.NoError(t, <-got)
	})
}

// Three requests wait for the store at once. Together they want more than the budget
// has, but each alone would fit: the first must be served.
func TestWaitingTogetherIsNotExhausted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, _ := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Delay: 50 * time.Millisecond}) // so that all wait
		errs := make(chan error, 3)
		for i := range 3 {
			go func() {
				r, err := near.Serve(ctx, string(rune('a'+i)), budget, 600)
				if err == nil {
					r.Finish(600)
				}
				errs <- err
			}()
		}
		served := 0
		for range 3 {
			if <-errs == nil {
				served++
			}
		}
		require.Equal(t, 1, served)
	})
}

// A router restarts and still finds its earlier life among the peers to ask for tokens, at
// the same address: it asks itself. A lot of its own would be settled with the first of
// the requests that share it, and all that the others use would be spent twice.
func TestNobodyBorrowsFromItself(t *testing.T) {
	now := time.Unix(1000, 0)
	layout := account.Layout{Prefix: "b/", Pages: 1}
	st := memstore.New()
	book := account.AdminClient{Store: st, Layout: layout}
	require.NoError(t, book.Create(t.Context(), "b", "pilots"))
	require.NoError(t, book.TopUp(t.Context(), "b", "one", 1000))
	h := grant.NewHolder("router-1/b", layout, grant.RequestPolicy{})
	g := &grant.StoreGranter{Holder: h, Store: st, Layout: layout, Timing: grant.DefaultTiming(),
		Timeout: time.Second, Now: func() time.Time { return now }}
	a := &grant.Acquirer{Holder: h, Chain: []grant.Granter{g}, Now: func() time.Time { return now }}
	r, err := a.Acquire(t.Context(), "b", 600)
	require.NoError(t, err)
	h.Settle(now, r, 0)

	_, err = h.Lend(now, "b", "id", "router-1/b", 500, 0)
	require.ErrorIs(t, err, grant.ErrInsufficientTokens)
	h.Borrow(now, "b", grant.Lot{Part: grant.Part{Holder: "router-1/b", Seq: 9, Tokens: 500}})
	one, err := h.Reserve(now, "b", 600)
	require.NoError(t, err)
	_, err = h.Reserve(now, "b", 1)
	require.ErrorIs(t, err, grant.ErrInsufficientTokens, "more than was granted")
	h.Settle(now, one, 600)
}
