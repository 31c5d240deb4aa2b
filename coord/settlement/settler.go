package settlement

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Settler settles the rows of dead lenders.
type Settler struct {
	Store store.Store
	// Prefix is the key prefix of the lists; a lender's incarnation follows it.
	Prefix string
	// AskBorrower requests a borrower's final usage report on a lender. An error means that the borrower
	// did not answer.
	AskBorrower func(ctx context.Context, borrower, lender string) (grant.Borrowed, error)
	// AskWitness requests a lender's exposure limits in a term from a witness. An error means that
	// the witness did not answer. If it is nil, a lender with a missing report cannot be settled.
	AskWitness func(ctx context.Context, witness, lender string, term int64) (WitnessAnswer, error)
	// Ended reports whether the incarnation of a borrower or witness has certainly ended.
	Ended func(incarnation string) bool
	// Routers lists all processes that may have borrowed and were known when the store was restored after an era, or since. It
	// completes lists of borrowers that were written in that era: they may have been read from an older copy of the store.
	Routers func(since store.Era) []string
	// Answers caches the answers of borrowers and witnesses between attempts.
	Answers *AnswerCache
}

// maxConcurrentQueries bounds the borrowers that are queried concurrently.
const maxConcurrentQueries = 16

// Settlement is the result for one lender's rows on one page. Amounts are tokens by budget.
type Settlement struct {
	// Used is what borrowers used, Freed what may be granted again.
	Used, Freed map[string]int64
	// Missing lists the borrowers that ended without a report; Used includes the most that they
	// can have used.
	Missing []string
}

// Settle removes the dead lender's rows from a page. With waitForRunning set it returns ErrUsagePending
// while requests still run on the lender's lots, so that what they do not use is freed as well;
// otherwise their reservations count as used. Its errors are ErrUsageUnknown, ErrUsagePending and the
// store's; each of them leaves the rows unchanged.
func (s *Settler) Settle(ctx context.Context, lender, page string, waitForRunning bool) (Settlement, error) {
	sealed, err := s.seal(ctx, lender)
	if errors.Is(err, ErrUsageUnknown) && s.hasNoRows(ctx, lender, page) {
		return Settlement{}, nil // it has given everything back, and its list is removed
	}
	if err != nil {
		return Settlement{}, err
	}
	s.queryBorrowers(ctx, lender, sealed.Borrowers)
	used, missing, err := s.sumReports(lender, sealed.Borrowers, waitForRunning)
	if err != nil {
		return Settlement{}, err
	}
	if len(missing) > 0 {
		// All of these ended before any witness is queried, so none of them can borrow later.
		limits, err := s.exposureLimits(ctx, lender, sealed)
		if err != nil {
			return Settlement{}, err
		}
		addMissingLimits(used, missing, limits)
	}
	result, err := s.endRows(ctx, lender, page, used)
	result.Missing = missing
	return result, err
}

// sumReports adds up the usage reports and lists the borrowers that ended without one.
func (s *Settler) sumReports(lender string, borrowers []string, waitForRunning bool) (used map[string]int64, missing []string, err error) {
	used = map[string]int64{}
	var running bool
	for _, borrower := range borrowers {
		report, received := s.Answers.reportOf(lender, borrower)
		ended := s.Ended(borrower)
		switch {
		case ended && (!received || !report.Known):
			missing = append(missing, borrower)
			continue
		case !received, !report.Known:
			// A borrower without a report may go on spending until it ends.
			return nil, nil, Error.Wrap(ErrUsagePending)
		case report.Open && waitForRunning && !ended:
			running = true
		}
		for budget, n := range report.Used {
			used[budget] += n
		}
	}
	if running {
		return nil, nil, Error.Wrap(ErrUsagePending)
	}
	return used, missing, nil
}

// addMissingLimits adds the most that borrowers without a report can have used.
func addMissingLimits(used map[string]int64, missing []string, limits grant.ExposureLimits) {
	for budget, byBorrower := range limits {
		for _, borrower := range missing {
			used[budget] += byBorrower[borrower]
		}
	}
}

// exposureLimits merges a dead lender's exposure limits from all its witnesses.
func (s *Settler) exposureLimits(ctx context.Context, lender string, sealed borrowerList) (grant.ExposureLimits, error) {
	if s.AskWitness == nil || len(sealed.Witnesses) == 0 {
		return nil, Error.Wrap(ErrUsageUnknown)
	}
	limits := grant.ExposureLimits{}
	for _, witness := range sealed.Witnesses {
		answer, err := s.witnessLimits(ctx, witness, lender, sealed.Term)
		if err != nil {
			return nil, err
		}
		limits.Merge(answer)
	}
	return limits, nil
}

