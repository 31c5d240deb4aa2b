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

func (c *AnswerCache) reportOf(lender, borrower string) (report grant.Borrowed, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, ok = c.byLender[lender][borrower]
	return report, ok
}

// setReport stores a borrower's report. A report with Known unset does not replace one with Known
// set: the next incarnation on a borrower's VM sends such a report when it is queried at the
// address of the previous one.
func (c *AnswerCache) setReport(lender, borrower string, report grant.Borrowed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byLender[lender][borrower].Known && !report.Known {
		return
	}
	if c.byLender == nil {
		c.byLender = map[string]map[string]grant.Borrowed{}
	}
	if c.byLender[lender] == nil {
		c.byLender[lender] = map[string]grant.Borrowed{}
	}
	c.byLender[lender][borrower] = report
}

// Forget drops all answers about a lender that is settled or can never be.
func (c *AnswerCache) Forget(lender string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byLender, lender)
	delete(c.limits, lender)
}

func (c *AnswerCache) limitsOf(lender, witness string) (limits grant.ExposureLimits, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits, ok = c.limits[lender][witness]
	return limits, ok
}

func (c *AnswerCache) setLimits(lender, witness string, limits grant.ExposureLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits == nil {
		c.limits = map[string]map[string]grant.ExposureLimits{}
	}
	if c.limits[lender] == nil {
		c.limits[lender] = map[string]grant.ExposureLimits{}
	}
	c.limits[lender][witness] = limits
}
