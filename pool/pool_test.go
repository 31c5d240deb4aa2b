package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// quiet hears reports and does nothing.
type quiet struct{}

func (quiet) UpstreamChanged(directory.Upstream)                 {}
func (quiet) UpstreamGone(directory.Upstream, string)            {}
func (quiet) UpstreamMissing(directory.Upstream, bool, int, int) {}
func (quiet) DirectoryLost(error)                                {}
func (quiet) DirectoryRead(int)                                  {}
func (quiet) UpstreamUnreadable(error)                           {}

// poolOf has upstreams a and b of the service s.
func poolOf(now *time.Time) *Pool {
	clock := func() time.Time { return *now }
	d := &directory.Directory{Report: quiet{}, Now: clock, Decode: func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key}, Address: it.Key, Service: "s", Slots: 6}, nil
	}}
	d.Reset([]store.Item{{Key: "a"}, {Key: "b"}})
	return &Pool{Directory: d, PrefillPerMs: 50, Routers: func() int { return 1 }, Region: func(string) string { return "" }, Now: clock}
}

func plain(now time.Time) *serving.Request {
	return &serving.Request{Route: &catalog.Route{Kind: catalog.Safe, MaxRuns: 2}, Service: catalog.Service{Name: "s"},
		Deadline: now.Add(time.Second)}
}

// pickUntil picks until the upstream comes, ending all other requests well; it reports
// whether it came within some tries.
func pickUntil(t *testing.T, p *Pool, now time.Time, id string) (serving.Target, bool) {
	const tries = 100
	for range tries {
		target, ok := p.Pick(plain(now), nil)
		require.True(t, ok)
		if target.Life.ID == id {
			return target, true
		}
		target.Done(serving.Attempt{Result: serving.Complete})
	}
	return serving.Target{}, false
}

// An upstream cannot be reached. It is left alone for a moment, longer after the next
// failure, and tried again when that is over.
func TestUnreachedUpstreamIsLeftAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for _, pause := range []time.Duration{avoidFirst, 2 * avoidFirst} {
		target, ok := pickUntil(t, p, now, "a")
		require.True(t, ok)
		target.Done(serving.Attempt{Result: serving.Unreached})
		require.Equal(t, now.Add(pause), p.states[directory.Incarnation{ID: "a"}].avoid)
		_, ok = pickUntil(t, p, now, "a")
		require.False(t, ok)
		now = now.Add(pause + 20*failureHalfLife) // its share of failures is forgotten too
	}
}

// The first attempt of a request that may be tried elsewhere leaves half of the time.
func TestAttemptLeavesTimeForAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plain(now)
	target, _ := p.Pick(r, nil)
	require.Equal(t, now.Add(500*time.Millisecond), target.Deadline)
	r.Route = &catalog.Route{Kind: catalog.Unsafe, MaxRuns: 1}
	target, _ = p.Pick(r, nil)
	require.Equal(t, r.Deadline, target.Deadline)
	other, ok := p.Pick(r, []serving.Attempt{{Upstream: target.Life}})
	require.True(t, ok)
	require.NotEqual(t, target.Life, other.Life)
}

// The process beside the preferred engine tells of a long queue. The request goes to another
// engine, what was announced at the first is withdrawn, and the second one hears of it.
func TestToldQueueMovesTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	announced := map[string]int{}
	queues := map[string]int64{}
	p.Announce = func(address string, _ prefill.Announcement) (prefill.AnnounceReply, bool) {
		announced[address]++
		return prefill.AnnounceReply{Backlog: queues[address]}, true
	}
	p.Withdraw = func(address string, _ prefill.Announcement, _ prefill.AnnounceReply) { announced[address]-- }
	r := plain(now)
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	home, _ := p.Pick(r, nil)
	home.Done(serving.Attempt{Result: serving.Complete})
	require.Equal(t, map[string]int{home.Address: 1}, announced)
	queues[home.Address] = 100_000
	other, _ := p.Pick(r, nil)
	require.NotEqual(t, home.Address, other.Address)
	require.Equal(t, map[string]int{home.Address: 1, other.Address: 1}, announced)
	queues[other.Address] = 200_000
	back, _ := p.Pick(r, nil)
	require.Equal(t, home.Address, back.Address, "the other one has even more")
	require.Equal(t, map[string]int{home.Address: 2, other.Address: 1}, announced)
}

// restart gives the upstream a new life, at the same address.
func restart(p *Pool, id string, born int64) {
	p.Directory.Decode = func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key, StartUnixMS: born}, Address: it.Key, Service: "s", Slots: 6}, nil
	}
	p.Directory.Changed(store.Event{Item: store.Item{Key: id, Revision: store.Revision(born)}})
}

// An engine that failed, and had much to read and much in its cache, starts again under its
// id. Nothing of that is held for or against the new life: it gets requests at once, and no
// prompt is sent there for a cache that is gone. A request that failed in the life before may
// be sent to the new one, and its late end does not count there.
func TestNothingIsKnownOfANewLife(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plain(now)
	r.Service.Engine = &catalog.Engine{CacheTokens: 400_000}
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	before, ok := p.Pick(r, nil)
	require.True(t, ok)
	id := before.Life.ID
	for range 3 {
		p.done(before.Life, serving.Attempt{Result: serving.Unknown})
	}
	restart(p, id, 2)
	life := directory.Incarnation{ID: id, StartUnixMS: 2}
	view := func() placement.Upstream {
		ups := p.allowed(r, []serving.Attempt{{Upstream: before.Life}})
		views, _ := p.views(r, ups)
		for _, v := range views {
			if v.Life == life {
				return v
			}
		}
		t.Fatal("the new life is not tried")
		return placement.Upstream{}
	}
	require.Equal(t, placement.Upstream{Life: life, Slots: 6}, view())
	before.Done(serving.Attempt{Result: serving.Unknown})
	require.Equal(t, placement.Upstream{Life: life, Slots: 6}, view())
}

