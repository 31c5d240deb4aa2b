package hosted

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
)

// In a fleet of several regions relays are chosen for each region instead of each data centre: fewer processes call the store,
// and one stream of changes crosses between the data centres of a region for each relay. A stream between regions is used
// only where a region has no process that relays, or where neither its relays nor the process itself reach the store.

// regionalRelays are the VMs of the relays for a process in a fleet of several regions.
type regionalRelays struct {
	// near are polled before this process calls the store, best first.
	near []string
	// far is polled when the store does not answer this process either, "" if there is none.
	far string
}

// rankRegionalRelays lists the relays for this process: those of its own data centre, then those of its own region, then the
// candidates that would replace them. Only a process whose region has no candidate starts with other regions.
func (b *Base) rankRegionalRelays(candidates map[string]member.Member) regionalRelays {
	byRegion := map[string][]string{}
	for vm, m := range candidates {
		region := b.Topology.Region(m.Datacentre)
		byRegion[region] = append(byRegion[region], vm)
	}
	own := b.Topology.Region(b.Topology.Local)
	near := b.relaysOfRegion(own, byRegion[own], candidates)
	out := regionalRelays{near: near[:min(maxRelays, len(near))]}
	delete(byRegion, own)
	for _, region := range rendezvous.Rank(b.Members.Self.VM, slices.Collect(maps.Keys(byRegion))) {
		first := b.relaysOfRegion(region, byRegion[region], candidates)[0]
		switch {
		case len(near) == 0 && len(out.near) < maxRelays:
			out.near = append(out.near, first)
		case out.far == "":
			out.far = first
		}
	}
	return out
}

// relaysOfRegion lists the candidates of a region in the order in which this process polls them.
func (b *Base) relaysOfRegion(region string, vms []string, candidates map[string]member.Member) []string {
	processes := 0
	for _, m := range b.Members.Members() {
		if b.Topology.Region(m.Datacentre) == region {
			processes++
		}
	}
	used, others := relay.SplitRelays(vms, processes, processesPerRelay)
	out := relay.StartingWith(b.Members.Self.VM, used)
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(b.Topology.RoundTrip(candidates[x].Datacentre), b.Topology.RoundTrip(candidates[y].Datacentre))
	})
	return append(out, others...)
}

// Reasons to follow a relay of another region.
const (
	// noRelayHere means that no process of the region relays.
	noRelayHere = "none_here"
	// storeNotReachedHere means that neither the region's relays nor this process reach the store.
	storeNotReachedHere = "store_not_reached_here"
)

// followAcross returns the Follow function of a relay in another region, which counts the bytes of its answers.
func (b *Base) followAcross(m member.Member, reason string) func(context.Context, relay.Request) (relay.Reply, error) {
	bytes := b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_region_relayed_bytes_total{region=%q,reason=%q}", b.Topology.Region(m.Datacentre), reason))
	return func(ctx context.Context, r relay.Request) (out relay.Reply, err error) {
		var answer json.RawMessage
		if err = b.Links.Call(ctx, m.Address, link.MethodFollow, r, &answer); err != nil {
			return out, err
		}
		bytes.Add(len(answer))
		if err = json.Unmarshal(answer, &out); err != nil {
			return out, err
		}
		return out, out.Unpack()
	}
}

// crossedRegion returns the region of a source that is not in this process's region, else "".
func (b *Base) crossedRegion(source string) string {
	for _, m := range b.Members.Members() {
		if m.VM == source && b.Topology.Crosses(b.Topology.Local, m.Datacentre) {
			return b.Topology.Region(m.Datacentre)
		}
	}
	return ""
}
