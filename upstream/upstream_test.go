package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

func agents(n int) []vm.VM {
	var out []vm.VM
	for i := range n {
		out = append(out, vm.VM{ID: fmt.Sprintf("engine-%02d", i)})
	}
	return out
}

func newChooser() (*Chooser, *time.Time) {
	now := time.Unix(0, 0)
	turn := 0
	c := NewChooser()
	c.now = func() time.Time { return now }
	c.rand = func(n int) int { turn++; return turn % n }
	return c, &now
}

// All routers get the same stale report that one engine is idle. If each router sent all its
// requests there, that engine would be overloaded until the next report.
func TestNoHerdingAfterStaleReport(t *testing.T) {
	c, _ := newChooser()
	list := agents(12)
	for _, a := range list {
		c.Report(a.ID, Load{Running: 8, Slots: 8})
	}
	c.Report(list[3].ID, Load{Running: 0, Slots: 8})
	got := map[string]int{}
	for i := range 240 {
		a, _, ok := c.Pick(list, uint64(i), nil)
		require.True(t, ok)
		got[a.ID]++
	}
	require.Less(t, got[list[3].ID], 30, "%v", got)
}

// The turns of one conversation go to the engine that has their prefix cached, unless it
// is much more loaded than another one.
func TestConversationKeepsCachedEngine(t *testing.T) {
	c, _ := newChooser()
	list := agents(12)
	for _, a := range list {
		c.Report(a.ID, Load{Running: 2, Slots: 8})
	}
	first, done, _ := c.Pick(list, 42, nil)
	done(true)
	for range 20 {
		a, done, _ := c.Pick(list, 42, nil)
		done(true)
		require.Equal(t, first.ID, a.ID)
	}
	c.Report(first.ID, Load{Running: 8, Waiting: 8, Slots: 8})
	moved := 0
	for range 20 {
		a, done, _ := c.Pick(list, 42, nil)
		done(true)
		if a.ID != first.ID {
			moved++
		}
	}
	require.Greater(t, moved, 15)
}

// An upstream fails repeatedly. It must be avoided for increasing times, be used again
// afterwards, and be used at once if no other is left.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	c, now := newChooser()
	list := agents(2)
	for range 2 {
		a, done, _ := c.Pick(list[:1], 0, nil)
		require.Equal(t, list[0].ID, a.ID)
		done(false)
	}
	for range 10 {
		a, done, _ := c.Pick(list, 0, nil)
		done(true)
		require.Equal(t, list[1].ID, a.ID)
	}
	a, _, ok := c.Pick(list, 0, map[string]bool{list[1].ID: true})
	require.True(t, ok)
	require.Equal(t, list[0].ID, a.ID, "used rather than refusing the request")
	*now = now.Add(maxPenalty)
	seen := map[string]bool{}
	for i := range 20 {
		a, _, _ := c.Pick(list, uint64(i), nil)
		seen[a.ID] = true
	}
	require.Len(t, seen, 2)
}
