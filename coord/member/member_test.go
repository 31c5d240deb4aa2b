package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
)

type quiet struct{}

func (quiet) MembersChanged(int) {}
func (quiet) MembersLost(error)  {}
func (quiet) MembersRead()       {}

func join(s *memstore.Store, id, role string) *Group {
	return &Group{Store: s, Prefix: "m/", TTL: time.Minute, Interval: 2 * time.Second, Report: quiet{},
		Self: Member{ID: id + "/1", Role: role, VM: id}}
}

// Members of one role are ranked and counted without those of others: a router that were
// ranked among the lenders would be taken for the home of budgets.
func TestRolesAreApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{join(s, "r1", "router"), join(s, "r2", "router"), join(s, "l1", "lender")}
		for _, g := range groups {
			go g.Keep(ctx)
		}
		time.Sleep(5 * time.Second)
		n, known := groups[2].Count("router")
		require.True(t, known)
		require.Equal(t, 2, n)
		ranked := groups[0].Rank("page", "lender")
		require.Len(t, ranked, 1)
		require.Equal(t, "l1", ranked[0].VM)
	})
}

// A process learns that its VM will be taken away. It is off the list at once, and not only
// with the next renewal; when the VM stays after all, it is back as fast.
func TestStepAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		g := join(s, "l1", "lender")
		g.Interval = time.Minute
		go g.Keep(ctx)
		time.Sleep(2 * time.Minute)
		listed := func() int {
			items, err := s.Peek(ctx, "m/")
			require.NoError(t, err)
			return len(items)
		}
		require.Equal(t, 1, listed())
		g.StepAside(true)
		synctest.Wait()
		require.Zero(t, listed())
		require.Empty(t, g.Members(), "its own view follows")
		g.StepAside(false)
		synctest.Wait()
		require.Equal(t, 1, listed())
	})
}
