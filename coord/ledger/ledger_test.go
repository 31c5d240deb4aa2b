package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var layout = ledger.Layout{Prefix: "ledger/", Shards: 1}

func charge(id string, tokens int64) ledger.Charge {
	return ledger.Charge{ID: id, Team: "pilots", Budget: "pilots/2026", Tokens: tokens}
}

func total(t require.TestingT, s *memstore.Store) int64 {
	totals, err := ledger.Reader{Store: s, Layout: layout}.Totals(context.Background(), "")
	require.NoError(t, err)
	return totals["pilots/2026"]
}

// Two routers both believe that they own a shard; the older one was frozen and wakes
// with charges that the newer one has written meanwhile. The team must not be billed
// twice, and no charge of either may be lost.
func TestTwoOwnersAtOnce(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	old := ledger.OpenShard(s, layout, 0, "old#1", 100)
	require.NoError(t, old.Append(ctx, []ledger.Charge{charge("a", 1)}))
	young := ledger.OpenShard(s, layout, 0, "young#1", 100)
	require.NoError(t, young.Append(ctx, []ledger.Charge{charge("b", 10), charge("c", 100)}))
	require.NoError(t, old.Append(ctx, []ledger.Charge{charge("b", 10), charge("d", 1000)}))
	require.NoError(t, young.Append(ctx, []ledger.Charge{charge("d", 1000), charge("a", 1)}))
	require.Equal(t, int64(1111), total(t, s))
}

// Router and agent both bring the charge of a request, and the client's retry
// brings it a third time, in one batch and in later ones. The bill must have it once.
func TestSameChargeFromAllWitnesses(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	shard := ledger.OpenShard(s, layout, 0, "r#1", 100)
	require.NoError(t, shard.Append(ctx, []ledger.Charge{charge("a", 5), charge("a", 5)}))
	require.NoError(t, shard.Append(ctx, []ledger.Charge{charge("a", 5)}))
	require.Equal(t, int64(5), total(t, s))
}

// A segment's answer is lost after it took effect, so the sender brings the same
// charges again. They must be found in the log instead of billed twice.
func TestLostAnswerOfASegment(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	shard := ledger.OpenShard(s, layout, 0, "r#1", 100)
	s.SetFaults(memstore.Faults{LoseResponses: 1})
	batch := []ledger.Charge{charge("a", 5), charge("b", 7)}
	require.Error(t, shard.Append(ctx, batch))
	require.NoError(t, shard.Append(ctx, append(batch, charge("c", 1))))
	require.Equal(t, int64(13), total(t, s))
}

// An agent was cut off for an hour with a charge that the router had brought at once.
// By then the owner has long dropped that id from memory. The repeat must be found in
// the log itself.
func TestRepeatAfterTheWindow(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	shard := ledger.OpenShard(s, layout, 0, "r#1", 3)
	require.NoError(t, shard.Append(ctx, []ledger.Charge{charge("first", 1)}))
	floor := shard.Last()
	late := charge("late", 50)
	late.Floor = floor
	require.NoError(t, shard.Append(ctx, []ledger.Charge{late}))
	for i := range 20 {
		c := charge(fmt.Sprint(i), 1)
		c.Floor = shard.Last()
		require.NoError(t, shard.Append(ctx, []ledger.Charge{c}))
	}
	require.NoError(t, shard.Append(ctx, []ledger.Charge{late}))
	require.Equal(t, int64(71), total(t, s))
	require.Equal(t, int64(1), shard.State().Scans, "found in the log, not in memory")
}

// The shard's owner changes after many segments. The new one starts from a snapshot
// and must still drop repeats of charges from before it.
func TestNewOwnerStartsFromSnapshot(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	old := ledger.OpenShard(s, layout, 0, "old#1", 10)
	const segments = 300
	for i := range segments {
		require.NoError(t, old.Append(ctx, []ledger.Charge{charge(fmt.Sprint(i), 1)}))
	}
	young := ledger.OpenShard(s, layout, 0, "young#1", 10)
	before := s.Calls().Reads
	repeat, fresh := charge("299", 1), charge("new", 1)
	repeat.Floor, fresh.Floor = 299, 300
	require.NoError(t, young.Append(ctx, []ledger.Charge{repeat, fresh}))
	require.Less(t, s.Calls().Reads-before, int64(8), "it did not read the whole log")
	require.Equal(t, int64(segments+1), total(t, s))
}

// direct sends charges to a shard, or fails.
type direct struct {
	shard *ledger.Shard
	down  atomic.Bool
}

func (d *direct) Send(ctx context.Context, _ int, c []ledger.Charge) (int64, error) {
	if d.down.Load() {
		return 0, errors.New("down")
	}
	return d.shard.Last(), d.shard.Append(ctx, c)
}

// The store is down for so long that charges fill their bound. New work must be
// refused before it runs; dropping a charge instead would serve tokens unbilled.
func TestOutboxRefusesWorkRatherThanLoseCharges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		d := &direct{shard: ledger.OpenShard(s, layout, 0, "r#1", 100)}
		d.down.Store(true)
		o := ledger.NewOutbox(layout, d, 3)
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		for i := range 3 {
			require.NoError(t, o.Admit())
			o.Put(charge(fmt.Sprint(i), 1))
		}
		require.ErrorIs(t, o.Admit(), ledger.ErrBacklogFull)
		time.Sleep(10 * time.Minute)
		require.Equal(t, 3, o.Waiting())
		d.down.Store(false)
		time.Sleep(10 * time.Second)
		require.Zero(t, o.Waiting())
		require.NoError(t, o.Admit())
		require.Equal(t, int64(3), total(t, s))
		cancel()
		synctest.Wait()
	})
}

// Many requests end within a second. The store must see about one write for all of
// them, whatever their number.
func TestGroupCommit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		g := ledger.NewBatcher(ledger.OpenShard(s, layout, 0, "r#1", 100), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		for i := range 500 {
			go func() { _, _ = g.Append(ctx, []ledger.Charge{charge(fmt.Sprint(i), 1)}) }()
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(500), total(t, s))
		require.Equal(t, int64(1), s.Calls().Writes)
		cancel()
		synctest.Wait()
	})
}

// Any interleaving of owners, repeats, lost answers and new owners bills each id
// exactly once.
func TestLedgerBillsOnceUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ctx := memstore.New(), context.Background()
		owners := []*ledger.Shard{ledger.OpenShard(s, layout, 0, "o#1", 2)}
		want := map[string]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				owners = append(owners, ledger.OpenShard(s, layout, 0, fmt.Sprintf("o#%d", len(owners)), 2))
			case 1:
				s.SetFaults(memstore.Faults{LoseResponses: 1})
			default:
				appendUntilDurable(ctx, t, rapid.SampledFrom(owners).Draw(t, "owner"), drawCharges(t, want))
			}
		}
		var sum int64
		for _, n := range want {
			sum += n
		}
		require.Equal(t, sum, total(t, s))
	})
}

func drawCharges(t *rapid.T, want map[string]int64) []ledger.Charge {
	var out []ledger.Charge
	for _, id := range rapid.SliceOfN(rapid.IntRange(0, 25), 1, 5).Draw(t, "ids") {
		key := fmt.Sprint(id)
		want[key] = int64(id + 1)
		out = append(out, charge(key, int64(id+1)))
	}
	return out
}

func appendUntilDurable(ctx context.Context, t *rapid.T, s *ledger.Shard, c []ledger.Charge) {
	for s.Append(ctx, c) != nil {
		t.Log("again")
	}
}
