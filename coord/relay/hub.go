package relay

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// maxWait bounds the wait that a follower may request.
	maxWait = 5 * time.Second
	// idleTimeout is how long a prefix is followed without requests for it: several times the wait of a
	// follower between two requests. Following for longer would cost the store more calls than the
	// read for a follower that returns later.
	idleTimeout = 3 * time.Second
	// briefIdleTimeout replaces idleTimeout for a prefix that was only requested without a wait: followers of
	// another relay, whose answer was late, do that once.
	briefIdleTimeout = time.Second
	// idleCheckInterval is the interval between two checks for idle prefixes.
	idleCheckInterval = time.Second
)

// Prefix is a key prefix that a hub may follow.
type Prefix struct {
	Name string
	// Store is the store that is followed. Each prefix has its own, with its own duration of
	// watch calls and batching of changes.
	Store store.Store
	// StaleAfter is how long after the store's last answer its copy counts as not followed.
	// It is longer than a watch call and the pause after it.
	StaleAfter time.Duration
	// OverdueAfter is how long after the store's last answer the next one is overdue: followers ask the relay
	// again by then, and look for another one before this one counts as lost. 0 stands for StaleAfter.
	OverdueAfter time.Duration
}

// Hub is a relay: it follows prefixes of the store as long as they are requested. It is safe
// for concurrent use.
type Hub struct {
	// Store is the store's name; see Request.Store.
	Store string
	// Prefixes are the prefixes that may be requested.
	Prefixes []Prefix
	// MaxFollowers bounds the followers that wait at the same time.
	MaxFollowers int
	// Now returns the current time.
	Now func() time.Time

	packer packer

	once sync.Once
	// started wakes Run when feeds has prefixes to follow.
	started chan struct{}

	mu       sync.Mutex
	feeds    map[string]*followedPrefix
	updated  chan struct{} // closed and replaced when there may be updates
	waiting  int
	stopping bool
}

// followedPrefix is a prefix that the hub currently follows.
type followedPrefix struct {
	*feed
	prefix Prefix
	// idleAt is when the prefix is no longer followed unless it is requested again.
	idleAt time.Time
	// lastRemote is the time of the last request of another process, zero if there was none.
	lastRemote time.Time
	ctx        context.Context
	end        context.CancelFunc
	// running is set once Run follows the prefix. It is guarded by the hub's lock.
	running bool
}

func (h *Hub) init() {
	h.once.Do(func() {
		h.started = make(chan struct{}, 1)
		h.feeds = map[string]*followedPrefix{}
		h.updated = make(chan struct{})
	})
}

// Run follows the requested prefixes until the context ends.
func (h *Hub) Run(ctx context.Context) {
	h.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			h.Stop()
			return
		case <-h.started:
			for _, f := range h.takeStarted() {
				wg.Go(func() { f.run(ctx) })
			}
		case <-t.C:
			h.dropIdle()
		}
	}
}

// takeStarted returns the prefixes that Run does not follow yet.
func (h *Hub) takeStarted() []*followedPrefix {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*followedPrefix
	for _, f := range h.feeds {
		if !f.running {
			f.running = true
			out = append(out, f)
		}
	}
	return out
}

func (f *followedPrefix) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.end)
	defer stop()
	m := &mirror.Mirror{Store: f.prefix.Store, Prefix: f.prefix.Name, Reader: f.feed, OnProgress: f.complete}
	m.Run(f.ctx)
}

// Stop makes the hub reject followers from now on, so that they switch to another relay before
// this process ends.
func (h *Hub) Stop() {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	for name, f := range h.feeds {
		f.end()
		delete(h.feeds, name)
	}
	h.notifyLocked()
}

// ReleaseLocal ends following for this process's own follower, which has found a relay. Prefixes that
// other processes requested recently stay: when a whole fleet starts, each process may follow the store
// for a moment, and would go on with its calls for idleTimeout.
func (h *Hub) ReleaseLocal() {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, f := range h.feeds {
		if f.lastRemote.IsZero() || h.Now().Sub(f.lastRemote) > idleTimeout {
			f.end()
			delete(h.feeds, name)
		}
	}
}

func (h *Hub) dropIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, f := range h.feeds {
		if h.Now().After(f.idleAt) {
			f.end()
			delete(h.feeds, name)
		}
	}
}

// notifyFollowers wakes all waiting followers.
func (h *Hub) notifyFollowers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyLocked()
}

func (h *Hub) notifyLocked() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// Follow answers a follower: at once if there are changes after one of its positions, else
// when there are or the wait is over.
func (h *Hub) Follow(ctx context.Context, r Request) (Reply, error) { return h.follow(ctx, r, false) }

