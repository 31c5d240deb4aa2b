package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// regionOf maps the data centres of the tests' fleet to their regions.
var regionOf = map[string]string{"bergen": "west", "floro": "west", "oslo": "east", "moss": "east", "bodo": "north", "narvik": "north"}

// otherRegions are those to which requests of the region west may cross.
var otherRegions = []string{"east", "north"}

// datacentres lists them in a fixed order.
var datacentres = []string{"bergen", "floro", "oslo", "moss", "bodo", "narvik"}

// perDatacentre is the number of engines in each data centre.
const perDatacentre = 9

// spreadEngines returns engines in six data centres of three regions.
func spreadEngines() (out []Upstream) {
	for _, dc := range datacentres {
		for n := range perDatacentre {
			out = append(out, Upstream{Incarnation: directory.Incarnation{ID: fmt.Sprint(dc, "-", n)}, Datacentre: dc, Slots: 48})
		}
	}
	return out
}

// ratesIn returns the rates of a router in a data centre of a fleet of several regions.
func ratesIn(dc string) Rates {
	t := &datacentre.Topology{Local: dc, Regions: regionOf}
	return Rates{PrefillPerMs: 112, FetchPerMs: 300, Routers: 30, Datacentre: dc, Topology: t}
}

// sharedPrompt returns a prompt with a long shared part.
func sharedPrompt(subject string) *serving.Request {
	return &serving.Request{Route: &catalog.Route{}, Prompt: 11_992, Parts: []prefill.Part{{ID: subject, Tokens: 5_382}, {ID: "own", Tokens: 6_610}}}
}

// inRegion returns the upstreams of a region.
func inRegion(ups []Upstream, region string) (out []*Upstream) {
	for i := range ups {
		if regionOf[ups[i].Datacentre] == region {
			out = append(out, &ups[i])
		}
	}
	return out
}

// Guards against requests that cross to another region although their own one has room.
func TestRequestsStayInTheirRegionWithRoom(t *testing.T) {
	ups, tie := spreadEngines(), seededTie()
	for i := range 300 {
		dc := datacentres[i%len(datacentres)]
		for _, r := range []*serving.Request{sharedPrompt(fmt.Sprint("s", i)), {}} {
			c, ok := Choose(r, ups, ratesIn(dc), tie)
			require.True(t, ok)
			require.Equal(t, regionOf[dc], regionOf[ups[c.Index].Datacentre])
			require.Zero(t, c.Crossing)
		}
	}
}

// Guards against routers of one region that prefer different engines for a shared part.
func TestRoutersOfARegionPreferTheSameEngine(t *testing.T) {
	ups := spreadEngines()
	for s := range 50 {
		r := sharedPrompt(fmt.Sprint("s", s))
		a, _ := Choose(r, ups, ratesIn("bergen"), firstTie)
		b, _ := Choose(r, ups, ratesIn("floro"), seededTie())
		require.Equal(t, a.Index, b.Index)
	}
}

// arrival is a request of the data below: at a router in a data centre, for a shared part.
type arrival struct {
	dc, part string
}

// lostTime places arrivals one after the other, each with the caches that the earlier ones left, and returns the time that
// they lose by prefilling shared parts and by their distance, and how many of them cross to another region.
func lostTime(arrivals []arrival, regional bool) (lost time.Duration, crossed int) {
	ups, cached := spreadEngines(), map[string]int64{}
	for _, a := range arrivals {
		rates := ratesIn(a.dc)
		distances := *rates.Topology
		if !regional {
			rates.Topology = nil
		}
		for i := range ups {
			ups[i].Reply = &prefill.AnnounceReply{Cached: cached[ups[i].Incarnation.ID+a.part]}
		}
		r := sharedPrompt(a.part)
		c, _ := Choose(r, ups, rates, firstTie)
		chosen := ups[c.Index]
		missing := sharedTokens(r.Parts) - chosen.Reply.Cached
		lost += distances.RoundTrip(chosen.Datacentre) + time.Duration(float64(missing)/rates.PrefillPerMs*float64(time.Millisecond))
		if distances.Crosses(a.dc, chosen.Datacentre) {
			crossed++
		}
		cached[chosen.Incarnation.ID+a.part] = sharedTokens(r.Parts)
	}
	return lost, crossed
}

