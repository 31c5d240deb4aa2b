package prefill

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/warmup"
	"github.com/stretchr/testify/require"
)

// coldMax is the maximum number of prompts per second for the engine of these tests while cold.
const coldMax = 20

// announceMany announces prompts at the same time, and returns how many are admitted.
func announceMany(e *Engine, now time.Time, prompts int, cold bool) (admitted int) {
	for range prompts {
		if !e.Announce(now, Announcement{Prompt: 100, MaxPerSecond: coldMax, Cold: cold}).Denied {
			admitted++
		}
	}
	return admitted
}

// An engine becomes cold under load. Prompts of the last second count towards the bound, although
// it was warm then; and after one router has reported it cold, prompts of routers that still
// consider it warm are denied as well.
func TestAdmissionWhileEngineIsCold(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	now := start.Add(time.Minute)
	require.Equal(t, 8, announceMany(e, now, 8, false))
	now = now.Add(500 * time.Millisecond)
	bound := warmup.PermitLimit(coldMax)
	require.Equal(t, bound-8, announceMany(e, now, 30, true))
	require.Zero(t, announceMany(e, now, 5, false), "a router that still considers it warm")
	now = now.Add(600 * time.Millisecond) // the first eight are more than a second ago
	require.Equal(t, 8, announceMany(e, now, 30, true))
	now = now.Add(2 * time.Second) // no router considers it cold any more
	require.Equal(t, 100, announceMany(e, now, 100, false))
}

// The lender of a cold engine restarts without a record of the previous second's prompts. It must
// admit none for one second; a warm engine's prompts are admitted at once.
func TestAdmissionAfterLenderRestart(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	require.Equal(t, 3, announceMany(e, start, 3, false))
	require.Zero(t, announceMany(e, start.Add(900*time.Millisecond), 5, true))
	require.Equal(t, 5, announceMany(e, start.Add(time.Second), 5, true))
}

// After a loss of all power the engine is cold, and new like its lender. It has no cached parts and
// no requests, so it had no earlier prompts: prompts must be admitted at once.
func TestAdmissionOfUnusedEngine(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	e.MarkUnused()
	require.Equal(t, warmup.PermitLimit(coldMax), announceMany(e, start, 30, true))
}

// An admitted prompt goes elsewhere: another one is admitted instead. Services without a rate for
// cold engines are not bounded.
func TestWithdrawnAdmission(t *testing.T) {
	start := time.Unix(0, 0)
	e := NewEngine(start, 50)
	now := start.Add(time.Minute)
	bound := warmup.PermitLimit(coldMax)
	require.Equal(t, bound, announceMany(e, now, 30, true))
	a := Announcement{Prompt: 100, MaxPerSecond: coldMax, Cold: true}
	e.Withdraw(now, a, AnnounceReply{PrefillTokens: 100})
	require.Equal(t, 1, announceMany(e, now, 5, true))
	require.False(t, e.Announce(now, Announcement{Prompt: 100}).Denied)
}
