package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// copyReader keeps a copy as a process would, and records when a key goes back to an older
// revision.
type copyReader struct {
	mu           sync.Mutex
	items        map[string]store.Item
	highest      map[string]store.Revision // by key, removals included
	backwardStep string
	lost         bool
	losses       int
	resets       int
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
		c.recordLocked(it.Key, it.Revision)
		c.items[it.Key] = it
	}
}

func (c *copyReader) Changed(e store.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocked(e.Key, e.Revision)
	if e.Deleted {
		delete(c.items, e.Key)
		return
	}
	c.items[e.Key] = e.Item
}

func (c *copyReader) recordLocked(key string, r store.Revision) {
	if r < c.highest[key] {
		c.backwardStep = fmt.Sprintf("%s from %d to %d", key, c.highest[key], r)
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
	return c.backwardStep
}

// lossState returns whether the store is reported lost now, and how often it was.
func (c *copyReader) lossState() (lost bool, losses int) {
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

// nopReporter ignores all reports.
type nopReporter struct{}

func (nopReporter) SourceChanged(string, error) {}
func (nopReporter) SourceRefused(string, error) {}

func (nopReporter) SourceFailed(string, error, time.Duration) {}

func (nopReporter) SourceBehind(string, store.Revision, store.Revision) {}

func (nopReporter) Restored(store.Era) {}

// ownHubReleaser releases a follower's own hub once it follows a relay.
type ownHubReleaser struct{ own *Hub }

func (r ownHubReleaser) SourceChanged(source string, _ error) {
	if source != "own" {
		r.own.ReleaseLocal()
	}
}
func (ownHubReleaser) SourceRefused(string, error) {}

func (ownHubReleaser) SourceFailed(string, error, time.Duration) {}

func (ownHubReleaser) SourceBehind(string, store.Revision, store.Revision) {}

func (ownHubReleaser) Restored(store.Era) {}

// callTimeout and watchTimeout bound a store call and a watch that are not answered, and watchDelay bounds the delay between a
// change and the store's next answer. watchPause is the pause of a watch after changes, staleAfter and
// overdueAfter are those of a prefix with that pause and calls of one second.
const (
	callTimeout  = 1500 * time.Millisecond
	watchTimeout = 2500 * time.Millisecond
	watchDelay   = 1100 * time.Millisecond
	watchPause   = 300 * time.Millisecond
	staleAfter   = 1800 * time.Millisecond
	overdueAfter = 1500 * time.Millisecond
)

// connection is a connection to a store or relay that tests can interrupt: disconnected fails
// calls at once, unresponsive leaves them without an answer.
type connection struct {
	store.Store
	disconnected, unresponsive atomic.Bool
	reads                      atomic.Int64 // snapshots, failed ones included
	// delay (ns) is added to each answer.
	delay atomic.Int64
}

func (c *connection) setDelay(d time.Duration) { c.delay.Store(int64(d)) }

func (c *connection) check(ctx context.Context) error { return c.checkWithin(ctx, callTimeout) }

func (c *connection) checkWithin(ctx context.Context, timeout time.Duration) error {
	if c.unresponsive.Load() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return store.Error.Wrap(store.ErrUnknown)
	}
	if c.disconnected.Load() {
		return store.Error.Wrap(store.ErrUnknown)
	}
	if err := backoff.Sleep(ctx, time.Duration(c.delay.Load())); err != nil {
		return store.Error.Wrap(err)
	}
	return nil
}

// checkRequest is check for a request whose answer is checked as well; only the answer is delayed.
func (c *connection) checkRequest(ctx context.Context) error {
	if c.unresponsive.Load() || c.disconnected.Load() {
		return c.check(ctx)
	}
	return nil
}

func (c *connection) Snapshot(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	c.reads.Add(1)
	if err := c.check(ctx); err != nil {
		return nil, 0, err
	}
	return c.Store.Snapshot(ctx, prefix)
}

// Watch ends when the connection is disconnected; an unresponsive one delivers no more events. Like the
// platform's client it delivers changes at once, with the revision up to which they are complete, but pauses
// after that.
func (c *connection) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	in, err := c.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	out := make(chan store.Event)
	go func() {
		defer close(out)
		for e := range in {
			asOf := time.Now()
			batch := append([]store.Event{e}, buffered(in)...)
			last := batch[len(batch)-1]
			if !last.Progress && last.Err == nil {
				batch = append(batch, store.Event{Item: store.Item{Revision: last.Revision}, Progress: true, AsOf: asOf})
			}
			if c.checkWithin(ctx, watchTimeout) != nil || !sendAll(ctx, out, batch) {
				return
			}
			if len(batch) > 1 && backoff.Sleep(ctx, watchPause) != nil {
				return
			}
		}
	}()
	return out, nil
}

// buffered returns the events that a channel holds now.
func buffered(in <-chan store.Event) (events []store.Event) {
	for {
		select {
		case e, ok := <-in:
			if !ok {
				return events
			}
			events = append(events, e)
		default:
			return events
		}
	}
}

