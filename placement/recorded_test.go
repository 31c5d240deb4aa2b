package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// recordedChoices is the number of choices in testdata/choices.txt.
const recordedChoices = 400

// drawChoice draws a request and the state of the upstreams, and returns the choice for it as a line.
func drawChoice(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 7))
	subject := fmt.Sprint("s", random.IntN(20))
	shared, own := int64(random.IntN(15_000)), int64(random.IntN(7_000))
	r := &serving.Request{Route: &catalog.Route{GapGoal: time.Duration(random.IntN(2)) * 300 * time.Millisecond}}
	if random.IntN(5) > 0 {
		r.Prompt, r.Parts = shared+own, []prefill.Part{{ID: subject, Tokens: shared}, {ID: "own", Tokens: own}}
	}
	ups := make([]Upstream, 1+random.IntN(24))
	for i := range ups {
		u := Upstream{
			Incarnation: directory.Incarnation{ID: fmt.Sprint("e", i)}, Datacentre: []string{"bergen", "floro", "oslo"}[random.IntN(3)],
			Slots: 6 + random.IntN(60), Running: random.IntN(5), PendingPrefill: int64(random.IntN(20_000)),
			Avoid: random.IntN(8) == 0, Excluded: random.IntN(8) == 0, StallProne: random.IntN(6) == 0,
			EventInterval: time.Duration(random.IntN(30)) * time.Millisecond,
		}
		if random.IntN(3) == 0 {
			u.Cached = int64(random.IntN(15_000))
		}
		if random.IntN(4) == 0 {
			u.FailureShare = random.Float64()
		}
		if random.IntN(3) == 0 {
			u.Reply = &prefill.AnnounceReply{Backlog: int64(random.IntN(40_000)), Cached: int64(random.IntN(15_000))}
		}
		ups[i] = u
	}
	perMs := 20 + 100*random.Float64()
	rates := Rates{PrefillPerMs: perMs, FetchPerMs: perMs * (0.5 + 3*random.Float64()), Routers: 1 + random.IntN(30), Datacentre: "bergen"}
	c, ok := Choose(r, ups, rates, random.IntN)
	return fmt.Sprintln(ok, c.Index, c.FetchFrom, c.Fetched, c.PrefillTokens, int64(c.Cost), c.Backlog, c.Preferred)
}

// Guards against other choices than before distances in a fleet that does not span several regions.
func TestChoicesWithoutRegionsAreAsRecorded(t *testing.T) {
	recorded, err := os.ReadFile("testdata/choices.txt")
	require.NoError(t, err)
	lines := strings.SplitAfter(string(recorded), "\n")
	require.Len(t, lines, recordedChoices+1)
	for seed := range recordedChoices {
		require.Equal(t, lines[seed], drawChoice(uint64(seed)), "choice %d", seed)
	}
}
