package settlement

import (
	"maps"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/zeebo/errs"
)

var (
	// ErrNotAppointed is returned for a notice of changed limits if the witness has no full set
	// of limits for the notice's term, and for any notice of an earlier term than the witness's.
	ErrNotAppointed = errs.New("the witness has no limits for this term of the lender")
	// ErrWitnessFull is returned when a witness already holds limits for too many lenders.
	ErrWitnessFull = errs.New("the witness holds limits for too many lenders")
)

// maxWitnessedLenders bounds the lenders whose limits one witness holds.
const maxWitnessedLenders = 1024

// Notice carries a lender's exposure limits to a witness. Limits only rise.
type Notice struct {
	// Lender is the lender's incarnation.
	Lender string `json:"lender"`
	// Term numbers the lender's appointments of witnesses, from 1.
	Term int64 `json:"term"`
	// Full is set when Limits holds all the lender's limits, not only the changed ones.
	Full   bool                 `json:"whole,omitempty"`
	Limits grant.ExposureLimits `json:"limits"`
}

// AnyTerm requests the limits of a witness's last term of a lender.
const AnyTerm = 0

// WitnessAnswer is a witness's answer about a lender.
type WitnessAnswer struct {
	// Known is set when the witness has all the lender's limits in the requested term, which is Term.
	Known  bool                 `json:"known"`
	Term   int64                `json:"term,omitempty"`
	Limits grant.ExposureLimits `json:"limits,omitempty"`
}

// Witness holds the exposure limits of other lenders. The zero value is empty; it is safe for
// concurrent use.
type Witness struct {
	mu       sync.Mutex
	byLender map[string]*lenderLimits
}

// lenderLimits holds the limits of one lender.
type lenderLimits struct {
	term       int64
	limits     grant.ExposureLimits
	lastNotice time.Time
}

// Apply merges the notice's limits into those that the witness holds, so that a notice may arrive
// late or twice. Its errors are ErrNotAppointed and ErrWitnessFull.
func (w *Witness) Apply(now time.Time, notice Notice) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byLender[notice.Lender]
	switch {
	case entry != nil && notice.Term < entry.term,
		!notice.Full && (entry == nil || entry.term != notice.Term):
		return Error.Wrap(ErrNotAppointed)
	case entry == nil:
		if len(w.byLender) >= maxWitnessedLenders {
			return Error.Wrap(ErrWitnessFull)
		}
		entry = &lenderLimits{limits: grant.ExposureLimits{}}
		if w.byLender == nil {
			w.byLender = map[string]*lenderLimits{}
		}
		w.byLender[notice.Lender] = entry
	}
	entry.term, entry.lastNotice = notice.Term, now
	entry.limits.Merge(notice.Limits)
	return nil
}

// Limits returns the limits of a lender in a term, or in AnyTerm.
func (w *Witness) Limits(lender string, term int64) WitnessAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byLender[lender]
	if entry == nil || term != AnyTerm && entry.term != term {
		return WitnessAnswer{}
	}
	return WitnessAnswer{Known: true, Term: entry.term, Limits: entry.limits.Clone()}
}

// Forget drops the lenders whose last notice came before the given time and for which gone is true.
func (w *Witness) Forget(before time.Time, gone func(lender string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.byLender, func(lender string, entry *lenderLimits) bool {
		return entry.lastNotice.Before(before) && gone(lender)
	})
}