func sendAll(ctx context.Context, out chan<- store.Event, events []store.Event) bool {
	for _, e := range events {
		select {
		case out <- e:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// testCluster is a store with relays and followers whose connections can be interrupted.
type testCluster struct {
	t          *testing.T
	ctx        context.Context
	store      *memstore.Store
	hubs       []*Hub
	ownHubs    []*Hub          // of the followers
	hubConns   [][]*connection // by follower and hub
	storeConns []*connection   // to the store: of the hubs, then of the followers
	copies     []*copyReader
	followers  []*Follower
	wg         *sync.WaitGroup
}

const keys = "k/"

// newTestCluster returns a cluster whose followers poll the relays, then their own hubs, then the far relays.
func newTestCluster(ctx context.Context, t *testing.T, relays, far, followers int) *testCluster {
	tc := &testCluster{t: t, ctx: ctx, store: memstore.New(), wg: &sync.WaitGroup{}}
	for range relays + far {
		tc.hubs = append(tc.hubs, tc.newHub())
	}
	for n := range followers {
		local := tc.newHub()
		tc.ownHubs = append(tc.ownHubs, local)
		conns := make([]*connection, relays+far)
		sources := []Source{}
		for i := range conns {
			conns[i] = &connection{}
			sources = append(sources, Source{Name: fmt.Sprint("relay-", i), Follow: tc.followThrough(conns[i], tc.hubs[i])})
		}
		tc.hubConns = append(tc.hubConns, conns)
		conn := tc.storeConns[len(tc.storeConns)-1]
		sources = append(sources, Source{Name: "own", Follow: local.Follow, Usable: func(ctx context.Context, _ time.Duration) bool {
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			return conn.check(ctx) == nil
		}})
		c := newCopy()
		tc.copies = append(tc.copies, c)
		f := &Follower{Store: "s", Readers: map[string]mirror.Reader{keys: c}, Report: ownHubReleaser{local}, Now: time.Now,
			Sources: func() []Source {
				near, others, own := sources[n%relays:relays:relays], sources[:n%relays:n%relays], sources[relays+far]
				return append(append(append(near, others...), own), sources[relays:relays+far]...)
			}}
		tc.followers = append(tc.followers, f)
		tc.wg.Go(func() { f.Run(ctx) })
	}
	return tc
}

func (tc *testCluster) newHub() *Hub {
	conn := &connection{Store: tc.store}
	tc.storeConns = append(tc.storeConns, conn)
	h := &Hub{Store: "s", Prefixes: []Prefix{{Name: keys, Store: conn, StaleAfter: staleAfter, OverdueAfter: overdueAfter}}, MaxFollowers: 10, Now: time.Now}
	tc.wg.Go(func() { h.Run(tc.ctx) })
	return h
}

func (tc *testCluster) followThrough(conn *connection, h *Hub) func(context.Context, Request) (Reply, error) {
	return func(ctx context.Context, r Request) (Reply, error) {
		if err := conn.checkRequest(ctx); err != nil {
			return Reply{}, err
		}
		reply, err := h.Follow(ctx, r)
		if err := conn.check(ctx); err != nil {
			return Reply{}, err
		}
		return reply, err
	}
}

func (tc *testCluster) put(key, value string) {
	old, err := tc.store.Get(tc.ctx, keys+key)
	require.NoError(tc.t, err)
	_, err = tc.store.CompareAndSwap(tc.ctx, keys+key, old.Revision, []byte(value), 0)
	require.NoError(tc.t, err)
}

func (tc *testCluster) remove(key string) {
	old, err := tc.store.Get(tc.ctx, keys+key)
	require.NoError(tc.t, err)
	if old.Revision != 0 {
		require.NoError(tc.t, tc.store.Delete(tc.ctx, keys+key, old.Revision))
	}
}

func (tc *testCluster) values() map[string]string {
	items, _, err := tc.store.Snapshot(tc.ctx, keys)
	require.NoError(tc.t, err)
	out := map[string]string{}
	for _, it := range items {
		out[it.Key] = string(it.Value)
	}
	return out
}

// withCluster runs a test on a testCluster in virtual time.
func withCluster(t *testing.T, relays, followers int, test func(tc *testCluster)) {
	withFarRelays(t, relays, 0, followers, test)
}

// withFarRelays runs a test on a testCluster with relays that are polled after the followers' own hubs.
func withFarRelays(t *testing.T, relays, far, followers int, test func(tc *testCluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tc := newTestCluster(ctx, t, relays, far, followers)
		defer tc.wg.Wait()
		defer cancel()
		test(tc)
	})
}

// requireConverged requires that each copy equals the store and never went back.
func (tc *testCluster) requireConverged() {
	for i, c := range tc.copies {
		require.Equal(tc.t, tc.values(), c.values(), "follower %d", i)
		require.Empty(tc.t, c.wentBack(), "follower %d", i)
	}
}
