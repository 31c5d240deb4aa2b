package relay

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// mostWait bounds what a follower may ask a relay to wait.
	mostWait = 5 * time.Second
	// idleAfter is how long a prefix is followed without anybody asking for it. It is longer
	// than followers leave a relay alone after a failure, so that they find it up to date.
	idleAfter = 10 * time.Second
	// idlePause is the pause between two looks for prefixes that nobody asks for.
	idlePause = time.Second
)

// Prefix is one that a hub may follow.
type Prefix struct {
	Name string
	// Store is followed; how long its waiting calls wait, and how changes are gathered, is
	// the prefix's own.
	Store store.Store
	// StaleAfter is how long after the store's last word its copy counts as not followed. It
	// is longer than a waiting call and the pause after it.
	StaleAfter time.Duration
}

// Hub is a relay: it follows prefixes of the store as long as somebody asks for them. It is
// safe for concurrent use.
type Hub struct {
	// Store names the store for followers; see Request.Store.
	Store string
	// Prefixes are those that may be asked for.
	Prefixes []Prefix
	// MaxFollowers bounds those that wait at the same time.
	MaxFollowers int
	// Now is the clock.
	Now func() time.Time

	packer packer

	once sync.Once
	// start has the prefixes that are to be followed; see Run.
	start chan *followed

	mu       sync.Mutex
	feeds    map[string]*followed
	news     chan struct{} // is closed when there may be news, and replaced
	waiting  int
	stopping bool
}

// followed is a prefix that is followed now.
type followed struct {
	*feed
	prefix Prefix
	asked  time.Time
	ctx    context.Context
	end    context.CancelFunc
}

func (h *Hub) init() {
	h.once.Do(func() {
		h.start = make(chan *followed, len(h.Prefixes))
		h.feeds = map[string]*followed{}
		h.news = make(chan struct{})
	})
}

// Run follows what is asked for until the context ends.
func (h *Hub) Run(ctx context.Context) {
	h.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(idlePause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			h.Stop()
			return
		case f := <-h.start:
			wg.Go(func() { f.run(ctx) })
		case <-t.C:
			h.dropIdle()
		}
	}
}

func (f *followed) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.end)
	defer stop()
	m := &mirror.Mirror{Store: f.prefix.Store, Prefix: f.prefix.Name, Reader: f.feed, OnProgress: f.complete}
	m.Run(f.ctx)
}

// Stop makes the hub refuse followers from now on, so that they find another relay before
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
	h.announceLocked()
}

func (h *Hub) dropIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, f := range h.feeds {
		if h.Now().Sub(f.asked) > idleAfter {
			f.end()
			delete(h.feeds, name)
		}
	}
}

// announce wakes all that wait.
func (h *Hub) announce() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announceLocked()
}

func (h *Hub) announceLocked() {
	close(h.news)
	h.news = make(chan struct{})
}

// Follow answers a follower: at once if there is something after one of its positions, else
// when there is or the wait is over.
func (h *Hub) Follow(ctx context.Context, r Request) (Reply, error) {
	h.init()
	if r.Store != h.Store {
		return Reply{}, Error.Wrap(ErrOtherStore)
	}
	if err := h.enter(); err != nil {
		return Reply{}, err
	}
	defer h.leave()
	until := h.Now().Add(min(max(0, r.Wait), mostWait))
	for {
		reply, look, err := h.read(r)
		if err != nil || reply.news || !h.Now().Before(until) {
			return reply.Reply, err
		}
		look.wait(ctx, h.Now(), until)
		if ctx.Err() != nil {
			return Reply{}, Error.Wrap(ctx.Err())
		}
	}
}

func (h *Hub) enter() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= h.MaxFollowers {
		return Error.Wrap(ErrTooManyFollowers)
	}
	h.waiting++
	return nil
}

func (h *Hub) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// nextLook is when a waiting follower's positions are to be looked at again: at the next
// news, or when a feed goes stale.
type nextLook struct {
	news    <-chan struct{}
	staleAt time.Time // zero if nothing goes stale that the follower does not know
}

// wait waits for the next look, the end of the wait or that of the context.
func (l nextLook) wait(ctx context.Context, now, until time.Time) {
	if !l.staleAt.IsZero() && l.staleAt.Before(until) {
		until = l.staleAt
	}
	t := time.NewTimer(max(0, until.Sub(now)))
	defer t.Stop()
	select {
	case <-l.news:
	case <-t.C:
	case <-ctx.Done():
	}
}

// answer is a reply, and whether there is news in it.
type answer struct {
	Reply
	news bool
}

// read looks at all positions.
func (h *Hub) read(r Request) (out answer, look nextLook, err error) {
	feeds, news, err := h.asked(r.Positions)
	if err != nil {
		return answer{}, nextLook{}, err
	}
	look.news = news
	for i, p := range r.Positions {
		u, fresh := feeds[i].since(p)
		out.Updates = append(out.Updates, u)
		out.news = out.news || fresh
		if at := feeds[i].staleAt(); !p.Lost && (look.staleAt.IsZero() || at.Before(look.staleAt)) {
			look.staleAt = at
		}
	}
	return out, look, nil
}

// asked returns the feeds of the positions, and begins to follow what is not followed yet.
func (h *Hub) asked(positions []Position) ([]*feed, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil, nil, Error.Wrap(ErrStopping)
	}
	out := make([]*feed, len(positions))
	for i, p := range positions {
		f := h.feeds[p.Prefix]
		if f == nil {
			prefix, ok := h.prefix(p.Prefix)
			if !ok {
				return nil, nil, Error.Wrap(ErrUnknownPrefix)
			}
			f = h.beginLocked(prefix)
		}
		f.asked = h.Now()
		out[i] = f.feed
	}
	return out, h.news, nil
}

func (h *Hub) prefix(name string) (Prefix, bool) {
	for _, p := range h.Prefixes {
		if p.Name == name {
			return p, true
		}
	}
	return Prefix{}, false
}

func (h *Hub) beginLocked(p Prefix) *followed {
	ctx, end := context.WithCancel(context.Background())
	f := &followed{
		feed:   &feed{now: h.Now, staleAfter: p.StaleAfter, changed: h.announce, heard: h.Now()},
		prefix: p, ctx: ctx, end: end,
	}
	h.feeds[p.Name] = f
	h.start <- f
	return f
}

// State is a hub for dumps.
type State struct {
	// Waiting is the followers that wait now.
	Waiting int         `json:"waiting_followers"`
	Feeds   []FeedState `json:"feeds"`
}

// State returns what is followed now.
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
