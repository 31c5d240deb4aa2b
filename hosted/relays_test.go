package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
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
	var items []store.Item
	for i, l := range lenders {
		var vm, dc string
		_, _ = fmt.Sscanf(l, "%s %s", &vm, &dc)
		value := fmt.Sprintf(`{"id":"%s/1","role":"lender","vm":%q,"datacentre":%q,"address":"x:1"}`, vm, vm, dc)
		items = append(items, store.Item{Key: "m/" + vm + "/1", Value: []byte(value), Revision: store.Revision(i + 1)})
	}
	g.Reset(items)
	return &Base{Members: g}
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
