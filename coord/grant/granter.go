package grant

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Granter brings a holder more tokens of a budget.
type Granter interface {
	// Obtain tries to bring at least lack tokens more. A nil error says that
	// the holder may have more now. ErrExhausted and ErrNoBudget are final
	// answers about the whole budget; any other error says that this way is
	// closed now.
	Obtain(ctx context.Context, budget string, lack int64) error
}

// StoreGranter takes grants from the account pages in the store. At most one
// call is in flight for a page; requests that wait for the same page share it.
type StoreGranter struct {
	Holder *Holder
	Store  store.Store
	Layout account.Layout
	Timing Timing
	// Timeout bounds what one request waits for the store. It must leave time
	// for peers: a store that is cut off is tried until the bound, and a request
	// that had spent all its time there would be refused although a peer has
	// tokens.
	Timeout time.Duration
	// Prepare, if set, brings a page's accounts up to date with what operators
	// decided elsewhere, before the holder plans on it; it reports whether it
	// changed the page. It must be idempotent.
	Prepare func(key string, p *account.Page) bool
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	flights map[string]*flight
}

type flight struct {
	done chan struct{}
	err  error
}

// Obtain implements Granter.
func (g *StoreGranter) Obtain(ctx context.Context, budget string, lack int64) error {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	if err := g.Sync(ctx, g.Layout.Key(budget)); err != nil {
		return err
	}
	return g.verdict(budget, lack)
}

// verdict reads what the last sync found out about the budget.
func (g *StoreGranter) verdict(budget string, lack int64) error {
	s := g.Holder.shortage(g.Now(), budget, 0)
	have := -s.lack
	switch {
	case s.absent:
		return Error.Wrap(ErrNoBudget)
	case have >= lack:
		return nil
	case s.empty:
		return Error.Wrap(ErrExhausted)
	}
	return Error.Wrap(ErrShort)
}

// Sync reports to the page, takes and gives back. A caller that comes while a
// sync of the page runs waits for it, because that one may have planned without
// the caller's need, and then shares or makes the next.
func (g *StoreGranter) Sync(ctx context.Context, key string) error {
	f, mine := g.join(key)
	if !mine {
		if err := f.wait(ctx); err != nil {
			return err
		}
		if f, mine = g.join(key); !mine {
			return f.wait(ctx)
		}
	}
	// Others wait for this flight too: it must not end because the request that
	// began it was given up by its caller.
	own, cancel := detached(ctx)
	defer cancel()
	f.err = g.sync(own, key)
	g.leave(key, f)
	return f.err
}

// detached keeps a context's deadline but not its cancellation.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

func (f *flight) wait(ctx context.Context) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return store.Error.Wrap(store.ErrUnknown)
	}
}

func (g *StoreGranter) join(key string) (f *flight, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.flights == nil {
		g.flights = map[string]*flight{}
	}
	if f := g.flights[key]; f != nil {
		return f, false
	}
	f = &flight{done: make(chan struct{})}
	g.flights[key] = f
	return f, true
}

func (g *StoreGranter) leave(key string, f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, key)
	close(f.done)
}

func (g *StoreGranter) sync(ctx context.Context, key string) error {
	var commits []commit
	var write bool
	item, err := store.Update(ctx, g.Store, key, func(old store.Item) ([]byte, error) {
		page, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		prepared := g.Prepare != nil && g.Prepare(key, page)
		commits, write, err = g.Holder.plan(g.Now(), g.Timing, key, old.Revision, page)
		if err != nil {
			return nil, err
		}
		if !write && !prepared {
			return old.Value, nil
		}
		return page.Encode()
	})
	if err != nil {
		return err
	}
	g.Holder.commit(g.Now(), g.Timing, item.Revision, commits, write)
	return nil
}

// Lender is the way to one peer's holder.
type Lender interface {
	// Lend asks the peer for a lot; the id makes a repeat harmless.
	Lend(ctx context.Context, peer, budget, id string, need, want int64) (Lot, error)
}

// PeerGranter borrows lots from peers, nearest first.
type PeerGranter struct {
	Holder *Holder
	Lender Lender
	// Peers lists the peers to ask for the budget, in order.
	Peers func(budget string) []string
	// Timeout bounds one call.
	Timeout time.Duration
	Now     func() time.Time

	ids atomic.Int64
}

// Obtain implements Granter.
func (g *PeerGranter) Obtain(ctx context.Context, budget string, lack int64) error {
	want := g.Holder.lotWant(g.Now(), budget)
	verdict := Error.Wrap(ErrShort)
	for _, peer := range g.Peers(budget) {
		l, err := g.ask(ctx, peer, budget, lack, want)
		if err != nil {
			if !errors.Is(err, ErrShort) {
				verdict = Error.Wrap(ErrUnreachable)
			}
			continue
		}
		g.Holder.Borrow(g.Now(), budget, l)
		if lack -= l.Part.Tokens; lack <= 0 {
			return nil
		}
	}
	// What was gathered does not suffice; it goes back with the next returns.
	g.Holder.ReleaseLots(budget)
	return verdict
}

func (g *PeerGranter) ask(ctx context.Context, peer, budget string, need, want int64) (Lot, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	id := fmt.Sprintf("%s/%d", g.Holder.ID(), g.ids.Add(1))
	return g.Lender.Lend(ctx, peer, budget, id, need, want)
}

// Acquirer reserves for requests: from what is at hand, else from each Granter in
// order within the request's deadline. It refuses the moment the last one failed.
type Acquirer struct {
	Holder *Holder
	Chain  []Granter
	Now    func() time.Time
}

// Acquire reserves n tokens of the budget. Its errors are ErrExhausted,
// ErrUnreachable, ErrNoBudget and ErrFenced; after each of them nothing is reserved.
func (q *Acquirer) Acquire(ctx context.Context, budget string, n int64) (Reservation, error) {
	r, err := q.Holder.Reserve(q.Now(), budget, n)
	if err == nil || !errors.Is(err, ErrShort) {
		return r, err
	}
	defer q.Holder.wait(budget, n)()
	return q.obtain(ctx, budget, n)
}

// obtain asks along the chain. A budget counts as exhausted when each way
// answered that it has too little, and as out of reach when any way was closed.
func (q *Acquirer) obtain(ctx context.Context, budget string, n int64) (Reservation, error) {
	verdict := Error.Wrap(ErrExhausted)
	for _, g := range q.Chain {
		s := q.Holder.shortage(q.Now(), budget, n)
		if s.empty {
			break
		}
		err := g.Obtain(ctx, budget, s.lack)
		if errors.Is(err, ErrNoBudget) || errors.Is(err, ErrFenced) {
			return Reservation{}, err
		}
		if r, err := q.Holder.Reserve(q.Now(), budget, n); err == nil {
			return r, nil
		}
		if err != nil && !errors.Is(err, ErrExhausted) && !errors.Is(err, ErrShort) {
			verdict = Error.Wrap(ErrUnreachable)
		}
	}
	q.Holder.syncSoon(budget)
	return Reservation{}, verdict
}
