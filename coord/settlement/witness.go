package settlement

import (
	"maps"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/zeebo/errs"
)

var (
	// ErrNotAppointed says that a lender tells changes to a witness that knows no limits of
	// this term yet, or a later term's.
	ErrNotAppointed = errs.New("the witness does not know this lender's term")
	// ErrWitnessFull says that a witness knows too many lenders.
	ErrWitnessFull = errs.New("the witness knows too many lenders")
)

// mostWitnessed bounds the lenders that one witness knows.
const mostWitnessed = 1024

// Notice is a lender's limits of exposure as it tells them to a witness. They only rise.
type Notice struct {
	// Lender is the lender's life.
	Lender string `json:"lender"`
	// Term numbers the lender's appointments of witnesses, from 1.
	Term int64 `json:"term"`
	// Full says that the lender has no other limits; else these are the changed ones.
	Full  bool                 `json:"whole,omitempty"`
	Limits grant.ExposureLimits `json:"limits"`
}

// WitnessAnswer is what a witness knows of a lender.
type WitnessAnswer struct {
	// Known says that the lender has told all its limits in the term that was asked for.
	Known  bool                 `json:"known"`
	Limits grant.ExposureLimits `json:"limits,omitempty"`
}

// Witness keeps other lenders' limits of exposure. The zero value knows nobody; it is safe for
// concurrent use.
type Witness struct {
	mu       sync.Mutex
	byLender map[string]*witnessed
}

// witnessed is what is known of one lender.
type witnessed struct {
	term   int64
	limits grant.ExposureLimits
	heard  time.Time
}

// Apply takes limits. They are merged, so that a message may come late or twice.
func (w *Witness) Apply(now time.Time, in Notice) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byLender[in.Lender]
	switch {
	case known != nil && in.Term < known.term,
		!in.Full && (known == nil || known.term != in.Term):
		return Error.Wrap(ErrNotAppointed)
	case known == nil:
		if len(w.byLender) >= mostWitnessed {
			return Error.Wrap(ErrWitnessFull)
		}
		known = &witnessed{limits: grant.ExposureLimits{}}
		if w.byLender == nil {
			w.byLender = map[string]*witnessed{}
		}
		w.byLender[in.Lender] = known
	}
	known.term, known.heard = in.Term, now
	known.limits.Merge(in.Limits)
	return nil
}

// Limits tells what is known of a lender in a term.
func (w *Witness) Limits(lender string, term int64) WitnessAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byLender[lender]
	if known == nil || known.term != term {
		return WitnessAnswer{}
	}
	return WitnessAnswer{Known: true, Limits: known.limits.Clone()}
}

// Forget drops the lenders that were last heard before a time and for which gone holds.
func (w *Witness) Forget(before time.Time, gone func(lender string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.byLender, func(lender string, known *witnessed) bool {
		return known.heard.Before(before) && gone(lender)
	})
}
