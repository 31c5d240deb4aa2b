package poison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cleared prompt with crashes, and against crashes after an answer that do not count, while
// the routers' clocks differ and step.
func TestRecordedOrderCountsWhateverTheClocks(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -90 * time.Second, -20 * time.Second, -time.Second, time.Second, 20 * time.Second, 90 * time.Second, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			now := time.UnixMilli(1_700_000_000_000)
			var a, b Registry // b's clock differs by offset
			exchange := func() {
				now = now.Add(10 * time.Millisecond)
				b.Add(now.Add(offset), overWire(t, a.Known(now, "p")))
				a.Add(now, overWire(t, b.Known(now.Add(offset), "p")))
			}
			observe := func(r *Registry, now time.Time, upstream string) {
				at := r.CrashTime(now, "p", "chat")
				r.Add(now, Evidence{Prompt: "p", Crashes: []Crash{{Upstream: upstream, Service: "chat", Age: now.Sub(time.UnixMilli(at)), UnixMS: at}}})
			}
			for round := range 5 {
				observe(&a, now, fmt.Sprint("a-", round))
				now = now.Add(time.Second)
				observe(&b, now.Add(offset), fmt.Sprint("b-", round))
				exchange()
				require.Equal(t, OnTrial, a.Known(now, "p").Standing())
				require.Equal(t, OnTrial, b.Known(now.Add(offset), "p").Standing())
				answering, clock := &a, now
				if round%2 == 0 {
					answering, clock = &b, now.Add(offset)
				}
				answering.RecordAnswer(clock, "p", "chat")
				exchange()
				require.Equal(t, Clear, a.Known(now, "p").Standing())
				require.Equal(t, Clear, b.Known(now.Add(offset), "p").Standing())
				now = now.Add(5 * time.Second)
				for range 20 {
					exchange()
				}
				require.True(t, a.Empty())
				require.True(t, b.Empty())
				offset += []time.Duration{-2 * time.Second, 3 * time.Second}[round%2] // the clock of b steps
			}
		})
	}
}

// Guards against messages about the same crash that move its time on and on, while one clock is wrong or
// one process assigns no times.
func TestTimesDoNotCreep(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	for name, offset := range map[string]time.Duration{"wrong clock": time.Hour, "no times": 0} {
		var a, b Registry
		a.Add(now, crashEvidence("p", "i-1"))
		_, _ = a.AddAnswer(now, "p", Answer{Service: "other", UnixMS: now.UnixMilli()})
		want := a.Known(now, "p")
		at := now
		for range 1000 {
			sent := overWire(t, a.Known(at, "p"))
			at = at.Add(20 * time.Millisecond)
			b.Add(at.Add(offset), sent)
			sent = overWire(t, b.Known(at.Add(offset), "p"))
			if offset == 0 {
				for n := range sent.Crashes {
					sent.Crashes[n].UnixMS = 0
				}
				sent.Answers = nil
			}
			at = at.Add(20 * time.Millisecond)
			a.Add(at, sent)
		}
		got := a.Known(at, "p")
		require.Equal(t, want.Crashes[0].UnixMS, got.Crashes[0].UnixMS, name)
		require.Equal(t, want.Answers[0].UnixMS, got.Answers[0].UnixMS, name)
	}
}

// Guards against crashes that a message without times clears or loses.
func TestMessagesWithoutTimes(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	old := Evidence{Prompt: "p", Answered: []string{"model"}, Crashes: []Crash{
		{Upstream: "i-1", Service: "model", Age: time.Second}, {Upstream: "i-2", Service: "model"}, {Upstream: "i-3", Service: "other", Age: -time.Minute}}}
	var r Registry
	r.Add(now, crashEvidence("p", "i-4"))
	all, _ := r.Add(now, old)
	require.Len(t, all.Crashes, 4, "an answer at an unknown time clears none")
	require.Equal(t, []string{"model"}, all.Answered)
	require.Empty(t, all.Answers)
	require.Len(t, all.ForService("model").Crashes, 3)
	require.Equal(t, now.Add(-time.Second).UnixMilli(), all.Crashes[0].UnixMS)
	require.Equal(t, now.UnixMilli(), all.Crashes[2].UnixMS, "an age below 0 counts as 0")

	all, _ = r.AddAnswer(now.Add(time.Second), "p", Answer{Service: "model"})
	require.Len(t, all.Crashes, 1, "an answer without a time is observed now")
	require.Equal(t, now.Add(time.Second).UnixMilli(), all.Answers[0].UnixMS)
	all, _ = r.Add(now.Add(time.Second), Evidence{Prompt: "p", Crashes: []Crash{{Upstream: "i-1", Service: "model", Age: 2 * time.Second}}})
	require.Len(t, all.Crashes, 1, "a crash before the answer")
	all, _ = r.Add(now.Add(time.Second), Evidence{Prompt: "p", Crashes: []Crash{{Upstream: "i-5", Service: "model"}}})
	require.Len(t, all.Crashes, 2, "a crash that is observed now")
}

// Guards against crashes that are lost or count again when a process that reads no times of answers takes
// part: what it reads of a document and of messages.
func TestProcessesWithoutTimesReadWhatTheyDid(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var r Registry
	r.Add(now, crashEvidence("p", "i-1"))
	r.Add(now, crashEvidence("q", "i-1"))
	r.RecordAnswer(now, "q", "model")
	r.AddAnswer(now, "p", Answer{Service: "other", UnixMS: now.UnixMilli()})
	value, err := Encode(now, r.ListAll(now))
	require.NoError(t, err)
	type oldCrash struct {
		Upstream string `json:"upstream"`
		Service  string `json:"service"`
		UnixMS   int64  `json:"unix_ms"`
	}
	type oldPrompt struct {
		Prompt   Prompt     `json:"prompt"`
		Answered []string   `json:"answered,omitempty"`
		Crashes  []oldCrash `json:"ends"`
	}
	var document struct {
		Prompts []oldPrompt `json:"prompts"`
	}
	require.NoError(t, json.Unmarshal(value, &document))
	require.Equal(t, []oldPrompt{
		{Prompt: "p", Answered: []string{"other"}, Crashes: []oldCrash{{"i-1", "model", now.UnixMilli()}}},
		{Prompt: "q"}, // without crashes it is skipped
	}, document.Prompts)
	require.Len(t, r.List(now), 1, "the list that they ask for")
}

// Guards against crashes that expire at once, or never, since the clock of the process that sent them is wrong.
func TestEvidenceOfASenderWithAWrongClock(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, offset := range []time.Duration{-25 * time.Hour, -2 * clockTolerance, 2 * clockTolerance, 25 * time.Hour} {
		var r Registry
		e := Evidence{Prompt: "p", Crashes: []Crash{{Upstream: "i-1", Service: "model", Age: time.Second, UnixMS: now.Add(offset - time.Second).UnixMilli()}}}
		all, _ := r.Add(now, overWire(t, e))
		require.Equal(t, now.Add(-time.Second).UnixMilli(), all.Crashes[0].UnixMS, offset)
		require.Equal(t, Suspect, r.Known(now.Add(evidenceTTL-2*time.Second), "p").Standing())
		require.Equal(t, Clear, r.Known(now.Add(evidenceTTL), "p").Standing())
	}
}
