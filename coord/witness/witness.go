// Package witness records at an agent which reservations its upstream served and what they used.
package witness

import (
	"slices"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/incarnation"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("witness")

var (
	// ErrFenced is returned when the spender, or a holder whose tokens are used, is
	// fenced: its tokens were recovered, or will be.
	ErrFenced = errs.New("holder is fenced")
	// ErrRunning is returned when a run with the same ID has not ended.
	ErrRunning = errs.New("request is running")
	// ErrCancelled is returned when the router has cancelled the reservation.
	ErrCancelled = errs.New("reservation was given up")
	// ErrFull is returned when too many runs have outcomes that are not reported yet.
	ErrFull = errs.New("too many outcomes are not reported")
)

// FencedError is an ErrFenced with the name of the holder.
type FencedError struct{ Holder string }

// Error implements error.
func (e *FencedError) Error() string { return "witness: " + e.Holder + ": " + ErrFenced.Error() }

// Unwrap returns ErrFenced.
func (e *FencedError) Unwrap() error { return ErrFenced }

// Run is one run of a request.
type Run struct {
	// ID is the request ID.
	ID string
	// Spender is the router's incarnation.
	Spender     string
	Reservation grant.Reservation
}

// Witness records what each reservation used at this upstream, until the
// holder of the tokens has reported it durably. Tokens are served only through
// agents, so together their witnesses hold all evidence about a dead holder.
//
// It also enforces fences: a holder that was presumed dead and resumes is refused
// here, whatever its own state.
type Witness struct {
	maxRuns int

	mu       sync.Mutex
	records  map[string]*record   // by request ID, the newest run
	rows     map[row]*rowEvidence // by the row that holds the tokens
	keptRuns int                  // runs whose evidence is kept
	fenced   map[string]bool
	cancels  map[cancelKey]struct{}
	// cancelOrder lists the keys of cancels, oldest first.
	cancelOrder []cancelKey
	fencedUpTo  map[string]int64 // by VM, its newest fenced incarnation
}

// row identifies one holder's row of one budget.
type row struct{ holder, budget string }

// rowEvidence holds what a row's reservations used here.
type rowEvidence struct {
	trimmedThrough int64
	bySeq          map[int64]*usage
}

// usage holds what one reservation used here.
type usage struct {
	spender string
	running int
	used    int64
	runs    []*record
}

// record is a run and its state.
type record struct {
	run  Run
	done bool
	refs int // number of parts whose evidence is still kept
}

// New returns an empty witness for up to limit runs.
func New(limit int) *Witness {
	return &Witness{maxRuns: limit, records: map[string]*record{}, rows: map[row]*rowEvidence{},
		fenced: map[string]bool{}, cancels: map[cancelKey]struct{}{}, fencedUpTo: map[string]int64{}}
}

// Begin records the start of a run. Its errors are FencedError, ErrCancelled, ErrRunning and
// ErrFull.
func (w *Witness) Begin(run Run) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkLocked(run); err != nil {
		return err
	}
	rec := &record{run: run, refs: len(run.Reservation.Parts)}
	w.records[run.ID] = rec
	w.keptRuns++
	for _, p := range run.Reservation.Parts {
		u := w.ensureUsageLocked(row{p.Holder, run.Reservation.Budget}, p.Seq)
		u.spender = run.Spender
		u.running++
		u.runs = append(u.runs, rec)
	}
	return nil
}

func (w *Witness) checkLocked(run Run) error {
	holders := []string{run.Spender}
	for _, p := range run.Reservation.Parts {
		holders = append(holders, p.Holder)
	}
	if i := slices.IndexFunc(holders, w.fencedLocked); i >= 0 {
		return &FencedError{Holder: holders[i]}
	}
	for _, p := range run.Reservation.Parts {
		if _, isCancelled := w.cancels[cancelKey{row{p.Holder, run.Reservation.Budget}, p.Seq}]; isCancelled {
			return Error.Wrap(ErrCancelled)
		}
	}
	switch rec := w.records[run.ID]; {
	case rec != nil && !rec.done:
		return Error.Wrap(ErrRunning)
	case w.keptRuns >= w.maxRuns:
		return Error.Wrap(ErrFull)
	}
	return nil
}

func (w *Witness) fencedLocked(holder string) bool {
	if w.fenced[holder] {
		return true
	}
	vm, count, err := incarnation.Parse(holder)
	return err != nil || count <= w.fencedUpTo[vm]
}

func (w *Witness) ensureUsageLocked(r row, seq int64) *usage {
	ev := w.rows[r]
	if ev == nil {
		ev = &rowEvidence{bySeq: map[int64]*usage{}}
		w.rows[r] = ev
	}
	u := ev.bySeq[seq]
	if u == nil {
		u = &usage{}
		ev.bySeq[seq] = u
	}
	return u
}

