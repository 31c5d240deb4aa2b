// Package witness remembers, beside an upstream, what was served of whose tokens.
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
	// ErrFenced says that the spender, or a holder whose tokens are used, was
	// shut out: its tokens were recovered, or will be.
	ErrFenced = errs.New("holder is fenced")
	// ErrRunning says that a run with the same id has not ended.
	ErrRunning = errs.New("request is running")
	// ErrCancelled says that the router has given the reservation up.
	ErrCancelled = errs.New("reservation was given up")
	// ErrFull says that too many outcomes are not reported yet.
	ErrFull = errs.New("too many outcomes are not reported")
)

// FencedError is an ErrFenced that names the holder.
type FencedError struct{ Holder string }

// Error implements error.
func (e *FencedError) Error() string { return "witness: " + e.Holder + ": " + ErrFenced.Error() }

// Unwrap returns ErrFenced.
func (e *FencedError) Unwrap() error { return ErrFenced }

// Run is one run of a request.
type Run struct {
	// ID is the request's identity.
	ID string
	// Spender is the router's incarnation.
	Spender     string
	Reservation grant.Reservation
}

// Witness remembers what each reservation used at this upstream, until the
// holder of the tokens has reported it durably. Tokens are served only through
// agents, so together their witnesses are the whole evidence for a dead holder.
//
// It is also the fence: a holder that was thought dead and wakes up is refused
// here, whatever it believes.
type Witness struct {
	limit int

	mu      sync.Mutex
	records map[string]*record   // by request id, the newest run
	rows    map[row]*rowEvidence // by the source of the tokens
	count   int                  // runs whose evidence is kept
	fenced  map[string]bool
	cancels map[cancelled]struct{}
	// cancelOrder lists the cancels, the oldest first.
	cancelOrder []cancelled
	upTo        map[string]int64 // by VM, its newest life that is shut out
}

// row is one holder's row of one budget.
type row struct{ holder, budget string }

// rowEvidence is what a row's reservations used here.
type rowEvidence struct {
	trimmed int64
	bySeq   map[int64]*uses
}

// uses is what one reservation used here.
type uses struct {
	spender string
	running int
	used    int64
	runs    []*record
}

// record is a run and what became of it.
type record struct {
	run  Run
	done bool
	left int // parts whose evidence is still kept
}

// New returns an empty witness of up to limit runs.
func New(limit int) *Witness {
	return &Witness{limit: limit, records: map[string]*record{}, rows: map[row]*rowEvidence{},
		fenced: map[string]bool{}, cancels: map[cancelled]struct{}{}, upTo: map[string]int64{}}
}

// Begin notes that a request starts. It refuses a fenced source, an id that is
// known here, and work for which there is no room.
func (w *Witness) Begin(run Run) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.refuseLocked(run); err != nil {
		return err
	}
	rec := &record{run: run, left: len(run.Reservation.Parts)}
	w.records[run.ID] = rec
	w.count++
	for _, p := range run.Reservation.Parts {
		u := w.usesLocked(row{p.Holder, run.Reservation.Budget}, p.Seq)
		u.spender = run.Spender
		u.running++
		u.runs = append(u.runs, rec)
	}
	return nil
}

func (w *Witness) refuseLocked(run Run) error {
	holders := []string{run.Spender}
	for _, p := range run.Reservation.Parts {
		holders = append(holders, p.Holder)
	}
	if i := slices.IndexFunc(holders, w.shutOutLocked); i >= 0 {
		return &FencedError{Holder: holders[i]}
	}
	for _, p := range run.Reservation.Parts {
		if _, gone := w.cancels[cancelled{row{p.Holder, run.Reservation.Budget}, p.Seq}]; gone {
			return Error.Wrap(ErrCancelled)
		}
	}
	switch rec := w.records[run.ID]; {
	case rec != nil && !rec.done:
		return Error.Wrap(ErrRunning)
	case w.count >= w.limit:
		return Error.Wrap(ErrFull)
	}
	return nil
}

func (w *Witness) shutOutLocked(holder string) bool {
	if w.fenced[holder] {
		return true
	}
	vm, count, err := incarnation.Parse(holder)
	return err != nil || count <= w.upTo[vm]
}

