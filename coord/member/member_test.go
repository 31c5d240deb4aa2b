package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

type quiet struct{}

func (quiet) MembersChanged(int)     {}
func (quiet) MembersLost(error)      {}
func (quiet) MembersRead()           {}
func (quiet) NotRegistered(error)    {}
func (quiet) Registered()            {}
func (quiet) MemberUnreadable(error) {}

func join(s *memstore.Store, id, role string) *Group {
	return &Group{Store: s, Prefix: "m/", TTL: time.Minute, Interval: 2 * time.Second, Report: quiet{},
		Self: Member{ID: id + "/1", Role: role, VM: id, Address: id + ":1"}}
}

// run keeps a group, and follows the members in the store.
func run(ctx context.Context, s *memstore.Store, g *Group) {
	go g.KeepAlive(ctx)
	go (&mirror.Mirror{Store: s, Prefix: g.Prefix, Reader: g}).Run(ctx)
}

// Members of one role are ranked and counted without those of others: a router that were
// ranked among the lenders would be taken for the home of budgets.
func TestRolesAreApart(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{join(s, "r1", "router"), join(s, "r2", "router"), join(s, "l1", "lender")}
		for _, g := range groups {
			run(ctx, s, g)
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
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		g := join(s, "l1", "lender")
		g.Interval = time.Minute
		run(ctx, s, g)
		time.Sleep(2 * time.Minute)
		listed := func() int {
			items, err := s.StaleSnapshot(ctx, "m/")
			require.NoError(t, err)
			return len(items)
		}
		require.Equal(t, 1, listed())
		g.SetWithdrawn(true)
		synctest.Wait()
		require.Zero(t, listed())
		require.Empty(t, g.Members(), "its own view follows")
		g.SetWithdrawn(false)
		synctest.Wait()
		require.Equal(t, 1, listed())
	})
}

// The store is away for so long that all leases end, and its list is empty at its return. Each
// process keeps the members that it knew, sees that it is not listed itself, and registers again
// at once, long before its next renewal is due.
func TestLapsedMembersRegisterAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{join(s, "r1", "router"), join(s, "r2", "router")}
		for _, g := range groups {
			g.Interval = 20 * time.Second
			run(ctx, s, g)
		}
		time.Sleep(21 * time.Second)
		items, _, err := s.Snapshot(ctx, "m/")
		require.NoError(t, err)
		require.Len(t, items, 2)
		// The groups hear of the loss and of the empty list before the watch tells of a removal:
		// a process that is told so while it follows the store knows that the member is gone.
		for _, g := range groups {
			g.Lost(store.ErrUnknown)
			g.Reset(nil)
			require.Len(t, g.Members(), 2, "they may live")
		}
		for _, it := range items {
			require.NoError(t, s.Delete(ctx, it.Key, it.Revision))
		}
		synctest.Wait()
		for _, g := range groups {
			require.Len(t, g.Members(), 2, "they may live")
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range groups {
			require.NoError(t, g.Store.EndLease(ctx, g.current()))
		}
		time.Sleep(2 * time.Second)
		items, _, err = s.Snapshot(ctx, "m/")
		require.NoError(t, err)
		require.Len(t, items, 2)
		time.Sleep(returnGrace + 2*tidyPause)
		for _, g := range groups {
			require.Len(t, g.Members(), 2)
		}
	})
}

// Members that do not return after an outage leave the view when their time is over, and their
// addresses are remembered for a while.
func TestMissingMembersGoInTheEnd(t *testing.T) {
	now := time.Now()
	g := join(memstore.New(), "r1", "router")
	value := []byte(`{"id":"r2/1","role":"router","vm":"r2","address":"r2:1"}`)
	g.Reset([]store.Item{{Key: "m/r2/1", Value: value, Revision: 3}})
	g.Lost(store.ErrUnknown)
	g.Reset(nil)
	require.Len(t, g.Members(), 1)
	g.tidy(now.Add(returnGrace / 2))
	require.Len(t, g.Members(), 1)
	g.tidy(now.Add(returnGrace + time.Second))
	require.Empty(t, g.Members())
	address, ok := g.Address("r2/1")
	require.True(t, ok)
	require.Equal(t, "r2:1", address)
	g.tidy(now.Add(returnGrace + rememberFor + 2*time.Second))
	_, ok = g.Address("r2/1")
	require.False(t, ok)
}

// listedMember is the entry of a member on a VM, created and written at a revision.
func listedMember(vm string, at store.Revision) store.Item {
	value := fmt.Sprintf(`{"id":"%s/1","role":"lender","vm":%q,"address":"%s:1"}`, vm, vm, vm)
	return store.Item{Key: "m/" + vm + "/1", Value: []byte(value), Revision: at, Created: at}
}