func (h *Hub) follow(ctx context.Context, r Request, remote bool) (Reply, error) {
	h.init()
	if r.Store != h.Store {
		return Reply{}, Error.Wrap(ErrOtherStore)
	}
	if err := h.admit(); err != nil {
		return Reply{}, err
	}
	defer h.release()
	until := h.Now().Add(min(max(0, r.Wait), maxWait))
	for {
		if ctx.Err() != nil {
			return Reply{}, Error.Wrap(ctx.Err())
		}
		reply, next, err := h.readPositions(r, remote)
		if err != nil || reply.hasNew || !h.Now().Before(until) {
			return reply.Reply, err
		}
		next.wait(ctx, h.Now(), until)
	}
}

func (h *Hub) admit() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= h.MaxFollowers {
		return Error.Wrap(ErrTooManyFollowers)
	}
	h.waiting++
	return nil
}

func (h *Hub) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// nextCheck defines when a waiting follower's positions are read again: at the next update, or
// when a feed becomes stale.
type nextCheck struct {
	updated <-chan struct{}
	staleAt time.Time // zero if the loss of all feeds is already reported
}

// wait blocks until the next check is due, the wait is over or the context ends.
func (n nextCheck) wait(ctx context.Context, now, until time.Time) {
	if !n.staleAt.IsZero() && n.staleAt.Before(until) {
		until = n.staleAt
	}
	t := time.NewTimer(max(0, until.Sub(now)))
	defer t.Stop()
	select {
	case <-n.updated:
	case <-t.C:
	case <-ctx.Done():
	}
}

// readResult is a reply, and whether it holds anything new to the follower.
type readResult struct {
	Reply
	hasNew bool
}

// readPositions returns the changes after each of a request's positions.
func (h *Hub) readPositions(r Request, remote bool) (out readResult, next nextCheck, err error) {
	feeds, updated, err := h.feedsFor(r, remote)
	if err != nil {
		return readResult{}, nextCheck{}, err
	}
	next.updated = updated
	for i, p := range r.Positions {
		u, hasNew := feeds[i].since(p)
		out.Updates = append(out.Updates, u)
		out.hasNew = out.hasNew || hasNew
		if at := feeds[i].staleAt(); !p.Lost {
			next.staleAt = earliest(next.staleAt, at)
		}
	}
	return out, next, nil
}

// earliest returns the earlier time; a zero time stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// feedsFor returns the feeds of a request's positions, and starts to follow prefixes that are not followed
// yet.
func (h *Hub) feedsFor(r Request, remote bool) ([]*feed, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil, nil, Error.Wrap(ErrStopping)
	}
	idle := idleTimeout
	if r.Wait <= 0 {
		idle = briefIdleTimeout
	}
	now := h.Now()
	out := make([]*feed, len(r.Positions))
	for i, p := range r.Positions {
		f := h.feeds[p.Prefix]
		if f == nil {
			prefix, ok := h.prefix(p.Prefix)
			if !ok {
				return nil, nil, Error.Wrap(ErrUnknownPrefix)
			}
			f = h.startLocked(prefix)
		}
		if at := now.Add(idle); at.After(f.idleAt) {
			f.idleAt = at
		}
		if remote {
			f.lastRemote = now
		}
		out[i] = f.feed
	}
	return out, h.updated, nil
}

func (h *Hub) prefix(name string) (Prefix, bool) {
	for _, p := range h.Prefixes {
		if p.Name == name {
			return p, true
		}
	}
	return Prefix{}, false
}

func (h *Hub) startLocked(p Prefix) *followedPrefix {
	ctx, end := context.WithCancel(context.Background())
	f := &followedPrefix{
		feed:   &feed{now: h.Now, staleAfter: p.StaleAfter, overdueAfter: cmp.Or(p.OverdueAfter, p.StaleAfter), notify: h.notifyFollowers, lastContact: h.Now()},
		prefix: p, ctx: ctx, end: end,
	}
	h.feeds[p.Name] = f
	select {
	case h.started <- struct{}{}:
	default: // Run has not taken the previous wakeup yet, which covers this prefix too
	}
	return f
}

// State is the state of a hub for dumps.
type State struct {
	// Waiting is the number of followers that wait now.
	Waiting int         `json:"waiting_followers"`
	Feeds   []FeedState `json:"feeds"`
}

// State returns the hub's current state.
func (h *Hub) State() State {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := State{Waiting: h.waiting, Feeds: []FeedState{}}
	for _, p := range h.Prefixes {
		if f := h.feeds[p.Name]; f != nil {
			s.Feeds = append(s.Feeds, f.state(p.Name))
		}
	}
	return s
}
