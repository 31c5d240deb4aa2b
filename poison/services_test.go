package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func serviceCrashEvidence(p Prompt, service, upstream string) Evidence {
	return Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: service}}}
}

// Guards against three crashes for each service among which a route is split.
func TestCrashesCountForAllServices(t *testing.T) {
	var r Registry
	for n, service := range []string{"one", "two", "three"} {
		require.True(t, r.Allow(start, "p", service, fmt.Sprint(n)))
		r.Add(start, serviceCrashEvidence("p", service, fmt.Sprint("i-", n)))
		if n == 1 {
			require.True(t, r.Allow(start, "p", "three", "2"), "one request may try")
		}
	}
	require.False(t, r.Allow(start, "p", "four", "4"))
}

// Guards against refusing a prompt at a service that answers it, and against clearing it at a
// service whose upstreams it crashes.
func TestAnswerClearsAPromptAtItsService(t *testing.T) {
	var r Registry
	r.Add(start, serviceCrashEvidence("p", "broken", "i-1"))
	r.Add(start, serviceCrashEvidence("p", "broken", "i-2"))
	require.Equal(t, OnTrial, r.RecordAnswer(start, "p", "sound").Standing())
	require.Equal(t, Clear, r.Known(start, "p").ForService("sound").Standing())
	require.Equal(t, OnTrial, r.Known(start, "p").ForService("broken").Standing())
	r.Add(start, serviceCrashEvidence("p", "broken", "i-3"))
	require.False(t, r.Allow(start, "p", "broken", "1"))
	require.False(t, r.Allow(start, "p", "another", "1"), "which has not answered")
	require.True(t, r.Allow(start, "p", "sound", "1"))
	for n := range provenThreshold {
		r.Add(start, serviceCrashEvidence("p", "sound", fmt.Sprint("i-", 10+n)))
	}
	require.False(t, r.Allow(start, "p", "sound", "2"), "its own upstreams crash under it now")
	require.Equal(t, []string{"sound"}, r.Known(start, "p").Answered)

	var other Registry
	other.Add(start, r.Known(start, "p"))
	require.Equal(t, r.Known(start, "p"), other.Known(start, "p"), "another process that received the evidence")
	r.RecordAnswer(start, "p", "sound")
	r.RecordAnswer(start, "p", "broken")
	require.True(t, r.Empty())
}

// Guards against a new crash that is dropped because the maximum number of older ones is kept.
func TestNewestCrashesAreKept(t *testing.T) {
	var r Registry
	for n := range maxCrashesPerPrompt {
		r.Add(start, serviceCrashEvidence("p", "model", fmt.Sprint("i-", n)))
	}
	late := start.Add(evidenceTTL - 1)
	r.Add(late, serviceCrashEvidence("p", "model", "i-late"))
	require.Equal(t, Proven, r.Known(late.Add(evidenceTTL-1), "p").Standing())
	require.Len(t, r.Known(late, "p").Crashes, maxCrashesPerPrompt)
}
