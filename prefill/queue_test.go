package prefill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two routers send long prompts to the same engine within milliseconds. The second one must get
// the first one's prompt in the backlog, even if the first router has ended; the backlog
// decreases with time.
func TestQueueReturnsBacklog(t *testing.T) {
	now := time.Unix(0, 0)
	q := Queue{PrefillPerMs: 50}
	require.Zero(t, q.Add(now, 20_000))
	now = now.Add(10 * time.Millisecond)
	require.EqualValues(t, 19_500, q.Add(now, 5_000))
	require.EqualValues(t, 24_500, q.Add(now, -5_000), "the prompt went elsewhere")
	now = now.Add(290 * time.Millisecond)
	require.EqualValues(t, 5_000, q.Add(now, 0))
	now = now.Add(time.Second)
	require.Zero(t, q.Add(now, -100), "the backlog is never negative")
	require.Zero(t, q.Add(now, 0))
}

// A router announces a prompt and withdraws it because another engine is better. The queue and the
// cache must drop it; parts that were cached before stay.
func TestWithdrawnAnnouncementIsRemoved(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	subject := Part{ID: "subject", Tokens: 13_300}
	first := Announcement{Prompt: 17_000, Parts: []Part{subject, {ID: "own-1", Tokens: 3_700}}}
	require.Equal(t, AnnounceReply{PrefillTokens: 17_000}, e.Announce(now, first))
	now = now.Add(time.Second)
	second := Announcement{Prompt: 17_000, Parts: []Part{subject, {ID: "own-2", Tokens: 3_700}}}
	reply := e.Announce(now, second)
	require.Equal(t, AnnounceReply{Cached: 13_300, PrefillTokens: 3_700}, reply)
	e.Withdraw(now, second, reply)
	require.Equal(t, AnnounceReply{Cached: 13_300, PrefillTokens: 3_700}, e.Announce(now, second))
	e.Reset(0, []Part{subject})
	require.EqualValues(t, 13_300, e.Announce(now.Add(time.Second), first).Cached)
	e.Reset(0, nil)
	require.Zero(t, e.Announce(now.Add(time.Second), first).Cached)
}

// Tokens that an engine fetches from another one do not count as prefill.
func TestFetchedTokensAreNotPrefilled(t *testing.T) {
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	a := Announcement{Prompt: 17_000, Fetched: 13_300, Parts: []Part{{ID: "s", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
	require.EqualValues(t, 3_700, e.Announce(time.Unix(0, 0), a).PrefillTokens)
}

// An engine restarts between an announcement and its withdrawal, and another router announces the same
// prompt to the new incarnation. The withdrawal must not change the new incarnation's queue and cache.
func TestWithdrawalFromEarlierIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	prompt := Announcement{Prompt: 17_000, Parts: []Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
	e.Reset(1, nil)
	reply := e.Announce(now, prompt)
	require.EqualValues(t, 1, reply.StartUnixMS)
	e.Reset(2, nil)
	require.Equal(t, AnnounceReply{PrefillTokens: 17_000, StartUnixMS: 2}, e.Announce(now, prompt), "the new incarnation starts with an empty queue and cache")
	e.Withdraw(now, prompt, reply)
	require.Equal(t, State{Backlog: 17_000, Cached: 17_000, CacheCapacity: 100_000, StartUnixMS: 2}, e.State(now))
}
