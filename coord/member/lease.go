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
	// retryMin and retryMax bound the pause before the own entry is tried again. A process
	// that is not listed gets no work of others, but a whole fleet may be trying.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// findTries is how often the list is read at the start until there is somebody else in
	// it, and findPause the pause between. A fleet that starts at once is listed within it.
	findTries = 3
	findPause = 150 * time.Millisecond
	// findTimeout bounds one such read: a store that is slow by a factor of 100 answers in it.
	findTimeout = 500 * time.Millisecond
	// tidyPause is the pause between two looks for members that did not return.
	tidyPause = time.Second
)

// KeepAlive registers this process and renews its lease until the context ends.
func (g *Group) KeepAlive(ctx context.Context) {
	g.init()
	tidy := time.NewTicker(tidyPause)
	defer tidy.Stop()
	retry := backoff.New(retryMin, retryMax)
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			g.tidy(time.Now())
		case <-g.woken:
			next.Reset(0)
		case <-next.C:
			next.Reset(g.renewed(ctx, retry))
		}
	}
}

// renewed renews once and returns the pause until the next time.
func (g *Group) renewed(ctx context.Context, retry *backoff.Backoff) time.Duration {
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

// FindPeers reads the list at the start until there is somebody else in it, or for a third of a second: whom
// to follow is not known before, and if each process of a fleet that starts followed the store
// meanwhile, they would ask for more than it takes.
func (g *Group) FindPeers(ctx context.Context) {
	for try := range findTries {
		if try > 0 && backoff.Sleep(ctx, findPause) != nil {
			return
		}
		reading, cancel := context.WithTimeout(ctx, findTimeout)
		items, err := g.Store.StaleSnapshot(reading, g.Prefix)
		cancel()
		if err == nil {
			g.Reset(items)
			if len(g.Members()) > 1 {
				return
			}
		}
	}
}

func (g *Group) init() {
	g.once.Do(func() {
		g.woken = make(chan struct{}, 1)
	})
}

// wake makes Keep look at once.
func (g *Group) wake() {
	g.init()
	select {
	case g.woken <- struct{}{}:
	default: // Keep has yet to take the last wake, and will see this too
	}
}

// SetWithdrawn takes this process off the list, or puts it back, and keeps it so. A process
// that is about to lose its VM steps aside while it can still hand over what it has.
func (g *Group) SetWithdrawn(aside bool) {
	g.mu.Lock()
	changed := g.aside != aside
	g.aside = aside
	g.mu.Unlock()
	if changed {
		g.wake()
	}
}

// renew renews the lease, or registers anew when it has ended.
func (g *Group) renew(ctx context.Context) error {
	if g.Withdrawn() {
		return g.withdraw(ctx)
	}
	if id := g.current(); id != 0 {
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
	g.lease, g.registered = id, time.Now()
	return nil
}

// put writes the own key. It is there already only if an earlier lease of this life has yet
// to end, or a write was done and its answer lost.
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

func (g *Group) current() store.LeaseID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease
}

// Withdrawn reports whether this process has stepped aside.
func (g *Group) Withdrawn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aside
}

// withdraw ends the lease if there is one.
func (g *Group) withdraw(ctx context.Context) error {
	if err := g.Leave(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = 0
	return nil
}

// Leave ends the lease, so that others count this process out at once.
func (g *Group) Leave(ctx context.Context) error {
	id := g.current()
	if id == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, id)
}
