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

// Granter obtains more tokens of a budget for a holder.
type Granter interface {
	// Obtain tries to obtain at least shortfall more tokens. A nil error says that
	// the holder may have more now. ErrExhausted and ErrNoBudget are final
	// answers about the whole budget; any other error says that this granter
	// cannot provide them now.
	Obtain(ctx context.Context, budget string, shortfall int64) error
}

// StoreGranter takes grants from the account pages in the store. At most one
// sync is in flight for a page; requests that wait for the same page share it.
type StoreGranter struct {
	Holder *Holder
	Store  store.Store
	Layout account.Layout
	Timing Timing
	// TimingOf, if set, returns the timing of one page in place of Timing.
	TimingOf func(key string) Timing
	// Timeout bounds how long one request waits for the store. It must leave time for
	// peers: an unreachable store is tried until the bound, and a request that spent all
	// its time there would be refused although a peer has tokens.
	Timeout time.Duration
	// CallTimeout bounds one call of the store; after it the page is read again, since
	// the answer may be lost. SyncTimeout bounds all calls of one sync, independent of
	// waiting requests. A slow store may answer within them after requests stopped
	// waiting. 0 stands for Timeout.
	CallTimeout, SyncTimeout time.Duration
	// Prepare, if set, updates a page's accounts to the operators' configuration
	// before the holder plans on it; it reports whether it changed the page. It must
	// be idempotent.
	Prepare func(key string, p *account.Page) bool
	// OnTransfer, if set, is called for tokens that were taken or given back, once that is
	// durable, with the view that the decision is based on.
	OnTransfer func(d Decision, v View)
	// OnTake, if set, is called after tokens were taken from a page and before they are used, with the holder's rows of these budgets.
	OnTake func(ctx context.Context, key string, rows map[string]account.Confirmation)
	// OnWrite, if set, is called with each page that was written. It must not block.
	OnWrite func(page store.Item)
	// OnExhausted, if set, is called when a budget has too little left for any of the waiting requests.
	OnExhausted func(v View)
	// OnSyncEnd, if set, is called with the duration and the error of each sync.
	OnSyncEnd func(took time.Duration, err error)
	// PageCacheTTL is how long a page that was read or written is cached; 0 disables the
	// cache. It suits pages that one process writes: a write based on a page that other
	// processes changed meanwhile only fails and is retried after a read.
	PageCacheTTL time.Duration
	// MaxFreshAge is how old a cached page may be to decide that tokens are insufficient. It
	// bounds the reads of a budget near its end; otherwise each request would cause one.
	MaxFreshAge time.Duration
	// Era returns the store's newest known era; nil stands for a store that is never restored.
	Era func() store.Era
	// OnClosed, if set, is called for each attempt to use a closed page; see account.Page.Closed.
	OnClosed func(key string)
	// Now returns the current time.
	Now func() time.Time

	// cancelSyncs cancels syncs, and with it all syncs in flight.
	syncs       context.Context
	cancelSyncs context.CancelFunc
	once        sync.Once

	mu        sync.Mutex
	syncCalls map[string]*syncCall
	pageCache map[string]cachedPage
	// plannedRevisions are the newest revisions that the holder has planned on, by page.
	plannedRevisions map[string]store.Revision
}

// cachedPage is a page as last read or written.
type cachedPage struct {
	item   store.Item
	readAt time.Time
}

// syncCall is a sync in flight, shared by its waiters.
type syncCall struct {
	done  chan struct{}
	began time.Time
	err   error
}

