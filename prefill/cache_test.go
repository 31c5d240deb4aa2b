package prefill

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCacheKeepsWhatWasUsedLast(t *testing.T) {
	var c Cache
	parts := func(ids ...string) (out []Part) {
		for _, id := range ids {
			out = append(out, Part{ID: id, Tokens: 100})
		}
		return out
	}
	const capacity = 400 // four parts
	c.Add(parts("a", "b"), capacity)
	c.Add(parts("c", "d"), capacity)
	require.EqualValues(t, 200, c.Match(parts("a", "b", "x")))
	c.Add(parts("a"), capacity)
	c.Add(parts("e"), capacity)
	require.EqualValues(t, 100, c.Match(parts("a", "b")), "b was used longest ago")
	require.EqualValues(t, 0, c.Match(parts("x", "a")), "a part counts only after those before it")
	require.EqualValues(t, 400, c.Tokens())
}
