package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// silent hears of members and does nothing.
type silent struct{}

func (silent) MembersChanged(int)     {}
func (silent) MembersLost(error)      {}
func (silent) MembersRead()           {}
func (silent) NotRegistered(error)    {}
func (silent) Registered()            {}
func (silent) MemberUnreadable(error) {}

// baseIn is a router in a data centre that knows lenders in others, as "VM datacentre".
func baseIn(datacentre string, lenders ...string) *Base {
	g := &member.Group{Prefix: "m/", TTL: time.Minute, Report: silent{},
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

// A large configuration changes often. Relays of the own data centre are asked, so that it does
// not pass between data centres for each follower; one without two of them asks others too.
func TestRelaysOfTheOwnDatacentreComeFirst(t *testing.T) {
	for datacentre, near := range map[string][]string{"bergen": {"a", "b", "c"}, "oslo": {"d", "e"}} {
		b := baseIn(datacentre, "a bergen", "b bergen", "c bergen", "d oslo", "e oslo")
		order := b.orderRelays(b.relayCandidates())
		require.Len(t, order, mostRelays)
		require.Subset(t, near, order)
	}
	b := baseIn("bergen", "a bergen", "d oslo", "e oslo")
	order := b.orderRelays(b.relayCandidates())
	require.Equal(t, "a", order[0])
	require.Len(t, order, mostRelays)
	b = baseIn("bergen", "d oslo")
	require.Equal(t, []string{"d"}, b.orderRelays(b.relayCandidates()))
	b = baseIn("bergen")
	require.Empty(t, b.orderRelays(b.relayCandidates()))
}
