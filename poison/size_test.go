package poison

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullRegistry returns a registry of maxPrompts prompts, the largest share of them with answers only. Each
// other prompt has crashes of two services and an answer of a third one.
func fullRegistry(now time.Time, crashes int) *Registry {
	r := &Registry{}
	for n := range maxPrompts {
		p := Prompt(fmt.Sprintf("%024x", n))
		if n < maxPrompts-maxAnsweredPrompts {
			for k := range crashes {
				r.Add(now, Evidence{Prompt: p, Crashes: []Crash{{Upstream: fmt.Sprintf("i-%010x@%013d", k, now.UnixMilli()),
					Service: []string{"chat-large", "code-large"}[k%2], UnixMS: now.UnixMilli()}}})
			}
		}
		r.AddAnswer(now, p, Answer{Service: "review-large", UnixMS: now.UnixMilli()})
	}
	return r
}

// Guards against lists, documents and memory that grow with the answers.
func TestSizesOfAFullRegistry(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, crashes := range []int{1, 3, maxCrashesPerPrompt, 2 * maxCrashesPerPrompt} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := fullRegistry(now, crashes)
		runtime.GC()
		runtime.ReadMemStats(&after)
		memory := int(after.HeapAlloc) - int(before.HeapAlloc)
		require.Equal(t, maxPrompts, r.Len())
		require.Equal(t, maxPrompts-maxAnsweredPrompts, r.crashed)
		all := r.ListAll(now)
		require.Len(t, all, min(maxListedPrompts, maxListedPrompts*maxCrashesPerPrompt/crashes)+maxListedAnswered)
		list, err := json.Marshal(all)
		require.NoError(t, err)
		document, err := Encode(now, all)
		require.NoError(t, err)
		t.Logf("%d crashes a prompt: list %d bytes, document %d bytes, memory %d bytes", crashes, len(list), len(document), memory)
		const perPrompt, perCrash = 250, 180
		counted := min(crashes, maxCrashesPerPrompt)
		require.Less(t, len(list), len(all)*perPrompt+maxListedPrompts*counted*perCrash)
		require.Less(t, len(document), (maxStoredPrompts+maxStoredAnswered)*perPrompt+maxStoredPrompts*counted*perCrash)
		runtime.KeepAlive(r)
	}
}

// Guards against answers that displace prompts with crashes, and against a document or list that grows with
// the answers.
func TestAnswersAreBoundedAndComeLast(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var r Registry
	for n := range maxPrompts - 10 {
		r.Add(now, serviceCrashEvidence(Prompt(fmt.Sprint("crashed-", n)), "model", "i-1"))
	}
	for n := range 2 * maxAnsweredPrompts {
		at := now.Add(time.Duration(n) * time.Millisecond)
		r.AddAnswer(at, Prompt(fmt.Sprint("answered-", n)), Answer{Service: "model", UnixMS: at.UnixMilli()})
	}
	require.Equal(t, maxPrompts, r.Len())
	require.Equal(t, maxPrompts-10, r.crashed, "none was displaced")
	later := now.Add(time.Minute)
	for n := range 10 {
		r.Add(later, serviceCrashEvidence(Prompt(fmt.Sprint("new-", n)), "model", "i-1"))
	}
	require.Equal(t, maxPrompts, r.Len())
	require.Equal(t, maxPrompts, r.crashed, "answers are evicted first")

	var answered Registry
	for n := range 2 * maxPrompts {
		at := now.Add(time.Duration(n) * time.Millisecond)
		answered.AddAnswer(at, Prompt(fmt.Sprint("answered-", n)), Answer{Service: "model", UnixMS: at.UnixMilli()})
	}
	require.Equal(t, maxAnsweredPrompts, answered.Len())
	require.True(t, answered.Empty())
	answered.Add(later, serviceCrashEvidence("crashed", "model", "i-1"))
	all := answered.ListAll(later)
	require.Len(t, all, 1+maxListedAnswered)
	require.Equal(t, Prompt("crashed"), all[0].Prompt)
	require.Equal(t, Prompt(fmt.Sprint("answered-", 2*maxPrompts-1)), all[1].Prompt, "the newest answer")
	value, err := Encode(later, all)
	require.NoError(t, err)
	require.Less(t, len(value), 6_000)
}

// Guards against a bound on crashes whose result depends on whether an answer comes before or after it is applied.
func TestBoundOfCrashesCommutesWithAnswers(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var events []Evidence
	for n := range 2 * maxCrashesPerPrompt {
		for _, service := range []string{"chat", "code"} {
			events = append(events, Evidence{Prompt: "p", Crashes: []Crash{{Upstream: fmt.Sprint(service, n), Service: service, UnixMS: now.UnixMilli() + int64(n)}}})
		}
	}
	events = append(events, Evidence{Prompt: "p", Answers: []Answer{{Service: "chat", UnixMS: now.UnixMilli() + 12}}})
	var want Evidence
	for order := range 50 {
		shuffled := slices.Clone(events)
		rand.New(rand.NewPCG(20261203, uint64(order))).Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		var r Registry
		for _, e := range shuffled {
			r.Add(now, e)
		}
		if order == 0 {
			want = r.Known(now, "p")
		}
		require.Equal(t, want, r.Known(now, "p"))
	}
	require.Len(t, want.Crashes, 4+maxCrashesPerPrompt)
}
