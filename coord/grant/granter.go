package grant

import (
	"cmp"
	"context"
	"errors"
	"sync"
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
	// Timeout bounds what one request waits for the store. It
	// must leave time for peers: a store that is cut off is tried until the bound, and a request
	// that had spent all its time there would be refused although a peer has
	// tokens.
	Timeout time.Duration
	// CallTimeout bounds one call of the store; after it the page is read again, since
	// the answer may be lost. SyncTimeout bounds all calls of one sync, whoever waits. A
	// store that is slow answers within them although requests no longer wait. 0 stands
	// for Timeout.
	CallTimeout, SyncTimeout time.Duration
	// Prepare, if set, brings a page's accounts up to date with what operators
	// decided elsewhere, before the holder plans on it; it reports whether it
	// changed the page. It must be idempotent.
	Prepare func(key string, p *account.Page) bool
	// OnTransfer, if set, is told of tokens that were taken or given back, once that is
	// durable, and of what decided it.
	OnTransfer func(d Decision, v View)
	// OnExhausted, if set, is told when a page has too little left for a request that waits.
	OnExhausted func(v View)
	// OnSyncEnd, if set, is told how each sync ended and how long it took, whoever waited for it.
	OnSyncEnd func(took time.Duration, err error)
	// PageCacheTTL is how long a page that was read or written is used again without
	// reading it; 0 reads each time. It suits pages that one process writes: a write
	// on a page that others changed meanwhile only fails and is tried again on a
	// fresh read.
	PageCacheTTL time.Duration
	// MaxFreshAge is how old a kept page may be to tell that tokens lack. It bounds the
	// reads of a budget near its end, of which each request would make one else.
	MaxFreshAge time.Duration
	// Now is the clock.
	Now func() time.Time

	flying  sync.WaitGroup
	mu      sync.Mutex
	flights map[string]*flight
	kept    map[string]keptPage
}

// keptPage is a page as it was last read or written.
type keptPage struct {
	item store.Item
	at   time.Time
}

type flight struct {
	done  chan struct{}
	began time.Time
	err   error
}

// Obtain implements Granter.
func (g *StoreGranter) Obtain(ctx context.Context, budget string, lack int64) error {
	if g.isLate(g.Layout.Key(budget)) {
		return Error.Wrap(ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	for try := 1; ; try++ {
		if err := g.Sync(ctx, g.Layout.Key(budget)); err != nil {
			return err
		}
		again, err := g.verdict(budget, lack)
		if !again || try == mostFills {
			return err
		}
	}
}

// verdict reads what the last sync found out about the budget. It says that another one may
// help if the page had enough for all who waited: then requests that came later took it.
func (g *StoreGranter) verdict(budget string, lack int64) (again bool, err error) {
	s := g.Holder.shortage(g.Now(), budget, 0)
	have := -s.lack
	switch {
	case s.absent:
		return false, Error.Wrap(ErrNoBudget)
	case have >= lack:
		return false, nil
	case s.empty:
		return false, Error.Wrap(ErrExhausted)
	}
	return !s.lacking, Error.Wrap(ErrInsufficientTokens)
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
	g.flying.Go(func() { g.fly(ctx, key, f) })
	return f.wait(ctx)
}

// InvalidatePage makes the next sync of a page read it: somebody else wrote it.
func (g *StoreGranter) InvalidatePage(key string) { g.forget(key) }

// Wait waits for the calls that are on their way; call it when no more are begun.
func (g *StoreGranter) Wait() { g.flying.Wait() }

// fly makes the calls. Others wait for them too, so they must not end because the request
// that began them was given up by its caller, or had little time left.
func (g *StoreGranter) fly(ctx context.Context, key string, f *flight) {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(g.SyncTimeout, g.Timeout))
	defer cancel()
	f.err = g.sync(own, key)
	if g.OnSyncEnd != nil {
		g.OnSyncEnd(g.Now().Sub(f.began), f.err)
	}
	g.leave(key, f)
}

// SyncOverdue reports whether a sync that has not ended began so long ago.
func (g *StoreGranter) SyncOverdue(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.flights {
		if g.Now().Sub(f.began) >= d {
			return true
		}
	}
	return false
}

// isLate reports whether calls for a page are on their way that others have waited for in
// vain: to wait for them as well would cost the request the time that it has for peers.
func (g *StoreGranter) isLate(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.flights[key]
	return f != nil && g.Now().Sub(f.began) >= g.Timeout
}

func (f *flight) wait(ctx context.Context) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return Error.Wrap(ErrUnreachable)
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
	f = &flight{done: make(chan struct{}), began: g.Now()}
	g.flights[key] = f
	return f, true
}

func (g *StoreGranter) leave(key string, f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, key)
	close(f.done)
}

// sync plans on a kept page first. A page that others changed since may have free tokens
// that it does not show, so nothing is called lacking without a fresh read.
func (g *StoreGranter) sync(ctx context.Context, key string) error {
	if kept, fresh := g.keptPage(key); kept.Revision != 0 {
		lacking, err := g.apply(ctx, key, kept, fresh)
		if err == nil && (!lacking || fresh) || errors.Is(err, ErrFenced) {
			return err
		}
		g.forget(key)
	}
	_, err := g.apply(ctx, key, store.Item{}, true)
	return err
}

// apply plans on a page, and writes it if needed; a known item stands for the first read.
// What a page that is not fresh seems to lack is no verdict: the caller reads it again.
func (g *StoreGranter) apply(ctx context.Context, key string, known store.Item, fresh bool) (lacking bool, err error) {
	var commits []commit
	var write bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bounded := &boundedStore{Store: g.Store, each: cmp.Or(g.CallTimeout, g.Timeout), end: cancel}
	item, err := store.UpdateFrom(ctx, bounded, key, known, func(old store.Item) ([]byte, error) {
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
		return false, err
	}
	g.keep(key, item, known.Revision == item.Revision)
	for _, c := range commits {
		lacking = lacking || c.lacking
		if c.empty && fresh && g.OnExhausted != nil {
			g.OnExhausted(c.view)
		}
	}
	if write && g.OnTransfer != nil {
		for _, c := range commits {
			if c.decision.Take != 0 || c.decision.Give != 0 {
				g.OnTransfer(c.decision, c.view)
			}
		}
	}
	if fresh || !lacking || write {
		g.Holder.commit(g.Now(), g.Timing, item.Revision, commits, write)
	}
	return lacking, nil
}

// keptPage returns a page that may be planned on, revision 0 if there is none, and whether
// it is fresh.
func (g *StoreGranter) keptPage(key string) (item store.Item, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.kept[key]
	age := g.Now().Sub(k.at)
	if age >= g.PageCacheTTL {
		return store.Item{}, false
	}
	return k.item, age < g.MaxFreshAge
}

// keep notes a page; one that was neither read nor written goes on ageing.
func (g *StoreGranter) keep(key string, item store.Item, untouched bool) {
	if g.PageCacheTTL == 0 || untouched {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.kept == nil {
		g.kept = map[string]keptPage{}
	}
	g.kept[key] = keptPage{item: item, at: g.Now()}
}

func (g *StoreGranter) forget(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.kept, key)
}
