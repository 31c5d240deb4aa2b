package account

import "slices"

// RemovedRow is what a holder used under rows that were removed. Accounts keep the newest ones, so that a restoration of the
// store does not count them twice or not at all.
type RemovedRow struct {
	Holder  string `json:"h"`
	Settled int64  `json:"s"`
}

// maxRemovedRows bounds the removed rows that an account keeps. A budget has one primary holder and a few standbys at a time, and
// copies of the store are seconds old.
const maxRemovedRows = 4

// recordRemoved adds to what a holder used under removed rows.
func (a *Account) recordRemoved(holder string, settled int64) {
	total := settled + a.removedBy(holder)
	a.Removed = slices.DeleteFunc(a.Removed, func(r RemovedRow) bool { return r.Holder == holder })
	a.Removed = append(a.Removed, RemovedRow{Holder: holder, Settled: total})
	if over := len(a.Removed) - maxRemovedRows; over > 0 {
		a.Removed = slices.Delete(a.Removed, 0, over)
	}
}

func (a *Account) removedBy(holder string) int64 {
	for _, r := range a.Removed {
		if r.Holder == holder {
			return r.Settled
		}
	}
	return 0
}

// Confirmation is what a holder has of its rows of one budget.
type Confirmation struct {
	// Row is its current row, nil if it has none.
	Row *Row `json:"row,omitempty"`
	// Removed is what it used under earlier rows, which were removed.
	Removed int64 `json:"removed,omitempty"`
}

// Most returns the most that the holder can have used if nothing more is known of it.
func (c Confirmation) Most() int64 {
	if c.Row == nil {
		return c.Removed
	}
	return c.Removed + c.Row.Granted - c.Row.Returned
}

// Confirm replaces the row of a running holder on a page that was read from an older copy.
func (a *Account) Confirm(holder string, c Confirmation) {
	delete(a.Rows, holder)
	if lost := c.Removed - a.removedBy(holder); lost > 0 {
		a.RemovedSettled += lost
		a.recordRemoved(holder, lost)
	}
	if c.Row != nil {
		*a.ensureRow(holder) = *c.Row
	}
}

// ConfirmEnded removes the row of a holder that has ended, of which is known what it used of the budget in all. A page that
// was read from an older copy may lack some of that, or the row.
func (a *Account) ConfirmEnded(holder string, used int64) {
	if r := a.Rows[holder]; r != nil {
		used = max(used, r.Settled+a.removedBy(holder))
		delete(a.Rows, holder)
	}
	if lost := used - a.removedBy(holder); lost > 0 {
		a.RemovedSettled += lost
		a.recordRemoved(holder, lost)
	}
}

// ForfeitFree forfeits all free tokens and returns how many: somebody may have been granted them.
func (a *Account) ForfeitFree() int64 {
	n := max(0, a.Free())
	a.Forfeited += n
	return n
}

// CoverDeficit records by how much holders have more than the page's credit, once all of them have confirmed their rows. It
// happens where the page lacks a raise of the prepaid part; the next raise covers it.
func (a *Account) CoverDeficit() {
	a.Deficit = max(0, a.Deficit-a.Free())
}

// takeFromDeficit uses raised credit to reduce the deficit.
func (a *Account) takeFromDeficit() {
	if n := min(a.Deficit, a.Free()); n > 0 {
		a.Deficit -= n
	}
}
