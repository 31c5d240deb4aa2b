package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// crashEvidence returns evidence of one crash.
func crashEvidence(p Prompt, upstream string) Evidence {
	return Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: "model"}}}
}

func TestIdentify(t *testing.T) {
	request := func(change func(r *serving.Request)) Prompt {
		r := &serving.Request{ID: "1", Team: "pilots", Service: catalog.Service{Name: "model"}, Method: "POST", URI: "/a/1", Body: []byte("x"),
			MaxOutput: 60, Parts: []prefill.Part{{ID: "aa", Tokens: 600}, {ID: "bb", Tokens: 400}}}
		change(r)
		return Identify(r)
	}
	same := request(func(*serving.Request) {})
	require.Equal(t, same, request(func(r *serving.Request) { r.ID, r.Team, r.LastEvent, r.URI = "2", "skippers", "7", "/a/2" }), "a retry, whoever asks")
	require.Equal(t, same, request(func(r *serving.Request) { r.Service.Name = "other" }), "the route was moved or split")
	for name, change := range map[string]func(r *serving.Request){
		"last part":   func(r *serving.Request) { r.Parts[1].ID = "cc" },
		"order":       func(r *serving.Request) { r.Parts[0], r.Parts[1] = r.Parts[1], r.Parts[0] },
		"one part":    func(r *serving.Request) { r.Parts = r.Parts[:1] },
		"output":      func(r *serving.Request) { r.MaxOutput = 61 },
		"no parts":    func(r *serving.Request) { r.Parts = nil },
		"parts' cuts": func(r *serving.Request) { r.Parts[0].ID, r.Parts[1].ID = "aab", "b" },
	} {
		require.NotEqual(t, same, request(change), name)
	}
	bare := func(body string) Prompt {
		return request(func(r *serving.Request) { r.Parts, r.Body = nil, []byte(body) })
	}
	require.Equal(t, bare("x"), bare("x"))
	require.NotEqual(t, bare("x"), bare("y"))
}

// After one crash, requests are still allowed; after two, one request per trialInterval; after
// three, none until the refusal period has passed.
func TestStandings(t *testing.T) {
	var r Registry
	require.True(t, r.Empty())
	require.True(t, r.Allow(start, "p", "model", "1"))
	r.Add(start, crashEvidence("p", "i-1"))
	_, added := r.Add(start, crashEvidence("p", "i-1"))
	require.False(t, added, "the same upstream, reported by another process")
	require.Equal(t, Suspect, r.Known(start, "p").Standing())
	require.True(t, r.Allow(start, "p", "model", "1"))
	require.True(t, r.Allow(start, "p", "model", "2"))

	r.Add(start, crashEvidence("p", "i-2"))
	require.Equal(t, OnTrial, r.Known(start, "p").Standing())
	require.True(t, r.Allow(start, "p", "model", "3"))
	require.False(t, r.Allow(start, "p", "model", "4"), "another request is trying it")
	require.True(t, r.Allow(start, "p", "model", "3"), "the upstream chosen first could not be reached")
	require.True(t, r.Allow(start.Add(trialInterval), "p", "model", "4"), "the first trial had no result")

	r.Add(start.Add(time.Second), crashEvidence("p", "i-3"))
	require.Equal(t, Proven, r.Known(start, "p").Standing())
	require.False(t, r.Allow(start.Add(time.Minute), "p", "model", "5"))
	require.Len(t, r.Restricted(start.Add(time.Minute)), 1)
	after := start.Add(time.Second + refusalPeriod)
	require.Equal(t, []StandingChange{{Prompt: "p", Was: Proven, Now: OnTrial}}, r.Expire(after))
	require.True(t, r.Allow(after, "p", "model", "6"))
	require.False(t, r.Allow(after, "p", "model", "7"), "one at a time, as before")
	r.Add(after.Add(time.Second), crashEvidence("p", "i-4"))
	require.Equal(t, Proven, r.Known(after.Add(time.Second), "p").Standing())
	again := after.Add(time.Second + 2*refusalPeriod)
	require.Empty(t, r.Expire(again.Add(-1)), "twice as long as the first time")
	require.Equal(t, []StandingChange{{Prompt: "p", Was: Proven, Now: OnTrial}}, r.Expire(again))
	require.Empty(t, r.Expire(again.Add(time.Hour)))
	much := after.Add(time.Second + evidenceTTL)
	require.Equal(t, []StandingChange{{Prompt: "p", Was: OnTrial, Now: Clear}}, r.Expire(much))
	require.True(t, r.Empty())
}

// Guards against refusing a harmless prompt: one that many callers send coincides with a crash now
// and then. An answer to it shows that it is not the cause.
func TestAnsweredPromptIsCleared(t *testing.T) {
	var r Registry
	for n := range 10 {
		r.Add(start, crashEvidence("p", fmt.Sprint("i-", n)))
		if n%2 == 1 {
			require.Equal(t, OnTrial, r.RecordAnswer(start, "p", "model").Standing())
		}
		require.Less(t, r.Known(start, "p").Standing(), Proven)
	}
	require.Equal(t, Clear, r.RecordAnswer(start, "unknown", "model").Standing())
}

