package prepaid

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/datacentre"
)

// In a fleet of several regions each page has a primary lender in each region that has lenders: the one of the region
// that ranks first. Routers ask it before all others, and it takes grants from the page itself, sized by what is asked
// of it. The first lender of the fleet is one of them; only it settles dead lenders and opens pages after a
// restoration of the store.

const (
	// regionLenders is how many lenders of its own region a request asks: the primary and the one that ranks next.
	regionLenders = 2
	// lackDuration is how long a lender keeps no more than its region needs at once after it could not lend to another
	// region. lackInterval is the shortest time between two returns for that reason; each writes the page.
	lackDuration = time.Second
	lackInterval = 500 * time.Millisecond
	// keptHorizon is the time whose demand such a lender keeps.
	keptHorizon = refillStep
	// regionIdleAfter is the time without requests after which a lender returns its tokens to a page that has none left.
	regionIdleAfter = time.Second
)

// regionRanking lists the lenders of one region, best first.
type regionRanking struct {
	region  string
	lenders []member.Member
}

// rankRegions groups the lenders of a page by region: the own region first, the others by distance, and at equal
// distance by their best lenders.
func rankRegions(t datacentre.Topology, ranked []member.Member) []regionRanking {
	var out []regionRanking
	distances := map[string]int{}
	for _, m := range ranked {
		region, distance := t.Region(m.Datacentre), t.Distance(m.Datacentre)
		i := slices.IndexFunc(out, func(r regionRanking) bool { return r.region == region })
		if i < 0 {
			i = len(out)
			out, distances[region] = append(out, regionRanking{region: region}), distance
		}
		distances[region] = min(distances[region], distance)
		out[i].lenders = append(out[i].lenders, m)
	}
	own := t.Region(t.Local)
	slices.SortStableFunc(out, func(a, b regionRanking) int {
		if a.region == own || b.region == own {
			return cmp.Compare(btoi(a.region != own), btoi(b.region != own))
		}
		return cmp.Compare(distances[a.region], distances[b.region])
	})
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// queriedLenders lists the lenders that a request of a region asks: two of its own region, then the primaries of the others.
// If these are fewer than maxQueriedLenders, further lenders of the nearest other region fill up, or of the own
// one if there is no other.
func queriedLenders(own string, regions []regionRanking) (local []string, others [][]string) {
	spare := maxQueriedLenders
	quotas := make([]int, len(regions))
	for i, r := range regions {
		quotas[i] = 1
		if r.region == own {
			quotas[i] = min(regionLenders, len(r.lenders))
		}
		spare -= quotas[i]
	}
	filled := slices.IndexFunc(regions, func(r regionRanking) bool { return r.region != own })
	if filled = max(0, filled); len(regions) > 0 {
		quotas[filled] += max(0, spare)
	}
	for i, r := range regions {
		var ids []string
		for _, m := range r.lenders[:min(quotas[i], len(r.lenders))] {
			ids = append(ids, m.ID)
		}
		if r.region == own {
			local = ids
			continue
		}
		others = append(others, ids)
	}
	return local, others
}

// regionSet caches the lenders of each page by region, while the list of members stays the same.
type regionSet struct {
	topology datacentre.Topology
	members  *member.Group
	// several is set if the settings name more than one region.
	several bool

	mu      sync.Mutex
	version uint64
	pages   map[string][]regionRanking
}

func newRegionSet(t datacentre.Topology, members *member.Group) regionSet {
	return regionSet{topology: t, members: members, several: t.SpansRegions()}
}

// of returns the lenders of a page by region, own region first. It is empty if the fleet has one region or no lender.
func (s *regionSet) of(page string) []regionRanking {
	if !s.several {
		return nil
	}
	version := s.members.Version()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pages == nil || s.version != version {
		s.pages, s.version = map[string][]regionRanking{}, version
	}
	regions, ok := s.pages[page]
	if !ok {
		regions = rankRegions(s.topology, s.members.Rank(page, RoleLender))
		s.pages[page] = regions
	}
	return regions
}

// own returns the region of this process.
func (s *regionSet) own() string { return s.topology.Region(s.topology.Local) }

// isPrimary reports whether this process is the primary of a page in its region.
func (s *regionSet) isPrimary(page string) bool {
	regions := s.of(page)
	return len(regions) > 0 && regions[0].region == s.own() && regions[0].lenders[0].VM == s.members.Self.VM
}

// otherPrimaries lists the primaries of a page in the other regions.
func (s *regionSet) otherPrimaries(page string) []member.Member {
	var out []member.Member
	for _, r := range s.of(page) {
		if r.region != s.own() {
			out = append(out, r.lenders[0])
		}
	}
	return out
}

// otherRegion returns the region of a member if it is not that of this process.
func (s *regionSet) otherRegion(id string) (region string, other bool) {
	m, ok := s.members.Get(id)
	if !s.several || !ok {
		return "", false
	}
	region = s.topology.Region(m.Datacentre)
	return region, region != s.own()
}

// regionalPolicy returns the part of the policy that only fleets of several regions have.
func (b *Budgets) regionalPolicy() *grant.RegionalPolicy {
	if !b.regions.several {
		return nil
	}
	return &grant.RegionalPolicy{KeptHorizon: keptHorizon, IdleAfter: regionIdleAfter,
		Lacking: func(budget string) bool { return b.lacking.within(budget, lackDuration) }}
}

// timingOf returns the timing of a page. The primaries that are not the page's first lender report and rebalance less often, by the
// number of regions: otherwise each region would cost as many writes as a fleet of one region. While one of the others
// does not answer, its writes do not arrive either, and the page is looked at as often as by the first.
func (b *Budgets) timingOf(page string) grant.Timing {
	t := b.pages.Timing
	if b.pageRole(page) != grant.RoleRegional || b.isCutOff(page) {
		return t
	}
	n := time.Duration(len(b.regions.of(page)))
	t.Report, t.Rebalance, t.LowBackoff = n*t.Report, n*t.Rebalance, n*t.LowBackoff
	return t
}

// isCutOff reports whether the primary of another region does not answer.
func (b *Budgets) isCutOff(page string) bool {
	return slices.ContainsFunc(b.regions.otherPrimaries(page), func(m member.Member) bool { return b.isUnreachable(m.ID) })
}

// opens reports whether this process opens a page that a restoration of the store closed.
func (b *Budgets) opens(page string) bool {
	switch b.pageRole(page) {
	case grant.RolePrimary:
		return true
	case grant.RoleStandby:
		return len(b.regions.of(page)) <= 1 || b.opensInPlaceOfFirst(page)
	case grant.RoleRegional:
		return b.opensInPlaceOfFirst(page)
	}
	return false
}

// opensInPlaceOfFirst reports whether a process opens a closed page in place of the page's first lender: after it was asked for
// tokens, and once that one does not answer probes. If all that are asked opened pages, lenders of each region would ask all
// processes for confirmations.
func (b *Budgets) opensInPlaceOfFirst(page string) bool {
	ranked := b.rankedLenders(page)
	if len(ranked) == 0 || !b.lendRequests.within(page, standbyDuration) {
		return false
	}
	b.latePeers.add(ranked[0].ID)
	return b.isUnreachable(ranked[0].ID)
}