// A router is cut off from the store and the others for some seconds, and a lender's VM is taken
// away meanwhile. Back in touch, the router does not ask that lender for tokens: the entries of
// the other lenders are the same as before, so leases did not run out. For ten seconds it did,
// since it took its own cut for an outage of the store, and requests waited for the lender.
func TestMemberThatLeftDuringACut(t *testing.T) {
	g := join(memstore.New(), "r1", "router")
	g.Reset([]store.Item{listedMember("l1", 3), listedMember("l2", 4), listedMember("l3", 5)})
	g.Lost(store.ErrUnknown)
	g.Reset([]store.Item{listedMember("l2", 4), listedMember("l3", 5)})
	require.Len(t, g.Rank("page", "lender"), 2)
	address, ok := g.Address("l1/1")
	require.True(t, ok, "what it lent has to find its way back")
	require.Equal(t, "l1:1", address)
}

// The leases of all members ran out while the store was away, and the store removes their entries
// one after the other after the first read. They are in the view all the same.
func TestMembersThatLapseAfterTheFirstRead(t *testing.T) {
	g := join(memstore.New(), "r1", "router")
	all := []store.Item{listedMember("l1", 3), listedMember("l2", 4), listedMember("l3", 5), listedMember("l4", 6)}
	g.Reset(all)
	g.Lost(store.ErrUnknown)
	g.Reset(all)
	for _, it := range all {
		g.Changed(store.Event{Item: store.Item{Key: it.Key, Revision: 9}, Deleted: true})
	}
	require.Len(t, g.Rank("page", "lender"), 4)
	g.Changed(store.Event{Item: listedMember("l1", 10)})
	g.tidy(time.Now().Add(returnGrace + time.Second))
	require.Len(t, g.Rank("page", "lender"), 1)
}

// counting counts entries that cannot be read.
type counting struct {
	quiet
	unreadable int
}

func (c *counting) MemberUnreadable(error) { c.unreadable++ }

// Another writer puts something under the members' keys. It is left alone and said; taken for a
// member without a VM, it could be ranked as the home of a budget.
func TestUnreadableMembersAreLeftAlone(t *testing.T) {
	g := join(memstore.New(), "r1", "router")
	said := &counting{}
	g.Report = said
	good := `{"id":"r2/1","role":"router","vm":"r2","address":"r2:1"}`
	g.Reset([]store.Item{
		{Key: "m/r2/1", Value: []byte(good), Revision: 1},
		{Key: "m/a", Value: []byte("\xff"), Revision: 2},
		{Key: "m/b", Value: []byte(`{"id":"b","role":7}`), Revision: 3},
		{Key: "m/c", Value: []byte(`{"id":"c","role":"router","address":"c:1"}`), Revision: 4},
		{Key: "m/d", Value: []byte(good), Revision: 5},
	})
	require.Len(t, g.Members(), 1)
	require.Equal(t, 4, said.unreadable)
	g.Changed(store.Event{Item: store.Item{Key: "m/r2/1", Value: []byte("x"), Revision: 6}})
	require.Len(t, g.Members(), 1, "what is known of it holds")
}

// BenchmarkRank is the ranking of a role's members, kept and made anew.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{12, 160, 1300} {
		g := join(memstore.New(), "r1", "router")
		var items []store.Item
		for i := range n {
			id := fmt.Sprint("l", i, "/1")
			value := fmt.Sprintf(`{"id":%q,"role":"lender","vm":"l%d","address":"l%d:1"}`, id, i, i)
			items = append(items, store.Item{Key: "m/" + id, Value: []byte(value), Revision: store.Revision(i + 1)})
		}
		g.Reset(items)
		b.Run(fmt.Sprint("kept ", n), func(b *testing.B) {
			for b.Loop() {
				g.Rank("page", "lender")
			}
		})
		b.Run(fmt.Sprint("anew ", n), func(b *testing.B) {
			for b.Loop() {
				g.rankLocked("page", "lender")
			}
		})
	}
}

// Three routers share something, and one of them is stopped as planned just after it used its part. The
// others divide by three for another minute; the one that is not listed has no part, and begins
// anew when it is listed again.
func TestSharersCountThoseThatLeftLately(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{join(s, "r1", "router"), join(s, "r2", "router"), join(s, "r3", "router"), join(s, "l1", "lender")}
		for _, g := range groups {
			n, _ := g.Sharers()
			require.Zero(t, n, "not listed yet")
			run(ctx, s, g)
		}
		sharers := func(g *Group) int {
			n, _ := g.Sharers()
			return n
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, sharers(groups[0]))
		_, before := groups[2].Sharers()
		groups[2].SetWithdrawn(true)
		time.Sleep(rememberFor - time.Second)
		require.Equal(t, 3, sharers(groups[0]))
		require.Zero(t, sharers(groups[2]))
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, sharers(groups[0]))
		groups[2].SetWithdrawn(false)
		time.Sleep(time.Second)
		require.Equal(t, 3, sharers(groups[2]))
		_, after := groups[2].Sharers()
		require.Greater(t, after.Sub(before), rememberFor)
	})
}
