package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against processes that choose different nodes for a key because one ranks all nodes and another one only
// the first ones.
func TestTopIsTheBeginningOfTheRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.String(), 0, 20, rapid.ID[string]).Draw(t, "nodes")
		key, n := rapid.String().Draw(t, "key"), rapid.IntRange(0, 5).Draw(t, "n")
		ranked := rendezvous.Rank(key, nodes)
		require.Equal(t, ranked[:min(n, len(ranked))], rendezvous.Top(key, nodes, n))
	})
}

// Guards against processes that choose different nodes for a key because one ranks all nodes and another one picks the
// first one, and the next one once that is gone.
func TestRankingIsTheOrderOfPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringN(1, -1, -1), 0, 20, rapid.ID[string]).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		rest := slices.Clone(nodes)
		for _, node := range rendezvous.Rank(key, nodes) {
			require.Equal(t, rendezvous.Pick(key, rest), node)
			rest = slices.DeleteFunc(rest, func(n string) bool { return n == node })
		}
		require.Empty(t, rest)
	})
}

// BenchmarkTop chooses two of 1,300 nodes, as a router does for each stream that begins.
func BenchmarkTop(b *testing.B) {
	nodes := make([]string, 1300)
	for n := range nodes {
		nodes[n] = fmt.Sprint("side-bergen-hall-", n)
	}
	for n := range b.N {
		rendezvous.Top(fmt.Sprint("attempt-", n), nodes, 2)
	}
}
