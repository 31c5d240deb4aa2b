// Package rendezvous maps a key to nodes by rendezvous hashing (highest random weight):
// every process with the same list of nodes chooses the same ones without coordination,
// and adding or removing a node moves only its own keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weighted is a node with its weight for a key.
type weighted struct {
	node   string
	weight uint64
}

// compare orders nodes by preference.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

func names(ranked []weighted) []string {
	out := make([]string, len(ranked))
	for i, w := range ranked {
		out[i] = w.node
	}
	return out
}

// Rank returns the nodes in order of preference for key.
func Rank(key string, nodes []string) []string {
	ranked := make([]weighted, len(nodes))
	for i, node := range nodes {
		ranked[i] = weighted{node, weight(key, node)}
	}
	slices.SortFunc(ranked, compare)
	return names(ranked)
}

// Top returns the n most preferred nodes for key in order of preference, as Rank does, in time proportional to
// the number of nodes.
func Top(key string, nodes []string, n int) []string {
	top := make([]weighted, 0, n+1)
	for _, node := range nodes {
		w := weighted{node, weight(key, node)}
		if len(top) == n && (n == 0 || w.weight < top[n-1].weight) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, compare)
		if at < n {
			top = slices.Insert(top, at, w)
			top = top[:min(n, len(top))]
		}
	}
	return names(top)
}

// Pick returns the most preferred node for key, or "" if there are no nodes.
func Pick(key string, nodes []string) string {
	best, top := "", uint64(0)
	for _, n := range nodes {
		w := weight(key, n)
		if best == "" || w > top || (w == top && n < best) {
			best, top = n, w
		}
	}
	return best
}

// Bucket maps key to one of n numbered buckets.
func Bucket(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
