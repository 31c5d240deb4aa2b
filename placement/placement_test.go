package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

var rates = Rates{PrefillPerMs: 50, FetchPerMs: 95, Routers: 4, Datacentre: "bergen"}

func engines(n int) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = Upstream{Incarnation: directory.Incarnation{ID: fmt.Sprint("e", i)}, Datacentre: "bergen", Slots: 64}
	}
	return out
}

func prompt(subject string) *serving.Request {
	return &serving.Request{Route: &catalog.Route{}, Prompt: 17_000, Parts: []prefill.Part{{ID: subject, Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
}

func firstTie(int) int { return 0 }

// seededTie returns a random tie-breaker with a fixed seed.
func seededTie() func(int) int { return rand.New(rand.NewPCG(3, 4)).IntN }

func TestSameSubjectSameEngine(t *testing.T) {
	ups := engines(12)
	ids := make([]string, len(ups))
	for i, u := range ups {
		ids[i] = u.Incarnation.ID
	}
	tie := seededTie()
	for s := range 50 {
		subject := fmt.Sprint("s", s)
		c, ok := Choose(prompt(subject), ups, rates, tie)
		require.True(t, ok)
		require.Equal(t, rendezvous.Pick(subject, ids), ups[c.Index].Incarnation.ID)
		require.Equal(t, -1, c.FetchFrom)
	}
}

// One subject gets much of the traffic, and its engine's backlog grows until another engine is
// quicker. Requests must then go there, and fetch the part from the preferred engine.
func TestHotSubjectSpillsOver(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("hot"), ups, rates, firstTie)
	preferred := c.Index
	ups[preferred].PendingPrefill = 60_000 // more than a second
	c, _ = Choose(prompt("hot"), ups, rates, firstTie)
	require.NotEqual(t, preferred, c.Index)
	require.Equal(t, preferred, c.FetchFrom)
}

// All routers send long prompts, and the preferred engine has a backlog of 60,000 tokens that this
// router didn't send. When the engine's lender reports it, the request must go elsewhere; when the
// lender reports a short backlog, the request stays although the router's estimate is higher.
func TestReportedBacklogOverridesEstimate(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("s"), ups, rates, firstTie)
	preferred := c.Index
	ups[preferred].Reply = &prefill.AnnounceReply{Backlog: 60_000, Cached: 13_300}
	c, _ = Choose(prompt("s"), ups, rates, firstTie)
	require.NotEqual(t, preferred, c.Index)
	require.Equal(t, preferred, c.FetchFrom)
	ups[preferred].PendingPrefill, ups[preferred].Reply = 60_000, &prefill.AnnounceReply{Backlog: 100, Cached: 13_300}
	c, _ = Choose(prompt("s"), ups, rates, firstTie)
	require.Equal(t, preferred, c.Index)
}

// No engine has a subject cached yet. Its requests must still go to the preferred engine despite
// some backlog: at a different engine each time, the subject would be prefilled many times.
func TestUncachedSubjectStaysAtPreferredEngine(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("new"), ups, rates, firstTie)
	preferred := c.Index
	ups[preferred].Reply = &prefill.AnnounceReply{Backlog: 4_000}
	c, _ = Choose(prompt("new"), ups, rates, firstTie)
	require.Equal(t, preferred, c.Index)
}

// The preferred engine has restarted with an empty cache, while another, busy engine has the shared
// part cached. The part must be fetched from there: a new prefill would take the preferred one 270 ms.
func TestPreferredEngineFetchesCachedPart(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("s"), ups, rates, firstTie)
	preferred, other := c.Index, (c.Index+1)%len(ups)
	ups[preferred].Reply = &prefill.AnnounceReply{}
	ups[other].Cached, ups[other].PendingPrefill = 13_300, 60_000
	c, _ = Choose(prompt("s"), ups, rates, firstTie)
	require.Equal(t, preferred, c.Index)
	require.Equal(t, other, c.FetchFrom)
	require.EqualValues(t, 13_300, c.Fetched)
	require.EqualValues(t, 3_700, c.PrefillTokens)
}

func TestFailingUpstreams(t *testing.T) {
	ups := engines(3)
	ups[0].Avoid, ups[1].FailureShare = true, 0.5
	plain := &serving.Request{}
	tie := seededTie()
	for range 10 {
		c, _ := Choose(plain, ups, rates, tie)
		require.Equal(t, 2, c.Index)
	}
	for i := range ups {
		ups[i].Avoid = true
	}
	_, ok := Choose(plain, ups, rates, tie)
	require.True(t, ok, "all upstreams are avoided: one is tried nevertheless")
	_, ok = Choose(plain, nil, rates, tie)
	require.False(t, ok)
}

// Requests of a seeded mix of subjects are placed by two policies on the same arrivals, with caches
// that keep the last 200,000 tokens. Engines must prefill less than half as many tokens with
// placement as with round robin.
func TestPrefilledTokensByPolicy(t *testing.T) {
	policies := map[string]func(r *serving.Request, ups []Upstream, n int) int{
		"placement": func(r *serving.Request, ups []Upstream, _ int) int {
			c, _ := Choose(r, ups, rates, firstTie)
			return c.Index
		},
		"round robin": func(_ *serving.Request, ups []Upstream, n int) int { return n % len(ups) },
	}
	prefilled := map[string]int64{}
	for name, policy := range policies {
		rnd := rand.New(rand.NewPCG(1, 2))
		ups := engines(12)
		caches := make([]map[string]int, len(ups))
		for i := range caches {
			caches[i] = map[string]int{}
		}
		for n := range 3000 {
			subject := fmt.Sprint("s", rnd.IntN(80))
			i := policy(prompt(subject), ups, n)
			last, cached := caches[i][subject]
			if !cached || n-last > 15*len(ups) { // some 15 parts fit
				prefilled[name] += 13_300
			}
			caches[i][subject] = n
		}
	}
	require.Less(t, 2*prefilled["placement"], prefilled["round robin"], "%v", prefilled)
}
