// Package settlement closes the rows of a dead lender from the usage reports of its borrowers.
//
// A lender spends nothing itself: all that it is granted goes out in lots, and each borrower
// records what it used of its lots. The sum over all borrowers of a dead lender is therefore what
// was used, and the rest may be granted again. Two properties make the sum safe. The list of
// borrowers is complete: a lender lends only to borrowers whose names are durably in the store,
// and the list is sealed before any borrower is queried. Each report is final: a borrower that has
// reported its usage accepts no more tokens of that lender. Both also hold for a live lender that
// was presumed dead; it stops when it finds its row removed.
//
// The usage of a borrower that ended without a report is bounded by the lender's exposure limits.
// If these are unavailable too, nothing is settled: all that the lender held counts as used.
package settlement

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/ctxlock"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settlement")

var (
	// ErrSealed is returned when a lender's list is sealed because the lender was presumed dead.
	ErrSealed = errs.New("the list of borrowers is sealed")
	// ErrUsageUnknown is returned when a lender's rows can never be settled.
	ErrUsageUnknown = errs.New("borrower usage is permanently unknown")
	// ErrUsagePending is returned when a later attempt may settle a lender's rows.
	ErrUsagePending = errs.New("borrower usage is not known yet")
)

// borrowerList is the durable list of all processes that one lender ever lent to.
type borrowerList struct {
	Borrowers []string `json:"borrowers"`
	Sealed    bool     `json:"sealed,omitempty"`
	// Witnesses hold the lender's exposure limits. Term numbers their appointment; 0 means
	// that there are none.
	Witnesses []string `json:"witnesses,omitempty"`
	Term      int64    `json:"term,omitempty"`
	// Era is the store's era in which the list was written last. In a later one it may have been read from an older copy, and
	// may lack borrowers.
	Era store.Era `json:"era,omitempty"`
}

func decodeBorrowerList(value []byte) (borrowerList, error) {
	var l borrowerList
	if len(value) == 0 {
		return l, nil
	}
	return l, Error.Wrap(json.Unmarshal(value, &l))
}

// BorrowerRegistry manages a lender's own list of borrowers. It is safe for concurrent use.
type BorrowerRegistry struct {
	Store store.Store
	// Key is the store key of the list: the settler's prefix and the lender's incarnation.
	Key string
	// Era returns the store's newest known era; nil stands for a store that is never restored.
	Era func() store.Era

	writeMu ctxlock.Mutex // serializes writes to the store
	last    store.Item    // as last written; guarded by writeMu
	// witnesses and term are those of the last appointment; guarded by writeMu.
	witnesses []string
	term      int64
	mu        sync.Mutex
	// stored holds the borrowers that the store has in storedEra. In a later era it may lack them.
	stored    map[string]bool
	storedEra store.Era
}

func (r *BorrowerRegistry) era() store.Era {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}

// Admit adds borrowers to the list and returns nil once the store durably has all the names. Its
// errors are ErrSealed and those of the store.
func (r *BorrowerRegistry) Admit(ctx context.Context, borrowers ...string) error {
	if r.Has(borrowers...) {
		return nil
	}
	if err := r.lockWrites(ctx); err != nil {
		return err
	}
	defer r.writeMu.Unlock()
	if r.Has(borrowers...) {
		return nil
	}
	borrowers = append(r.names(), borrowers...) // a restored store may lack earlier ones
	updated, err := r.writeLocked(ctx, func(l *borrowerList) { l.Borrowers = sortedUnion(l.Borrowers, borrowers) })
	if err != nil {
		return err
	}
	r.setStored(updated)
	return nil
}

// appoint records the witnesses under a new term, which it returns: in the list, or before the first borrower in memory, from where
// the admission of that borrower takes them to the list. Its errors are those of Admit.
func (r *BorrowerRegistry) appoint(ctx context.Context, witnesses []string) (term int64, err error) {
	if err := r.lockWrites(ctx); err != nil {
		return 0, err
	}
	defer r.writeMu.Unlock()
	if !r.HasBorrowers() {
		r.witnesses, r.term = witnesses, r.term+1
		return r.term, nil
	}
	updated, err := r.writeLocked(ctx, func(l *borrowerList) {
		l.Witnesses = witnesses
		l.Term++
	})
	if err == nil {
		r.witnesses, r.term = updated.Witnesses, updated.Term
	}
	return updated.Term, err
}

// lockWrites locks writeMu. Its error wraps store.ErrUnavailable: nothing was written.
func (r *BorrowerRegistry) lockWrites(ctx context.Context) error {
	if err := r.writeMu.Lock(ctx); err != nil {
		return store.Error.Wrap(errors.Join(store.ErrUnavailable, store.ErrUnknown, err))
	}
	return nil
}

// writeLocked changes the list in the store. If a response is lost, the change may be applied twice.
func (r *BorrowerRegistry) writeLocked(ctx context.Context, change func(*borrowerList)) (borrowerList, error) {
	var updated borrowerList
	item, err := store.UpdateFrom(ctx, r.Store, r.Key, r.last, func(old store.Item) ([]byte, error) {
		var err error
		if updated, err = decodeBorrowerList(old.Value); err != nil {
			return nil, err
		}
		if updated.Sealed {
			return nil, Error.Wrap(ErrSealed)
		}
		if updated.Term < r.term { // not written yet, or read from an older copy
			updated.Witnesses, updated.Term = r.witnesses, r.term
		}
		change(&updated)
		updated.Era = max(old.Revision.Era(), r.era())
		return json.Marshal(updated)
	})
	if err != nil {
		return borrowerList{}, err
	}
	r.last = item
	return updated, nil
}

// HasBorrowers reports whether the list has any borrowers.
func (r *BorrowerRegistry) HasBorrowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stored) > 0
}

// Outdated reports whether the list has to be written again, since the store was restored.
func (r *BorrowerRegistry) Outdated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stored) > 0 && r.storedEra < r.era()
}

func (r *BorrowerRegistry) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.stored))
}

// Remove deletes the list of a lender that has given everything back.
func (r *BorrowerRegistry) Remove(ctx context.Context) error {
	item, err := r.Store.Get(ctx, r.Key)
	if err != nil || item.Revision == 0 {
		return err
	}
	return r.Store.Delete(ctx, r.Key, item.Revision)
}

// Has reports whether all the names are confirmed to be in the store.
func (r *BorrowerRegistry) Has(names ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storedEra < r.era() {
		return false
	}
	return !slices.ContainsFunc(names, func(name string) bool { return !r.stored[name] })
}

func (r *BorrowerRegistry) setStored(l borrowerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.storedEra = map[string]bool{}, l.Era
	for _, name := range l.Borrowers {
		r.stored[name] = true
	}
}

// sortedUnion returns the sorted union of a and b.
func sortedUnion(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
