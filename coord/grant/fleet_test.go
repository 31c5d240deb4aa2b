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
		Timing: grant.DefaultTiming(), Transfers: true, ExpectedHolders: 2})
	ctx := t.Context()
	require.NoError(t, f.Accounts().Create(ctx, budget, "lakeshore"))
	if credit > 0 {
		require.NoError(t, f.Accounts().TopUp(ctx, budget, "first", credit))
	}
	var nodes []*lab.Node
	for _, dc := range []string{"cleveland", "detroit"} {
		_, err := f.AddAgent(ctx, dc+"-engine", dc)
		require.NoError(t, err)
		n, err := f.AddNode(ctx, dc+"-router", dc)
		require.NoError(t, err)
		n.SyncAllPages(ctx)
		nodes = append(nodes, n)
	}
	return f, nodes[0], nodes[1]
}

// spendAll serves requests of one token until the node refuses, and returns their number.
func spendAll(ctx context.Context, f *lab.Fleet, n *lab.Node) int64 {
	before := f.Served(budget)
	for i := 0; ; i++ {
		r, err := n.Serve(ctx, n.Holder.ID()+time.Duration(f.Served(budget)).String(), budget, 1)
		if err != nil {
			return f.Served(budget) - before
		}
		r.Finish(1)
	}
}

// Guards against overspend when two data centres are partitioned for an hour and both
// keep serving. A top-up during the partition reaches the store; a holder that spent
// tokens it does not hold would make the sum of both exceed the budget.
func TestHourOfPartitionWithTopUps(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Partition("detroit")
		farServed := spendAll(ctx, f, far)
		require.Positive(t, farServed, "tokens must be placed there before the partition")
		require.NoError(t, f.Accounts().TopUp(ctx, budget, "second", 500))
		for range 60 {
			f.Now = f.Now.Add(time.Minute)
			near.Sync(ctx)
			far.Sync(ctx)
			spendAll(ctx, f, near)
			spendAll(ctx, f, far)
		}
		require.LessOrEqual(t, f.Served(budget), int64(1500))
		f.Heal()
		f.Now = f.Now.Add(time.Minute)
		spendAll(ctx, f, far)
		spendAll(ctx, f, near)
		require.Equal(t, int64(1500), f.Served(budget), "no tokens may be lost")
	})
}

// Guards against refusals while the store is down for ten minutes and routers hold tokens,
// and against a store that does not match the served tokens after it is back.
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
		a, err := f.Accounts().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(400), a.Settled())
	})
}

// Guards against requests that wait for a slow store although the router holds enough
// tokens, and against a refill that misses its request's deadline. Each store call is
// delayed by 100 ms.
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

// Guards against tokens that are counted twice or lost when a write takes effect but its
// answer is lost: a grant, a report of settlements, a return, or the removal of an idle
// row.
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
				spendAll(ctx, f, near)
				f.Now = f.Now.Add(time.Minute)
				spendAll(ctx, f, far)
				if name == "return" {
					return // the stopped node has no tokens; far got all of them
				}
				f.Now = f.Now.Add(time.Minute)
				spendAll(ctx, f, near)
				require.Equal(t, int64(1000), f.Served(budget))
			})
		})
	}
}

// Guards against stranded tokens when a lender's answer with a lot is lost and the borrower
// gets another lot: the first one must be taken back, and a late answer must not add it
// again.
func TestLostLotIsReturned(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Down: true})
		spendOwn(ctx, f, near)
		f.DropLotReplies = 1
		_, err := near.Serve(ctx, "lost", budget, 50)
		require.ErrorIs(t, err, grant.ErrUnreachable)
		lots := far.Holder.LentLots()[near.Holder.ID()]
		require.Len(t, lots, 1)
		far.ReclaimLostLots()
		require.Empty(t, far.Holder.LentLots())
		near.Holder.Borrow(f.Now, budget, grant.Lot{Part: lots[0]}) // the late answer
		require.Equal(t, int64(0), near.Holder.State(f.Now)[0].Spendable)
		total := spendAll(ctx, f, near)
		f.Now = f.Now.Add(time.Minute)
		near.ReturnLots(time.Second)
		total += spendAll(ctx, f, far)
		require.Equal(t, int64(1000), f.Served(budget), "served %d after the loss", total)
	})
}

