package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Bounds of a shard.
const (
	// segmentCharges bounds a segment, well below the store's value limit.
	segmentCharges = 4000
	// listPage is the number of segments read by one store call.
	listPage = 32
	// snapshotEvery is the number of segments between two snapshots.
	snapshotEvery = 256
)

// Snapshot is the totals of all segments up to Upto.
type Snapshot struct {
	Upto int64 `json:"upto"`
	// Budgets maps a budget to its billed tokens.
	Budgets map[string]int64 `json:"budgets"`
}

// Shard is the owner's side of one shard. Only one process should own a shard at a
// time; two that both think so lose time, never charges. It is safe for
// concurrent use; appends take turns.
type Shard struct {
	store  store.Store
	layout Layout
	number int
	writer string
	// window is the number of segments whose ids are kept in memory.
	window int64

	turn sync.Mutex // held during an append

	mu     sync.Mutex
	loaded bool
	last   int64            // the last segment known
	ids    map[string]int64 // id → segment, for segments above last-window
	bySeg  map[int64][]string
	totals map[string]int64
	snap   int64
	nonce  int64
	scans  int64
}

// OpenShard returns a shard that loads its state at the first append. Window is
// the number of recent segments whose request ids stay in memory; older repeats
// are found by reading the log, from the charge's Floor.
func OpenShard(s store.Store, l Layout, number int, writer string, window int) *Shard {
	return &Shard{store: s, layout: l, number: number, writer: writer, window: int64(window),
		ids: map[string]int64{}, bySeg: map[int64][]string{}, totals: map[string]int64{}}
}

// Last returns the number of the last segment known here.
func (s *Shard) Last() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Append makes the charges durable, leaving out those that the log has. When it
// returns nil, every one of them is in the log exactly once. After an error the
// outcome is unknown and the caller sends them again.
func (s *Shard) Append(ctx context.Context, charges []Charge) error {
	s.turn.Lock()
	defer s.turn.Unlock()
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	for len(charges) > 0 {
		n := min(len(charges), segmentCharges)
		if err := s.appendSome(ctx, charges[:n]); err != nil {
			return err
		}
		charges = charges[n:]
	}
	s.snapshot(ctx)
	return nil
}

// appendSome writes one segment. When another owner took the number, it reads
// that owner's segment, which may hold some of the charges, and tries the next.
func (s *Shard) appendSome(ctx context.Context, charges []Charge) error {
	for {
		fresh, err := s.fresh(ctx, charges)
		if err != nil || len(fresh) == 0 {
			return err
		}
		s.nonce++
		seg := Segment{Writer: s.writer, Nonce: s.nonce, Charges: fresh}
		value, err := json.Marshal(seg)
		if err != nil {
			return Error.Wrap(err)
		}
		n := s.Last() + 1
		_, err = s.store.CompareAndSwap(ctx, s.layout.segmentKey(s.number, n), 0, value, 0)
		if err == nil {
			s.apply(n, seg)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			// The write may have taken effect. The next try then finds this
			// number taken, and reads its own charges there.
			return err
		}
		if err := s.readOn(ctx); err != nil {
			return err
		}
	}
}

// fresh returns the charges that the log does not have, without repeats.
func (s *Shard) fresh(ctx context.Context, charges []Charge) ([]Charge, error) {
	var out []Charge
	seen := map[string]bool{}
	for _, c := range charges {
		if seen[c.ID] {
			continue
		}
		seen[c.ID] = true
		known, err := s.known(ctx, c)
		if err != nil {
			return nil, err
		}
		if !known {
			out = append(out, c)
		}
	}
	return out, nil
}

// known reports whether the log has the charge. A charge that started before the
// ids in memory begin is looked up in the log itself: a witness that was cut
// off for an hour may bring a charge that the other one brought at once.
func (s *Shard) known(ctx context.Context, c Charge) (bool, error) {
	s.mu.Lock()
	_, ok := s.ids[c.ID]
	first := s.last - s.window + 1
	s.mu.Unlock()
	if ok || c.Floor+1 >= first {
		return ok, nil
	}
	s.mu.Lock()
	s.scans++
	s.mu.Unlock()
	return s.scan(ctx, c.ID, c.Floor+1, first)
}

// scan looks for id in the segments from (inclusive) to (exclusive).
func (s *Shard) scan(ctx context.Context, id string, from, to int64) (bool, error) {
	found := false
	err := s.walk(ctx, from, func(n int64, seg Segment) bool {
		if n >= to {
			return false
		}
		for _, c := range seg.Charges {
			found = found || c.ID == id
		}
		return !found
	})
	return found, err
}

