package placement

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/serving"
)

// In a fleet of several regions each region has its own preferred engine for a prompt's shared parts. One for the whole fleet
// would prefill each part once instead of once a region, but most requests would cross to another region, for each of
// which the round trip and the charge are to be paid; a part is used by many more requests than there are regions.
//
// An engine in another region is used when that is faster for the caller despite the distance: when the router's own region is
// full, drained or empty. Its requests then go to the preferred engines of all other regions alike, which have the
// shared parts already.

// regionFetchShare is the cost of a token that is fetched from another region, as a share of prefilling it, in addition to
// the time of the transfer: traffic between regions is charged.
const regionFetchShare = 0.5

// distanceCost returns the part of an upstream's cost for its distance from the router.
func (r Rates) distanceCost(dc string) time.Duration {
	switch {
	case dc == r.Datacentre:
		return 0
	case r.Topology == nil:
		return datacentre.WithinRegion
	}
	return r.Topology.RoundTrip(dc)
}

// regionGroup holds the usable upstreams of one region.
type regionGroup struct {
	name   string
	usable []int
	// preferable are those among which the preferred one is found.
	preferable []int
	// preferred is the preferred upstream for the shared parts, source the one that probably has most of the prompt
	// cached, with its number of leading tokens; -1 if there is none.
	preferred, source int
	sourceTokens      int64
	// known is the source without the assumption on the preferred upstream: a transfer from another region that finds nothing
	// costs its round trip.
	known       int
	knownTokens int64
}

// regionGroups holds the usable upstreams by region.
type regionGroups struct {
	ups    []Upstream
	groups []*regionGroup
	// local is the group of the router's region, nil if that has no usable upstream.
	local *regionGroup
	// byUpstream is the group of each usable upstream; without a topology it is empty, and all of them are local.
	byUpstream []*regionGroup
	// localSaved is how many tokens of prefill the shared parts save at the preferred upstream of the router's region.
	localSaved float64
}

func groupByRegion(r *serving.Request, ups []Upstream, usable, preferable []int, rates Rates) regionGroups {
	if rates.Topology == nil {
		return singleGroup(r, ups, usable, preferable)
	}
	out := regionGroups{ups: ups, byUpstream: make([]*regionGroup, len(ups))}
	for _, i := range usable {
		g := out.group(rates.Topology.Region(ups[i].Datacentre), len(usable))
		g.usable, out.byUpstream[i] = append(g.usable, i), g
	}
	for _, i := range preferable {
		g := out.byUpstream[i]
		g.preferable = append(g.preferable, i)
	}
	own := rates.Topology.Region(rates.Datacentre)
	for _, g := range out.groups {
		if g.name == own {
			out.local = g
		}
		g.findSources(r, ups)
		g.known, g.knownTokens = largestCache(r, ups, g.usable, -1)
	}
	if out.local != nil && out.local.preferred >= 0 {
		cached := cachedTokens(r, ups, out.local.preferred, true)
		out.localSaved = savedTokens(r, cached, out.fetch(out.local.preferred, cached, rates))
	}
	return out
}

// singleGroup returns all upstreams as one group.
func singleGroup(r *serving.Request, ups []Upstream, usable, preferable []int) regionGroups {
	g := &regionGroup{usable: usable, preferable: preferable}
	g.findSources(r, ups)
	return regionGroups{ups: ups, groups: []*regionGroup{g}, local: g}
}

// findSources finds the group's preferred upstream and its source of cached tokens.
func (g *regionGroup) findSources(r *serving.Request, ups []Upstream) {
	g.preferred = preferredEngine(r, ups, g.preferable)
	g.source, g.sourceTokens = largestCache(r, ups, g.usable, g.preferred)
}

// group returns the group of a region, created on first use with space for size upstreams.
func (g *regionGroups) group(name string, size int) *regionGroup {
	if i := slices.IndexFunc(g.groups, func(o *regionGroup) bool { return o.name == name }); i >= 0 {
		return g.groups[i]
	}
	added := &regionGroup{name: name, usable: make([]int, 0, size), preferable: make([]int, 0, size)}
	g.groups = append(g.groups, added)
	return added
}

// of returns the group of a usable upstream.
func (g *regionGroups) of(i int) *regionGroup {
	if g.byUpstream == nil {
		return g.local
	}
	return g.byUpstream[i]
}

// fetch is a transfer of cached tokens to an upstream.
type fetch struct {
	// from is the upstream that has them, -1 if there is no transfer.
	from int
	// leading is the number of leading tokens that the other upstream has, tokens how many of them are transferred, and
	// crossing how many of those from another region.
	leading, tokens, crossing int64
	// waitTokens is what the transfer adds to the time to the first event, in tokens of prefill; it is negative if
	// the transfer is faster than prefilling.
	waitTokens float64
}

// fetch returns the transfer to an upstream that has cached leading tokens: the one from its own region, unless one from
// another region is worth its distance.
func (g *regionGroups) fetch(i int, cached int64, rates Rates) fetch {
	own := g.of(i)
	best := fetch{from: -1}
	if more := own.sourceTokens - cached; i != own.source && more >= MinFetchTokens {
		best = fetch{from: own.source, leading: own.sourceTokens, tokens: more, waitTokens: float64(more) * (rates.PrefillPerMs/rates.FetchPerMs - 1)}
	}
	for _, o := range g.groups {
		more := o.knownTokens - cached
		if o == own || more < MinFetchTokens {
			continue
		}
		roundTrip := rates.Topology.Between(g.ups[i].Datacentre, g.ups[o.known].Datacentre)
		wait := float64(more)*(rates.PrefillPerMs/rates.FetchPerMs-1+regionFetchShare) + float64(roundTrip)/float64(time.Millisecond)*rates.PrefillPerMs
		if wait < best.waitTokens {
			best = fetch{from: o.known, leading: o.knownTokens, tokens: more, crossing: more, waitTokens: wait}
		}
	}
	return best
}

// lacking returns by how many tokens of prefill an upstream in another region is ahead of the preferred one in the router's region, since
// it has more of the shared parts cached or can fetch them. That does not count in favour of the other region: the first
// request would be answered sooner there, but so would each later one, and all of them would cross. Once prefilled in the
// router's region, none does.
func (g *regionGroups) lacking(r *serving.Request, i int, cached int64, f fetch) float64 {
	if g.local == nil || g.of(i) == g.local || g.local.preferred < 0 {
		return 0
	}
	return max(0, savedTokens(r, cached, f)-g.localSaved)
}

// savedTokens returns how many tokens of prefill a prompt's cached and fetched shared parts save.
func savedTokens(r *serving.Request, cached int64, f fetch) float64 {
	return float64(min(sharedTokens(r.Parts), cached)) - f.waitTokens
}

// crossing returns the region of the chosen upstream if it is not the router's, and why it was chosen.
func crossing(r *serving.Request, ups []Upstream, usable []int, chosen string, t datacentre.Topology) (string, serving.CrossingReason) {
	if !t.Crosses(t.Local, chosen) {
		return "", ""
	}
	own := t.Region(t.Local)
	switch {
	case !r.Regions.Allow(own):
		return t.Region(chosen), serving.NotAllowedHere
	case !slices.ContainsFunc(usable, func(i int) bool { return t.Region(ups[i].Datacentre) == own }):
		return t.Region(chosen), serving.NoneHere
	}
	return t.Region(chosen), serving.FasterThere
}