// spendOwn spends the node's own grant.
func spendOwn(ctx context.Context, f *lab.Fleet, n *lab.Node) {
	own := n.Holder.State(f.Now)[0].Available
	if r, err := n.Serve(ctx, "own", budget, own); err == nil {
		r.Finish(own)
	}
}

// Guards against lot messages that are not idempotent when they are retried or reordered:
// a retried request must get the same lot, a retried return must count once, and must
// not open the lot again.
func TestLotMessagesRepeatedAndReordered(t *testing.T) {
	f, near, far := newFleet(t, 1000)
	// An open reservation before the lot keeps the lot's settlement in the queue.
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

// Guards against a top-up that is credited twice: its answer is lost after it took effect,
// the operator retries it, and a second operator enters the same invoice.
func TestTopUpCountsOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, _, _ := newFleet(t, 0)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{LoseResponses: 1})
		done := make(chan error, 2)
		for range 2 {
			go func() { done <- f.Accounts().TopUp(ctx, budget, "invoice-1", 700) }()
		}
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		a, err := f.Accounts().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(700), a.Credit())
		err = f.Accounts().TopUp(ctx, budget, "invoice-1", 900)
		require.ErrorIs(t, err, account.ErrCreditDiffers)
	})
}

// Guards against overspend after an incomplete recovery of a router that is only paused. A
// peer had used a lot of it; if the peer dropped the lot, the resumed router would take it
// back as unused and spend it again.
func TestExcludedLenderIsStillSettled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Down: true})
		spendOwn(ctx, f, near)
		r, err := near.Serve(ctx, "lot", budget, 50)
		require.NoError(t, err)
		r.Finish(50)
		f.Store.SetFaults(memstore.Faults{})
		far.Paused = true
		f.Agents[1].Dead = true
		_, err = f.Recover(ctx, near.DC, far.Holder.ID(), false)
		require.Error(t, err, "one agent does not answer")
		far.Paused, f.Agents[1].Dead = false, false
		far.ReclaimLostLots()
		near.ReturnLots(0)
		far.ReclaimLostLots()
		f.Now = f.Now.Add(10 * time.Minute)
		far.Sync(ctx)
		a, err := f.Accounts().Get(ctx, budget)
		require.NoError(t, err)
		require.Equal(t, int64(50), a.Rows[far.Holder.ID()].Settled)
	})
}

// Guards against a request that spends its whole time on an unreachable store and is
// refused although a peer has tokens.
func TestStoreOutageLeavesTimeForPeers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		ctx := t.Context()
		f.Partition("cleveland", "detroit")
		spendOwn(ctx, f, near)
		r, err := near.Serve(ctx, "peer", budget, 50)
		require.NoError(t, err)
		require.Equal(t, far.Holder.ID(), r.Res.Parts[0].Holder)
	})
}

// Guards against a refusal of a request that waits for a sync which another request started,
// when that request is canceled.
func TestSyncOutlivesItsFirstCaller(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, far := newFleet(t, 1000)
		far.Dead = true
		require.NoError(t, f.Accounts().TopUp(t.Context(), budget, "second", 5000))
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

// Guards against refusing all of three concurrent requests that together need more than the
// budget has, although each alone would fit: one must be served.
func TestConcurrentWaitersAreNotExhausted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, near, _ := newFleet(t, 1000)
		ctx := t.Context()
		f.Store.SetFaults(memstore.Faults{Delay: 50 * time.Millisecond}) // makes all requests wait
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

// Guards against a restarted router that borrows from itself, since its earlier incarnation is
// still listed as a peer at the same address. A lot of its own would be settled with the first
// of the requests that share it, and what the others use would be spent twice.
func TestHolderDoesNotBorrowFromItself(t *testing.T) {
	now := time.Unix(1000, 0)
	layout := account.Layout{Prefix: "b/", Pages: 1}
	st := memstore.New()
	admin := account.AdminClient{Store: st, Layout: layout}
	require.NoError(t, admin.Create(t.Context(), "b", "pilots"))
	require.NoError(t, admin.TopUp(t.Context(), "b", "one", 1000))
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
