package settlement

import (
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/grant"
)

// AnswerCache caches the answers of borrowers and witnesses about dead lenders. A borrower's report is
// kept even when the borrower dies later: after its first report a borrower accepts nothing more
// from that lender, so its last report, which includes the reservations of running requests, is
// an upper bound of what it used. The zero value is empty; it is safe for concurrent use.
type AnswerCache struct {
	mu sync.Mutex
	// byLender holds the last reports by lender and borrower.
	byLender map[string]map[string]grant.Borrowed
	// limits holds the exposure limits that witnesses returned, by lender and witness.
	limits map[string]map[string]grant.ExposureLimits
}

func (w *AnswerCache) reportOf(lender, borrower string) (report grant.Borrowed, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report, ok = w.byLender[lender][borrower]
	return report, ok
}

// setReport stores a borrower's report. A report without data does not replace one with data: the
// next incarnation on a borrower's VM answers so when it is queried at the previous one's address.
func (w *AnswerCache) setReport(lender, borrower string, report grant.Borrowed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byLender[lender][borrower].Known && !report.Known {
		return
	}
	if w.byLender == nil {
		w.byLender = map[string]map[string]grant.Borrowed{}
	}
	if w.byLender[lender] == nil {
		w.byLender[lender] = map[string]grant.Borrowed{}
	}
	w.byLender[lender][borrower] = report
}

// Forget drops all answers about a lender that is settled or can never be.
func (w *AnswerCache) Forget(lender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byLender, lender)
	delete(w.limits, lender)
}

func (w *AnswerCache) limitsOf(lender, witness string) (limits grant.ExposureLimits, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limits, ok = w.limits[lender][witness]
	return limits, ok
}

func (w *AnswerCache) setLimits(lender, witness string, limits grant.ExposureLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limits == nil {
		w.limits = map[string]map[string]grant.ExposureLimits{}
	}
	if w.limits[lender] == nil {
		w.limits[lender] = map[string]grant.ExposureLimits{}
	}
	w.limits[lender][witness] = limits
}