// Obtain implements Granter.
func (g *StoreGranter) Obtain(ctx context.Context, budget string, shortfall int64) error {
	if g.isOverdue(g.Layout.Key(budget)) {
		return Error.Wrap(ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	need := shortfall + max(0, -g.Holder.shortage(g.Now(), budget, 0).shortfall)
	for try := 1; ; try++ {
		if err := g.Sync(ctx, g.Layout.Key(budget)); err != nil {
			return err
		}
		again, err := g.syncOutcome(budget, shortfall, need)
		if !again || try == maxFetches {
			return err
		}
	}
}

// syncOutcome returns the result of the last sync for a request for need tokens that lacked shortfall of them. again is true if the page had
// enough for all waiting requests: later requests then took it, and another sync may help.
func (g *StoreGranter) syncOutcome(budget string, shortfall, need int64) (again bool, err error) {
	s := g.Holder.shortage(g.Now(), budget, need)
	spendable := need - s.shortfall
	switch {
	case s.absent:
		return false, Error.Wrap(ErrNoBudget)
	case spendable >= shortfall:
		return false, nil
	case s.exhausted:
		return false, Error.Wrap(ErrExhausted)
	}
	return !s.insufficient, Error.Wrap(ErrInsufficientTokens)
}

// Sync reports the holder's totals to the page and takes or gives back tokens. A caller that
// arrives during a sync of the page waits for it and then shares or starts the next, since
// the running one may have planned without the caller's need.
func (g *StoreGranter) Sync(ctx context.Context, key string) error {
	c, started := g.joinSync(key)
	if !started {
		if err := c.wait(ctx); err != nil {
			return err
		}
		if c, started = g.joinSync(key); !started {
			return c.wait(ctx)
		}
	}
	go g.runSync(ctx, key, c)
	return c.wait(ctx)
}

// InvalidatePage makes the next sync of a page read it, after another process wrote it.
func (g *StoreGranter) InvalidatePage(key string) { g.dropPage(key) }

// Wait waits for the syncs in flight, each of which ends within SyncTimeout. Call it when no more are
// started.
func (g *StoreGranter) Wait() {
	for c := g.anySync(); c != nil; c = g.anySync() {
		<-c.done
	}
}

// anySync returns a sync in flight, nil if there is none.
func (g *StoreGranter) anySync() *syncCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.syncCalls {
		return c
	}
	return nil
}

// Stop waits for the syncs in flight until the context ends, and cancels the remaining ones and those that begin later.
// Call it when the process ends.
func (g *StoreGranter) Stop(ctx context.Context) {
	g.init()
	stop := context.AfterFunc(ctx, g.cancelSyncs)
	defer stop()
	g.Wait()
}

func (g *StoreGranter) init() {
	g.once.Do(func() { g.syncs, g.cancelSyncs = context.WithCancel(context.Background()) })
}

// runSync runs a sync. Other requests wait for it too, so it must not end when the request that
// started it is canceled or reaches its deadline.
func (g *StoreGranter) runSync(ctx context.Context, key string, c *syncCall) {
	syncCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(g.SyncTimeout, g.Timeout))
	defer cancel()
	g.init()
	defer context.AfterFunc(g.syncs, cancel)()
	c.err = g.sync(syncCtx, key)
	if g.OnSyncEnd != nil {
		g.OnSyncEnd(g.Now().Sub(c.began), c.err)
	}
	g.finishSync(key, c)
}

// SyncOverdue reports whether a sync has been in flight for d or longer.
func (g *StoreGranter) SyncOverdue(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.syncCalls {
		if g.Now().Sub(c.began) >= d {
			return true
		}
	}
	return false
}

// isOverdue reports whether a sync of the page has been in flight for Timeout. Waiting for it
// would use up the time that a request has for peers.
func (g *StoreGranter) isOverdue(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.syncCalls[key]
	return c != nil && g.Now().Sub(c.began) >= g.Timeout
}

func (c *syncCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return Error.Wrap(ErrUnreachable)
	}
}

func (g *StoreGranter) joinSync(key string) (c *syncCall, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.syncCalls == nil {
		g.syncCalls = map[string]*syncCall{}
	}
	if c := g.syncCalls[key]; c != nil {
		return c, false
	}
	c = &syncCall{done: make(chan struct{}), began: g.Now()}
	g.syncCalls[key] = c
	return c, true
}

func (g *StoreGranter) finishSync(key string, c *syncCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.syncCalls, key)
	close(c.done)
}

// sync plans on a cached page first. Other processes may have changed the page and freed
// tokens, so insufficiency is decided only on a fresh page.
func (g *StoreGranter) sync(ctx context.Context, key string) error {
	if cached, fresh := g.lookupPage(key); cached.Revision != 0 {
		insufficient, err := g.apply(ctx, key, cached, fresh)
		if err == nil && (!insufficient || fresh) || errors.Is(err, ErrFenced) {
			return err
		}
		g.dropPage(key)
	}
	_, err := g.apply(ctx, key, store.Item{}, true)
	return err
}

