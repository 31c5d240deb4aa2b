package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/ctxlock"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// maxSegmentCharges keeps a segment well below the store's value limit.
	maxSegmentCharges = 4000
	// listPage is the number of segments that one store call reads.
	listPage = 32
	// snapshotEvery is the number of segments between two snapshots.
	snapshotEvery = 256
)

// Snapshot holds the totals of all segments up to Upto, inclusive.
type Snapshot struct {
	Upto int64 `json:"upto"`
	// Budgets maps each budget to its billed tokens.
	Budgets map[string]int64 `json:"budgets"`
}

// Shard is the owner's view of one shard. Only one process should own a shard at a
// time; concurrent owners slow each other down but lose no charge. It is safe for
// concurrent use; appends are serialized.
type Shard struct {
	store  store.Store
	layout Layout
	number int
	writer string
	// window is the number of segments whose charge IDs are kept in memory.
	window int64

	appendMu ctxlock.Mutex // held during an append

	mu           sync.Mutex
	loaded       bool
	last         int64            // the last segment read or written
	ids          map[string]int64 // charge ID → segment, for segments above last-window
	idsBySegment map[int64][]string
	totals       map[string]int64
	snapshotAt   int64 // the last segment when a snapshot was last loaded or attempted
	nonce        int64
	scans        int64
}

// OpenShard returns a shard that loads its state on the first append. Window is
// the number of recent segments whose charge IDs stay in memory; older duplicates
// are found by reading the log from the charge's Floor.
func OpenShard(s store.Store, l Layout, number int, writer string, window int) *Shard {
	return &Shard{store: s, layout: l, number: number, writer: writer, window: int64(window),
		ids: map[string]int64{}, idsBySegment: map[int64][]string{}, totals: map[string]int64{}}
}

// Last returns the number of the last segment read or written.
func (s *Shard) Last() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Append writes the charges that are not yet in the log. When it returns nil, each
// of them is in the log exactly once. After an error the outcome is unknown and the
// caller must append them again.
func (s *Shard) Append(ctx context.Context, charges []Charge) error {
	if err := s.appendMu.Lock(ctx); err != nil {
		return Error.Wrap(err)
	}
	defer s.appendMu.Unlock()
	if err := s.ensureLoaded(ctx); err != nil {
		return err
	}
	for len(charges) > 0 {
		n := min(len(charges), maxSegmentCharges)
		if err := s.appendSegment(ctx, charges[:n]); err != nil {
			return err
		}
		charges = charges[n:]
	}
	s.snapshotIfDue(ctx)
	return nil
}

// appendSegment writes one segment. If another owner has written that number, it
// reads that owner's segment, which may hold some of the charges, and tries the next.
func (s *Shard) appendSegment(ctx context.Context, charges []Charge) error {
	for {
		unrecorded, err := s.dropRecorded(ctx, charges)
		if err != nil || len(unrecorded) == 0 {
			return err
		}
		s.nonce++
		seg := Segment{Writer: s.writer, Nonce: s.nonce, Charges: unrecorded}
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
			// The write may have taken effect. The next attempt then conflicts on
			// this number and finds its own charges in the segment.
			return err
		}
		if err := s.readNewSegments(ctx); err != nil {
			return err
		}
	}
}

// dropRecorded returns the charges that are not in the log, without duplicates.
func (s *Shard) dropRecorded(ctx context.Context, charges []Charge) ([]Charge, error) {
	var out []Charge
	seen := map[string]bool{}
	for _, c := range charges {
		if seen[c.ID] {
			continue
		}
		seen[c.ID] = true
		found, err := s.recorded(ctx, c)
		if err != nil {
			return nil, err
		}
		if !found {
			out = append(out, c)
		}
	}
	return out, nil
}

// recorded reports whether the charge is in the log. A charge whose Floor is before
// the window is looked up in the log itself: a sender that was partitioned for an
// hour may send a charge that the other sender delivered at once.
func (s *Shard) recorded(ctx context.Context, c Charge) (bool, error) {
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

// scan searches the segments in [from, to) for id.
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

// walk calls visit for each segment starting at from, until visit returns false.
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

// ensureLoaded loads the shard on first use.
func (s *Shard) ensureLoaded(ctx context.Context) error {
	s.mu.Lock()
	loaded, empty := s.loaded, s.last == 0
	s.mu.Unlock()
	if loaded {
		return nil
	}
	if empty { // else an earlier attempt loaded the snapshot and failed later
		if err := s.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	if err := s.readNewSegments(ctx); err != nil {
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
	s.last, s.snapshotAt, s.totals = snap.Upto, snap.Upto, snap.Budgets
	s.mu.Unlock()
	// The window also covers segments before the snapshot.
	return s.walk(ctx, snap.Upto-s.window+1, func(n int64, seg Segment) bool {
		if n > snap.Upto {
			return false
		}
		s.mu.Lock()
		s.indexIDs(n, seg)
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

// readNewSegments applies the segments that were written after the last known one.
func (s *Shard) readNewSegments(ctx context.Context) error {
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
	s.indexIDs(n, seg)
	for _, c := range seg.Charges {
		s.totals[c.Budget] += c.Tokens
	}
	for _, id := range s.idsBySegment[n-s.window] {
		delete(s.ids, id)
	}
	delete(s.idsBySegment, n-s.window)
}

// indexIDs adds the charge IDs of a segment to the window; s.mu must be held.
func (s *Shard) indexIDs(n int64, seg Segment) {
	for _, c := range seg.Charges {
		s.ids[c.ID] = n
		s.idsBySegment[n] = append(s.idsBySegment[n], c.ID)
	}
}

// snapshotIfDue writes the totals every snapshotEvery segments, so that a new owner
// need not read the whole log. Errors are ignored: a missing snapshot only makes
// loading slower, and the compare-and-swap discards a write that lost a race.
func (s *Shard) snapshotIfDue(ctx context.Context) {
	s.mu.Lock()
	if s.last-s.snapshotAt < snapshotEvery {
		s.mu.Unlock()
		return
	}
	value, err := json.Marshal(Snapshot{Upto: s.last, Budgets: s.totals})
	upto := s.last
	// The next attempt is due after snapshotEvery more segments even if this write
	// fails: a snapshot that cannot be written must not be encoded on each append.
	s.snapshotAt = upto
	s.mu.Unlock()
	if err != nil {
		return
	}
	key := s.layout.snapshotKey(s.number)
	old, err := s.store.Get(ctx, key)
	if err != nil {
		return
	}
	var stored Snapshot
	if old.Revision != 0 && (json.Unmarshal(old.Value, &stored) != nil || stored.Upto >= upto) {
		return
	}
	_, _ = s.store.CompareAndSwap(ctx, key, old.Revision, value, 0)
}

// ShardState is the state of a shard in debug dumps.
type ShardState struct {
	Shard   int   `json:"shard"`
	Last    int64 `json:"last_segment"`
	IDs     int   `json:"ids_in_memory"`
	Budgets int   `json:"budgets"`
	Scans   int64 `json:"log_scans"`
}

// State returns the shard's state for debug dumps.
func (s *Shard) State() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{Shard: s.number, Last: s.last, IDs: len(s.ids), Budgets: len(s.totals), Scans: s.scans}
}
