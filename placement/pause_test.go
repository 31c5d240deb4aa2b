package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// mixed is a load of long prompts and streams on engines of which each third is slow.
type mixed struct {
	rnd   *rand.Rand
	ups   []Upstream
	rates Rates
	slow  []float64         // slowness of each engine
	ends  [][]time.Duration // of the streams at each engine
	now   time.Duration
}

func newMixed(pauseOfGoal float64) *mixed {
	m := &mixed{rnd: rand.New(rand.NewPCG(5, 6)), ups: engines(12), ends: make([][]time.Duration, 12)}
	m.rates = Rates{PrefillPerMs: 32, FetchPerMs: 500, Routers: 1, Datacentre: "bergen"}
	for i := range m.ups {
		slowness := 1.0
		if i%3 == 2 {
			slowness = 1.3
		}
		m.slow = append(m.slow, slowness)
		m.ups[i].Slots, m.ups[i].StallProne = 128, StallProne(false, pauseOfGoal, slowness)
	}
	return m
}

// mixedStep is the time between two requests: 72 a second, of which one in four is long.
const mixedStep = 14 * time.Millisecond

func (m *mixed) request(long bool) *serving.Request {
	r := &serving.Request{Route: &catalog.Route{GapGoal: 300 * time.Millisecond}, Prompt: 800, MaxOutput: 678,
		Service: catalog.Service{Engine: &catalog.Engine{TokensPerEvent: 3}},
		Parts:   []prefill.Part{{ID: fmt.Sprint("s", m.rnd.IntN(400)), Tokens: 200}, {ID: "own", Tokens: 600}}}
	if long {
		r.Prompt, r.MaxOutput = 9_200, 207
		r.Parts = []prefill.Part{{ID: fmt.Sprint("l", m.rnd.IntN(140)), Tokens: 6_300}, {ID: "own", Tokens: 2_900}}
	}
	return r
}

// step ends streams, reads prompts, and places one more request.
func (m *mixed) step(long bool) int {
	m.now += mixedStep
	for i := range m.ups {
		u := &m.ups[i]
		u.PendingPrefill = max(0, u.PendingPrefill-int64(32*mixedStep.Milliseconds()))
		kept := m.ends[i][:0]
		for _, end := range m.ends[i] {
			if end > m.now {
				kept = append(kept, end)
			}
		}
		m.ends[i] = kept
		u.Running = len(kept)
		u.EventInterval = time.Duration((20 + 0.4*float64(len(kept))) * m.slow[i] * float64(time.Millisecond))
	}
	r := m.request(long)
	c, _ := Choose(r, m.ups, m.rates, m.rnd.IntN)
	m.ups[c.Index].PendingPrefill += c.PrefillTokens
	events := time.Duration(r.MaxOutput / 3 / 2)
	m.ends[c.Index] = append(m.ends[c.Index], m.now+events*m.ups[c.Index].EventInterval)
	return c.Index
}

// play returns how many streams were at slow engines when a long prompt was read there,
// and the most streams that one engine had.
func (m *mixed) play(steps int) (heldUp, most int) {
	for n := range steps {
		long := n%4 == 0
		i := m.step(long)
		if long && m.slow[i] > 1 {
			heldUp += m.ups[i].Running
		}
		most = max(most, m.ups[i].Running)
	}
	return heldUp, most
}

// Long prompts come to all engines, and on the slow ones every stream beside them pauses for
// longer than its route allows: a fifth of all drafts come late although each began in time.
// Known to do so, the slow engines get hardly any long prompt, and do not fill up with the
// streams that go there instead.
func TestLongPromptsLeaveSlowEnginesToStreams(t *testing.T) {
	together, _ := newMixed(0).play(4000)
	apart, most := newMixed(0.95).play(4000)
	require.Less(t, 10*apart, together)
	require.Less(t, most, 64, "half of the slots")
}

// Pauses stay far below the goal everywhere, or a route has no goal for them: nothing is kept
// apart, and slow engines read long prompts like all others.
func TestNothingIsKeptApartWithoutNeed(t *testing.T) {
	usual, _ := newMixed(0).play(4000)
	harmless, _ := newMixed(0.6).play(4000)
	require.InDelta(t, usual, harmless, float64(usual)/5)
	r := newMixed(0.95).request(true)
	r.Route.GapGoal = 0
	require.False(t, separate(r, newMixed(0.95).ups, []int{0, 1, 2}, newMixed(0.95).rates).active)
}

// The engines that are not slow are lost, all but a few. Long prompts then go to slow ones as
// well: kept apart, they would wait for the few that are left.
func TestFewFastEnginesAreNotKeptForLongPrompts(t *testing.T) {
	m := newMixed(0.95)
	s := separate(m.request(true), m.ups, []int{0, 2, 5, 8}, m.rates)
	require.False(t, s.active)
	require.Equal(t, []int{0, 2, 5, 8}, s.homes)
}

// Bursts fill the engines that are left to short prompts; the next ones go elsewhere.
func TestBurstOfShortPromptsSpills(t *testing.T) {
	m := newMixed(0.95)
	for i := range m.ups {
		if m.slow[i] > 1 {
			m.ups[i].Running, m.ups[i].EventInterval = 50, 90*time.Millisecond
		} else {
			m.ups[i].EventInterval = 20 * time.Millisecond
		}
	}
	c, _ := Choose(m.request(false), m.ups, m.rates, first)
	require.Equal(t, 1.0, m.slow[c.Index])
}

// How long streams are held up varies around what is too long. An engine that is left to short
// prompts stays so until it is clearly below: each change moves homes of prompts.
func TestExposureDoesNotFlap(t *testing.T) {
	require.False(t, StallProne(false, 1.1, 1))
	require.True(t, StallProne(false, 0.95, 1.3))
	require.True(t, StallProne(true, 0.8, 1.3))
	require.False(t, StallProne(true, 0.7, 1.3))
}
