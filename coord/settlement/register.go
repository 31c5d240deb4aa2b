// Package settlement ends the row of a dead lender by the word of its borrowers.
//
// A lender spends nothing itself: all that it is granted goes out in lots, and borrowers know
// what they used of each. So when a lender has died, the sum over all its borrowers is what
// was used, and the rest may be granted again. Two things make the sum safe. The list of
// borrowers is complete: a lender lends to nobody before the store has the name durably, and
// the list is sealed before anybody is asked. And each word is final: a borrower that has
// told what it used takes nothing more from that lender. Both hold also for a lender that was
// only thought to be dead; its row is gone then, and it stops by itself.
//
// If one borrower was never heard and cannot be asked, nothing is settled: what its lender held
// counts as used.
package settlement

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settlement")

var (
	// ErrSealed says that the lender's list is closed: it was taken for dead.
	ErrSealed = errs.New("the list of borrowers is sealed")
	// ErrUsageUnknown says that what a lender held can never be settled.
	ErrUsageUnknown = errs.New("a borrower's word is missing for good")
	// ErrUsagePending says that a later try may settle it.
	ErrUsagePending = errs.New("a borrower's word is missing now")
)

// list is the durable list of those that one lender ever lent to.
type list struct {
	Borrowers []string `json:"borrowers"`
	Sealed    bool     `json:"sealed,omitempty"`
	// Witnesses know the lender's limits of exposure, and Term numbers their appointment; 0
	// stands for none.
	Witnesses []string `json:"witnesses,omitempty"`
	Term      int64    `json:"term,omitempty"`
}

func decodeList(value []byte) (list, error) {
	var l list
	if len(value) == 0 {
		return l, nil
	}
	return l, Error.Wrap(json.Unmarshal(value, &l))
}

// BorrowerRegistry is a lender's own list. It is safe for concurrent use.
type BorrowerRegistry struct {
	Store store.Store
	// Key is where the list lies: the settler's prefix and the lender's life.
	Key string

	writing sync.Mutex // one write at a time
	last    store.Item // as last written; guarded by writing
	mu      sync.Mutex
	known   map[string]bool
}

// Admit returns nil when the store durably has all the names. Its errors are ErrSealed and
// those of the store.
func (r *BorrowerRegistry) Admit(ctx context.Context, borrowers ...string) error {
	if r.Has(borrowers...) {
		return nil
	}
	r.writing.Lock()
	defer r.writing.Unlock()
	if r.Has(borrowers...) {
		return nil
	}
	now, err := r.writeLocked(ctx, func(l *list) { l.Borrowers = merged(l.Borrowers, borrowers) })
	if err != nil {
		return err
	}
	r.note(now.Borrowers)
	return nil
}

// appoint names witnesses in a new term, which it returns. Its errors are those of Admit.
func (r *BorrowerRegistry) appoint(ctx context.Context, witnesses []string) (term int64, err error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	now, err := r.writeLocked(ctx, func(l *list) {
		l.Witnesses = witnesses
		l.Term++
	})
	return now.Term, err
}

// writeLocked changes the list in the store. An answer may be lost, so that a change is made twice.
func (r *BorrowerRegistry) writeLocked(ctx context.Context, change func(*list)) (list, error) {
	var now list
	item, err := store.UpdateFrom(ctx, r.Store, r.Key, r.last, func(old store.Item) ([]byte, error) {
		var err error
		if now, err = decodeList(old.Value); err != nil {
			return nil, err
		}
		if now.Sealed {
			return nil, Error.Wrap(ErrSealed)
		}
		change(&now)
		return json.Marshal(now)
	})
	if err != nil {
		return list{}, err
	}
	r.last = item
	return now, nil
}

// HasBorrowers reports whether anybody was admitted.
func (r *BorrowerRegistry) HasBorrowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.known) > 0
}

// Remove deletes the list of a lender that has given everything back.
func (r *BorrowerRegistry) Remove(ctx context.Context) error {
	item, err := r.Store.Get(ctx, r.Key)
	if err != nil || item.Revision == 0 {
		return err
	}
	return r.Store.Delete(ctx, r.Key, item.Revision)
}

// Has reports whether all the names are known to be in the store.
func (r *BorrowerRegistry) Has(names ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(names, func(name string) bool { return !r.known[name] })
}

func (r *BorrowerRegistry) note(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = map[string]bool{}
	for _, name := range names {
		r.known[name] = true
	}
}

// merged is the sorted union.
func merged(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
