package poison

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// Guards against a part that counts as several parts, or as none, because of how a caller writes it.
func TestIdentifyParts(t *testing.T) {
	parts := func(ids ...string) []Prompt {
		r := &serving.Request{}
		for n, id := range ids {
			r.Parts = append(r.Parts, prefill.Part{ID: id, Tokens: int64(n)})
		}
		return IdentifyParts(r)
	}
	require.Len(t, parts("aa", "bb", "own"), 2, "all but the last")
	require.Empty(t, parts("own"))
	require.Empty(t, parts())
	require.Equal(t, parts("aa", "own"), parts("aa", "AA", "aa", "", "other"), "repeated, in another case, empty, with other tokens")
	require.Equal(t, parts("aa", "bb", "x")[1], parts("bb", "y")[0], "wherever it stands")
	require.True(t, parts("aa", "own")[0].IsPart())
}

// Guards against a harmless part that is blamed again after it was answered: an answer clears a part for
// good, at each process that has it, whatever the time of the crashes.
func TestAnswerClearsAPartForGood(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	crash := func(upstream string, at time.Time) Evidence {
		return Evidence{Prompt: "part-1", Crashes: []Crash{{Upstream: upstream, Service: "model", UnixMS: at.UnixMilli()}}}
	}
	var r Registry
	r.Add(now, crash("i-1", now))
	r.RecordAnswer(now, "part-1", "model")
	for _, upstream := range []string{"i-2", "i-3", "i-4"} {
		now = now.Add(time.Second)
		all, _ := r.Add(now, crash(upstream, now))
		require.Equal(t, Clear, all.ForService("model").Standing())
	}
	other := Evidence{Prompt: "part-1", Crashes: []Crash{{Upstream: "i-9", Service: "other", UnixMS: now.UnixMilli()}}}
	all, _ := r.Add(now, other)
	require.Equal(t, Clear, all.ForService("model").Standing(), "another service crashes under it")
	require.Equal(t, Suspect, all.ForService("other").Standing())
}

// Guards against refusals for good of harmless parts that were in all crashes beside the cause and in no answer
// yet, and against a cause that is tried on and on.
func TestPartWithAnotherCauseIsOnTrial(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var r Registry
	add := func(p Prompt, upstreams ...string) Evidence {
		var all Evidence
		for _, upstream := range upstreams {
			all, _ = r.Add(now, Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: "model", UnixMS: now.UnixMilli()}}})
		}
		return all
	}
	cause := add("part-cause", "i-1", "i-2", "i-3", "i-4", "i-5")
	harmless := add("part-shared", "i-1", "i-2", "i-3")
	require.True(t, r.Explained(harmless, []Prompt{"part-shared"}))
	require.False(t, r.Explained(harmless, []Prompt{"part-shared", "part-cause"}), "a prompt with the cause")
	require.False(t, r.Explained(cause, []Prompt{"part-cause"}))
	harmless.Explained = true
	require.Equal(t, OnTrial, harmless.Standing())
	require.True(t, r.AllowTrial(now, "part-shared", "model", "r-1", true))
	require.False(t, r.AllowTrial(now, "part-shared", "model", "r-2", true), "one at a time")
	require.False(t, r.Allow(now, "part-shared", "model", "r-3"))
}
