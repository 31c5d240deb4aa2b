// Package account holds the durable state of prepaid budgets: the credits, the
// grants to each holder, and the settled use.
//
// Accounts share pages, the unit of compare-and-swap in the store. All
// operations change only a page in memory; a caller applies them with
// store.Update. Each holder writes only its own row, with totals that only
// grow, so rewriting a row after a lost response changes nothing.
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
	// ErrNoAccount is returned when the page has no such budget.
	ErrNoAccount = errs.New("no such budget")
	// ErrExists is returned when the budget exists and belongs to another team.
	ErrExists = errs.New("budget exists for another team")
	// ErrCreditDiffers is returned when a top-up ID was used with another amount.
	ErrCreditDiffers = errs.New("top-up id was used with another amount")
	// ErrInvariantViolated is returned for a page that violates the invariant. Such a page
	// is never written and never spent from.
	ErrInvariantViolated = errs.New("account invariant violated")
	// ErrNoRow is returned when the holder has no row.
	ErrNoRow = errs.New("holder has no row")
	// ErrTotalDecreased is returned for a report that would lower a total that only grows.
	ErrTotalDecreased = errs.New("report lowers a total")
	// ErrBadAmount is returned when an amount is not positive or too large.
	ErrBadAmount = errs.New("amount must be positive and below 2^53")
)

// MaxTokens bounds every amount, so that JSON numbers represent totals exactly.
const MaxTokens = int64(1) << 53

// Row is the share of a budget that one holder (one incarnation of a process)
// has. All amounts are tokens and totals since the row was created.
type Row struct {
	// Granted is what the account granted to the holder.
	Granted int64 `json:"g"`
	// Returned is what the holder returned unspent.
	Returned int64 `json:"r,omitempty"`
	// Settled is what the reservations numbered up to Through used.
	Settled int64 `json:"s,omitempty"`
	// Through is the watermark of settled reservations: Settled includes every
	// one numbered up to it and none above it.
	Through int64 `json:"t,omitempty"`
	// Since is a store revision from before the oldest reservation above
	// Through was made: earlier evidence is not needed.
	Since int64 `json:"v,omitempty"`
	// Demand is the holder's recent use in tokens per second.
	Demand float64 `json:"d,omitempty"`
}

// Balance is what the holder may still spend according to the row.
func (r *Row) Balance() int64 { return r.Granted - r.Returned - r.Settled }

// Account is one prepaid budget.
type Account struct {
	Team string `json:"team"`
	// Credits maps the ID of each top-up to its tokens; a repeated ID counts once.
	Credits map[string]int64 `json:"credits,omitempty"`
	// Prepaid is the part of the credit that the operators' configuration sets,
	// and Version the configuration version that last changed it.
	Prepaid int64 `json:"prepaid,omitempty"`
	Version int64 `json:"version,omitempty"`
	// RemovedSettled is the settled total of rows that were removed. Removed lists the newest of them, oldest first.
	RemovedSettled int64        `json:"folded,omitempty"`
	Removed        []RemovedRow `json:"removed,omitempty"`
	// Deficit is by how much holders were found to have more than the credit after the store was restored.
	Deficit int64 `json:"deficit,omitempty"`
	// Forfeited is what recovery could not prove unspent; it is never granted.
	Forfeited int64 `json:"forfeited,omitempty"`
	// Released maps the ID of each operator's release order to the forfeited
	// tokens that it released.
	Released map[string]int64 `json:"released,omitempty"`
	// Rows maps a holder to its row.
	Rows map[string]*Row `json:"rows,omitempty"`
}

// Credit is the sum of all top-ups and the prepaid part.
func (a *Account) Credit() int64 { return sum(a.Credits) + a.Prepaid }

// Settled is the use that holders have reported.
func (a *Account) Settled() int64 {
	n := a.RemovedSettled
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
	return a.Credit() + a.Deficit - a.Settled() - a.Outstanding() - a.Forfeited
}

// Unspent is what is left of the budget, free or outstanding, without forfeits.
func (a *Account) Unspent() int64 { return a.Credit() - a.Settled() - a.Forfeited }

// Check verifies the invariant: settled + outstanding + forfeited <= credits,
// and no amount negative or too large.
func (a *Account) Check() error {
	amounts := []int64{a.Credit(), a.Prepaid, a.RemovedSettled, a.Deficit, a.Forfeited, a.Free()}
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

// TopUp credits n tokens once for each ID and reports whether the credit is new. Its
// errors are ErrCreditDiffers and ErrBadAmount.
func (a *Account) TopUp(id string, n int64) (bool, error) {
	if credited, ok := a.Credits[id]; ok {
		if credited != n {
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

// SetPrepaid sets the configuration's part of the credit to n tokens and reports whether
// that changed it. A version older than the one that last changed it has no effect: a
// process with a stale configuration would otherwise revert later decisions of operators.
// Lowering it takes back only free tokens, never those that holders may be spending.
func (a *Account) SetPrepaid(version, n int64) bool {
	if version <= a.Version || n < 0 || n > MaxTokens {
		return false
	}
	a.Version = version // stored with the next change; does not cause a write by itself
	if n == a.Prepaid {
		return false
	}
	a.Prepaid = max(n, a.Prepaid-max(0, a.Free()))
	a.takeFromDeficit()
	return true
}

// Grant grants up to n free tokens to the holder and returns how many.
func (a *Account) Grant(holder string, n int64) int64 {
	n = min(n, a.Free())
	if n <= 0 {
		return 0
	}
	a.ensureRow(holder).Granted += n
	return n
}

// Report writes a holder's own totals into its row. Its errors are ErrNoRow,
// ErrTotalDecreased and ErrInvariantViolated.
func (a *Account) Report(holder string, r Row) error {
	row := a.Rows[holder]
	if row == nil {
		return Error.Wrap(ErrNoRow)
	}
	if r.Settled < row.Settled || r.Through < row.Through || r.Returned < row.Returned {
		return Error.Wrap(ErrTotalDecreased)
	}
	row.Settled, row.Through, row.Returned = r.Settled, r.Through, r.Returned
	row.Since, row.Demand = r.Since, r.Demand
	if row.Balance() < 0 {
		return Error.Wrap(ErrInvariantViolated)
	}
	return nil
}

// RemoveRow removes the row of a holder with a zero balance and adds its settled
// total to RemovedSettled. It reports whether it removed the row.
func (a *Account) RemoveRow(holder string) bool {
	r := a.Rows[holder]
	if r == nil || r.Balance() != 0 {
		return false
	}
	a.RemovedSettled += r.Settled
	a.recordRemoved(holder, r.Settled)
	delete(a.Rows, holder)
	return true
}

// Recover removes a dead holder's row. Used is what the evidence shows beyond the
// row's Settled (reservations above Through), and forfeit is what could not be
// proved unspent. The rest becomes free again; its amount is returned.
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
	a.RemovedSettled += r.Settled + used
	a.recordRemoved(holder, r.Settled+used)
	a.Forfeited += forfeit
	delete(a.Rows, holder)
	return rest, nil
}

// Release frees up to n forfeited tokens on an operator's order, once for each ID,
// and returns how many that order freed.
func (a *Account) Release(id string, n int64) (int64, error) {
	if released, ok := a.Released[id]; ok {
		return released, nil
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

func (a *Account) ensureRow(holder string) *Row {
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

// AddHolder creates an empty row for the holder, so that its demand counts before it
// has tokens.
func (a *Account) AddHolder(holder string) { a.ensureRow(holder) }
