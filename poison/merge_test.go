package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// overWire returns a message as its receiver decodes it.
func overWire[M any](t require.TestingT, m M) (out M) {
	encoded, err := json.Marshal(m)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(encoded, &out))
	return out
}

// merger simulates copies of the evidence on prompts, which exchange messages that are delayed,
// repeated or lost, and a document that they load and replace. All have the same clock.
type merger struct {
	t        *rapid.T
	now      time.Time
	copies   []*Registry
	messages []Evidence
	document []byte
	// crashed numbers the upstreams.
	crashed int
	// answers holds the last answer by prompt and service, by its observer's time.
	answers map[[2]string]time.Time
	// crashes holds the crashes that must count: their times and their prompts and services.
	crashes map[string]observedCrash
}

// observedCrash is a crash. after is the time of the last answer that its observer had recorded.
type observedCrash struct {
	key       [2]string
	at, after time.Time
}

func (m *merger) copy() *Registry {
	return m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(m.t, "copy")]
}

func (m *merger) key() [2]string {
	return [2]string{rapid.SampledFrom([]string{"p", "q"}).Draw(m.t, "prompt"), rapid.SampledFrom([]string{"chat", "code"}).Draw(m.t, "service")}
}

// recordedAnswer returns the time of the last answer that a copy has recorded.
func recordedAnswer(r *Registry, now time.Time, key [2]string) (last time.Time) {
	for _, a := range r.Known(now, Prompt(key[0])).Answers {
		if a.Service == key[1] {
			last = time.UnixMilli(a.UnixMS)
		}
	}
	return last
}

// crash lets a copy observe a crash; another copy may have observed the same one before.
func (m *merger) crash() {
	r, key := m.copy(), m.key()
	if m.crashed == 0 || rapid.IntRange(0, 3).Draw(m.t, "again") > 0 {
		m.crashed++
		m.observe(r, key, fmt.Sprintf("i-%04d", m.crashed))
		return
	}
	upstream := fmt.Sprintf("i-%04d", rapid.IntRange(1, m.crashed).Draw(m.t, "upstream"))
	m.observe(r, m.crashes[upstream].key, upstream)
}

func (m *merger) observe(r *Registry, key [2]string, upstream string) {
	at := r.CrashTime(m.now, Prompt(key[0]), key[1])
	if observed := time.UnixMilli(at); !observed.Before(m.crashes[upstream].at) {
		m.crashes[upstream] = observedCrash{key: key, at: observed, after: recordedAnswer(r, m.now, key)}
	}
	r.Add(m.now, Evidence{Prompt: Prompt(key[0]), Crashes: []Crash{{Upstream: upstream, Service: key[1], UnixMS: at}}})
}

// answer lets a service answer a prompt. No crash that its observer has recorded may count after that.
func (m *merger) answer() {
	r, key := m.copy(), m.key()
	known := r.Known(m.now, Prompt(key[0]))
	if len(known.ForService(key[1]).Crashes) == 0 {
		return
	}
	r.RecordAnswer(m.now, Prompt(key[0]), key[1])
	at := recordedAnswer(r, m.now, key)
	require.Equal(m.t, Clear, r.Known(m.now, Prompt(key[0])).ForService(key[1]).Standing())
	for _, c := range known.Crashes {
		if c.Service == key[1] {
			require.Less(m.t, c.UnixMS, at.UnixMilli())
		}
	}
	if m.answers[key].Before(at) {
		m.answers[key] = at
	}
}

func (m *merger) send() {
	r, key := m.copy(), m.key()
	if e := r.Known(m.now, Prompt(key[0])); len(e.Crashes)+len(e.Answers) > 0 {
		m.messages = append(m.messages, overWire(m.t, e))
	}
}

// receive delivers any message, which stays and may be delivered again.
func (m *merger) receive() {
	if len(m.messages) > 0 {
		m.copy().Add(m.now, rapid.SampledFrom(m.messages).Draw(m.t, "message"))
	}
}

func (m *merger) load(r *Registry) {
	if m.document == nil {
		return
	}
	all, err := Decode(m.now, m.document)
	require.NoError(m.t, err)
	for _, e := range all {
		r.Add(m.now, e)
	}
}

// store replaces the document, after the copy has merged it.
func (m *merger) store() {
	r := m.copy()
	m.load(r)
	document, err := Encode(m.now, r.ListAll(m.now))
	require.NoError(m.t, err)
	m.document = document
}

// restart replaces a copy by one that starts with the document or empty; another one has received all that
// it had.
func (m *merger) restart() {
	n := rapid.IntRange(0, len(m.copies)-1).Draw(m.t, "restarted")
	other := m.copies[(n+1)%len(m.copies)]
	for _, e := range m.copies[n].ListAll(m.now) {
		other.Add(m.now, overWire(m.t, e))
	}
	m.copies[n] = &Registry{}
	if rapid.Bool().Draw(m.t, "loads") {
		m.load(m.copies[n])
	}
}

// exchange sends each copy the evidence of all others, and the document.
func (m *merger) exchange() {
	for _, from := range m.copies {
		m.load(from)
	}
	for range 2 {
		for _, from := range m.copies {
			for _, to := range m.copies {
				for _, e := range from.ListAll(m.now) {
					to.Add(m.now, overWire(m.t, e))
				}
			}
		}
	}
}

// Guards against copies that differ for good, cleared prompts that have crashes again, and crashes that
// are lost, whatever the order in which copies receive messages.
func TestCopiesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &merger{t: t, now: time.UnixMilli(1_700_000_000_000), answers: map[[2]string]time.Time{}, crashes: map[string]observedCrash{}}
		for range rapid.IntRange(2, 4).Draw(t, "copies") {
			m.copies = append(m.copies, &Registry{})
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 700_000).Draw(t, "us")) * time.Microsecond)
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1, 2:
				m.crash()
			case 3, 4:
				m.answer()
			case 5, 6, 7:
				m.send()
			case 8, 9, 10:
				m.receive()
			case 11:
				m.store()
			case 12:
				m.restart()
			}
		}
		m.exchange()
		want := m.copies[0].ListAll(m.now)
		for _, r := range m.copies {
			require.Equal(t, want, r.ListAll(m.now))
			require.Equal(t, len(r.List(m.now)) == 0, r.Empty())
		}
		m.requireCrashes()
	})
}

// requireCrashes requires that the copies have exactly the crashes that were not before the last answer of
// their service; of more than maxCrashesPerPrompt, the newest.
func (m *merger) requireCrashes() {
	want := map[[2]string][]string{}
	for upstream, c := range m.crashes {
		if last := m.answers[c.key]; !c.at.Before(last) {
			want[c.key] = append(want[c.key], upstream)
		} else {
			require.True(m.t, c.after.Before(last), "its observer had recorded the last answer")
		}
	}
	for _, p := range []string{"p", "q"} {
		known := m.copies[0].Known(m.now, Prompt(p))
		for _, service := range []string{"chat", "code"} {
			upstreams := want[[2]string{p, service}]
			slices.Sort(upstreams)
			slices.SortStableFunc(upstreams, func(a, b string) int { return m.crashes[b].at.Compare(m.crashes[a].at) })
			upstreams = upstreams[:min(len(upstreams), maxCrashesPerPrompt)]
			var got []string
			for _, c := range known.Crashes {
				if c.Service == service {
					got = append(got, c.Upstream)
				}
			}
			require.ElementsMatch(m.t, upstreams, got, "%s at %s", p, service)
		}
	}
}
