package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// retryMin and retryMax bound the pause before registration is retried. A process that is
	// not listed gets no work from others, but a whole fleet may be retrying at once.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// findAttempts is how often the list is read at startup until it holds another member, and
	// findPause the pause between reads. All members of a fleet that starts at once are listed
	// within that time.
	findAttempts = 3
	findPause    = 150 * time.Millisecond
	// findTimeout bounds one such read: a store that is slower by a factor of 100 still answers
	// within it.
	findTimeout = 500 * time.Millisecond
	// findRetryMin and findRetryMax bound the pause after a read that failed, and findRetryTime the time of all:
	// when hundreds of processes start at once, their reads of the list fill the store's link.
	findRetryMin  = 300 * time.Millisecond
	findRetryMax  = time.Second
	findRetryTime = 3 * time.Second
	// cleanupInterval is the interval between two cleanups; see cleanUp.
	cleanupInterval = time.Second
)

// KeepAlive registers this process and renews its lease until the context ends.
func (g *Group) KeepAlive(ctx context.Context) {
	g.init()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	retry := backoff.New(retryMin, retryMax)
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cleanup.C:
			g.cleanUp(time.Now())
		case <-g.wakeups:
			next.Reset(0)
		case <-next.C:
			next.Reset(g.renewOnce(ctx, retry))
		}
	}
}

// renewOnce renews once and returns the pause until the next renewal.
func (g *Group) renewOnce(ctx context.Context, retry *backoff.Backoff) time.Duration {
	err := g.renew(ctx)
	switch {
	case err == nil:
		g.Report.Registered()
		retry.Reset()
		return g.Interval
	case ctx.Err() == nil:
		g.Report.NotRegistered(err)
	}
	return retry.Next()
}

// FindPeers reads the list at startup until it holds another member, or for a third of a second.
// Before that a process has no relay to follow, and if each process of a starting fleet followed
// the store meanwhile, their calls would overload it. A read that fails does not show that there are
// no others, and is repeated for some seconds.
func (g *Group) FindPeers(ctx context.Context) {
	retry := backoff.New(findRetryMin, findRetryMax)
	began := time.Now()
	for attempt := 0; attempt < findAttempts; {
		if g.readPeers(ctx) == nil {
			if len(g.Members()) > 1 {
				return
			}
			attempt++
			if attempt < findAttempts && backoff.Sleep(ctx, findPause) != nil {
				return
			}
			continue
		}
		if time.Since(began) > findRetryTime || retry.Wait(ctx) != nil {
			return
		}
	}
}

// readPeers reads the list once.
func (g *Group) readPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	items, err := g.Store.StaleSnapshot(ctx, g.Prefix)
	if err == nil {
		g.Reset(items)
	}
	return err
}

func (g *Group) init() {
	g.once.Do(func() {
		g.wakeups = make(chan struct{}, 1)
	})
}

// wake makes KeepAlive renew at once.
func (g *Group) wake() {
	g.init()
	select {
	case g.wakeups <- struct{}{}:
	default: // a wakeup is already pending and covers this one too
	}
}

// SetWithdrawn takes this process off the list, or puts it back, and keeps it in that state. A
// process that is about to lose its VM leaves the list while it can still hand over its state.
func (g *Group) SetWithdrawn(withdrawn bool) {
	g.mu.Lock()
	changed := g.withdrawn != withdrawn
	g.withdrawn = withdrawn
	g.mu.Unlock()
	if changed {
		g.wake()
	}
}

// renew renews the lease, or registers again if it has ended.
func (g *Group) renew(ctx context.Context) error {
	if g.Withdrawn() {
		return g.withdraw(ctx)
	}
	if id, void := g.currentLease(); id != 0 && !void {
		err := g.Store.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
	}
	return g.register(ctx)
}

func (g *Group) register(ctx context.Context) error {
	id, err := g.Store.GrantLease(ctx, g.TTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(g.Self)
	if err != nil {
		return err
	}
	if err := g.put(ctx, value, id); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease, g.leaseVoid, g.registered = id, false, time.Now()
	return nil
}

// put writes this process's key. It exists already only if an earlier lease of this incarnation has
// not ended yet, or if an earlier write succeeded and its answer was lost.
func (g *Group) put(ctx context.Context, value []byte, lease store.LeaseID) error {
	key := g.Prefix + g.Self.ID
	_, err := g.Store.CompareAndSwap(ctx, key, 0, value, lease)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	old, err := g.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = g.Store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return err
}

// currentLease returns the lease of this process's entry, 0 if there is none. It is void if the store was restored
// since it was granted.
func (g *Group) currentLease() (id store.LeaseID, void bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease, g.leaseVoid
}

// Withdrawn reports whether this process has withdrawn from the list; see SetWithdrawn.
func (g *Group) Withdrawn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.withdrawn
}

// withdraw ends the lease if there is one.
func (g *Group) withdraw(ctx context.Context) error {
	if err := g.endLease(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = 0
	return nil
}

// Leave ends the lease, so that this process leaves the views of others at once, and keeps it from registering again.
func (g *Group) Leave(ctx context.Context) error {
	g.mu.Lock()
	g.withdrawn = true
	g.mu.Unlock()
	return g.withdraw(ctx)
}

func (g *Group) endLease(ctx context.Context) error {
	switch id, void := g.currentLease(); {
	case id == 0:
		return nil
	case void:
		return g.removeEntry(ctx)
	default:
		return g.Store.EndLease(ctx, id)
	}
}

// removeEntry removes this process's entry, which may still be listed under a lease from before a restoration.
func (g *Group) removeEntry(ctx context.Context) error {
	own, err := g.Store.Get(ctx, g.Prefix+g.Self.ID)
	if err != nil || own.Revision == 0 {
		return err
	}
	return g.Store.Delete(ctx, own.Key, own.Revision)
}
