package rendezvous_test

import (
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