// walk calls visit for the segments from number from on, until it returns false.
func (s *Shard) walk(ctx context.Context, from int64, visit func(n int64, seg Segment) bool) error {
	from = max(from, 1)
	for {
		items, err := s.store.List(ctx, s.layout.segmentPrefix(s.number), s.layout.segmentKey(s.number, from), listPage)
		if err != nil {
			return err
		}
		for _, it := range items {
			var seg Segment
			if err := json.Unmarshal(it.Value, &seg); err != nil {
				return Error.New("segment %s: %w", it.Key, err)
			}
			if !visit(from, seg) {
				return nil
			}
			from++
		}
		if len(items) < listPage {
			return nil
		}
	}
}

// catchUp loads the shard at first use.
func (s *Shard) catchUp(ctx context.Context) error {
	s.mu.Lock()
	loaded, empty := s.loaded, s.last == 0
	s.mu.Unlock()
	if loaded {
		return nil
	}
	if empty { // else an earlier try got past the snapshot
		if err := s.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	if err := s.readOn(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.loaded = true
	s.mu.Unlock()
	return nil
}

func (s *Shard) loadSnapshot(ctx context.Context) error {
	snap, err := readSnapshot(ctx, s.store, s.layout.snapshotKey(s.number))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.last, s.snap, s.totals = snap.Upto, snap.Upto, snap.Budgets
	s.mu.Unlock()
	// The ids of the window before the snapshot are needed too.
	return s.walk(ctx, snap.Upto-s.window+1, func(n int64, seg Segment) bool {
		if n > snap.Upto {
			return false
		}
		s.mu.Lock()
		s.remember(n, seg)
		s.mu.Unlock()
		return true
	})
}

func readSnapshot(ctx context.Context, st store.Store, key string) (Snapshot, error) {
	snap := Snapshot{}
	item, err := st.Get(ctx, key)
	if err != nil {
		return snap, err
	}
	if item.Revision != 0 {
		if err := json.Unmarshal(item.Value, &snap); err != nil {
			return snap, Error.New("snapshot %s: %w", key, err)
		}
	}
	if snap.Budgets == nil {
		snap.Budgets = map[string]int64{}
	}
	return snap, nil
}

// readOn applies the segments that others wrote since.
func (s *Shard) readOn(ctx context.Context) error {
	return s.walk(ctx, s.Last()+1, func(n int64, seg Segment) bool {
		s.apply(n, seg)
		return true
	})
}

func (s *Shard) apply(n int64, seg Segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n != s.last+1 {
		return
	}
	s.last = n
	s.remember(n, seg)
	for _, c := range seg.Charges {
		s.totals[c.Budget] += c.Tokens
	}
	for _, id := range s.bySeg[n-s.window] {
		delete(s.ids, id)
	}
	delete(s.bySeg, n-s.window)
}

// remember keeps the ids of a segment; the lock is held.
func (s *Shard) remember(n int64, seg Segment) {
	for _, c := range seg.Charges {
		s.ids[c.ID] = n
		s.bySeg[n] = append(s.bySeg[n], c.ID)
	}
}

// snapshot writes the totals now and then, so that a new owner need not read the
// whole log. It is an optimisation: a failure, or a loser's write, costs nothing.
func (s *Shard) snapshot(ctx context.Context) {
	s.mu.Lock()
	if s.last-s.snap < snapshotEvery {
		s.mu.Unlock()
		return
	}
	value, err := json.Marshal(Snapshot{Upto: s.last, Budgets: s.totals})
	upto := s.last
	// Whatever becomes of the write, the next try is due after as many segments
	// again: a snapshot that cannot be written must not be made for each append.
	s.snap = upto
	s.mu.Unlock()
	if err != nil {
		return
	}
	key := s.layout.snapshotKey(s.number)
	old, err := s.store.Get(ctx, key)
	if err != nil {
		return
	}
	var have Snapshot
	if old.Revision != 0 && (json.Unmarshal(old.Value, &have) != nil || have.Upto >= upto) {
		return
	}
	_, _ = s.store.CompareAndSwap(ctx, key, old.Revision, value, 0)
}

// ShardState is a shard as dumps show it.
type ShardState struct {
	Shard   int   `json:"shard"`
	Last    int64 `json:"last_segment"`
	IDs     int   `json:"ids_in_memory"`
	Budgets int   `json:"budgets"`
	Scans   int64 `json:"log_scans"`
}

// State returns the shard's counts.
func (s *Shard) State() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{Shard: s.number, Last: s.last, IDs: len(s.ids), Budgets: len(s.totals), Scans: s.scans}
}
