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

type nopReporter struct{}

func (nopReporter) MembersChanged(int)     {}
func (nopReporter) MembersLost(error)      {}
func (nopReporter) MembersRead()           {}
func (nopReporter) NotRegistered(error)    {}
func (nopReporter) Registered()            {}
func (nopReporter) MemberUnreadable(error) {}

func newTestGroup(s *memstore.Store, id, role string) *Group {
	return &Group{Store: s, Prefix: "m/", TTL: time.Minute, Interval: 2 * time.Second, Report: nopReporter{},
		Self: Member{ID: id + "/1", Role: role, VM: id, Address: id + ":1"}}
}

// run keeps a group registered, and follows the members in the store.
func run(ctx context.Context, s *memstore.Store, g *Group) {
	go g.KeepAlive(ctx)
	go (&mirror.Mirror{Store: s, Prefix: g.Prefix, Reader: g}).Run(ctx)
}

// Guards against members that are ranked or counted under another role: a router ranked among the
// lenders would be used as the primary of budgets.
func TestRolesAreSeparate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{newTestGroup(s, "r1", "router"), newTestGroup(s, "r2", "router"), newTestGroup(s, "l1", "lender")}
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

// Guards against a withdrawal that only takes effect with the next renewal: a process whose VM will
// be taken away must leave the list at once, and return at once if the VM stays.
func TestWithdrawAndReturn(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		g := newTestGroup(s, "l1", "lender")
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
		require.Empty(t, g.Members(), "its own view must follow")
		g.SetWithdrawn(false)
		synctest.Wait()
		require.Equal(t, 1, listed())
	})
}

// Guards against a view that empties after an outage: the store is unreachable until all leases end,
// and its list is empty when it returns. Each process must keep the members it had, detect that it
// is not listed itself, and register again at once, long before its next renewal is due.
func TestLapsedMembersRegisterAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{newTestGroup(s, "r1", "router"), newTestGroup(s, "r2", "router")}
		for _, g := range groups {
			g.Interval = 20 * time.Second
			run(ctx, s, g)
		}
		time.Sleep(21 * time.Second)
		items, _, err := s.Snapshot(ctx, "m/")
		require.NoError(t, err)
		require.Len(t, items, 2)
		// The groups get the loss and the empty list before the watch delivers a removal: a
		// removal that arrives while the store is followed means that the member has left.
		for _, g := range groups {
			g.Lost(store.ErrUnknown)
			g.Reset(nil)
			require.Len(t, g.Members(), 2, "they may be alive")
		}
		for _, it := range items {
			require.NoError(t, s.Delete(ctx, it.Key, it.Revision))
		}
		synctest.Wait()
		for _, g := range groups {
			require.Len(t, g.Members(), 2, "they may be alive")
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range groups {
			require.NoError(t, g.Store.EndLease(ctx, g.lease))
		}
		time.Sleep(2 * time.Second)
		items, _, err = s.Snapshot(ctx, "m/")
		require.NoError(t, err)
		require.Len(t, items, 2)
		time.Sleep(returnGrace + 2*cleanupInterval)
		for _, g := range groups {
			require.Len(t, g.Members(), 2)
		}
	})
}

// Guards against members that stay in the view for ever after an outage: those that do not return
// must leave it after returnGrace, and their addresses must be kept for formerRetention.
func TestMissingMembersAreEventuallyRemoved(t *testing.T) {
	now := time.Now()
	g := newTestGroup(memstore.New(), "r1", "router")
	value := []byte(`{"id":"r2/1","role":"router","vm":"r2","address":"r2:1"}`)
	g.Reset([]store.Item{{Key: "m/r2/1", Value: value, Revision: 3}})
	g.Lost(store.ErrUnknown)
	g.Reset(nil)
	require.Len(t, g.Members(), 1)
	g.cleanUp(now.Add(returnGrace / 2))
	require.Len(t, g.Members(), 1)
	g.cleanUp(now.Add(returnGrace + time.Second))
	require.Empty(t, g.Members())
	address, ok := g.Address("r2/1")
	require.True(t, ok)
	require.Equal(t, "r2:1", address)
	g.cleanUp(now.Add(returnGrace + formerRetention + 2*time.Second))
	_, ok = g.Address("r2/1")
	require.False(t, ok)
}

// listedMember returns the entry of a member on a VM, created and written at a revision.
func listedMember(vm string, at store.Revision) store.Item {
	value := fmt.Sprintf(`{"id":"%s/1","role":"lender","vm":%q,"address":"%s:1"}`, vm, vm, vm)
	return store.Item{Key: "m/" + vm + "/1", Value: []byte(value), Revision: at, Created: at}
}

