package settlement

import (
	"maps"
	"slices"
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
	// ErrWitnessEnds is returned when a witness ends and has handed its limits over.
	ErrWitnessEnds = errs.New("the witness ends")
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
	// Of lists the witnesses whose limits these are if one that ends hands them over.
	Of []string `json:"of,omitempty"`
}

// AnyTerm requests the limits of a witness's last term of a lender.
const AnyTerm = 0

// WitnessAnswer is a witness's answer about a lender.
type WitnessAnswer struct {
	// Known is set when the witness has all the lender's limits in the requested term, which is Term.
	Known  bool                 `json:"known"`
	Term   int64                `json:"term,omitempty"`
	Limits grant.ExposureLimits `json:"limits,omitempty"`
	// Of lists the witnesses of the term whose limits are included, if others have handed theirs over.
	Of []string `json:"of,omitempty"`
}

// Witness holds the exposure limits of other lenders. The zero value is empty; it is safe for
// concurrent use.
type Witness struct {
	// ID is the incarnation of this witness.
	ID string

	mu       sync.Mutex
	byLender map[string]*lenderLimits
	closed   bool
}

// lenderLimits holds the limits of one lender.
type lenderLimits struct {
	term       int64
	limits     grant.ExposureLimits
	lastNotice time.Time
	// own is set if the lender has sent all limits of the term, handedOver lists the witnesses of the term that ended and sent theirs.
	own        bool
	handedOver []string
}

// witnesses lists the witnesses of the term whose limits are included.
func (l *lenderLimits) witnesses(self string) []string {
	if !l.own {
		return slices.Clone(l.handedOver)
	}
	return append(slices.Clone(l.handedOver), self)
}

// Apply merges the notice's limits into those that the witness holds, so that a notice may arrive
// late or twice. Its errors are ErrNotAppointed, ErrWitnessFull and ErrWitnessEnds.
func (w *Witness) Apply(now time.Time, notice Notice) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byLender[notice.Lender]
	switch {
	case w.closed:
		return Error.Wrap(ErrWitnessEnds)
	case entry != nil && notice.Term < entry.term,
		!notice.Full && (entry == nil || entry.term != notice.Term || !entry.own):
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
	entry.merge(notice)
	entry.lastNotice = now
	return nil
}

func (l *lenderLimits) merge(notice Notice) {
	if l.term != notice.Term {
		l.term, l.own, l.handedOver = notice.Term, false, nil
	}
	l.limits.Merge(notice.Limits)
	l.own = l.own || len(notice.Of) == 0
	l.handedOver = sortedUnion(l.handedOver, notice.Of)
}

// Limits returns the limits of a lender that were sent to this witness in a term, or in AnyTerm also those of others.
func (w *Witness) Limits(lender string, term int64) WitnessAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.byLender[lender]
	if entry == nil || term != AnyTerm && (entry.term != term || !entry.own) {
		return WitnessAnswer{}
	}
	answer := WitnessAnswer{Known: true, Term: entry.term, Limits: entry.limits.Clone()}
	if len(entry.handedOver) > 0 {
		answer.Of = entry.witnesses(w.ID)
	}
	return answer
}

// Close ends the witness: it accepts no more limits. It returns those of lenders for which gone is true, to be handed over to another
// witness. A lender that still runs has appointed others, or will.
func (w *Witness) Close(gone func(lender string) bool) (out []Notice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for lender, entry := range w.byLender {
		if gone(lender) {
			out = append(out, Notice{Lender: lender, Term: entry.term, Full: true, Limits: entry.limits.Clone(), Of: entry.witnesses(w.ID)})
		}
	}
	return out
}

// Forget drops the lenders whose last notice came before the given time and for which gone is true.
func (w *Witness) Forget(before time.Time, gone func(lender string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.byLender, func(lender string, entry *lenderLimits) bool {
		return entry.lastNotice.Before(before) && gone(lender)
	})
}