// Guards against a preferred engine for the whole fleet, to which most requests cross, and against one for each region if that
// prefills parts that are used too rarely. Each part is used some times in each region.
func TestPreferredEngineOfEachRegionLosesLessTime(t *testing.T) {
	const parts = 40
	for _, uses := range []int{1, 2, 3, 5, 20} {
		var arrivals []arrival
		for u := range uses * len(datacentres) / 2 {
			for p := range parts {
				arrivals = append(arrivals, arrival{dc: datacentres[(u*2+u/3%2+p)%len(datacentres)], part: fmt.Sprint("p", p)})
			}
		}
		regional, crossedRegional := lostTime(arrivals, true)
		fleetWide, crossedFleetWide := lostTime(arrivals, false)
		t.Logf("%d uses of a part in each region: lost %s regional, %s fleet-wide; crossed %d and %d of %d", uses,
			regional.Round(time.Millisecond), fleetWide.Round(time.Millisecond), crossedRegional, crossedFleetWide, len(arrivals))
		require.Zero(t, crossedRegional)
		if uses >= 3 {
			require.Less(t, regional, fleetWide)
		}
	}
}

// Guards against a region's prompts that keep crossing because another region was the first to have their shared part.
func TestRegionPrefillsPartsThatAnotherRegionHas(t *testing.T) {
	ups := spreadEngines()
	for i := range ups {
		ups[i].Reply = &prefill.AnnounceReply{}
	}
	for _, u := range inRegion(ups, "east") {
		u.Reply.Cached = 5_382
	}
	c, _ := Choose(sharedPrompt("s"), ups, ratesIn("bergen"), firstTie)
	require.Equal(t, "west", regionOf[ups[c.Index].Datacentre])
	require.Equal(t, c.Preferred, c.Index)
}

// Guards against transfers between regions that take longer than prefilling, or move bytes for little: short parts are prefilled,
// long ones fetched, and nothing is fetched on an assumption.
func TestFetchAcrossRegionsOnlyOfLongParts(t *testing.T) {
	for tokens, fetched := range map[int64]int64{2_000: 0, 5_382: 0, 40_000: 40_000} {
		ups := spreadEngines()
		r := sharedPrompt("s")
		r.Parts[0].Tokens, r.Prompt = tokens, tokens+6_610
		for _, u := range inRegion(ups, "west") {
			u.Reply = &prefill.AnnounceReply{}
		}
		c, _ := Choose(r, ups, ratesIn("bergen"), firstTie)
		require.Equal(t, "west", regionOf[ups[c.Index].Datacentre])
		require.Equal(t, -1, c.FetchFrom, "nothing is known")
		inRegion(ups, "east")[3].Cached = tokens
		c, _ = Choose(r, ups, ratesIn("bergen"), firstTie)
		require.Equal(t, "west", regionOf[ups[c.Index].Datacentre])
		require.Equal(t, fetched, c.Crossing.Fetched)
		require.Equal(t, fetched, c.Fetched)
		inRegion(ups, "west")[5].Cached = tokens // of its own region, which comes first
		inRegion(ups, "west")[5].Reply = nil
		c, _ = Choose(r, ups, ratesIn("bergen"), firstTie)
		require.Zero(t, c.Crossing.Fetched)
		require.Equal(t, tokens, c.Fetched+ups[c.Index].Cached)
	}
}

// maxAsked is how many lenders a router asks for one prompt, as in pool.
const maxAsked = 3

// chooseAsking chooses as a router does that asks the lender of the chosen engine for its backlog and chooses again.
func chooseAsking(r *serving.Request, ups []Upstream, rates Rates, tie func(int) int, backlog func(i int) int64) Choice {
	c, _ := Choose(r, ups, rates, tie)
	for range maxAsked {
		ups[c.Index].Reply = &prefill.AnnounceReply{Backlog: backlog(c.Index), Cached: 4_000}
		next, _ := Choose(r, ups, rates, tie)
		if next.Index == c.Index {
			return next
		}
		c = next
	}
	return c
}

// spill places one prompt of each of 30 routers of a region, and returns how many cross and the most at one engine. change
// prepares the upstreams as the router knows them, backlogIn is what each engine of the region has to do already.
func spill(t *testing.T, subject func(router int) string, backlogIn int64, change func(ups []Upstream) []Upstream) (crossed, most int) {
	random := rand.New(rand.NewPCG(1, 2))
	sent, at := map[string]int64{}, map[string]int{}
	for router := range 30 {
		ups := spreadEngines()
		for i := range ups {
			ups[i].Running = random.IntN(2)
		}
		for _, u := range inRegion(ups, "west") {
			u.PendingPrefill = backlogIn / 30
		}
		ups = change(ups)
		c := chooseAsking(sharedPrompt(subject(router)), ups, ratesIn(datacentres[router%2]), random.IntN, func(i int) int64 {
			b := sent[ups[i].Incarnation.ID] + int64(random.IntN(1_200))
			if regionOf[ups[i].Datacentre] == "west" {
				b += backlogIn
			}
			return b
		})
		id := ups[c.Index].Incarnation.ID
		sent[id] += c.PrefillTokens
		at[id]++
		most = max(most, at[id])
		if c.Crossing.Region != "" {
			crossed++
		}
	}
	return crossed, most
}