// Guards against a lost connection that is treated as an outage of the store: a router loses the
// store and the other members for some seconds, and a lender's VM is taken away meanwhile. The
// router must drop that lender after it reconnects: the entries of the other lenders are unchanged,
// so no leases expired. Otherwise its requests wait for that lender's tokens for 10 s.
func TestMemberThatLeftDuringAPartition(t *testing.T) {
	g := newTestGroup(memstore.New(), "r1", "router")
	g.Reset([]store.Item{listedMember("l1", 3), listedMember("l2", 4), listedMember("l3", 5)})
	g.Lost(store.ErrUnknown)
	g.Reset([]store.Item{listedMember("l2", 4), listedMember("l3", 5)})
	require.Len(t, g.Rank("page", "lender"), 2)
	address, ok := g.Address("l1/1")
	require.True(t, ok, "borrowers must still be able to return what it lent")
	require.Equal(t, "l1:1", address)
}

// Guards against lapsed members that are dropped one by one: all leases expired while the store was
// unreachable, and the store removes the entries one after the other after the first read. The
// members must stay in the view.
func TestMembersThatLapseAfterTheFirstRead(t *testing.T) {
	g := newTestGroup(memstore.New(), "r1", "router")
	all := []store.Item{listedMember("l1", 3), listedMember("l2", 4), listedMember("l3", 5), listedMember("l4", 6)}
	g.Reset(all)
	g.Lost(store.ErrUnknown)
	g.Reset(all)
	for _, it := range all {
		g.Changed(store.Event{Item: store.Item{Key: it.Key, Revision: 9}, Deleted: true})
	}
	require.Len(t, g.Rank("page", "lender"), 4)
	g.Changed(store.Event{Item: listedMember("l1", 10)})
	g.cleanUp(time.Now().Add(returnGrace + time.Second))
	require.Len(t, g.Rank("page", "lender"), 1)
}

// unreadableCounter counts the reports of invalid entries.
type unreadableCounter struct {
	nopReporter
	unreadable int
}

func (c *unreadableCounter) MemberUnreadable(error) { c.unreadable++ }

// Guards against invalid entries that count as members: another writer uses the members' prefix. Its
// entries must be reported and ignored; as a member without a VM, one could be ranked as the primary of
// a budget.
func TestUnreadableMembersAreIgnored(t *testing.T) {
	g := newTestGroup(memstore.New(), "r1", "router")
	reporter := &unreadableCounter{}
	g.Report = reporter
	good := `{"id":"r2/1","role":"router","vm":"r2","address":"r2:1"}`
	g.Reset([]store.Item{
		{Key: "m/r2/1", Value: []byte(good), Revision: 1},
		{Key: "m/a", Value: []byte("\xff"), Revision: 2},
		{Key: "m/b", Value: []byte(`{"id":"b","role":7}`), Revision: 3},
		{Key: "m/c", Value: []byte(`{"id":"c","role":"router","address":"c:1"}`), Revision: 4},
		{Key: "m/d", Value: []byte(good), Revision: 5},
	})
	require.Len(t, g.Members(), 1)
	require.Equal(t, 4, reporter.unreadable)
	g.Changed(store.Event{Item: store.Item{Key: "m/r2/1", Value: []byte("x"), Revision: 6}})
	require.Len(t, g.Members(), 1, "the last valid entry must stay")
}

// BenchmarkRank measures the ranking of a role's members, cached and recomputed.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{12, 160, 1300} {
		g := newTestGroup(memstore.New(), "r1", "router")
		var items []store.Item
		for i := range n {
			id := fmt.Sprint("l", i, "/1")
			value := fmt.Sprintf(`{"id":%q,"role":"lender","vm":"l%d","address":"l%d:1"}`, id, i, i)
			items = append(items, store.Item{Key: "m/" + id, Value: []byte(value), Revision: store.Revision(i + 1)})
		}
		g.Reset(items)
		b.Run(fmt.Sprint("cached ", n), func(b *testing.B) {
			for b.Loop() {
				g.Rank("page", "lender")
			}
		})
		b.Run(fmt.Sprint("recomputed ", n), func(b *testing.B) {
			for b.Loop() {
				g.rankLocked("page", "lender")
			}
		})
	}
}

// Guards against a shared limit that is exceeded when a member leaves: three routers share a limit,
// and one of them stops as planned just after it used its share. The others must divide by three for
// another minute. The router that is not listed must have no share, and a new start time when it is
// listed again.
func TestSharersCountRecentlyDeparted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		groups := []*Group{newTestGroup(s, "r1", "router"), newTestGroup(s, "r2", "router"), newTestGroup(s, "r3", "router"), newTestGroup(s, "l1", "lender")}
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
		time.Sleep(formerRetention - time.Second)
		require.Equal(t, 3, sharers(groups[0]))
		require.Zero(t, sharers(groups[2]))
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, sharers(groups[0]))
		groups[2].SetWithdrawn(false)
		time.Sleep(time.Second)
		require.Equal(t, 3, sharers(groups[2]))
		_, after := groups[2].Sharers()
		require.Greater(t, after.Sub(before), formerRetention)
	})
}
