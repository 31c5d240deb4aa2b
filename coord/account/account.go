// Package account holds the durable state of prepaid budgets: what was credited,
// what is granted to which holder, and what was settled.
//
// Accounts share pages, the unit of compare-and-swap in the store. All
// operations are pure changes of a page in memory; a caller applies them with
// store.Update. Each holder writes only its own row, with totals that only
// grow, so writing the same row again after a lost answer changes nothing.
package account

import (
	"maps"
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("account")

var (
	// ErrNoAccount says that the page has no such budget.
	ErrNoAccount = errs.New("no such budget")
	// ErrExists says that the budget exists with another owner.
	ErrExists = errs.New("budget exists for another team")
	// ErrCreditDiffers says that the id of a top-up was used with another amount.
	ErrCreditDiffers = errs.New("top-up id was used with another amount")
	// ErrInvariantViolated says that a page breaks the invariant; it is never written
	// and never spent from.
	ErrInvariantViolated = errs.New("invariant broken")
	// ErrNoRow says that the holder has no row.
	ErrNoRow = errs.New("holder has no row")
	// ErrTotalDecreased says that a report would lower a total that only grows.
	ErrTotalDecreased = errs.New("report goes backwards")
	// ErrBadAmount says that an amount is not positive or too large.
	ErrBadAmount = errs.New("amount must be positive and below 2^53")
)

// MaxTokens bounds every amount, so that totals fit JSON numbers exactly.
const MaxTokens = int64(1) << 53

// Row is what one holder (one incarnation of a process) has of a budget. All
// amounts are tokens and totals since the row was made.
type Row struct {
	// Granted is what the account handed to the holder.
	Granted int64 `json:"g"`
	// Returned is what the holder gave back unspent.
	Returned int64 `json:"r,omitempty"`
	// Settled is what reservations numbered up to Through used.
	Settled int64 `json:"s,omitempty"`
	// Through is the watermark of settled reservations: every one numbered
	// up to it is in Settled, none above it is.
	Through int64 `json:"t,omitempty"`
	// Since is a store revision from before the oldest reservation above
	// Through was made: evidence from earlier times is not needed.
	Since int64 `json:"v,omitempty"`
	// Demand is the holder's recent use in tokens a second.
	Demand float64 `json:"d,omitempty"`
}

// Balance is what the holder may still spend, by the row.
func (r *Row) Balance() int64 { return r.Granted - r.Returned - r.Settled }

// Account is one prepaid budget.
type Account struct {
	Team string `json:"team"`
	// Credits maps the id of each top-up to its tokens; a repeated id counts once.
	Credits map[string]int64 `json:"credits,omitempty"`
	// Prepaid is the part of the credit that the operators' configuration gives,
	// and Version the configuration that last changed it.
	Prepaid int64 `json:"prepaid,omitempty"`
	Version int64 `json:"version,omitempty"`
	// Folded is the settled total of rows that were removed.
	Folded int64 `json:"folded,omitempty"`
	// Forfeited is what recovery could not prove unspent; it is never granted.
	Forfeited int64 `json:"forfeited,omitempty"`
	// Released maps the id of each operator's order to the forfeited tokens
	// that it gave back.
	Released map[string]int64 `json:"released,omitempty"`
	// Rows maps a holder to its row.
	Rows map[string]*Row `json:"rows,omitempty"`
}

// Credit is the sum of all top-ups and of what the configuration gives.
func (a *Account) Credit() int64 { return sum(a.Credits) + a.Prepaid }

// Settled is what was used, as far as holders reported it.
func (a *Account) Settled() int64 {
	n := a.Folded
	for _, r := range a.Rows {
		n += r.Settled
	}
	return n
}

// Outstanding is what holders may still spend.
func (a *Account) Outstanding() int64 {
	var n int64
	for _, r := range a.Rows {
		n += r.Balance()
	}
	return n
}

// Free is what may be granted.
func (a *Account) Free() int64 {
	return a.Credit() - a.Settled() - a.Outstanding() - a.Forfeited
}

// Unspent is what is left of the budget, wherever it lies, without forfeits.
func (a *Account) Unspent() int64 { return a.Credit() - a.Settled() - a.Forfeited }

// Check verifies the invariant: settled + outstanding + forfeited <= credits,
// and no amount negative or too large.
func (a *Account) Check() error {
	amounts := []int64{a.Credit(), a.Prepaid, a.Folded, a.Forfeited, a.Free()}
	for _, r := range a.Rows {
		amounts = append(amounts, r.Granted, r.Returned, r.Settled, r.Through, r.Balance())
	}
	for _, n := range amounts {
		if n < 0 || n > MaxTokens {
			return Error.Wrap(ErrInvariantViolated)
		}
	}
	return nil
}

// TopUp credits n tokens once for each id. It reports whether the credit is new.
func (a *Account) TopUp(id string, n int64) (bool, error) {
	if have, ok := a.Credits[id]; ok {
		if have != n {
			return false, Error.Wrap(ErrCreditDiffers)
		}
		return false, nil
	}
	if n <= 0 || n > MaxTokens-a.Credit() {
		return false, Error.Wrap(ErrBadAmount)
	}
	if a.Credits == nil {
		a.Credits = map[string]int64{}
	}
	a.Credits[id] = n
	return true, nil
}

// SetPrepaid makes n tokens the configuration's part of the credit, and reports whether
// that changed anything. A configuration older than the one that last changed it has no
// effect: its reader is late, and would undo what operators decided since. A limit that
// is lowered takes back what is free, never what holders may already be spending.
func (a *Account) SetPrepaid(version, n int64) bool {
	if version <= a.Version || n < 0 || n > MaxTokens {
		return false
	}
	a.Version = version // goes along with the next write; alone it is not worth one
	if n == a.Prepaid {
		return false
	}
	a.Prepaid = max(n, a.Prepaid-max(0, a.Free()))
	return true
}

// Grant hands up to n free tokens to the holder and returns how many.
func (a *Account) Grant(holder string, n int64) int64 {
	n = min(n, a.Free())
	if n <= 0 {
		return 0
	}
	a.row(holder).Granted += n
	return n
}

// Report merges a holder's own totals into its row.
func (a *Account) Report(holder string, r Row) error {
	have := a.Rows[holder]
	if have == nil {
		return Error.Wrap(ErrNoRow)
	}
	if r.Settled < have.Settled || r.Through < have.Through || r.Returned < have.Returned {
		return Error.Wrap(ErrTotalDecreased)
	}
	have.Settled, have.Through, have.Returned = r.Settled, r.Through, r.Returned
	have.Since, have.Demand = r.Since, r.Demand
	if have.Balance() < 0 {
		return Error.Wrap(ErrInvariantViolated)
	}
	return nil
}

// Fold removes the row of a holder that has nothing left and keeps its settled
// total. It reports whether it did.
func (a *Account) Fold(holder string) bool {
	r := a.Rows[holder]
	if r == nil || r.Balance() != 0 {
		return false
	}
	a.Folded += r.Settled
	delete(a.Rows, holder)
	return true
}

// Recover ends a dead holder's row. Used is what the evidence shows beyond the
// row's Settled (reservations above Through), and forfeit is what could not be
// proved unspent. The rest becomes free again; it is returned.
func (a *Account) Recover(holder string, used, forfeit int64) (int64, error) {
	r := a.Rows[holder]
	if r == nil {
		return 0, nil
	}
	if used < 0 || forfeit < 0 {
		return 0, Error.Wrap(ErrBadAmount)
	}
	used = min(used, r.Balance())
	forfeit = min(forfeit, r.Balance()-used)
	rest := r.Balance() - used - forfeit
	a.Folded += r.Settled + used
	a.Forfeited += forfeit
	delete(a.Rows, holder)
	return rest, nil
}

// Release gives up to n forfeited tokens back on an operator's order, once for
// each id, and returns how many the order gave back.
func (a *Account) Release(id string, n int64) (int64, error) {
	if done, ok := a.Released[id]; ok {
		return done, nil
	}
	if n <= 0 {
		return 0, Error.Wrap(ErrBadAmount)
	}
	n = min(n, a.Forfeited)
	if a.Released == nil {
		a.Released = map[string]int64{}
	}
	a.Released[id] = n
	a.Forfeited -= n
	return n, nil
}

// Holders lists the holders with rows, sorted.
func (a *Account) Holders() []string { return slices.Sorted(maps.Keys(a.Rows)) }

func (a *Account) row(holder string) *Row {
	if a.Rows == nil {
		a.Rows = map[string]*Row{}
	}
	r := a.Rows[holder]
	if r == nil {
		r = &Row{}
		a.Rows[holder] = r
	}
	return r
}

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		if v > math.MaxInt64-n {
			return math.MaxInt64
		}
		n += v
	}
	return n
}

// AddHolder makes an empty row for the holder, so that its demand counts before it
// has tokens.
func (a *Account) AddHolder(holder string) { a.row(holder) }
