package member

import (
	"maps"
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
)

// rankingKey identifies a cached ranking.
type rankingKey struct{ key, role string }

// Rank returns the newest members of a role in the order of preference for key. All members
// with the same view have the same order. The caller must not modify the slice: it is cached
// until the view changes, since each request needs it several times, and computing it takes
// 59 us with 160 members and 0.8 ms with 1,300 (BenchmarkRank).
func (g *Group) Rank(key, role string) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ranked, ok := g.rankings[rankingKey{key, role}]; ok {
		return ranked
	}
	if g.rankings == nil || len(g.rankings) >= maxCachedRankings {
		g.rankings = map[rankingKey][]Member{}
	}
	ranked := g.rankLocked(key, role)
	g.rankings[rankingKey{key, role}] = ranked
	return ranked
}

// maxCachedRankings bounds the cached rankings: there are a few for each page of budgets.
const maxCachedRankings = 256

func (g *Group) rankLocked(key, role string) []Member {
	c := g.candidatesLocked(role)
	out := make([]Member, 0, len(c.vms))
	for _, vm := range rendezvous.Rank(key, c.vms) {
		out = append(out, c.byVM[vm])
	}
	return out
}

// candidates are the newest members of a role.
type candidates struct {
	vms  []string
	byVM map[string]Member
}

// candidatesLocked returns the candidates of this view. They are computed once for all keys.
func (g *Group) candidatesLocked(role string) candidates {
	if c, ok := g.candidates[role]; ok {
		return c
	}
	newest := g.newestLocked(role)
	c := candidates{slices.Collect(maps.Keys(newest)), newest}
	if g.candidates == nil {
		g.candidates = map[string]candidates{}
	}
	g.candidates[role] = c
	return c
}
