package grant

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/stretchr/testify/require"
)

// lentBudget returns a holder with three open lots of a budget for each of a number of borrowers.
func lentBudget(borrowers int) *Holder {
	h := NewHolder("lender/1", account.Layout{Prefix: "p/", Pages: 1}, RequestPolicy{})
	b := h.budgetLocked("team")
	b.lent = map[string]*lentLot{}
	for n := range 3 * borrowers {
		b.lent[fmt.Sprint(n)] = &lentLot{borrower: fmt.Sprint("router-", n%borrowers), at: time.Now()}
	}
	return h
}

// Guards against refusals that compare each lot with each borrower while the holder is locked: some 1 ms each with 330 borrowers, while
// callers that are refused come again and again.
func TestReservedByTakesOneStepForEachLot(t *testing.T) {
	borrowers, _ := lentBudget(3).ReservedBy("team")
	require.ElementsMatch(t, []string{"router-0", "router-1", "router-2"}, borrowers)
	h := lentBudget(3000)
	took := func(call func()) time.Duration {
		least := time.Duration(math.MaxInt64) // the machine may be busy
		for range 5 {
			began := time.Now()
			call()
			least = min(least, time.Since(began))
		}
		return least
	}
	oneStep := took(func() { h.LentLots() })
	require.Less(t, took(func() { h.ReservedBy("team") }), 10*oneStep)
}
