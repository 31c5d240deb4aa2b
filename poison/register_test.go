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

// ended is evidence of one end.
func ended(p Prompt, upstream string) Evidence {
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
	require.Equal(t, same, request(func(r *serving.Request) { r.Service.Name = "other" }), "its route was moved or split")
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

// Three upstreams end under a prompt. The first end stops nobody, after the second one request is
// let through now and then, after the third none; and when its time is over the prompt may be
// tried anew.
func TestStandings(t *testing.T) {
	var r Registry
	require.True(t, r.Empty())
	require.True(t, r.Allow(start, "p", "model", "1"))
	r.Add(start, ended("p", "i-1"))
	_, news := r.Add(start, ended("p", "i-1"))
	require.False(t, news, "the same upstream, told by another")
	require.Equal(t, Suspect, r.Known(start, "p").Standing())
	require.True(t, r.Allow(start, "p", "model", "1"))
	require.True(t, r.Allow(start, "p", "model", "2"))

	r.Add(start, ended("p", "i-2"))
	require.Equal(t, OnTrial, r.Known(start, "p").Standing())
	require.True(t, r.Allow(start, "p", "model", "3"))
	require.False(t, r.Allow(start, "p", "model", "4"), "another one is trying")
	require.True(t, r.Allow(start, "p", "model", "3"), "its first choice could not be reached")
	require.True(t, r.Allow(start.Add(trialPause), "p", "model", "4"), "the first one came to nothing")

	r.Add(start.Add(time.Second), ended("p", "i-3"))
	require.Equal(t, Proven, r.Known(start, "p").Standing())
	require.False(t, r.Allow(start.Add(time.Minute), "p", "model", "5"))
	require.Len(t, r.Restricted(start.Add(time.Minute)), 1)
	after := start.Add(time.Second + provenFor)
	require.Equal(t, []StandingChange{{Prompt: "p", Was: Proven, Now: OnTrial}}, r.Expire(after))
	require.True(t, r.Allow(after, "p", "model", "6"))
	require.False(t, r.Allow(after, "p", "model", "7"), "one at a time, as before")
	r.Add(after.Add(time.Second), ended("p", "i-4"))
	require.Equal(t, Proven, r.Known(after.Add(time.Second), "p").Standing())
	again := after.Add(time.Second + 2*provenFor)
	require.Empty(t, r.Expire(again.Add(-1)), "twice as long as the first time")
	require.Equal(t, []StandingChange{{Prompt: "p", Was: Proven, Now: OnTrial}}, r.Expire(again))
	require.Empty(t, r.Expire(again.Add(time.Hour)))
	much := after.Add(time.Second + rememberedFor)
	require.Equal(t, []StandingChange{{Prompt: "p", Was: OnTrial, Now: Clear}}, r.Expire(much))
	require.True(t, r.Empty())
}

// A prompt that many callers send loses an upstream now and then, as all do. Any answer to it
// shows that it is not the cause.
func TestAnsweredPromptIsCleared(t *testing.T) {
	var r Registry
	for n := range 10 {
		r.Add(start, ended("p", fmt.Sprint("i-", n)))
		if n%2 == 1 {
			require.Equal(t, OnTrial, r.RecordAnswer(start, "p", "model").Standing())
		}
		require.Less(t, r.Known(start, "p").Standing(), Proven)
	}
	require.Equal(t, Clear, r.RecordAnswer(start, "unknown", "model").Standing())
}

// A rack of upstreams ends and cuts more requests than are kept. A proven prompt is still known.
func TestFloodOfCutRequestsForgetsNothingProven(t *testing.T) {
	var r Registry
	for n := range endsProven {
		r.Add(start, ended("p", fmt.Sprint("i-", n)))
	}
	for n := range mostPrompts + 100 {
		r.Add(start.Add(time.Duration(n)*time.Millisecond), ended(Prompt(fmt.Sprint("good-", n)), "i-9"))
	}
	require.Len(t, r.records, mostPrompts)
	require.Equal(t, Proven, r.Known(start, "p").Standing())
	for n := range 20 {
		r.Add(start, ended("p", fmt.Sprint("more-", n)))
	}
	require.Len(t, r.Known(start, "p").Crashes, mostEnds)
	require.Equal(t, Proven, r.Known(start.Add(rememberedFor-1), "p").Standing())
}

// Suspicions lapse in a day without another end, and not before.
func TestSuspicionLapses(t *testing.T) {
	var r Registry
	r.Add(start, ended("p", "i-1"))
	require.Empty(t, r.Expire(start.Add(rememberedFor-1)))
	require.Equal(t, Suspect, r.Known(start.Add(rememberedFor-1), "p").Standing())
	r.Add(start.Add(rememberedFor), ended("p", "i-2"))
	require.Equal(t, Suspect, r.Known(start.Add(rememberedFor), "p").Standing())
}

// world is a fleet of upstreams that run prompts, some of which end them, while others end by
// chance.
type world struct {
	t        *rapid.T
	register Registry
	now      time.Time
	requests int
	// running are the prompts at each upstream.
	running map[string][]Prompt
	// hits are the upstreams that ended under each prompt since it was last answered, sentAfter
	// the sends after three had.
	hits      map[Prompt]int
	sentAfter int
	// refused are good prompts that were turned away with fewer than two ends.
	refused int
}

func (w *world) end(upstream string) {
	slices.Sort(w.running[upstream])
	for _, p := range slices.Compact(w.running[upstream]) {
		w.register.Add(w.now, ended(p, fmt.Sprint(upstream, "@", w.now.UnixNano())))
		w.hits[p]++
	}
	w.running[upstream] = nil
}

func (w *world) send(p Prompt, upstream string) {
	w.requests++
	if !w.register.Allow(w.now, p, "model", fmt.Sprint(w.requests)) {
		if w.hits[p] < endsOnTrial {
			w.refused++
		}
		return
	}
	if w.hits[p] >= endsProven {
		w.sentAfter++
	}
	w.running[upstream] = append(w.running[upstream], p)
}

func (w *world) answer(upstream string) {
	if len(w.running[upstream]) == 0 {
		return
	}
	p := w.running[upstream][0]
	w.running[upstream] = w.running[upstream][1:]
	if !deadly(p) {
		w.register.RecordAnswer(w.now, p, "model")
		w.hits[p] = 0
	}
}

func deadly(p Prompt) bool { return p[0] == 'd' }

// Random mixes of good prompts, prompts that end upstreams, and upstreams that end by chance. No
// prompt is sent after three upstreams ended under it without an answer between, and no prompt
// under which fewer than two did is ever refused.
func TestBlameInRandomMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, running: map[string][]Prompt{}, hits: map[Prompt]int{}}
		upstreams := rapid.IntRange(2, 12).Draw(t, "upstreams")
		kinds := rapid.SampledFrom([]string{"d", "g", "gg", "dg", "dggg"}).Draw(t, "kinds")
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			upstream := fmt.Sprint("i-", rapid.IntRange(1, upstreams).Draw(t, "upstream"))
			p := Prompt(fmt.Sprint(string(kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]), rapid.IntRange(1, 5).Draw(t, "prompt")))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w.end(upstream) // by chance
			case 1, 2, 3:
				w.answer(upstream)
			case 4:
				for _, running := range w.running[upstream] {
					if deadly(running) {
						w.end(upstream)
						break
					}
				}
			default:
				w.send(p, upstream)
			}
		}
		require.Zero(t, w.sentAfter)
		require.Zero(t, w.refused)
	})
}
