package lender

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/coord/ctxlock"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/streamversion"
	"github.com/rs/zerolog"
)

const (
	// moveInterval is the interval between checks for records that other processes should keep.
	moveInterval = 200 * time.Millisecond
	// moveTimeout is the timeout of one message with records: many times the latency between two processes.
	moveTimeout = 300 * time.Millisecond
	// maxMoveAttempts is the number of processes that are tried for a record: those that ended at the same time as others are
	// still listed for a while.
	maxMoveAttempts = 4
	// maxMovedRecords limits the records in one message.
	maxMovedRecords = 512
)

// streamKeeper keeps records of the versions that began streams, as reported by routers. Routers ask the processes
// that rank first for a stream, so records follow the ranking as lenders join, withdraw and stop: the routers that
// have a copy may all be killed at once.
type streamKeeper struct {
	registry    streamversion.Registry
	incarnation string
	members     *member.Group
	links       *link.Pool
	log         zerolog.Logger
	moved       *metrics.Counter

	// lock guards ranked and is held during a move.
	lock ctxlock.Mutex
	// ranked is the ranking under which the settled records were checked.
	ranked ranking
}

// ranking identifies a ranking of the processes that keep records.
type ranking struct {
	members   uint64
	withdrawn bool
}

// move sends each record to the processes that routers ask for it, unless this process is one of them.
func (k *streamKeeper) move(ctx context.Context) {
	if k.lock.Lock(ctx) != nil {
		return
	}
	defer k.lock.Unlock()
	if now := (ranking{members: k.members.Version(), withdrawn: k.members.Withdrawn()}); now != k.ranked {
		k.ranked = now
		k.registry.UnsettleAll()
	}
	pending := k.registry.Unsettled(time.Now())
	if len(pending) == 0 {
		return
	}
	keepers := k.keepers()
	for range maxMoveAttempts {
		pending = k.moveTo(ctx, keepers, pending)
		if len(pending) == 0 {
			return
		}
	}
}

// keepers returns the processes that may keep records, by VM: lenders, or routers if there are none.
func (k *streamKeeper) keepers() map[string]member.Member {
	lenders := k.members.Newest(prepaid.RoleLender)
	if k.members.Withdrawn() {
		maps.DeleteFunc(lenders, func(_ string, m member.Member) bool { return m.ID == k.incarnation })
	}
	if len(lenders) > 0 {
		return lenders
	}
	return k.members.Newest(prepaid.RoleRouter)
}

// moveTo sends records to the first process for each of them, and returns those that were not kept. Processes that do not take
// them are removed from keepers.
func (k *streamKeeper) moveTo(ctx context.Context, keepers map[string]member.Member, records []streamversion.Held) (left []streamversion.Held) {
	vms := slices.Collect(maps.Keys(keepers))
	batches := map[string][]streamversion.Held{}
	for _, held := range records {
		top := rendezvous.Top(held.Attempt, vms, streamversion.Keepers)
		kept := slices.ContainsFunc(top, func(vm string) bool {
			id := keepers[vm].ID
			return id == k.incarnation || id == held.SentTo
		})
		switch {
		case kept:
			k.registry.Settle(held.Stream, held.SentTo)
		case len(top) > 0:
			batches[top[0]] = append(batches[top[0]], held)
		}
	}
	var mu sync.Mutex
	var sends sync.WaitGroup
	var failedVMs []string
	for vm, batch := range batches {
		to := keepers[vm]
		sends.Go(func() {
			failed := k.send(ctx, to, batch)
			mu.Lock()
			defer mu.Unlock()
			if len(failed) > 0 {
				failedVMs = append(failedVMs, vm)
			}
			left = append(left, failed...)
		})
	}
	sends.Wait()
	for _, vm := range failedVMs {
		delete(keepers, vm)
	}
	return left
}

// send sends records to a process, and returns those from the first failure on.
func (k *streamKeeper) send(ctx context.Context, to member.Member, records []streamversion.Held) (failed []streamversion.Held) {
	sent := 0
	for chunk := range slices.Chunk(records, maxMovedRecords) {
		if err := k.sendChunk(ctx, to, chunk); err != nil {
			k.log.Warn().Err(err).Str("recorder", to.ID).Int("records", len(records)-sent).Msg("streams_not_moved")
			return records[sent:]
		}
		sent += len(chunk)
	}
	k.moved.Add(sent)
	k.log.Info().Str("recorder", to.ID).Int("records", sent).Msg("streams_moved")
	return nil
}

func (k *streamKeeper) sendChunk(ctx context.Context, to member.Member, chunk []streamversion.Held) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	records := make([]streamversion.Record, len(chunk))
	for n, held := range chunk {
		records[n] = held.Record
	}
	if err := k.links.Call(ctx, to.Address, link.MethodStreamsMoved, records, nil); err != nil {
		return err
	}
	for _, held := range chunk {
		k.registry.Settle(held.Stream, to.ID)
	}
	return nil
}