// End records what the request used.
func (w *Witness) End(id string, used int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := w.records[id]
	if rec == nil || rec.done {
		return
	}
	rec.done = true
	if rec.refs == 0 { // it used no tokens, so no holder reports it
		w.forgetLocked(rec)
	}
	r := rec.run.Reservation
	for _, p := range r.Split(used) {
		u := w.ensureUsageLocked(row{p.Holder, r.Budget}, p.Seq)
		u.running--
		u.used += p.Tokens
	}
}

// Trim discards the evidence that holders have reported durably, up to their
// watermarks of a budget.
func (w *Witness) Trim(budget string, watermarks map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for holder, through := range watermarks {
		r := row{holder, budget}
		ev := w.rows[r]
		if ev == nil || ev.trimmedThrough >= through {
			continue
		}
		ev.trimmedThrough = through
		for seq, u := range ev.bySeq {
			if seq <= through && u.running == 0 {
				w.dropLocked(r, ev, seq, u)
			}
		}
	}
}

// dropLocked discards one reservation, and the runs that no other part refers to.
func (w *Witness) dropLocked(r row, ev *rowEvidence, seq int64, u *usage) {
	delete(ev.bySeq, seq)
	if len(ev.bySeq) == 0 {
		delete(w.rows, r)
	}
	for _, rec := range u.runs {
		if rec.refs--; rec.refs == 0 {
			w.forgetLocked(rec)
		}
	}
}

func (w *Witness) forgetLocked(rec *record) {
	w.keptRuns--
	if w.records[rec.run.ID] == rec {
		delete(w.records, rec.run.ID)
	}
}

// Resolve returns the state of a reservation here. An unknown reservation has not begun and is
// cancelled: its run may still wait in a queue or on a connection that its router has abandoned,
// and the router, which gets the reply that nothing ran, spends the tokens again.
func (w *Witness) Resolve(r grant.Reservation) (used int64, running, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range r.Parts {
		u := w.findUsageLocked(row{p.Holder, r.Budget}, p.Seq)
		if u == nil {
			w.cancelLocked(row{p.Holder, r.Budget}, p.Seq)
			continue
		}
		known = true
		used += u.used
		running = running || u.running > 0
	}
	return used, running, known
}

func (w *Witness) findUsageLocked(r row, seq int64) *usage {
	if ev := w.rows[r]; ev != nil {
		return ev.bySeq[seq]
	}
	return nil
}

// cancelKey identifies a cancelled reservation.
type cancelKey struct {
	row
	seq int64
}

// cancelLocked refuses a reservation from now on. Beyond the limit the oldest
// cancellations are discarded; by then their runs have passed their deadlines.
func (w *Witness) cancelLocked(r row, seq int64) {
	c := cancelKey{r, seq}
	if _, ok := w.cancels[c]; ok {
		return
	}
	w.cancels[c] = struct{}{}
	w.cancelOrder = append(w.cancelOrder, c)
	if len(w.cancelOrder) > w.maxRuns {
		delete(w.cancels, w.cancelOrder[0])
		w.cancelOrder = w.cancelOrder[1:]
	}
}

// Fence refuses the holder's tokens and the holder as a spender from now on, and
// returns the evidence about both.
func (w *Witness) Fence(holder string) recovery.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced[holder] = true
	var evidence recovery.Evidence
	for r, ev := range w.rows {
		for seq, u := range ev.bySeq {
			if r.holder != holder && u.spender != holder {
				continue
			}
			evidence.Running += u.running
			evidence.Uses = append(evidence.Uses, recovery.Use{Holder: r.holder, Budget: r.budget, Seq: seq, Used: u.used})
		}
	}
	return evidence
}

// RestoreFences sets the fences that were active before this process started: for each
// VM its newest fenced incarnation.
func (w *Witness) RestoreFences(upTo map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, count := range upTo {
		w.fencedUpTo[vm] = max(w.fencedUpTo[vm], count)
	}
}

// Forget drops all evidence about the row of a holder whose recovery is complete.
func (w *Witness) Forget(holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, ev := range w.rows {
		if r.holder != holder {
			continue
		}
		for seq, u := range ev.bySeq {
			w.dropLocked(r, ev, seq, u)
		}
	}
}

// Rows lists, for each holder, the budgets about which evidence is kept.
func (w *Witness) Rows() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string][]string{}
	for r := range w.rows {
		out[r.holder] = append(out[r.holder], r.budget)
	}
	return out
}

// State is a summary of a witness for debug dumps.
type State struct {
	Runs   int      `json:"runs"`
	Rows   int      `json:"rows"`
	Fenced []string `json:"fenced"`
}

// State returns the witness's counts and fenced holders.
func (w *Witness) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{Runs: w.keptRuns, Rows: len(w.rows)}
	for h := range w.fenced {
		s.Fenced = append(s.Fenced, h)
	}
	return s
}