// without returns the upstreams that are not in a region.
func without(region string) func([]Upstream) []Upstream {
	return func(ups []Upstream) (out []Upstream) {
		for _, u := range ups {
			if regionOf[u.Datacentre] != region {
				out = append(out, u)
			}
		}
		return out
	}
}

// Guards against routers of a region without room that all choose the same engine elsewhere: 30 of them, with prompts of one subject or
// of their own.
func TestLostRegionSpillsOverToManyEngines(t *testing.T) {
	silent := func(ups []Upstream) []Upstream {
		for _, u := range inRegion(ups, "west") {
			u.Avoid = true
		}
		return ups
	}
	unchanged := func(ups []Upstream) []Upstream { return ups }
	for name, c := range map[string]struct {
		backlog int64
		change  func([]Upstream) []Upstream
	}{
		"empty or drained": {change: without("west")},
		"silent":           {change: silent},
		"full":             {backlog: 200_000, change: unchanged},
	} {
		for what, subject := range map[string]func(int) string{
			"one subject":  func(int) string { return "s" },
			"own subjects": func(router int) string { return fmt.Sprint("s", router) },
		} {
			t.Run(name+", "+what, func(t *testing.T) {
				crossed, most := spill(t, subject, c.backlog, c.change)
				t.Logf("%d of 30 cross, at most %d at one engine", crossed, most)
				require.Equal(t, 30, crossed)
				require.LessOrEqual(t, most, 30/len(otherRegions), "as many as if each region's preferred engine got its share")
			})
		}
	}
}

// Guards against a region that crosses as a whole once it is a little busier than others: the share that crosses grows with
// what its engines have to do.
func TestBusyRegionSpillsOverByDegrees(t *testing.T) {
	before, steps := 0, 0
	for backlog := int64(0); backlog <= 200_000; backlog += 1_000 {
		crossed, most := spill(t, func(router int) string { return fmt.Sprint("s", router) }, backlog, func(ups []Upstream) []Upstream { return ups })
		t.Logf("%d tokens at each engine of the region: %d of 30 cross, at most %d at one engine", backlog, crossed, most)
		require.LessOrEqual(t, crossed-before, 15, "half of the routers")
		if crossed > before {
			steps++
		}
		before = crossed
	}
	require.Equal(t, 30, before)
	require.GreaterOrEqual(t, steps, 3)
}

// Guards against plain requests that all cross while their region's upstreams are merely busy, or none while they are full.
func TestPlainRequestsSpillOverByDegrees(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	share := func(running int) (crossed int) {
		for router := range 30 {
			var ups []Upstream
			for i, dc := range datacentres {
				u := Upstream{Incarnation: directory.Incarnation{ID: fmt.Sprint("p", i)}, Datacentre: dc, Slots: 6, Running: random.IntN(2)}
				if regionOf[dc] == "west" {
					u.Running = running + random.IntN(2)
				}
				ups = append(ups, u)
			}
			rates := ratesIn(datacentres[router%2])
			rates.Routers = 1
			c, _ := Choose(&serving.Request{}, ups, rates, random.IntN)
			if c.Crossing.Region != "" {
				require.Equal(t, serving.FasterThere, c.Crossing.Reason)
				crossed++
			}
		}
		return crossed
	}
	var crossed []int
	for running := range 6 {
		crossed = append(crossed, share(running))
	}
	t.Log("crossed of 30, by running requests: ", crossed)
	require.Zero(t, crossed[0])
	require.Equal(t, 30, crossed[5])
	require.IsNonDecreasing(t, crossed)
}

// Guards against a reason in the log and the metrics that is not why a request crossed.
func TestCrossingReasons(t *testing.T) {
	ups := spreadEngines()
	r := sharedPrompt("s")
	r.Regions = catalog.Regions{"east"}
	c, _ := Choose(r, without("north")(without("west")(ups)), ratesIn("bergen"), firstTie)
	require.Equal(t, serving.Crossing{Region: "east", Reason: serving.NotAllowedHere}, c.Crossing)
	c, _ = Choose(sharedPrompt("s"), without("north")(without("west")(ups)), ratesIn("bergen"), firstTie)
	require.Equal(t, serving.Crossing{Region: "east", Reason: serving.NoneHere}, c.Crossing)
	for _, u := range inRegion(ups, "west") {
		u.Reply = &prefill.AnnounceReply{Backlog: 100_000}
	}
	c, _ = Choose(sharedPrompt("s"), ups, ratesIn("bergen"), firstTie)
	require.Equal(t, serving.FasterThere, c.Crossing.Reason)
}
