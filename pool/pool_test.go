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

// ignoreReports ignores all reports.
type ignoreReports struct{}

func (ignoreReports) UpstreamChanged(directory.Upstream)                 {}
func (ignoreReports) UpstreamGone(directory.Upstream, string)            {}
func (ignoreReports) UpstreamMissing(directory.Upstream, bool, int, int) {}

func (ignoreReports) UpstreamReappeared(directory.Upstream, time.Duration) {}
func (ignoreReports) DirectoryLost(error)                                  {}
func (ignoreReports) DirectoryRead(int)                                    {}
func (ignoreReports) UpstreamUnreadable(error)                             {}

// poolOf returns a pool with the upstreams a and b of service s.
func poolOf(now *time.Time) *Pool {
	clock := func() time.Time { return *now }
	d := &directory.Directory{Report: ignoreReports{}, Now: clock, Decode: func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key}, Address: it.Key, Service: "s", Slots: 6}, nil
	}}
	d.Reset([]store.Item{{Key: "a"}, {Key: "b"}})
	return &Pool{Directory: d, PrefillPerMs: 50, Routers: func() int { return 1 }, Region: func(string) string { return "" }, Now: clock}
}

func plainRequest(now time.Time) *serving.Request {
	return &serving.Request{Route: &catalog.Route{Kind: catalog.Safe, MaxRuns: 2}, Service: catalog.Service{Name: "s"},
		Deadline: now.Add(time.Second)}
}

// pickUntil picks until the upstream is chosen, ending all other requests successfully; it
// reports false if it is not chosen within 100 attempts.
func pickUntil(t *testing.T, p *Pool, now time.Time, id string) (serving.Target, bool) {
	const maxPicks = 100
	for range maxPicks {
		target, ok := p.Pick(plainRequest(now), nil)
		require.True(t, ok)
		if target.Incarnation.ID == id {
			return target, true
		}
		target.Done(serving.Attempt{Result: serving.Complete})
	}
	return serving.Target{}, false
}

// An upstream that cannot be reached is avoided for a time that doubles with the next
// failure, and is tried again afterwards.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	for _, avoid := range []time.Duration{initialAvoid, 2 * initialAvoid} {
		target, ok := pickUntil(t, p, now, "a")
		require.True(t, ok)
		target.Done(serving.Attempt{Result: serving.Unreached})
		require.Equal(t, now.Add(avoid), p.states[directory.Incarnation{ID: "a"}].avoidUntil)
		_, ok = pickUntil(t, p, now, "a")
		require.False(t, ok)
		now = now.Add(avoid + 20*failureHalfLife) // the share of failures decays to 0 as well
	}
}

// The first attempt of a request that may be retried elsewhere gets half of the remaining time.
func TestAttemptLeavesTimeForAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plainRequest(now)
	target, _ := p.Pick(r, nil)
	require.Equal(t, now.Add(500*time.Millisecond), target.Deadline)
	r.Route = &catalog.Route{Kind: catalog.Unsafe, MaxRuns: 1}
	target, _ = p.Pick(r, nil)
	require.Equal(t, r.Deadline, target.Deadline)
	other, ok := p.Pick(r, []serving.Attempt{{Upstream: target.Incarnation}})
	require.True(t, ok)
	require.NotEqual(t, target.Incarnation, other.Incarnation)
}

// The preferred engine's lender reports a long backlog: the request goes to another engine, where
// it is announced, and the announcement at the first is withdrawn.
func TestReportedBacklogMovesTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	announced := map[string]int{}
	queues := map[string]int64{}
	p.Announce = func(_ time.Time, address string, _ prefill.Announcement) (prefill.AnnounceReply, bool) {
		announced[address]++
		return prefill.AnnounceReply{Backlog: queues[address]}, true
	}
	p.Withdraw = func(address string, _ prefill.Announcement, _ prefill.AnnounceReply) { announced[address]-- }
	r := plainRequest(now)
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	preferred, _ := p.Pick(r, nil)
	preferred.Done(serving.Attempt{Result: serving.Complete})
	require.Equal(t, map[string]int{preferred.Address: 1}, announced)
	queues[preferred.Address] = 100_000
	other, _ := p.Pick(r, nil)
	require.NotEqual(t, preferred.Address, other.Address)
	require.Equal(t, map[string]int{preferred.Address: 1, other.Address: 1}, announced)
	queues[other.Address] = 200_000
	back, _ := p.Pick(r, nil)
	require.Equal(t, preferred.Address, back.Address, "the other engine's backlog is longer")
	require.Equal(t, map[string]int{preferred.Address: 2, other.Address: 1}, announced)
}

// restart starts a new incarnation of the upstream at the same address.
func restart(p *Pool, id string, startUnixMS int64) {
	p.Directory.Decode = func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key, StartUnixMS: startUnixMS}, Address: it.Key, Service: "s", Slots: 6}, nil
	}
	p.Directory.Changed(store.Event{Item: store.Item{Key: id, Revision: store.Revision(startUnixMS)}})
}

