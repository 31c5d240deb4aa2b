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
		out[i] = Upstream{Life: directory.Incarnation{ID: fmt.Sprint("e", i)}, Datacentre: "bergen", Slots: 64}
	}
	return out
}

func prompt(subject string) *serving.Request {
	return &serving.Request{Route: &catalog.Route{}, Prompt: 17_000, Parts: []prefill.Part{{ID: subject, Tokens: 13_300}, {ID: "own", Tokens: 3_700}}}
}

func first(int) int { return 0 }

// seeded breaks ties by chance, the same way in each run.
func seeded() func(int) int { return rand.New(rand.NewPCG(3, 4)).IntN }

func TestSameSubjectSameEngine(t *testing.T) {
	ups := engines(12)
	ids := make([]string, len(ups))
	for i, u := range ups {
		ids[i] = u.Life.ID
	}
	tie := seeded()
	for s := range 50 {
		subject := fmt.Sprint("s", s)
		c, ok := Choose(prompt(subject), ups, rates, tie)
		require.True(t, ok)
		require.Equal(t, rendezvous.Pick(subject, ids), ups[c.Index].Life.ID)
		require.Equal(t, -1, c.FetchFrom)
	}
}

// One subject gets much of the traffic: its engine's queue grows until reading the part
// elsewhere is quicker. Then others help, and fetch the part from it.
func TestHotSubjectSpills(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("hot"), ups, rates, first)
	home := c.Index
	ups[home].PendingPrefill = 60_000 // more than a second
	c, _ = Choose(prompt("hot"), ups, rates, first)
	require.NotEqual(t, home, c.Index)
	require.Equal(t, home, c.FetchFrom)
}

// All routers send long prompts, and the preferred engine has 60,000 tokens to read that this
// router knows nothing of. Told so by the process beside it, the router goes elsewhere; told
// that little is before it, it stays although it guessed more.
func TestWhatIsToldGoesBeforeTheGuess(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("s"), ups, rates, first)
	home := c.Index
	ups[home].Reply = &prefill.AnnounceReply{Backlog: 60_000, Cached: 13_300}
	c, _ = Choose(prompt("s"), ups, rates, first)
	require.NotEqual(t, home, c.Index)
	require.Equal(t, home, c.FetchFrom)
	ups[home].PendingPrefill, ups[home].Reply = 60_000, &prefill.AnnounceReply{Backlog: 100, Cached: 13_300}
	c, _ = Choose(prompt("s"), ups, rates, first)
	require.Equal(t, home, c.Index)
}

// Nobody has read a subject yet, as on a day's first requests. They must still gather at one
// engine: read at a new one each time, the subject would be read many times over.
func TestUnreadSubjectGathersAtItsHome(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("new"), ups, rates, first)
	home := c.Index
	ups[home].Reply = &prefill.AnnounceReply{Backlog: 4_000}
	c, _ = Choose(prompt("new"), ups, rates, first)
	require.Equal(t, home, c.Index)
}

// The home of a prompt has just come back empty, while a neighbour, busy now, read the
// shared part a moment ago. It is fetched from there; read again, it would hold up the home for 270 ms.
func TestHomeFetchesFromWhoeverHasIt(t *testing.T) {
	ups := engines(12)
	c, _ := Choose(prompt("s"), ups, rates, first)
	home, neighbour := c.Index, (c.Index+1)%len(ups)
	ups[home].Reply = &prefill.AnnounceReply{}
	ups[neighbour].Cached, ups[neighbour].PendingPrefill = 13_300, 60_000
	c, _ = Choose(prompt("s"), ups, rates, first)
	require.Equal(t, home, c.Index)
	require.Equal(t, neighbour, c.FetchFrom)
	require.EqualValues(t, 13_300, c.Fetched)
	require.EqualValues(t, 3_700, c.PrefillTokens)
}

func TestFailingUpstreams(t *testing.T) {
	ups := engines(3)
	ups[0].Avoid, ups[1].FailureShare = true, 0.5
	plain := &serving.Request{}
	tie := seeded()
	for range 10 {
		c, _ := Choose(plain, ups, rates, tie)
		require.Equal(t, 2, c.Index)
	}
	for i := range ups {
		ups[i].Avoid = true
	}
	_, ok := Choose(plain, ups, rates, tie)
	require.True(t, ok, "all are to be avoided: one is tried all the same")
	_, ok = Choose(plain, nil, rates, tie)
	require.False(t, ok)
}

// Requests of a seeded mix of subjects are placed by four ways on the same arrivals. The
// measure is the prompt tokens that engines must read, with caches that keep the last
// 200,000 tokens; the chosen way must read less than half of what the others do.
func TestTokensReadByPolicy(t *testing.T) {
	ways := map[string]func(r *serving.Request, ups []Upstream, n int) int{
		"placement": func(r *serving.Request, ups []Upstream, _ int) int {
			c, _ := Choose(r, ups, rates, first)
			return c.Index
		},
		"round robin": func(_ *serving.Request, ups []Upstream, n int) int { return n % len(ups) },
	}
	read := map[string]int64{}
	for name, way := range ways {
		rnd := rand.New(rand.NewPCG(1, 2))
		ups := engines(12)
		caches := make([]map[string]int, len(ups))
		for i := range caches {
			caches[i] = map[string]int{}
		}
		for n := range 3000 {
			subject := fmt.Sprint("s", rnd.IntN(80))
			i := way(prompt(subject), ups, n)
			last, cached := caches[i][subject]
			if !cached || n-last > 15*len(ups) { // some 15 parts fit
				read[name] += 13_300
			}
			caches[i][subject] = n
		}
	}
	require.Less(t, 2*read["placement"], read["round robin"], "%v", read)
}
