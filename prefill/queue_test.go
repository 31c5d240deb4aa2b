package prefill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two routers send long prompts to the same engine within milliseconds. The second one sees
// the first one's prompt, also when the first router is gone by then; some time later the
// engine has read it.
func TestEachSeesWhatIsBeforeIt(t *testing.T) {
	now := time.Unix(0, 0)
	q := Queue{PrefillPerMs: 50}
	require.Zero(t, q.Add(now, 20_000))
	now = now.Add(10 * time.Millisecond)
	require.EqualValues(t, 19_500, q.Add(now, 5_000))
	require.EqualValues(t, 24_500, q.Add(now, -5_000), "it went elsewhere")
	now = now.Add(290 * time.Millisecond)
	require.EqualValues(t, 5_000, q.Add(now, 0))
	now = now.Add(time.Second)
	require.Zero(t, q.Add(now, -100), "never less than nothing")
	require.Zero(t, q.Add(now, 0))
}

// A router announces a prompt and takes it back, since another engine is better. Neither the
// queue nor the cache keeps anything of it; parts that were cached before stay.
func TestWithdrawnAnnouncementLeavesNothing(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	subject := Part{ID: "subject", Tokens: 13_300}
	first := Announcement{Prompt: 17_000, Parts: []Part{subject, {ID: "own-1", Tokens: 3_700}}}
	require.Equal(t, AnnounceReply{PrefillTokens: 17_000}, e.Announce(now, first))
	now = now.Add(time.Second)
	second := Announcement{Prompt: 17_000, Parts: []Part{subject, {ID: "own-2", Tokens: 3_700}}}
	told := e.Announce(now, second)
	require.Equal(t, AnnounceReply{Cached: 13_300, PrefillTokens: 3_700}, told)
	e.Withdraw(now, second, told)
	require.Equal(t, AnnounceReply{Cached: 13_300, PrefillTokens: 3_700}, e.Announce(now, second))
	e.Reset(0, []Part{subject})
	require.EqualValues(t, 13_300, e.Announce(now.Add(time.Second), first).Cached)
	e.Reset(0, nil)
	require.Zero(t, e.Announce(now.Add(time.Second), first).Cached)
}

// What an engine fetches from another one it need not read.
func TestFetchedTokensAreNotRead(t *testing.T) {
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	a := Announcement{Prompt: 17_000, Fetched: 13_300, Parts: []Part{{ID: "s", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
	require.EqualValues(t, 3_700, e.Announce(time.Unix(0, 0), a).PrefillTokens)
}

// An engine starts again between an announcement and its withdrawal. Its queue and cache are
// those of its new life, which another router has announced to by then: nothing of that goes.
func TestWithdrawalOfAnEarlierLife(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(time.Unix(0, 0), 50)
	e.SetCacheCapacity(100_000)
	prompt := Announcement{Prompt: 17_000, Parts: []Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
	e.Reset(1, nil)
	told := e.Announce(now, prompt)
	require.EqualValues(t, 1, told.StartUnixMS)
	e.Reset(2, nil)
	require.Equal(t, AnnounceReply{PrefillTokens: 17_000, StartUnixMS: 2}, e.Announce(now, prompt), "nothing is queued or cached in the new life")
	e.Withdraw(now, prompt, told)
	require.Equal(t, State{Backlog: 17_000, Cached: 17_000, CacheCapacity: 100_000, StartUnixMS: 2}, e.State(now))
}
