package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// registeredAgainWithin is the time within which a member is listed again whose entry a restored store lacks.
const registeredAgainWithin = 3 * time.Second

// Guards against members that vanish when the store is restored from an older copy that lacks their entries, or that
// are never listed again: some have a lease that the copy has, some one whose number was given out again.
func TestMembersStayWhenTheStoreWasRestored(t *testing.T) {
	for _, older := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
		t.Run(fmt.Sprint("copied after ", older), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				s := memstore.New()
				var groups []*Group
				for i := range 6 {
					groups = append(groups, newTestGroup(s, fmt.Sprint("r", i), "router"))
				}
				c := s.Copy()
				start := time.Now()
				for _, g := range groups {
					run(ctx, s, g)
					time.Sleep(time.Second)
					if time.Since(start) == older {
						c = s.Copy()
					}
				}
				time.Sleep(5 * time.Second)
				s.SetFaults(memstore.Faults{Delay: 30 * time.Millisecond})
				s.Restore(c)
				for range 3 { // writes of others
					_, err := s.GrantLease(ctx, time.Minute)
					require.NoError(t, err)
				}
				for end := time.Now().Add(2 * returnGrace); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, g := range groups {
						require.Len(t, g.Members(), len(groups))
						for _, other := range groups {
							require.False(t, g.Replaced(other.Self.ID, other.Self.VM))
						}
					}
					if time.Now().Before(end.Add(registeredAgainWithin - 2*returnGrace)) {
						continue
					}
					listed, err := s.List(ctx, "m/", "", 99)
					require.NoError(t, err)
					var names []string
					for _, it := range listed {
						names = append(names, it.Key)
					}
					require.Len(t, names, len(groups))
				}
			})
		})
	}
}

// Guards against an ended incarnation that counts as the newer one of its VM: the copy from which the store was restored has
// its entry, and lacks that of the live one.
func TestEndedIncarnationDoesNotReplaceTheLiveOne(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		entry := func(id string, era store.Era, number int64) store.Item {
			value := fmt.Sprintf(`{"id":%q,"role":"lender","vm":"l1","address":"l1:1"}`, id)
			return store.Item{Key: "m/" + id, Value: []byte(value), Revision: store.NewRevision(era, number), Created: store.NewRevision(era, number)}
		}
		for _, listed := range []bool{true, false} {
			g := newTestGroup(memstore.New(), "r1", "router")
			g.Reset([]store.Item{entry("l1/1", 1, 3), entry("l1/2", 1, 9)})
			if !listed {
				g.Changed(store.Event{Item: store.Item{Key: "m/l1/1", Revision: store.NewRevision(1, 10)}, Deleted: true})
			}
			g.Lost(store.Error.Wrap(store.ErrRestored))
			g.Reset([]store.Item{entry("l1/1", 2, 3)})
			require.Equal(t, "l1/2", g.Newest("lender")["l1"].ID)
			require.False(t, g.Replaced("l1/2", "l1"))
			if !listed {
				_, found := g.Get("l1/1")
				require.False(t, found, "it had left before the restoration")
			}
			g.Changed(store.Event{Item: entry("l1/2", 2, 4)})
			require.Equal(t, "l1/2", g.Newest("lender")["l1"].ID)
			require.False(t, g.Replaced("l1/2", "l1"))
		}
	})
}

// Guards against a planned stop that ends another process's lease, or leaves an entry of its own: the store was restored, and
// has given out the lease's number again.
func TestLeaveAfterARestoration(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := memstore.New()
		leaver, other := newTestGroup(s, "r1", "router"), newTestGroup(s, "r2", "router")
		c := s.Copy()
		require.NoError(t, leaver.renew(ctx))
		s.Restore(c)
		leaver.Lost(store.Error.Wrap(store.ErrRestored))
		require.NoError(t, other.renew(ctx))
		require.NoError(t, leaver.Leave(ctx))
		listed, err := s.List(ctx, "m/", "", 99)
		require.NoError(t, err)
		require.Len(t, listed, 1)
		require.Equal(t, "m/r2/1", listed[0].Key)
	})
}

// Guards against a live process that counts as ended: it has withdrawn from the list, and an earlier incarnation of its VM, which
// was killed, is still listed.
func TestIncarnationThatWithdrewIsNotReplacedByAnEarlierOne(t *testing.T) {
	entry := func(id string, at store.Revision) store.Item {
		value := fmt.Sprintf(`{"id":%q,"role":"lender","vm":"l1","address":"l1:1"}`, id)
		return store.Item{Key: "m/" + id, Value: []byte(value), Revision: at, Created: at}
	}
	g := newTestGroup(memstore.New(), "r1", "router")
	g.Reset([]store.Item{entry("l1/1", 3), entry("l1/2", 9)})
	require.True(t, g.Replaced("l1/1", "l1"))
	g.Changed(store.Event{Item: store.Item{Key: "m/l1/2", Revision: 10}, Deleted: true})
	require.False(t, g.Replaced("l1/2", "l1"))
}

// Guards against a process that is listed again after it left for good: its renewals go on while it stops.
func TestProcessThatLeftDoesNotRegisterAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		s := memstore.New()
		g := newTestGroup(s, "r1", "router")
		run(ctx, s, g)
		time.Sleep(5 * time.Second)
		require.NoError(t, g.Leave(ctx))
		time.Sleep(3 * g.Interval)
		listed, err := s.List(ctx, "m/", "", 9)
		require.NoError(t, err)
		require.Empty(t, listed)
	})
}
