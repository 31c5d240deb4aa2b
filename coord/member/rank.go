package member

import (
	"maps"
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
)

// rankOf is one ranking.
type rankOf struct{ key, role string }

// Rank returns the newest members of a role in the order of preference for key. All members
// with the same view have the same order. The caller must not change the list: it is kept
// until the view changes, since each request asks for it several times: 162 us with 160 members
// and 1.7 ms with 1,300, each time (BenchmarkRank).
func (g *Group) Rank(key, role string) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ranked, ok := g.ranks[rankOf{key, role}]; ok {
		return ranked
	}
	if g.ranks == nil || len(g.ranks) >= mostRanks {
		g.ranks = map[rankOf][]Member{}
	}
	ranked := g.rankLocked(key, role)
	g.ranks[rankOf{key, role}] = ranked
	return ranked
}

// mostRanks bounds the rankings that are kept: a few for each page of budgets.
const mostRanks = 256

func (g *Group) rankLocked(key, role string) []Member {
	newest := g.newestLocked(role)
	vms := slices.Collect(maps.Keys(newest))
	out := make([]Member, 0, len(vms))
	for _, vm := range rendezvous.Rank(key, vms) {
		out = append(out, newest[vm])
	}
	return out
}