// An engine with failures, a long backlog and a full cache restarts under its id. None of this
// state may apply to the new incarnation: it gets requests at once, and no prompt for a cache that
// is gone. A request that failed at the old incarnation may be sent to the new one, and its late end
// does not count there.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	r := plainRequest(now)
	r.Service.Engine = &catalog.Engine{CacheTokens: 400_000}
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	before, ok := p.Pick(r, nil)
	require.True(t, ok)
	id := before.Incarnation.ID
	for range 3 {
		p.attemptDone(before.Incarnation, serving.Attempt{Result: serving.Unknown})
	}
	restart(p, id, 2)
	incarnation := directory.Incarnation{ID: id, StartUnixMS: 2}
	view := func() placement.Upstream {
		ups := p.eligible(r, []serving.Attempt{{Upstream: before.Incarnation}})
		views, _ := p.views(r, ups)
		for _, v := range views {
			if v.Incarnation == incarnation {
				return v
			}
		}
		t.Fatal("the new incarnation is not a candidate")
		return placement.Upstream{}
	}
	require.Equal(t, placement.Upstream{Incarnation: incarnation, Slots: 6}, view())
	before.Done(serving.Attempt{Result: serving.Unknown})
	require.Equal(t, placement.Upstream{Incarnation: incarnation, Slots: 6}, view())
}

// The engine has restarted, and either its lender or the router has not noticed. The lender's reply
// about the cache is about another incarnation and is ignored.
func TestReplyAboutAnotherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Announce = func(time.Time, string, prefill.Announcement) (prefill.AnnounceReply, bool) {
		return prefill.AnnounceReply{Cached: 13_300, StartUnixMS: 7}, true
	}
	r := plainRequest(now)
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	_, ok := p.announce(r, p.Directory.ForService("s")[0], placement.Choice{})
	require.False(t, ok)
	restart(p, "a", 7)
	for _, u := range p.Directory.ForService("s") {
		_, ok := p.announce(r, u, placement.Choice{})
		require.Equal(t, u.ID == "a", ok)
	}
}

// BenchmarkPick measures the choice for one prompt among all upstreams of a large service.
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
			for i, it := range items { // the event intervals of each engine are known
				p.observeIntervals(directory.Incarnation{ID: it.Key}, eventIntervals{minMean: time.Duration(20+i%7) * time.Millisecond, mean: time.Duration(30+i%11) * time.Millisecond})
			}
			r := plainRequest(now)
			r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
			for b.Loop() {
				target, _ := p.Pick(r, nil)
				target.Done(serving.Attempt{Result: serving.Complete})
			}
		})
	}
}

// An engine's data centre is drained while its lender is asked, which takes tens of milliseconds.
// The prompt must go to the other engine.
func TestDatacentreDrainedDuringAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Directory.Decode = func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key}, Address: it.Key, Datacentre: it.Key, Service: "s", Slots: 6}, nil
	}
	p.Directory.Reset([]store.Item{{Key: "a"}, {Key: "b"}})
	first := ""
	p.Withdraw = func(string, prefill.Announcement, prefill.AnnounceReply) {}
	p.Announce = func(_ time.Time, address string, _ prefill.Announcement) (prefill.AnnounceReply, bool) {
		if first == "" {
			first = address
			p.Directory.SetDrained([]string{address})
		}
		return prefill.AnnounceReply{}, true
	}
	r := plainRequest(now)
	r.Prompt, r.Parts = 1000, []prefill.Part{{ID: "own", Tokens: 1000}}
	target, ok := p.Pick(r, nil)
	require.True(t, ok)
	require.NotEqual(t, first, target.Address)
}

// The preferred engine of a shared part is busy, so another engine prefills it and the preferred
// engine's lender is informed. The next router's prompt goes to the other engine or, while that one is
// busy, to the preferred one, which fetches the part. Without this record the part was
// prefilled again; half of the shared tokens that were prefilled again on busy days were such parts.
func TestPartsPrefilledElsewhereAreFetched(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	engines := map[string]*prefill.Engine{"a": prefill.NewEngine(now, 50), "b": prefill.NewEngine(now, 50)}
	for _, e := range engines {
		e.SetCacheCapacity(400_000)
	}
	p.Withdraw = func(address string, a prefill.Announcement, reply prefill.AnnounceReply) {
		engines[address].Withdraw(now, a, reply)
	}
	p.Announce = func(_ time.Time, address string, a prefill.Announcement) (prefill.AnnounceReply, bool) {
		return engines[address].Announce(now, a), true
	}
	p.ReportRemotePrefill = func(address string, e prefill.RemotePrefill) { engines[address].RecordRemotePrefill(now, e) }
	subject := prefill.Part{ID: "subject", Tokens: 13_300}
	ask := func(own string) serving.Target {
		r := plainRequest(now)
		r.Service.Engine = &catalog.Engine{CacheTokens: 400_000, BytesPerToken: 1, LinkMbps: 100_000}
		r.Prompt, r.Parts = 17_000, []prefill.Part{subject, {ID: own, Tokens: 3_700}}
		target, ok := p.Pick(r, nil)
		require.True(t, ok)
		return target
	}
	preferred := map[bool]string{true: "a", false: "b"}[rendezvous.Pick("subject", []string{"a", "b"}) == "a"]
	engines[preferred].Announce(now, prefill.Announcement{Prompt: 100_000}) // two seconds of prefill
	other := ask("own-1")
	require.NotEqual(t, preferred, other.Address)
	other.Done(serving.Attempt{Result: serving.Complete})
	now = now.Add(5 * time.Second)
	p.states = nil // simulates another router, without state of the first one's prompts
	next := ask("own-2")
	require.Equal(t, other.Address, next.Address)
	next.Done(serving.Attempt{Result: serving.Complete})
	p.states = nil
	engines[other.Address].Announce(now, prefill.Announcement{Prompt: 100_000})
	back := ask("own-3")
	require.Equal(t, preferred, back.Address)
	require.Equal(t, other.Address, back.FetchFrom)
}
