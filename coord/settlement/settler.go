package settlement

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Settler settles dead lenders.
type Settler struct {
	Store store.Store
	// Prefix begins the keys of lists; a lender's life follows.
	Prefix string
	// AskBorrower asks a borrower for its final word on a lender. An error means that it did not
	// answer.
	AskBorrower func(ctx context.Context, borrower, lender string) (grant.Borrowed, error)
	// AskWitness asks a witness for a lender's limits of exposure in a term. An error means that
	// it did not answer. It may be nil: then a borrower's word that is missing is missing for good.
	AskWitness func(ctx context.Context, witness, lender string, term int64) (WitnessAnswer, error)
	// Ended reports whether the life of a borrower or witness has certainly ended.
	Ended func(life string) bool
	// Answers keeps what borrowers told, between tries.
	Answers *AnswerCache
}

// mostAsked bounds the borrowers that are asked at the same time.
const mostAsked = 16

// Settlement is what became of one lender's rows on one page, by budget in tokens.
type Settlement struct {
	// Used is what borrowers used of it, Freed what may be granted again.
	Used, Freed map[string]int64
	// Missing are the borrowers whose word is missing for good; the most that they can have
	// used is in Used.
	Missing []string
}

// Settle ends the dead lender's rows on a page. With patient set it waits for requests that
// still run on the lender's lots, so that what they do not use is freed as well; else what
// they set aside counts as used. Its errors are ErrUnsettled, ErrNotYet and the store's; after
// each of them the rows are as they were.
func (s *Settler) Settle(ctx context.Context, lender, page string, patient bool) (Settlement, error) {
	sealed, err := s.seal(ctx, lender)
	if err != nil {
		return Settlement{}, err
	}
	s.ask(ctx, lender, sealed.Borrowers)
	used, missing, err := s.sum(lender, sealed.Borrowers, patient)
	if err != nil {
		return Settlement{}, err
	}
	if len(missing) > 0 {
		// All of these are over before any witness is asked: none can be lent anything later.
		limits, err := s.limits(ctx, lender, sealed)
		if err != nil {
			return Settlement{}, err
		}
		addMissing(used, missing, limits)
	}
	out, err := s.end(ctx, lender, page, used)
	out.Missing = missing
	return out, err
}

// sum adds what borrowers told, and names those whose word is missing for good.
func (s *Settler) sum(lender string, borrowers []string, patient bool) (used map[string]int64, missing []string, err error) {
	used = map[string]int64{}
	var wait bool
	for _, borrower := range borrowers {
		word, heard := s.Answers.of(lender, borrower)
		over := s.Ended(borrower)
		switch {
		case over && (!heard || !word.Known):
			missing = append(missing, borrower)
			continue
		case !heard, !word.Known:
			// A borrower that does not know may go on spending until it is over.
			return nil, nil, Error.Wrap(ErrUsagePending)
		case word.Open && patient && !over:
			wait = true
		}
		for budget, n := range word.Used {
			used[budget] += n
		}
	}
	if wait {
		return nil, nil, Error.Wrap(ErrUsagePending)
	}
	return used, missing, nil
}

// addMissing adds the most that borrowers can have used whose word is missing for good.
func addMissing(used map[string]int64, missing []string, limits grant.ExposureLimits) {
	for budget, byBorrower := range limits {
		for _, borrower := range missing {
			used[budget] += byBorrower[borrower]
		}
	}
}

// limits are a dead lender's limits of exposure by all its witnesses.
func (s *Settler) limits(ctx context.Context, lender string, sealed list) (grant.ExposureLimits, error) {
	if s.AskWitness == nil || len(sealed.Witnesses) == 0 {
		return nil, Error.Wrap(ErrUsageUnknown)
	}
	limits := grant.ExposureLimits{}
	for _, witness := range sealed.Witnesses {
		told, err := s.testimony(ctx, witness, lender, sealed.Term)
		if err != nil {
			return nil, err
		}
		limits.Merge(told)
	}
	return limits, nil
}

// testimony asks one witness, unless its answer is kept: that one is final, for nothing that the
// lender tells later was lent to anyone.
func (s *Settler) testimony(ctx context.Context, witness, lender string, term int64) (grant.ExposureLimits, error) {
	if limits, ok := s.Answers.limitsOf(lender, witness); ok {
		return limits, nil
	}
	told, err := s.AskWitness(ctx, witness, lender, term)
	switch {
	case err != nil && s.Ended(witness), err == nil && !told.Known:
		return nil, Error.Wrap(ErrUsageUnknown)
	case err != nil:
		return nil, Error.Wrap(ErrUsagePending)
	}
	s.Answers.keepLimits(lender, witness, told.Limits)
	return told.Limits, nil
}

// ask asks those borrowers for their word whose last one may still change, or was never heard. All
// are asked at once: one that does not answer would else keep the others, some of which may be
// about to die, from being heard.
func (s *Settler) ask(ctx context.Context, lender string, borrowers []string) {
	var wg sync.WaitGroup
	places := make(chan struct{}, mostAsked)
	for _, borrower := range borrowers {
		if word, heard := s.Answers.of(lender, borrower); heard && !word.Open {
			continue
		}
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			if word, err := s.AskBorrower(ctx, borrower, lender); err == nil {
				s.Answers.keep(lender, borrower, word)
			}
		})
	}
	wg.Wait()
}

// seal closes the list and returns it. A lender without one is not known to have listed
// anybody, so it cannot be settled: its list may have been removed.
func (s *Settler) seal(ctx context.Context, lender string) (list, error) {
	var sealed list
	_, err := store.Update(ctx, s.Store, s.Prefix+lender, func(old store.Item) ([]byte, error) {
		if old.Revision == 0 {
			return nil, Error.Wrap(ErrUsageUnknown)
		}
		var err error
		if sealed, err = decodeList(old.Value); err != nil {
			return nil, err
		}
		sealed.Sealed = true
		return json.Marshal(sealed)
	})
	return sealed, err
}

// end writes the page. The lender's own reports are a part of what was used: it heard of
// some lots before it died.
func (s *Settler) end(ctx context.Context, lender, page string, used map[string]int64) (Settlement, error) {
	var out Settlement
	_, err := store.Update(ctx, s.Store, page, func(old store.Item) ([]byte, error) {
		p, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		out = Settlement{Used: map[string]int64{}, Freed: map[string]int64{}}
		for budget, a := range p.Accounts {
			row := a.Rows[lender]
			if row == nil {
				continue
			}
			out.Used[budget] = max(used[budget], row.Settled)
			if out.Freed[budget], err = a.Recover(lender, out.Used[budget]-row.Settled, 0); err != nil {
				return nil, err
			}
		}
		if len(out.Used) == 0 {
			return old.Value, nil
		}
		return p.Encode()
	})
	return out, err
}

// Forget deletes the list of a settled lender once no page under the prefix has a row of it.
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
	register := BorrowerRegistry{Store: s.Store, Key: s.Prefix + lender}
	return register.Remove(ctx)
}
