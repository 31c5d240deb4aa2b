package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crashAt returns evidence of one crash with a generation.
func crashAt(p Prompt, upstream string, at time.Time, generation int) Evidence {
	return Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: "model", UnixMS: at.UnixMilli(), Generation: generation}}}
}

// Guards against a proof by one outage of several upstreams, and against a prompt that is never proven although its
// crashes follow from one another.
func TestIndependentCrashes(t *testing.T) {
	const ms = time.Millisecond
	type crash struct {
		after      time.Duration
		generation int
	}
	for name, c := range map[string]struct {
		crashes []crash
		want    int
	}{
		"one outage":                        {[]crash{{0, 1}, {0, 1}, {3 * ms, 1}, {240 * ms, 1}}, 1},
		"at intervals":                      {[]crash{{0, 1}, {250 * ms, 1}, {500 * ms, 1}}, 3},
		"a chain of short intervals":        {[]crash{{0, 1}, {200 * ms, 1}, {400 * ms, 1}}, 2},
		"each sent after the one before":    {[]crash{{0, 1}, {10 * ms, 2}, {20 * ms, 3}}, 3},
		"an outage and two trials":          {[]crash{{0, 1}, {0, 1}, {0, 1}, {100 * ms, 2}, {200 * ms, 3}}, 3},
		"an outage, a trial and an outage":  {[]crash{{0, 1}, {0, 1}, {100 * ms, 2}, {100 * ms, 1}, {100 * ms, 1}}, 2},
		"earlier ones are not known here":   {[]crash{{0, 5}}, 1},
		"the clock of one observer is fast": {[]crash{{0, 1}, {0, 1}, {2000 * ms, 1}}, 2},
		"unknown generations":               {[]crash{{0, 0}, {0, 0}, {0, 0}}, 3},
	} {
		var r Registry
		for n, crash := range c.crashes {
			r.Add(start, crashAt("p", fmt.Sprint("i-", n), start.Add(crash.after), crash.generation))
		}
		require.Equal(t, c.want, r.Known(start, "p").Independent(), name)
	}
}

// Guards against copies of the evidence that count other numbers of independent crashes, whatever the order of merges.
func TestIndependentCrashesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Evidence
		for n := range rapid.IntRange(1, maxCrashesPerPrompt).Draw(t, "crashes") {
			at := start.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			all = append(all, crashAt("p", fmt.Sprint("i-", n), at, rapid.IntRange(0, 4).Draw(t, "generation")))
		}
		var a, b Registry
		for _, e := range all {
			a.Add(start, e)
		}
		for _, e := range rapid.Permutation(all).Draw(t, "order") {
			b.Add(start, overWire(t, e))
		}
		require.Equal(t, a.Known(start, "p"), b.Known(start, "p"))
		independent := a.Known(start, "p").Independent()
		require.LessOrEqual(t, independent, len(all))
		require.Positive(t, independent)
	})
}

// Guards against a generation that counts crashes which the router recorded only after it had sent the prompt.
func TestGenerationCountsWhatWasRecordedBefore(t *testing.T) {
	var r Registry
	require.Equal(t, 1, r.Generation("p", start))
	r.Add(start, crashAt("p", "i-1", start, 1))
	require.Equal(t, 2, r.Generation("p", start))
	r.Add(start.Add(time.Second), crashAt("p", "i-2", start.Add(time.Second), 1))
	require.Equal(t, 2, r.Generation("p", start), "sent before the second crash")
	require.Equal(t, 3, r.Generation("p", start.Add(time.Second)))
}

// Guards against a document that loses the generations, so that an outage is a proof after a restart of all processes.
func TestDocumentKeepsGenerations(t *testing.T) {
	var r, restarted Registry
	for n := range provenThreshold {
		r.Add(start, crashAt("p", fmt.Sprint("i-", n), start, 1))
	}
	value, err := Encode(start, r.ListAll(start))
	require.NoError(t, err)
	all, err := Decode(start, value)
	require.NoError(t, err)
	for _, e := range all {
		restarted.Add(start, e)
	}
	require.Equal(t, OnTrial, restarted.Known(start, "p").Standing())
}

// Guards against seconds in which a prompt on trial is refused although its trial has ended with a crash, and
// against a second trial beside the first one because of late reports of an outage.
func TestNextTrialFollowsTheCrashOfTheLastOne(t *testing.T) {
	var r Registry
	r.Add(start, crashAt("p", "i-1", start, 1))
	r.Add(start, crashAt("p", "i-2", start, 1))
	require.True(t, r.Allow(start, "p", "model", "1"))
	r.Add(start, crashAt("p", "i-3", start, 1))
	require.False(t, r.Allow(start.Add(10*time.Millisecond), "p", "model", "2"), "a late report")
	r.Add(start.Add(20*time.Millisecond), crashAt("p", "i-4", start.Add(20*time.Millisecond), 2))
	require.True(t, r.Allow(start.Add(30*time.Millisecond), "p", "model", "2"))
}