// apply plans on a page, and writes it if needed; a known item replaces the first read. If
// insufficient is true for a page that is not fresh, the caller must read it again.
func (g *StoreGranter) apply(ctx context.Context, key string, known store.Item, fresh bool) (insufficient bool, err error) {
	var commits []commit
	var write, prepared bool
	timing := g.timing(key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bounded := &boundedStore{Store: g.Store, callTimeout: cmp.Or(g.CallTimeout, g.Timeout), cancelSync: cancel}
	item, err := store.UpdateFrom(ctx, bounded, key, known, func(old store.Item) ([]byte, error) {
		page, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		if page.Closed(max(old.Revision.Era(), g.era())) {
			return nil, Error.Wrap(ErrPageClosed)
		}
		g.recordPlanned(key, old.Revision)
		prepared = g.Prepare != nil && g.Prepare(key, page)
		commits, write, err = g.Holder.plan(g.Now(), timing, key, old.Revision, page)
		if err != nil {
			return nil, err
		}
		if !write && !prepared {
			return old.Value, nil
		}
		return page.Encode()
	})
	if errors.Is(err, ErrPageClosed) && g.OnClosed != nil {
		g.OnClosed(key)
	}
	if err != nil {
		return false, err
	}
	g.recordPlanned(key, item.Revision)
	g.cachePage(key, item, known.Revision == item.Revision)
	if (write || prepared) && g.OnWrite != nil {
		g.OnWrite(item)
	}
	for _, c := range commits {
		insufficient = insufficient || c.insufficient
		if c.exhausted && fresh && g.OnExhausted != nil {
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
	if took := g.Holder.taken(commits); write && len(took) > 0 && g.OnTake != nil {
		g.OnTake(ctx, key, took)
	}
	if fresh || !insufficient || write {
		g.Holder.commit(g.Now(), timing, item.Revision, commits, write)
	}
	if bounded.conflicted {
		g.Holder.moveApart(key, timing)
	}
	return insufficient, nil
}

func (g *StoreGranter) timing(key string) Timing {
	if g.TimingOf == nil {
		return g.Timing
	}
	return g.TimingOf(key)
}

// recordPlanned records that the holder has planned on a page at a revision.
func (g *StoreGranter) recordPlanned(key string, rev store.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.plannedRevisions == nil {
		g.plannedRevisions = map[string]store.Revision{}
	}
	g.plannedRevisions[key] = max(g.plannedRevisions[key], rev)
}

// ObservePage caches a page that another holder wrote, so that the next sync neither reads it nor
// conflicts with that write. It counts as not fresh: only a page that this process read or wrote itself
// proves a shortfall. One that is older than what this process planned on is ignored: the holder would
// miss grants of its own in it and count itself as fenced.
func (g *StoreGranter) ObservePage(item store.Item) {
	if g.PageCacheTTL == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if max(g.plannedRevisions[item.Key], g.pageCache[item.Key].item.Revision) >= item.Revision {
		return
	}
	if g.pageCache == nil {
		g.pageCache = map[string]cachedPage{}
	}
	g.pageCache[item.Key] = cachedPage{item: item, readAt: g.Now().Add(-g.MaxFreshAge)}
}

// lookupPage returns the cached page, with revision 0 if there is none, and whether it is
// fresh.
func (g *StoreGranter) lookupPage(key string) (item store.Item, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cached := g.pageCache[key]
	age := g.Now().Sub(cached.readAt)
	if age >= g.PageCacheTTL {
		return store.Item{}, false
	}
	return cached.item, age < g.MaxFreshAge
}

// cachePage caches a page; one that was neither read nor written keeps its age.
func (g *StoreGranter) cachePage(key string, item store.Item, untouched bool) {
	if g.PageCacheTTL == 0 || untouched {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pageCache == nil {
		g.pageCache = map[string]cachedPage{}
	}
	g.pageCache[key] = cachedPage{item: item, readAt: g.Now()}
}

func (g *StoreGranter) dropPage(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pageCache, key)
}
