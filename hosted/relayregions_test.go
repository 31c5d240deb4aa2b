package hosted

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/stretchr/testify/require"
)

// callsPerRelay is the number of calls of the store that wait for changes at one relay: one for each prefix.
const callsPerRelay = 3

// threeRegions maps six data centres to their regions; nobody lives in the fourth region.
var threeRegions = map[string]string{"bergen": "west", "floro": "west", "oslo": "east", "moss": "east", "bodo": "north", "narvik": "north", "vadso": "far-north"}

// layout lists the numbers of routers and lenders in each data centre.
type layout map[string][2]int

// evenLayout spreads routers and lenders over six data centres.
func evenLayout(routers, lenders int) layout {
	dcs := []string{"bergen", "floro", "oslo", "moss", "bodo", "narvik"}
	out := layout{}
	for i := range max(routers, lenders) {
		counts := out[dcs[i%len(dcs)]]
		if i < routers {
			counts[0]++
		}
		if i < lenders {
			counts[1]++
		}
		out[dcs[i%len(dcs)]] = counts
	}
	return out
}

// members returns the members of a fleet.
func (l layout) members() (out []member.Member) {
	for _, dc := range slices.Sorted(maps.Keys(l)) {
		for role, count := range map[string]int{"router": l[dc][0], "lender": l[dc][1]} {
			for n := range count {
				vm := fmt.Sprintf("%s-%s-%d", dc, role, n)
				out = append(out, member.Member{ID: vm + "/1", Role: role, VM: vm, Datacentre: dc, Address: vm + ":1"})
			}
		}
	}
	slices.SortFunc(out, func(a, b member.Member) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// sourceNames returns the names of the sources of each member of a fleet, by its VM.
func sourceNames(l layout, regions map[string]string) map[string][]string {
	out, all := map[string][]string{}, l.members()
	g := &member.Group{Prefix: "m/", TTL: time.Minute, Report: nopReporter{}}
	var items []store.Item
	for i, m := range all {
		value := fmt.Sprintf(`{"id":%q,"role":%q,"vm":%q,"datacentre":%q,"address":%q}`, m.ID, m.Role, m.VM, m.Datacentre, m.Address)
		items = append(items, store.Item{Key: "m/" + m.ID, Value: []byte(value), Revision: store.Revision(i + 1)})
	}
	g.Reset(items)
	for _, g.Self = range all {
		b := &Base{Members: g, Hub: &relay.Hub{}, Metrics: metrics.NewSet(), Topology: datacentre.Topology{Local: g.Self.Datacentre, Regions: regions}}
		for _, s := range b.findRelaySources() {
			out[g.Self.VM] = append(out[g.Self.VM], s.Name)
		}
	}
	return out
}

// relaysInUse returns the relays at which the members start.
func relaysInUse(sources map[string][]string) (relays []string) {
	used := map[string]bool{}
	for vm, names := range sources {
		if names[0] == ownHub {
			used[vm] = true
			continue
		}
		used[names[0]] = true
	}
	return slices.Sorted(maps.Keys(used))
}

// regionOfVM returns the region of a VM of a layout.
func regionOfVM(vm string) string {
	dc, _, _ := strings.Cut(vm, "-")
	return threeRegions[dc]
}

// Guards against relays in each data centre of a region, each of which waits for the store's changes: with several regions
// one relay serves each hundred processes of a region.
func TestRelaysServeTheirRegion(t *testing.T) {
	for _, c := range []struct{ routers, lenders, before, after int }{
		{31, 57, 6, 3},
	} {
		l := evenLayout(c.routers, c.lenders)
		before, after := relaysInUse(sourceNames(l, nil)), relaysInUse(sourceNames(l, threeRegions))
		t.Logf("%d processes: %d relays with %d waiting calls before, %d with %d now", c.routers+c.lenders,
			len(before), len(before)*callsPerRelay, len(after), len(after)*callsPerRelay)
		require.Len(t, before, c.before)
		require.Len(t, after, c.after)
		for vm, names := range sourceNames(l, threeRegions) {
			near := names[:slices.Index(names, ownHub)]
			for _, name := range near {
				require.Equal(t, regionOfVM(vm), regionOfVM(name), "%s: %v", vm, names)
			}
			far := names[len(names)-1]
			require.NotEqual(t, ownHub, far)
			require.NotEqual(t, regionOfVM(vm), regionOfVM(far), "the last one is of another region")
			require.Contains(t, after, far, "it is in use there")
		}
	}
}

// Guards against followers that all choose a relay of another data centre while one of the region's relays is in their own.
func TestRelayOfTheOwnDatacentreComesFirst(t *testing.T) {
	l := evenLayout(450, 450)
	sources := sourceNames(l, threeRegions)
	used := relaysInUse(sources)
	inDatacentre := map[string]bool{}
	for _, vm := range used {
		dc, _, _ := strings.Cut(vm, "-")
		inDatacentre[dc] = true
	}
	require.Greater(t, len(inDatacentre), 3)
	followers := map[string]int{}
	for vm, names := range sources {
		dc, _, _ := strings.Cut(vm, "-")
		followers[names[0]]++
		if inDatacentre[dc] && names[0] != ownHub {
			require.True(t, strings.HasPrefix(names[0], dc+"-"), "%s starts at %s", vm, names[0])
		}
	}
	for name, n := range followers {
		require.LessOrEqual(t, n, maxFollowers, name)
	}
}

// Each case takes part of a fleet away; want says where its processes follow the store's changes.
func TestRelaysWithoutPartsOfTheFleet(t *testing.T) {
	for name, c := range map[string]struct {
		layout layout
		vm     string
		// near and far are the regions of the relays before and after the process's own hub.
		near []string
		far  bool
	}{
		"a region without lenders follows two others, where they are": {layout{"bergen": {3, 0}, "oslo": {3, 4}, "bodo": {3, 4}}, "bergen-router-0", []string{"east", "north"}, false},
		"one lender in the region, then another region":               {layout{"bergen": {3, 1}, "oslo": {3, 4}}, "bergen-router-0", []string{"west"}, true},
		"one data centre of a region without lenders":                 {layout{"bergen": {3, 0}, "floro": {3, 3}, "oslo": {3, 4}}, "bergen-router-0", []string{"west", "west"}, true},
		"all other regions lost":                                      {layout{"bergen": {3, 2}, "floro": {3, 3}}, "bergen-router-0", []string{"west", "west"}, false},
		"a region that the settings do not name":                      {layout{"bergen": {3, 2}, "tromso": {3, 3}}, "bergen-router-0", []string{"west", "west"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			names := sourceNames(c.layout, threeRegions)[c.vm]
			own := slices.Index(names, ownHub)
			var near []string
			for _, vm := range names[:own] {
				near = append(near, regionOfVM(vm))
			}
			require.ElementsMatch(t, c.near, near)
			require.Equal(t, c.far, len(names) > own+1, names)
		})
	}
}

// rankings returns the sources of each process of fleets that do not span several regions, as text.
func rankings() string {
	var b strings.Builder
	for _, regions := range []map[string]string{nil, {"bergen": "west", "oslo": "west"}, {"bergen": ""}} {
		for _, l := range []layout{evenLayout(31, 57), evenLayout(12, 0), {"bergen": {3, 1}, "oslo": {4, 2}}, {"bergen": {110, 20}, "oslo": {1, 110}}} {
			sources := sourceNames(l, regions)
			for _, vm := range slices.Sorted(maps.Keys(sources)) {
				fmt.Fprintln(&b, vm, sources[vm])
			}
		}
	}
	return b.String()
}

// Guards against other relays than before distances in a fleet that does not span several regions.
func TestRelaysWithoutRegionsAreAsRecorded(t *testing.T) {
	recorded, err := os.ReadFile("testdata/rankings.txt")
	require.NoError(t, err)
	require.Equal(t, string(recorded), rankings())
}
