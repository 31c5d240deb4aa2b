package router

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/billing"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
)

// shards is this router's access to the ledger. It can append to any shard, and appends
// the charges that other processes send it as the shard's owner.
type shards struct {
	list     []*ledger.Shard
	batchers []*ledger.Batcher
}

// makeLedger creates the shards and the outbox.
func (r *Router) makeLedger() {
	s := r.base.Settings.Ledger
	layout := ledger.Layout{Prefix: process.LedgerPrefix, Shards: s.Shards}
	r.shards = &shards{}
	for n := range s.Shards {
		shard := ledger.OpenShard(r.base.Store, layout, n, r.base.Incarnation, s.Window)
		r.shards.list = append(r.shards.list, shard)
		r.shards.batchers = append(r.shards.batchers, ledger.NewBatcher(shard, time.Duration(s.Flush)))
	}
	sender := &billing.Sender{Self: r.base.Settings.VM, Local: r.shards.append, Links: r.base.Links,
		View: r.base.View, Timeout: sendTimeout}
	r.outbox = ledger.NewOutbox(layout, sender, s.Backlog)
}

// start starts the group commit of each shard.
func (s *shards) start(tasks *process.TaskGroup) {
	for _, b := range s.batchers {
		tasks.Go(b.Run)
	}
}

func (s *shards) append(ctx context.Context, shard int, charges []ledger.Charge) (int64, error) {
	if shard < 0 || shard >= len(s.batchers) {
		return 0, billing.Error.New("ledger shard %d does not exist", shard)
	}
	return s.batchers[shard].Append(ctx, charges)
}

// waiting returns the number of appends that wait for a flush, in all shards.
func (s *shards) waiting() int {
	total := 0
	for _, b := range s.batchers {
		n, _ := b.Waiting()
		total += n
	}
	return total
}

func (s *shards) state() []ledger.ShardState {
	var out []ledger.ShardState
	for _, sh := range s.list {
		out = append(out, sh.State())
	}
	return out
}

// appendCharges appends charges sent by another process.
func (r *Router) appendCharges(ctx context.Context, in link.AppendRequest) (link.AppendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	floor, err := r.shards.append(ctx, in.Shard, in.Charges)
	return link.AppendReply{Floor: floor}, err
}
