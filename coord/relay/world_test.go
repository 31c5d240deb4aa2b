package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// copyReader is a copy as a process would keep it. It notes when it is taken back.
type copyReader struct {
	mu      sync.Mutex
	items   map[string]store.Item
	highest map[string]store.Revision // of each key, removals included
	back    string
	lost    bool
	losses  int
	resets  int
}

func newCopy() *copyReader {
	return &copyReader{items: map[string]store.Item{}, highest: map[string]store.Revision{}}
}

func (c *copyReader) Reset(items []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = false
	c.resets++
	c.items = map[string]store.Item{}
	for _, it := range items {
		c.noteLocked(it.Key, it.Revision)
		c.items[it.Key] = it
	}
}

func (c *copyReader) Changed(e store.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLocked(e.Key, e.Revision)
	if e.Deleted {
		delete(c.items, e.Key)
		return
	}
	c.items[e.Key] = e.Item
}

func (c *copyReader) noteLocked(key string, r store.Revision) {
	if r < c.highest[key] {
		c.back = fmt.Sprintf("%s from %d to %d", key, c.highest[key], r)
	}
	c.highest[key] = max(c.highest[key], r)
}

func (c *copyReader) Lost(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	c.losses++
}

func (c *copyReader) wentBack() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.back
}

// told returns whether the reader is told that the store is lost, and how often it was.
func (c *copyReader) told() (lost bool, losses int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.losses
}

func (c *copyReader) values() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for k, it := range c.items {
		out[k] = string(it.Value)
	}
	return out
}

// quiet hears reports and does nothing.
type quiet struct{}

func (quiet) SourceChanged(string, error) {}
func (quiet) SourceRefused(string, error) {}

// callTimeout bounds a call of the store that is not answered, and watchDelay is how much later
// than a change the store's next answer may be.
const (
	callTimeout = 1500 * time.Millisecond
	watchDelay  = 1100 * time.Millisecond
)

// wayTo is the way to a store or relay, which can be cut.
type wayTo struct {
	store.Store
	cut, silent atomic.Bool
	reads       atomic.Int64 // of all keys, also those that failed
}

func (w *wayTo) check(ctx context.Context) error {
	if w.silent.Load() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return store.Error.Wrap(store.ErrUnknown)
	}
	if w.cut.Load() {
		return store.Error.Wrap(store.ErrUnknown)
	}
	return nil
}

func (w *wayTo) Snapshot(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	w.reads.Add(1)
	if err := w.check(ctx); err != nil {
		return nil, 0, err
	}
	return w.Store.Snapshot(ctx, prefix)
}

// Watch ends with the way to the store; a silent one brings nothing from then on.
func (w *wayTo) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	in, err := w.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	out := make(chan store.Event)
	go func() {
		defer close(out)
		for e := range in {
			if err := w.check(ctx); err != nil {
				return
			}
			select {
			case out <- e:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// world is a store with two relays and followers, each way of which can be cut.
type world struct {
	t      *testing.T
	ctx    context.Context
	store  *memstore.Store
	hubs   []*Hub
	toHub  [][]*wayTo // by follower and hub
	ways   []*wayTo   // of the hubs, then of the followers, to the store
	copies []*copyReader
	wg     *sync.WaitGroup
}

const keys = "k/"

func newWorld(ctx context.Context, t *testing.T, relays, followers int) *world {
	w := &world{t: t, ctx: ctx, store: memstore.New(), wg: &sync.WaitGroup{}}
	for range relays {
		w.hubs = append(w.hubs, w.hub())
	}
	for n := range followers {
		local := w.hub()
		ways := make([]*wayTo, relays)
		sources := []Source{}
		for i := range ways {
			ways[i] = &wayTo{}
			sources = append(sources, Source{Name: fmt.Sprint("relay-", i), Follow: w.through(ways[i], w.hubs[i])})
		}
		w.toHub = append(w.toHub, ways)
		way := w.ways[len(w.ways)-1]
		sources = append(sources, Source{Name: "own", Follow: local.Follow, Usable: func(ctx context.Context) bool {
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			return way.check(ctx) == nil
		}})
		c := newCopy()
		w.copies = append(w.copies, c)
		f := &Follower{Store: "s", Readers: map[string]mirror.Reader{keys: c}, Report: quiet{}, Now: time.Now,
			Sources: func() []Source {
				return append(sources[n%relays:relays:relays], append(sources[:n%relays:n%relays], sources[relays])...)
			}}
		w.wg.Go(func() { f.Run(ctx) })
	}
	return w
}

func (w *world) hub() *Hub {
	way := &wayTo{Store: w.store}
	w.ways = append(w.ways, way)
	h := &Hub{Store: "s", Prefixes: []Prefix{{Name: keys, Store: way, StaleAfter: 1600 * time.Millisecond}}, MaxFollowers: 10, Now: time.Now}
	w.wg.Go(func() { h.Run(w.ctx) })
	return h
}

func (w *world) through(way *wayTo, h *Hub) func(context.Context, Request) (Reply, error) {
	return func(ctx context.Context, r Request) (Reply, error) {
		if err := way.check(ctx); err != nil {
			return Reply{}, err
		}
		reply, err := h.Follow(ctx, r)
		if err := way.check(ctx); err != nil {
			return Reply{}, err
		}
		return reply, err
	}
}

func (w *world) put(key, value string) {
	old, err := w.store.Get(w.ctx, keys+key)
	require.NoError(w.t, err)
	_, err = w.store.CompareAndSwap(w.ctx, keys+key, old.Revision, []byte(value), 0)
	require.NoError(w.t, err)
}

func (w *world) remove(key string) {
	old, err := w.store.Get(w.ctx, keys+key)
	require.NoError(w.t, err)
	if old.Revision != 0 {
		require.NoError(w.t, w.store.Delete(w.ctx, keys+key, old.Revision))
	}
}

func (w *world) values() map[string]string {
	items, _, err := w.store.Snapshot(w.ctx, keys)
	require.NoError(w.t, err)
	out := map[string]string{}
	for _, it := range items {
		out[it.Key] = string(it.Value)
	}
	return out
}

// play runs a test with a world in virtual time.
func play(t *testing.T, relays, followers int, test func(w *world)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, relays, followers)
		defer w.wg.Wait()
		defer cancel()
		test(w)
	})
}

// all requires that each copy is the store's.
func (w *world) all() {
	for i, c := range w.copies {
		require.Equal(w.t, w.values(), c.values(), "follower %d", i)
		require.Empty(w.t, c.wentBack(), "follower %d", i)
	}
}