// witnessLimits returns the answer of one witness. A cached answer is final: nothing is lent under
// limits that the lender sends later.
func (s *Settler) witnessLimits(ctx context.Context, witness, lender string, term int64) (grant.ExposureLimits, error) {
	if limits, ok := s.Answers.limitsOf(lender, witness); ok {
		return limits, nil
	}
	answer, err := s.AskWitness(ctx, witness, lender, term)
	switch {
	case err != nil && s.Ended(witness), err == nil && !answer.Known:
		return nil, Error.Wrap(ErrUsageUnknown)
	case err != nil:
		return nil, Error.Wrap(ErrUsagePending)
	}
	s.Answers.setLimits(lender, witness, answer.Limits)
	return answer.Limits, nil
}

// queryBorrowers requests reports from the borrowers that have none or whose last one may still
// change. The queries run concurrently: an unresponsive borrower would otherwise delay the reports
// of others, which may die before they are queried.
func (s *Settler) queryBorrowers(ctx context.Context, lender string, borrowers []string) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, borrower := range borrowers {
		if report, received := s.Answers.reportOf(lender, borrower); received && !report.Open {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if report, err := s.AskBorrower(ctx, borrower, lender); err == nil {
				s.Answers.setReport(lender, borrower, report)
			}
		})
	}
	wg.Wait()
}

// seal seals the list and returns it. Without a list the lender's borrowers are unknown, since the
// list may have been removed, so the result is ErrUsageUnknown.
func (s *Settler) seal(ctx context.Context, lender string) (borrowerList, error) {
	var sealed borrowerList
	_, err := store.Update(ctx, s.Store, s.Prefix+lender, func(old store.Item) ([]byte, error) {
		if old.Revision == 0 {
			return nil, Error.Wrap(ErrUsageUnknown)
		}
		var err error
		if sealed, err = decodeBorrowerList(old.Value); err != nil {
			return nil, err
		}
		sealed.Sealed = true
		if sealed.Era < old.Revision.Era() && s.Routers != nil {
			sealed.Borrowers = sortedUnion(sealed.Borrowers, s.Routers(sealed.Era))
		}
		return json.Marshal(sealed)
	})
	return sealed, err
}

// hasNoRows reports whether a page is known to have no row of a lender.
func (s *Settler) hasNoRows(ctx context.Context, lender, page string) bool {
	item, err := s.Store.Get(ctx, page)
	if err != nil {
		return false
	}
	p, err := account.Decode(item.Value)
	if err != nil {
		return false
	}
	for _, a := range p.Accounts {
		if a.Rows[lender] != nil {
			return false
		}
	}
	return true
}

// endRows removes the lender's rows from the page. What the lender itself had reported as settled is
// part of the usage: some lots were returned before it died.
func (s *Settler) endRows(ctx context.Context, lender, page string, used map[string]int64) (Settlement, error) {
	var result Settlement
	_, err := store.Update(ctx, s.Store, page, func(old store.Item) ([]byte, error) {
		p, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		if p.Closed(old.Revision.Era()) {
			return nil, Error.Wrap(ErrUsagePending) // the rows may lack grants
		}
		result = Settlement{Used: map[string]int64{}, Freed: map[string]int64{}}
		for budget, a := range p.Accounts {
			row := a.Rows[lender]
			if row == nil {
				continue
			}
			result.Used[budget] = max(used[budget], row.Settled)
			if result.Freed[budget], err = a.Recover(lender, result.Used[budget]-row.Settled, 0); err != nil {
				return nil, err
			}
		}
		if len(result.Used) == 0 {
			return old.Value, nil
		}
		return p.Encode()
	})
	return result, err
}

// Forget deletes the list of a settled lender once no page under the prefix has a row of the lender.
func (s *Settler) Forget(ctx context.Context, lender, pagePrefix string) error {
	pages, _, err := s.Store.Snapshot(ctx, pagePrefix)
	if err != nil {
		return err
	}
	for _, item := range pages {
		p, err := account.Decode(item.Value)
		if err != nil {
			return err
		}
		for _, a := range p.Accounts {
			if a.Rows[lender] != nil {
				return nil
			}
		}
	}
	registry := BorrowerRegistry{Store: s.Store, Key: s.Prefix + lender}
	return registry.Remove(ctx)
}
