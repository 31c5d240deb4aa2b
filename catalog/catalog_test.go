package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestPrefix(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/"},
	}})
	for path, name := range map[string]string{"/a/x": "a", "/a/b/x": "ab", "/a/b/": "ab", "/a/bx": "a", "/a/": "a"} {
		require.Equal(t, name, table.Route("h", path).Name, path)
	}
	for _, path := range []string{"/a", "/x/a/", "", "a/"} {
		require.Nil(t, table.Route("h", path), path)
	}
	require.Nil(t, table.Route("unknown", "/a/x"))
}

func TestWeights(t *testing.T) {
	r := &Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.Target(string(rune(i)))]++
	}
	require.InDelta(t, 1000, n["b"], 150)
	require.Zero(t, n["c"])
	require.Equal(t, r.Target("id"), r.Target("id"))
	require.Empty(t, (&Route{}).Target("id"))
}

// An answer of a slow store, with an older version, comes after a newer one is in force.
func TestVersionsOnlyRise(t *testing.T) {
	var c Current
	require.Nil(t, c.Load())
	require.True(t, c.UpdateIfNewer(NewTable(&Config{Version: 7})))
	require.False(t, c.UpdateIfNewer(NewTable(&Config{Version: 5})))
	require.False(t, c.UpdateIfNewer(NewTable(&Config{Version: 7})))
	require.EqualValues(t, 7, c.Load().Version)
}
