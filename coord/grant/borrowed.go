package grant

// lenderUse is what a borrower used of one lender, over the borrower's whole life.
type lenderUse struct {
	// closed is the use of lots that were closed, by budget.
	closed map[string]int64
}

// mostLenders bounds the lenders whose use is remembered. A fleet has a few hundred lives a
// day; beyond the bound a borrower says that it does not know.
const mostLenders = 4096

// Borrowed is what a holder used of all that it ever borrowed from one lender.
type Borrowed struct {
	// Known says that the holder remembers all of it.
	Known bool `json:"known"`
	// Used maps budgets to tokens. What requests that still run have set aside counts in
	// full, and Open says that there are such.
	Used map[string]int64 `json:"used,omitempty"`
	Open bool             `json:"open,omitempty"`
}

// noteClosedLocked adds a closed lot to what was used of its lender.
func (h *Holder) noteClosedLocked(budget string, l *lot) {
	u := h.lenders[l.Holder]
	if u == nil {
		if len(h.lenders) == mostLenders {
			h.forgotLenders = true
			return
		}
		u = &lenderUse{closed: map[string]int64{}}
		h.lenders[l.Holder] = u
	}
	u.closed[budget] += l.used
}

// BorrowedFrom tells what was used of a lender that is gone, and takes nothing more of it
// from then on. The guard is against a lender that only seemed to be gone: what it lends
// after this word is used by nobody, so that the word stays true.
func (h *Holder) BorrowedFrom(lender string) Borrowed {
	h.ExcludeHolder(lender)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Borrowed{Known: !h.forgotLenders, Used: map[string]int64{}}
	if u := h.lenders[lender]; u != nil {
		for budget, n := range u.closed {
			out.Used[budget] = n
		}
	}
	for _, b := range h.books {
		for _, l := range b.lots {
			if l.Holder != lender {
				continue
			}
			out.Used[b.budget] += l.used + l.reserved
			out.Open = out.Open || l.reserved > 0
		}
	}
	return out
}