func (w *Witness) usesLocked(r row, seq int64) *uses {
	ev := w.rows[r]
	if ev == nil {
		ev = &rowEvidence{bySeq: map[int64]*uses{}}
		w.rows[r] = ev
	}
	u := ev.bySeq[seq]
	if u == nil {
		u = &uses{}
		ev.bySeq[seq] = u
	}
	return u
}

// End notes what the request used.
func (w *Witness) End(id string, used int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := w.records[id]
	if rec == nil || rec.done {
		return
	}
	rec.done = true
	if rec.left == 0 { // it cost nothing, so nobody reports it
		w.forgetLocked(rec)
	}
	r := rec.run.Reservation
	for _, p := range r.Split(used) {
		u := w.usesLocked(row{p.Holder, r.Budget}, p.Seq)
		u.running--
		u.used += p.Tokens
	}
}

// Trim forgets the evidence that holders have reported durably, given their
// watermarks of a budget.
func (w *Witness) Trim(budget string, watermarks map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for holder, through := range watermarks {
		r := row{holder, budget}
		ev := w.rows[r]
		if ev == nil || ev.trimmed >= through {
			continue
		}
		ev.trimmed = through
		for seq, u := range ev.bySeq {
			if seq <= through && u.running == 0 {
				w.dropLocked(r, ev, seq, u)
			}
		}
	}
}

// dropLocked forgets one reservation, and the runs that no other part keeps.
func (w *Witness) dropLocked(r row, ev *rowEvidence, seq int64, u *uses) {
	delete(ev.bySeq, seq)
	if len(ev.bySeq) == 0 {
		delete(w.rows, r)
	}
	for _, rec := range u.runs {
		if rec.left--; rec.left == 0 {
			w.forgetLocked(rec)
		}
	}
}

func (w *Witness) forgetLocked(rec *record) {
	w.count--
	if w.records[rec.run.ID] == rec {
		delete(w.records, rec.run.ID)
	}
}

// Resolve returns what became of a reservation here. When it is not known, its run has
// not begun, and never will: the run may still wait in a queue or on a connection that
// its router has given up, and the router, told that nothing ran, spends the tokens
// again.
func (w *Witness) Resolve(r grant.Reservation) (used int64, running, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range r.Parts {
		u := w.findLocked(row{p.Holder, r.Budget}, p.Seq)
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

func (w *Witness) findLocked(r row, seq int64) *uses {
	if ev := w.rows[r]; ev != nil {
		return ev.bySeq[seq]
	}
	return nil
}

// cancelled is one reservation that was given up.
type cancelled struct {
	row
	seq int64
}

// cancelLocked refuses a reservation from now on. The oldest cancellations are
// forgotten beyond the limit; by then their runs have passed their deadlines.
func (w *Witness) cancelLocked(r row, seq int64) {
	c := cancelled{r, seq}
	if _, ok := w.cancels[c]; ok {
		return
	}
	w.cancels[c] = struct{}{}
	w.cancelOrder = append(w.cancelOrder, c)
	if len(w.cancelOrder) > w.limit {
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
	var out recovery.Evidence
	for r, ev := range w.rows {
		for seq, u := range ev.bySeq {
			if r.holder != holder && u.spender != holder {
				continue
			}
			out.Running += u.running
			out.Uses = append(out.Uses, recovery.Use{Holder: r.holder, Budget: r.budget, Seq: seq, Used: u.used})
		}
	}
	return out
}

// RestoreFences sets the fences that were in force before this process started: for each
// VM its newest life that is shut out.
func (w *Witness) RestoreFences(upTo map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, count := range upTo {
		w.upTo[vm] = max(w.upTo[vm], count)
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

// State is a witness as dumps show it.
type State struct {
	Runs   int      `json:"runs"`
	Rows   int      `json:"rows"`
	Fenced []string `json:"fenced"`
}

// State returns the witness's counts.
func (w *Witness) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{Runs: w.count, Rows: len(w.rows)}
	for h := range w.fenced {
		s.Fenced = append(s.Fenced, h)
	}
	return s
}
