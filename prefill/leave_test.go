package prefill

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/warmup"
	"github.com/stretchr/testify/require"
)

// coldMost is what the engine of these tests bears in a second while it is cold.
const coldMost = 20

// leaves asks for leave for so many prompts at once, and returns how many got it.
func leaves(e *Engine, now time.Time, prompts int, cold bool) (given int) {
	for range prompts {
		if !e.Announce(now, Announcement{Prompt: 100, MaxPerSecond: coldMost, Cold: cold}).Denied {
			given++
		}
	}
	return given
}

// An engine turns cold while prompts come. Those of the last second count against what it bears,
// though they came while it was warm; and a router that has not heard of it yet is denied as well,
// since another one has.
func TestLeaveWhileAnEngineIsCold(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	now := start.Add(time.Minute)
	require.Equal(t, 8, leaves(e, now, 8, false))
	now = now.Add(500 * time.Millisecond)
	bears := warmup.PermitLimit(coldMost)
	require.Equal(t, bears-8, leaves(e, now, 30, true))
	require.Zero(t, leaves(e, now, 5, false), "a router that has not heard of it")
	now = now.Add(600 * time.Millisecond) // the first eight are more than a second ago
	require.Equal(t, 8, leaves(e, now, 30, true))
	now = now.Add(2 * time.Second) // nobody takes it for cold any more
	require.Equal(t, 100, leaves(e, now, 100, false))
}

// The process beside a cold engine starts again, and does not know what came in the second before.
// It gives no leave for as long; to a warm engine prompts go at once.
func TestLeaveAfterAStart(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	require.Equal(t, 3, leaves(e, start, 3, false))
	require.Zero(t, leaves(e, start.Add(900*time.Millisecond), 5, true))
	require.Equal(t, 5, leaves(e, start.Add(time.Second), 5, true))
}

// All power was lost: the engine is cold, and new like the process beside it. It keeps nothing of any
// prompt and has no request, so that nothing came before: leave is given at once.
func TestLeaveOfAnUnusedEngine(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	e.MarkUnused()
	require.Equal(t, warmup.PermitLimit(coldMost), leaves(e, start, 30, true))
}

// A prompt that had leave goes elsewhere: another one gets its place. Services that name no rate
// are not bounded.
func TestLeaveThatIsNotUsed(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	now := start.Add(time.Minute)
	bears := warmup.PermitLimit(coldMost)
	require.Equal(t, bears, leaves(e, now, 30, true))
	a := Announcement{Prompt: 100, MaxPerSecond: coldMost, Cold: true}
	e.Withdraw(now, a, AnnounceReply{PrefillTokens: 100})
	require.Equal(t, 1, leaves(e, now, 5, true))
	require.False(t, e.Announce(now, Announcement{Prompt: 100}).Denied)
}