// The process beside an engine tells of its cache, but has not noticed yet that the engine has
// started again; or the router has not. What it tells is left alone.
func TestToldOfAnotherLife(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Announce = func(string, prefill.Announcement) (prefill.AnnounceReply, bool) {
		return prefill.AnnounceReply{Cached: 13_300, StartUnixMS: 7}, true
	}
	r := plain(now)
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	_, ok := p.announce(r, p.Directory.ForService("s")[0], placement.Choice{})
	require.False(t, ok)
	restart(p, "a", 7)
	for _, u := range p.Directory.ForService("s") {
		_, ok := p.announce(r, u, placement.Choice{})
		require.Equal(t, u.ID == "a", ok)
	}
}

// BenchmarkPick is the choice for one prompt among all upstreams of a large service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 186, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := poolOf(&now)
			var items []store.Item
			for i := range n {
				items = append(items, store.Item{Key: fmt.Sprint("i-", i)})
			}
			p.Directory.Reset(items)
			for i, it := range items { // streams have told how fast each engine is
				p.paced(directory.Incarnation{ID: it.Key}, pace{least: time.Duration(20+i%7) * time.Millisecond, mean: time.Duration(30+i%11) * time.Millisecond})
			}
			r := plain(now)
			r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
			for b.Loop() {
				target, _ := p.Pick(r, nil)
				target.Done(serving.Attempt{Result: serving.Complete})
			}
		})
	}
}

// An engine's data centre is emptied while the process beside the engine is asked, which takes
// tens of milliseconds. The prompt goes to the other engine.
func TestDatacentreIsEmptiedWhileAnEngineIsAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Directory.Decode = func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key}, Address: it.Key, Datacentre: it.Key, Service: "s", Slots: 6}, nil
	}
	p.Directory.Reset([]store.Item{{Key: "a"}, {Key: "b"}})
	first := ""
	p.Withdraw = func(string, prefill.Announcement, prefill.AnnounceReply) {}
	p.Announce = func(address string, _ prefill.Announcement) (prefill.AnnounceReply, bool) {
		if first == "" {
			first = address
			p.Directory.SetDrained([]string{address})
		}
		return prefill.AnnounceReply{}, true
	}
	r := plain(now)
	r.Prompt, r.Parts = 1000, []prefill.Part{{ID: "own", Tokens: 1000}}
	target, ok := p.Pick(r, nil)
	require.True(t, ok)
	require.NotEqual(t, first, target.Address)
}

// A prompt's shared part prefers an engine that is busy, so another one reads it; the process
// beside the preferred engine hears of it. The next router's prompt goes to that other engine, or,
// while that one is busy, to the preferred one, which fetches the part from it. It was read once
// more, on busy days half of all shared tokens that were.
func TestPartsReadElsewhereAreFetched(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	engines := map[string]*prefill.Engine{"a": prefill.NewEngine(now, 50), "b": prefill.NewEngine(now, 50)}
	for _, e := range engines {
		e.SetCacheCapacity(400_000)
	}
	p.Withdraw = func(address string, a prefill.Announcement, told prefill.AnnounceReply) {
		engines[address].Withdraw(now, a, told)
	}
	p.Announce = func(address string, a prefill.Announcement) (prefill.AnnounceReply, bool) {
		return engines[address].Announce(now, a), true
	}
	p.ReportRemotePrefill = func(address string, e prefill.RemotePrefill) { engines[address].RecordRemotePrefill(now, e) }
	subject := prefill.Part{ID: "subject", Tokens: 13_300}
	ask := func(own string) serving.Target {
		r := plain(now)
		r.Service.Engine = &catalog.Engine{CacheTokens: 400_000, BytesPerToken: 1, LinkMbps: 100_000}
		r.Prompt, r.Parts = 17_000, []prefill.Part{subject, {ID: own, Tokens: 3_700}}
		target, ok := p.Pick(r, nil)
		require.True(t, ok)
		return target
	}
	home := map[bool]string{true: "a", false: "b"}[rendezvous.Pick("subject", []string{"a", "b"}) == "a"]
	engines[home].Announce(now, prefill.Announcement{Prompt: 100_000}) // two seconds of reading
	other := ask("own-1")
	require.NotEqual(t, home, other.Address)
	other.Done(serving.Attempt{Result: serving.Complete})
	now = now.Add(5 * time.Second)
	p.states = nil // another router comes next, which knows nothing of the first one's prompts
	next := ask("own-2")
	require.Equal(t, other.Address, next.Address)
	next.Done(serving.Attempt{Result: serving.Complete})
	p.states = nil
	engines[other.Address].Announce(now, prefill.Announcement{Prompt: 100_000})
	back := ask("own-3")
	require.Equal(t, home, back.Address)
	require.Equal(t, other.Address, back.FetchFrom)
}
