package settlement

import (
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/grant"
)

// AnswerCache are what borrowers told of dead lenders. Each is kept although its borrower may die: from
// its first word on a borrower takes nothing more of that lender, so that what it told last, with
// all that its running requests had set aside, is the most that it can ever have used. The zero
// value is empty; it is safe for concurrent use.
type AnswerCache struct {
	mu sync.Mutex
	// byLender has the last words by lender and borrower.
	byLender map[string]map[string]grant.Borrowed
	// limits are those that witnesses told, by lender and witness.
	limits map[string]map[string]grant.ExposureLimits
}

func (w *AnswerCache) of(lender, borrower string) (word grant.Borrowed, heard bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	word, heard = w.byLender[lender][borrower]
	return word, heard
}

// keep notes a borrower's word. One that knows nothing does not replace one that did: the next life
// on a borrower's VM answers so when it is asked at the address of the life before.
func (w *AnswerCache) keep(lender, borrower string, word grant.Borrowed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byLender[lender][borrower].Known && !word.Known {
		return
	}
	if w.byLender == nil {
		w.byLender = map[string]map[string]grant.Borrowed{}
	}
	if w.byLender[lender] == nil {
		w.byLender[lender] = map[string]grant.Borrowed{}
	}
	w.byLender[lender][borrower] = word
}

// Forget drops what was told of a lender: it is settled, or can never be.
func (w *AnswerCache) Forget(lender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byLender, lender)
	delete(w.limits, lender)
}

func (w *AnswerCache) limitsOf(lender, witness string) (limits grant.ExposureLimits, heard bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limits, heard = w.limits[lender][witness]
	return limits, heard
}

func (w *AnswerCache) keepLimits(lender, witness string, limits grant.ExposureLimits) {
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
