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

// Guards against double billing and lost charges with two owners of a shard: the old
// owner resumes after a pause and appends charges that the new one has already written.
func TestTwoOwnersAtOnce(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	oldOwner := ledger.OpenShard(s, layout, 0, "old#1", 100)
	require.NoError(t, oldOwner.Append(ctx, []ledger.Charge{charge("a", 1)}))
	newOwner := ledger.OpenShard(s, layout, 0, "young#1", 100)
	require.NoError(t, newOwner.Append(ctx, []ledger.Charge{charge("b", 10), charge("c", 100)}))
	require.NoError(t, oldOwner.Append(ctx, []ledger.Charge{charge("b", 10), charge("d", 1000)}))
	require.NoError(t, newOwner.Append(ctx, []ledger.Charge{charge("d", 1000), charge("a", 1)}))
	require.Equal(t, int64(1111), total(t, s))
}

// Guards against double billing: the router, the agent and the client's retry each
// send the charge of one request, in the same batch or in later ones.
func TestDuplicateChargesAreBilledOnce(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	shard := ledger.OpenShard(s, layout, 0, "r#1", 100)
	require.NoError(t, shard.Append(ctx, []ledger.Charge{charge("a", 5), charge("a", 5)}))
	require.NoError(t, shard.Append(ctx, []ledger.Charge{charge("a", 5)}))
	require.Equal(t, int64(5), total(t, s))
}

// Guards against double billing when the response to a segment write is lost: the
// write took effect, and the sender sends the same charges again.
func TestLostResponseToASegmentWrite(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	shard := ledger.OpenShard(s, layout, 0, "r#1", 100)
	s.SetFaults(memstore.Faults{LoseResponses: 1})
	batch := []ledger.Charge{charge("a", 5), charge("b", 7)}
	require.Error(t, shard.Append(ctx, batch))
	require.NoError(t, shard.Append(ctx, append(batch, charge("c", 1))))
	require.Equal(t, int64(13), total(t, s))
}

// Guards against double billing of late duplicates: an agent partitioned for an hour
// sends a charge that the router delivered at once, when the owner no longer has its
// ID in memory. The duplicate must be found in the log.
func TestDuplicateOutsideTheIDWindow(t *testing.T) {
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
	require.Equal(t, int64(1), shard.State().Scans, "the duplicate must be found by a log scan")
}

// Guards against double billing after an ownership change: the new owner starts from
// a snapshot and must still drop duplicates of charges written before it.
func TestNewOwnerStartsFromSnapshot(t *testing.T) {
	s, ctx := memstore.New(), t.Context()
	oldOwner := ledger.OpenShard(s, layout, 0, "old#1", 10)
	const segments = 300
	for i := range segments {
		require.NoError(t, oldOwner.Append(ctx, []ledger.Charge{charge(fmt.Sprint(i), 1)}))
	}
	newOwner := ledger.OpenShard(s, layout, 0, "young#1", 10)
	before := s.Calls().Reads
	repeat, fresh := charge("299", 1), charge("new", 1)
	repeat.Floor, fresh.Floor = 299, 300
	require.NoError(t, newOwner.Append(ctx, []ledger.Charge{repeat, fresh}))
	require.Less(t, s.Calls().Reads-before, int64(8), "the new owner read the whole log")
	require.Equal(t, int64(segments+1), total(t, s))
}

// directSender appends charges to a shard in the same process, or fails while down.
type directSender struct {
	shard *ledger.Shard
	down  atomic.Bool
}

func (d *directSender) Send(ctx context.Context, _ int, c []ledger.Charge) (int64, error) {
	if d.down.Load() {
		return 0, errors.New("down")
	}
	return d.shard.Last(), d.shard.Append(ctx, c)
}

// Guards against unbilled tokens when the store is down until the outbox is full: new
// work must be refused before it runs instead of dropping a charge.
func TestOutboxRefusesWorkRatherThanLoseCharges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		d := &directSender{shard: ledger.OpenShard(s, layout, 0, "r#1", 100)}
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

// Guards against one store write per request: requests that end within one interval
// must share about one write, whatever their number.
func TestGroupCommit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		b := ledger.NewBatcher(ledger.OpenShard(s, layout, 0, "r#1", 100), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		for i := range 500 {
			go func() { _, _ = b.Append(ctx, []ledger.Charge{charge(fmt.Sprint(i), 1)}) }()
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(500), total(t, s))
		require.Equal(t, int64(1), s.Calls().Writes)
		cancel()
		synctest.Wait()
	})
}

// Checks that each ID is billed exactly once under any interleaving of owners,
// duplicates, lost responses and ownership changes.
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
		t.Log("append failed, retrying")
	}
}
