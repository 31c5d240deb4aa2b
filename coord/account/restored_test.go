package account_test

import (
	"fmt"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// knownTotals are what the holders of an account know of their own rows.
type knownTotals struct {
	row     account.Row
	removed int64
}

// Guards against tokens that are granted twice, or counted as used twice, after an account was read from an older copy: once
// all holders have confirmed their rows, it says what it said before.
func TestConfirmedAccountSaysWhatWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &account.Account{Prepaid: 10_000}
		known := map[string]*knownTotals{"x": {}, "y": {}, "z": {}}
		copies := []account.Account{clone(a)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			holder := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder")
			n := rapid.Int64Range(0, 900).Draw(t, "amount")
			change(a, holder, known[holder], n, rapid.IntRange(0, 2).Draw(t, "operation"))
			copies = append(copies, clone(a))
		}
		restored := rapid.SampledFrom(copies).Draw(t, "copy")
		ended := rapid.Bool().Draw(t, "z has ended")
		for holder, k := range known {
			if holder == "z" && ended {
				restored.ConfirmEnded(holder, k.removed+k.row.Settled)
				continue
			}
			c := account.Confirmation{Removed: k.removed}
			if k.row.Granted > 0 {
				c.Row = &k.row
			}
			restored.Confirm(holder, c)
		}
		restored.CoverDeficit()
		require.NoError(t, restored.Check())
		require.Zero(t, restored.Deficit)
		require.Equal(t, a.Settled(), restored.Settled())
		held := a.Outstanding()
		if r := a.Rows["z"]; r != nil && ended {
			held -= r.Balance()
		}
		require.Equal(t, held, restored.Outstanding())
	})
}

// change grants to a holder, reports its use, or removes its row.
func change(a *account.Account, holder string, k *knownTotals, n int64, operation int) {
	switch operation {
	case 0:
		k.row.Granted += a.Grant(holder, n)
	case 1:
		k.row.Settled += min(n, k.row.Balance())
		_ = a.Report(holder, k.row) // fails without a row
	case 2:
		k.row.Returned += k.row.Balance()
		_ = a.Report(holder, k.row) // fails without a row
		if a.RemoveRow(holder) {
			k.removed += k.row.Settled
			k.row = account.Row{}
		}
	}
}

func clone(a *account.Account) account.Account {
	c := *a
	c.Rows, c.Removed = map[string]*account.Row{}, append([]account.RemovedRow(nil), a.Removed...)
	for holder, r := range a.Rows {
		row := *r
		c.Rows[holder] = &row
	}
	return c
}

// Guards against a page that can never be written again, or tokens from nowhere, where the copy lacks a raise of the
// prepaid part that holders already have.
func TestDeficitIsCoveredByTheNextRaise(t *testing.T) {
	for raised, free := range map[int64]int64{150: 0, 300: 50} {
		t.Run(fmt.Sprint(raised), func(t *testing.T) {
			a := &account.Account{Prepaid: 100, Version: 1}
			a.Confirm("x", account.Confirmation{Row: &account.Row{Granted: 250, Settled: 40}})
			a.CoverDeficit()
			require.NoError(t, a.Check())
			require.Zero(t, a.Free())
			require.True(t, a.SetPrepaid(2, raised))
			require.NoError(t, a.Check())
			require.Equal(t, free, a.Free())
		})
	}
}

// Guards against tokens that are granted although somebody may be spending them; a later raise is granted.
func TestForfeitedTokensAreNotGranted(t *testing.T) {
	a := &account.Account{Prepaid: 100, Version: 1}
	a.Grant("x", 30)
	require.EqualValues(t, 70, a.ForfeitFree())
	require.Zero(t, a.Grant("y", 10))
	a.SetPrepaid(2, 120)
	require.EqualValues(t, 20, a.Grant("y", 99))
}
