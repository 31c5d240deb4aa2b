package grant

// lenderUse is what a borrower used of one lender's tokens since the borrower started.
type lenderUse struct {
	// closedUsed is the use of closed lots by budget.
	closedUsed map[string]int64
}

// maxLenders bounds the lenders whose use is recorded. A fleet starts a few hundred
// incarnations a day; beyond the bound a borrower reports that its record is incomplete.
const maxLenders = 4096

// Borrowed is what a holder used of all that it borrowed from one lender.
type Borrowed struct {
	// Known says that the record is complete.
	Known bool `json:"known"`
	// Used maps budgets to tokens. Open reservations of running requests count in full;
	// Open says that there are some.
	Used map[string]int64 `json:"used,omitempty"`
	Open bool             `json:"open,omitempty"`
}

// recordClosedLocked adds a closed lot to the use of its lender.
func (h *Holder) recordClosedLocked(budget string, l *lot) {
	u := h.lenders[l.Holder]
	if u == nil {
		if len(h.lenders) == maxLenders {
			h.lendersIncomplete = true
			return
		}
		u = &lenderUse{closedUsed: map[string]int64{}}
		h.lenders[l.Holder] = u
	}
	u.closedUsed[budget] += l.used
}

// BorrowedFrom returns what was used of a lender that was declared dead, and excludes the
// lender from then on. The exclusion guards against a lender that is alive after all: what it
// lends after this report is not used, so the report stays valid.
func (h *Holder) BorrowedFrom(lender string) Borrowed {
	h.ExcludeHolder(lender)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Borrowed{Known: !h.lendersIncomplete, Used: map[string]int64{}}
	if u := h.lenders[lender]; u != nil {
		for budget, n := range u.closedUsed {
			out.Used[budget] = n
		}
	}
	for _, b := range h.budgets {
		for _, l := range b.lots {
			if l.Holder != lender {
				continue
			}
			out.Used[b.name] += l.used + l.reserved
			out.Open = out.Open || l.reserved > 0
		}
	}
	return out
}