// Guards against evicting a proven prompt when a rack of upstreams fails and interrupts more
// requests than are recorded.
func TestInterruptedRequestsDoNotEvictProvenPrompts(t *testing.T) {
	var r Registry
	for n := range provenThreshold {
		r.Add(start, crashEvidence("p", fmt.Sprint("i-", n)))
	}
	for n := range maxPrompts + 100 {
		r.Add(start.Add(time.Duration(n)*time.Millisecond), crashEvidence(Prompt(fmt.Sprint("good-", n)), "i-9"))
	}
	require.Len(t, r.records, maxPrompts)
	require.Equal(t, Proven, r.Known(start, "p").Standing())
	for n := range 20 {
		r.Add(start, crashEvidence("p", fmt.Sprint("more-", n)))
	}
	require.Len(t, r.Known(start, "p").Crashes, maxCrashesPerPrompt)
	require.Equal(t, Proven, r.Known(start.Add(evidenceTTL-1), "p").Standing())
}

// A crash expires after a day without another one, and not earlier.
func TestSuspicionExpires(t *testing.T) {
	var r Registry
	r.Add(start, crashEvidence("p", "i-1"))
	require.Empty(t, r.Expire(start.Add(evidenceTTL-1)))
	require.Equal(t, Suspect, r.Known(start.Add(evidenceTTL-1), "p").Standing())
	r.Add(start.Add(evidenceTTL), crashEvidence("p", "i-2"))
	require.Equal(t, Suspect, r.Known(start.Add(evidenceTTL), "p").Standing())
}

// fleet simulates upstreams that run prompts. Some prompts crash them; others crash by chance.
type fleet struct {
	t        *rapid.T
	register Registry
	now      time.Time
	requests int
	// running holds the prompts at each upstream.
	running map[string][]Prompt
	// crashesSinceAnswer counts the upstreams that crashed under each prompt since it was last
	// answered, sentAfterProof the sends after three crashes.
	crashesSinceAnswer map[Prompt]int
	sentAfterProof     int
	// refused counts harmless prompts that were refused with fewer than two crashes.
	refused int
}

func (f *fleet) crash(upstream string) {
	slices.Sort(f.running[upstream])
	for _, p := range slices.Compact(f.running[upstream]) {
		f.register.Add(f.now, crashEvidence(p, fmt.Sprint(upstream, "@", f.now.UnixNano())))
		f.crashesSinceAnswer[p]++
	}
	f.running[upstream] = nil
}

func (f *fleet) send(p Prompt, upstream string) {
	f.requests++
	if !f.register.Allow(f.now, p, "model", fmt.Sprint(f.requests)) {
		if f.crashesSinceAnswer[p] < trialThreshold {
			f.refused++
		}
		return
	}
	if f.crashesSinceAnswer[p] >= provenThreshold {
		f.sentAfterProof++
	}
	f.running[upstream] = append(f.running[upstream], p)
}

func (f *fleet) answer(upstream string) {
	if len(f.running[upstream]) == 0 {
		return
	}
	p := f.running[upstream][0]
	f.running[upstream] = f.running[upstream][1:]
	if !crashesUpstreams(p) {
		f.register.RecordAnswer(f.now, p, "model")
		f.crashesSinceAnswer[p] = 0
	}
}

func crashesUpstreams(p Prompt) bool { return p[0] == 'd' }

// Random mixes of harmless prompts, prompts that crash upstreams, and upstreams that crash by
// chance. No prompt is sent after three crashes without an answer in between, and none with fewer
// than two crashes is refused.
func TestThresholdsInRandomMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fleet{t: t, now: start, running: map[string][]Prompt{}, crashesSinceAnswer: map[Prompt]int{}}
		upstreams := rapid.IntRange(2, 12).Draw(t, "upstreams")
		kinds := rapid.SampledFrom([]string{"d", "g", "gg", "dg", "dggg"}).Draw(t, "kinds")
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			upstream := fmt.Sprint("i-", rapid.IntRange(1, upstreams).Draw(t, "upstream"))
			p := Prompt(fmt.Sprint(string(kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]), rapid.IntRange(1, 5).Draw(t, "prompt")))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w.crash(upstream) // by chance
			case 1, 2, 3:
				w.answer(upstream)
			case 4:
				for _, running := range w.running[upstream] {
					if crashesUpstreams(running) {
						w.crash(upstream)
						break
					}
				}
			default:
				w.send(p, upstream)
			}
		}
		require.Zero(t, w.sentAfterProof)
		require.Zero(t, w.refused)
	})
}
