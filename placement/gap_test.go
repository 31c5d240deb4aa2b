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

// mixedLoad simulates long prompts and streams on engines of which every third is slow.
type mixedLoad struct {
	rnd        *rand.Rand
	ups        []Upstream
	rates      Rates
	slowness   []float64         // slowness of each engine
	streamEnds [][]time.Duration // of the streams at each engine
	now        time.Duration
}

func newMixedLoad(gapShare float64) *mixedLoad {
	m := &mixedLoad{rnd: rand.New(rand.NewPCG(5, 6)), ups: engines(12), streamEnds: make([][]time.Duration, 12)}
	m.rates = Rates{PrefillPerMs: 32, FetchPerMs: 500, Routers: 1, Datacentre: "bergen"}
	for i := range m.ups {
		slowness := 1.0
		if i%3 == 2 {
			slowness = 1.3
		}
		m.slowness = append(m.slowness, slowness)
		m.ups[i].Slots, m.ups[i].StallProne = 128, StallProne(false, gapShare, slowness)
	}
	return m
}

// mixedStep is the time between two requests: 72 per second, of which one in four is long.
const mixedStep = 14 * time.Millisecond

func (m *mixedLoad) request(long bool) *serving.Request {
	r := &serving.Request{Route: &catalog.Route{GapGoal: 300 * time.Millisecond}, Prompt: 800, MaxOutput: 678,
		Service: catalog.Service{Engine: &catalog.Engine{TokensPerEvent: 3}},
		Parts:   []prefill.Part{{ID: fmt.Sprint("s", m.rnd.IntN(400)), Tokens: 200}, {ID: "own", Tokens: 600}}}
	if long {
		r.Prompt, r.MaxOutput = 9_200, 207
		r.Parts = []prefill.Part{{ID: fmt.Sprint("l", m.rnd.IntN(140)), Tokens: 6_300}, {ID: "own", Tokens: 2_900}}
	}
	return r
}

// step ends streams, advances prefills, and places one more request.
func (m *mixedLoad) step(long bool) int {
	m.now += mixedStep
	for i := range m.ups {
		u := &m.ups[i]
		u.PendingPrefill = max(0, u.PendingPrefill-int64(32*mixedStep.Milliseconds()))
		kept := m.streamEnds[i][:0]
		for _, end := range m.streamEnds[i] {
			if end > m.now {
				kept = append(kept, end)
			}
		}
		m.streamEnds[i] = kept
		u.Running = len(kept)
		u.EventInterval = time.Duration((20 + 0.4*float64(len(kept))) * m.slowness[i] * float64(time.Millisecond))
	}
	r := m.request(long)
	c, _ := Choose(r, m.ups, m.rates, m.rnd.IntN)
	m.ups[c.Index].PendingPrefill += c.PrefillTokens
	events := time.Duration(r.MaxOutput / 3 / 2)
	m.streamEnds[c.Index] = append(m.streamEnds[c.Index], m.now+events*m.ups[c.Index].EventInterval)
	return c.Index
}

// run returns how many streams ran at slow engines when a long prompt was placed there,
// and the maximum number of streams at one engine.
func (m *mixedLoad) run(steps int) (delayed, most int) {
	for n := range steps {
		long := n%4 == 0
		i := m.step(long)
		if long && m.slowness[i] > 1 {
			delayed += m.ups[i].Running
		}
		most = max(most, m.ups[i].Running)
	}
	return delayed, most
}

// When long prompts go to all engines, every stream at the slow ones has gaps longer than its
// route's goal: a fifth of all answers are late although each began in time. Once stall-prone, the
// slow engines must get hardly any long prompts, without filling up with streams instead.
func TestLongPromptsAvoidStallProneEngines(t *testing.T) {
	mixed, _ := newMixedLoad(0).run(4000)
	separated, most := newMixedLoad(0.95).run(4000)
	require.Less(t, 10*separated, mixed)
	require.Less(t, most, 64, "half of the slots")
}

// Gaps are far below the goal everywhere, or a route has no gap goal: prompts are not separated,
// and slow engines get long prompts like all others.
func TestNoSeparationWithoutNeed(t *testing.T) {
	usual, _ := newMixedLoad(0).run(4000)
	harmless, _ := newMixedLoad(0.6).run(4000)
	require.InDelta(t, usual, harmless, float64(usual)/5)
	r := newMixedLoad(0.95).request(true)
	r.Route.GapGoal = 0
	require.False(t, separate(r, newMixedLoad(0.95).ups, []int{0, 1, 2}, newMixedLoad(0.95).rates).active)
}

// Only few engines that are not slow are left. Long prompts must then go to slow ones as well:
// separated, they would queue at the few that are left.
func TestNoSeparationWithFewFastEngines(t *testing.T) {
	m := newMixedLoad(0.95)
	s := separate(m.request(true), m.ups, []int{0, 2, 5, 8}, m.rates)
	require.False(t, s.active)
	require.Equal(t, []int{0, 2, 5, 8}, s.preferable)
}

// Bursts fill the engines reserved for short prompts; further short prompts must go elsewhere.
func TestBurstOfShortPromptsSpillsOver(t *testing.T) {
	m := newMixedLoad(0.95)
	for i := range m.ups {
		if m.slowness[i] > 1 {
			m.ups[i].Running, m.ups[i].EventInterval = 50, 90*time.Millisecond
		} else {
			m.ups[i].EventInterval = 20 * time.Millisecond
		}
	}
	c, _ := Choose(m.request(false), m.ups, m.rates, firstTie)
	require.Equal(t, 1.0, m.slowness[c.Index])
}

// Gaps vary around the threshold. A stall-prone engine must remain so until the gaps are clearly
// below it: each change moves the preferred engines of prompts.
func TestStallProneDoesNotFlap(t *testing.T) {
	require.False(t, StallProne(false, 1.1, 1))
	require.True(t, StallProne(false, 0.95, 1.3))
	require.True(t, StallProne(true, 0.8, 1.3))
	require.False(t, StallProne(true, 0.7, 1.3))
}
