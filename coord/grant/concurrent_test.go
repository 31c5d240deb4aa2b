package grant_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/stretchr/testify/require"
)

// Guards against lots and exposure limits that are changed without the holder's lock. Run with the
// race detector.
func TestLotsAreSafeForConcurrentUse(t *testing.T) {
	const rounds, lot = 500, 5
	h := newStoreHolder(t, 100_000)
	_, err := h.acquirer().Acquire(t.Context(), "team", lot)
	require.NoError(t, err)
	borrower := grant.NewHolder("borrower", account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	h.pages.Holder.LimitExposure()
	var wg sync.WaitGroup
	repeat := func(do func(n int)) {
		wg.Go(func() {
			for n := range rounds {
				do(n)
			}
		})
	}
	lender := h.pages.Holder
	for g := range 4 {
		repeat(func(n int) {
			lender.RaiseExposure(lender.ExposureFor(time.Now(), "team", "borrower", lot, time.Second))
			l, err := lender.Lend(time.Now(), "team", fmt.Sprint(g, "/", n), "borrower", lot, lot)
			if err != nil {
				return // concurrent lots used up the tokens or the limit
			}
			borrower.Borrow(time.Now(), "team", l)
		})
	}
	repeat(func(int) {
		for _, r := range borrower.CloseLots(time.Now()) {
			lender.TakeBack(time.Now(), r)
			borrower.Acknowledge(r)
		}
	})
	repeat(func(int) { lender.ExposureWanted(time.Now(), time.Second) })
	repeat(func(int) { lender.ExposureLimits() })
	repeat(func(int) { lender.LentLots() })
	repeat(func(int) { lender.LentTo("borrower") })
	repeat(func(int) { borrower.Disown([]grant.Part{{Holder: "unknown", Seq: 1, Tokens: 1}}) })
	wg.Wait()
	for _, r := range borrower.CloseLots(time.Now().Add(time.Second)) {
		lender.TakeBack(time.Now(), r)
	}
	require.Empty(t, lender.LentLots())
}

// Guards against a BorrowedFrom report that misses tokens because requests on the lender's lots
// settle at the same time.
func TestBorrowedFromIsSafeForConcurrentUse(t *testing.T) {
	const lots, tokens = 200, 5
	borrower := grant.NewHolder("borrower", account.Layout{Prefix: "p/", Pages: 1}, grant.HorizonPolicy{})
	var open []grant.Reservation
	for n := range lots {
		borrower.Borrow(time.Now(), "team", grant.Lot{Part: grant.Part{Holder: "lender", Seq: int64(n + 1), Tokens: tokens}})
		r, err := borrower.Reserve(time.Now(), "team", tokens)
		require.NoError(t, err)
		open = append(open, r)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, r := range open {
			borrower.Settle(time.Now(), r, tokens)
			borrower.CloseLots(time.Now())
		}
	})
	for range lots {
		report := borrower.BorrowedFrom("lender")
		require.EqualValues(t, lots*tokens, report.Used["team"], "used or reserved")
	}
	wg.Wait()
	require.False(t, borrower.BorrowedFrom("lender").Open)
}
