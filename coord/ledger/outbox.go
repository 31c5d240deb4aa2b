package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"golang.org/x/sync/errgroup"
)

// Sender takes charges of one shard to the shard's owner. A nil error says that
// all of them are durable; floor is then the shard's last segment. Any other
// error says that the outcome is unknown.
type Sender interface {
	Send(ctx context.Context, shard int, charges []Charge) (floor int64, err error)
}

// Retry pauses of an outbox.
const (
	outboxPauseMin = 50 * time.Millisecond
	outboxPauseMax = 5 * time.Second
)

// Outbox keeps charges until the ledger has acknowledged them. Its size is
// bounded: Admit refuses new work while the charges of the work in progress may
// need the room, so that no charge is ever dropped.
type Outbox struct {
	layout Layout
	sender Sender
	limit  int

	mu       sync.Mutex
	waiting  map[int][]Charge
	count    int
	admitted int
	floors   map[int]int64
	wake     map[int]chan struct{}
}

// NewOutbox returns an outbox that holds up to limit charges, those of admitted
// work included.
func NewOutbox(l Layout, s Sender, limit int) *Outbox {
	o := &Outbox{layout: l, sender: s, limit: limit,
		waiting: map[int][]Charge{}, floors: map[int]int64{}, wake: map[int]chan struct{}{}}
	for i := range l.Shards {
		o.wake[i] = make(chan struct{}, 1)
	}
	return o
}

// Admit books room for the charge of one request. The caller must call Put or
// Cancel once for it.
func (o *Outbox) Admit() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count+o.admitted >= o.limit {
		return Error.Wrap(ErrBacklogFull)
	}
	o.admitted++
	return nil
}

// Cancel gives back the room of a request that is not charged.
func (o *Outbox) Cancel() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admitted--
}

// Put hands over the charge of an admitted request.
func (o *Outbox) Put(c Charge) {
	shard := o.layout.Shard(c.Team)
	o.mu.Lock()
	o.admitted--
	o.count++
	o.waiting[shard] = append(o.waiting[shard], c)
	o.mu.Unlock()
	select {
	case o.wake[shard] <- struct{}{}:
	default:
	}
}

// LoadFloors learns the last segment of each shard. A process calls it before it takes
// work: with a floor of 0 the owner would have to look through the whole log for a
// repeat of each of its first charges.
func (o *Outbox) LoadFloors(ctx context.Context) error {
	var group errgroup.Group
	for shard := range o.layout.Shards {
		group.Go(func() error {
			floor, err := o.sender.Send(ctx, shard, nil)
			if err == nil {
				o.drop(shard, nil, floor)
			}
			return err
		})
	}
	return group.Wait()
}

// Floor returns the last segment known of the team's shard.
func (o *Outbox) Floor(team string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.floors[o.layout.Shard(team)]
}

// Waiting counts the charges that are not acknowledged.
func (o *Outbox) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

// Run sends the charges of all shards until the context ends.
func (o *Outbox) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for shard := range o.layout.Shards {
		wg.Go(func() { o.runShard(ctx, shard) })
	}
	wg.Wait()
}

func (o *Outbox) runShard(ctx context.Context, shard int) {
	pause := backoff.New(outboxPauseMin, outboxPauseMax)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake[shard]:
		}
		for o.pending(shard) {
			if o.flush(ctx, shard) == nil {
				pause.Reset()
			} else if pause.Wait(ctx) != nil {
				return
			}
		}
	}
}

func (o *Outbox) pending(shard int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting[shard]) > 0
}

// Flush sends everything that waits, once; a planned stop calls it until Waiting
// is 0 or its time is over.
func (o *Outbox) Flush(ctx context.Context) error {
	for shard := range o.layout.Shards {
		if o.pending(shard) {
			if err := o.flush(ctx, shard); err != nil {
				return err
			}
		}
	}
	return nil
}

func (o *Outbox) flush(ctx context.Context, shard int) error {
	o.mu.Lock()
	batch := o.waiting[shard]
	batch = batch[:min(len(batch), segmentCharges)]
	o.mu.Unlock()
	floor, err := o.sender.Send(ctx, shard, batch)
	if err != nil {
		return err
	}
	o.drop(shard, batch, floor)
	return nil
}

// drop removes the acknowledged head of a shard's charges.
func (o *Outbox) drop(shard int, batch []Charge, floor int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := map[string]struct{}{}
	for _, c := range batch {
		sent[c.ID] = struct{}{}
	}
	kept := o.waiting[shard][:0:0]
	for _, c := range o.waiting[shard] {
		if _, ok := sent[c.ID]; !ok {
			kept = append(kept, c)
		}
	}
	o.count -= len(o.waiting[shard]) - len(kept)
	o.waiting[shard] = kept
	o.floors[shard] = max(o.floors[shard], floor)
}
