package hosted

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// nopReporter is a member.Reporter that does nothing.
type nopReporter struct{}

func (nopReporter) MembersChanged(int)     {}
func (nopReporter) MembersLost(error)      {}
func (nopReporter) MembersRead()           {}
func (nopReporter) NotRegistered(error)    {}
func (nopReporter) Registered()            {}
func (nopReporter) MemberUnreadable(error) {}

// newRouterBase returns the Base of a router in a data centre that has the lenders, given as
// "VM datacentre", in its member list.
func newRouterBase(datacentre string, lenders ...string) *Base {
	g := &member.Group{Prefix: "m/", TTL: time.Minute, Report: nopReporter{},
		Self: member.Member{ID: "router/1", Role: "router", VM: "router", Datacentre: datacentre, Address: "r:1"}}
	g.Reset(memberItems(lenders...))
	return &Base{Members: g, Hub: &relay.Hub{}}
}

// memberItems returns the entries of lenders, given as "VM datacentre".
func memberItems(lenders ...string) (items []store.Item) {
	for i, l := range lenders {
		var vm, dc string
		_, _ = fmt.Sscanf(l, "%s %s", &vm, &dc)
		value := fmt.Sprintf(`{"id":"%s/1","role":"lender","vm":%q,"datacentre":%q,"address":"x:1"}`, vm, vm, dc)
		items = append(items, store.Item{Key: "m/" + vm + "/1", Value: []byte(value), Revision: store.Revision(i + 1)})
	}
	return items
}

// A large configuration changes often. A process follows relays in its own data centre, so that the
// configuration does not cross between data centres for each follower; with fewer than two such
// relays it follows others too.
func TestRelaysOfTheOwnDatacentreComeFirst(t *testing.T) {
	for datacentre, near := range map[string][]string{"bergen": {"a", "b", "c"}, "oslo": {"d", "e"}} {
		b := newRouterBase(datacentre, "a bergen", "b bergen", "c bergen", "d oslo", "e oslo")
		order := b.rankRelays(b.relayCandidates())
		require.Len(t, order, maxRelays)
		require.Subset(t, near, order)
	}
	b := newRouterBase("bergen", "a bergen", "d oslo", "e oslo")
	order := b.rankRelays(b.relayCandidates())
	require.Equal(t, "a", order[0])
	require.Len(t, order, maxRelays)
	b = newRouterBase("bergen", "d oslo")
	require.Equal(t, []string{"d"}, b.rankRelays(b.relayCandidates()))
	b = newRouterBase("bergen")
	require.Empty(t, b.rankRelays(b.relayCandidates()))
}

// list replaces the members of a Base by lenders, given as "VM datacentre".
func (b *Base) list(lenders ...string) {
	b.Members.Reset(memberItems(lenders...))
}

// Guards against processes that move from relay to relay while a fleet starts: each member that joins may
// rank first, and each relay that is chosen for a moment reads the whole store.
func TestRelaysStayWhileMembersJoin(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var lenders []string
		for i := range 40 {
			lenders = append(lenders, fmt.Sprintf("vm-%d bergen", i))
		}
		b := newRouterBase("bergen", lenders[:2]...)
		chosen := map[string]bool{}
		sourceNames := func() (names []string) {
			for _, s := range b.sources() {
				names = append(names, s.Name)
			}
			return names
		}
		first := sourceNames()
		for n := 3; n <= len(lenders); n++ {
			b.list(lenders[:n]...)
			for _, name := range sourceNames() {
				chosen[name] = true
			}
			time.Sleep(maxRelayAge / time.Duration(len(lenders)))
		}
		require.Len(t, chosen, len(first), "the relays from the beginning only")
		time.Sleep(membersSettled)
		settled := sourceNames()
		b.list(lenders[:39]...)
		require.Equal(t, settled, sourceNames(), "not while members change")
		gone := slices.DeleteFunc(slices.Clone(lenders), func(l string) bool { return l == settled[0]+" bergen" })
		b.list(gone...)
		require.NotContains(t, sourceNames(), settled[0], "a relay that is gone is replaced at once")
	})
}

// Guards against a process that goes on following the store after it has found a relay.
func TestStoreIsReleasedForARelay(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		b := newRouterBase("bergen")
		b.Hub = &relay.Hub{Store: "s", Prefixes: []relay.Prefix{{Name: "k/", Store: memstore.New(), StaleAfter: time.Second}}, MaxFollowers: 9, Now: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		go b.Hub.Run(ctx)
		_, err := b.Hub.Follow(ctx, relay.Request{Store: "s", Positions: []relay.Position{{Prefix: "k/"}}})
		require.NoError(t, err)
		b.SourceChanged(ownHub, nil)
		require.Len(t, b.Hub.State().Feeds, 1)
		b.SourceChanged("engine-1", nil)
		require.Empty(t, b.Hub.State().Feeds)
		cancel()
		synctest.Wait()
	})
}

// Guards against processes that keep the relays of a small fleet while it grows: members that join all the
// time never settle, and the relays refuse followers beyond their limit.
func TestRelaysFollowAFleetThatGrowsAllTheTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var lenders []string
		for i := range 400 {
			lenders = append(lenders, fmt.Sprintf("vm-%d bergen", i))
		}
		b := newRouterBase("bergen", lenders[:2]...)
		first := b.sources()[0].Name
		for n := 3; n <= len(lenders); n++ {
			b.list(lenders[:n]...)
			b.sources()
			time.Sleep(membersSettled / 8)
		}
		latest := map[string]bool{}
		for changes := range 50 { // more than maxRelayAge
			b.list(lenders[:len(lenders)-changes%2]...)
			latest[b.findRelaySources()[0].Name] = true
			b.sources()
			time.Sleep(membersSettled / 8)
		}
		require.NotEqual(t, first, b.sources()[0].Name)
		require.True(t, latest[b.sources()[0].Name])
	})
}
