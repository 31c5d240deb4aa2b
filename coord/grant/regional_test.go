package grant_test

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/stretchr/testify/require"
)

// Guards against a region's primary that keeps tokens for seconds of its own demand while another region lacks them, and against one
// that gives its tokens away while the page has enough.
func TestRegionalPrimaryReturnsWhatOthersLack(t *testing.T) {
	lacking := false
	p := grant.HorizonPolicy{Horizon: 4 * time.Second, LargestRequests: 1, Share: 0.9, Slack: 0.25, Role: func(string) grant.Role { return grant.RoleRegional },
		Regional: &grant.RegionalPolicy{Lacking: func(string) bool { return lacking }, KeptHorizon: 500 * time.Millisecond, IdleAfter: time.Second}}
	v := grant.View{Credit: 10_000, Unspent: 10_000, Available: 3000, Demand: 600, LargestRecent: 300}
	require.Equal(t, grant.Decision{}, p.Decide(v), "its region needs them")
	lacking = true
	require.Equal(t, grant.Decision{Give: 2700}, p.Decide(v), "all but half a second of demand")
	lacking = false
	v.IdleFor = 2 * time.Second
	require.Equal(t, grant.Decision{Give: 2700}, p.Decide(v), "the page has none left, and nobody uses them here")
	v.LargestRecent = 301
	require.Equal(t, grant.Decision{Give: 3000}, p.Decide(v), "half a second of demand would suffice for no large request")
	lacking, v.Waiting, v.SmallestWaiting = true, 4000, 4000
	require.Equal(t, grant.Decision{Give: 3000}, p.Decide(v), "nor does it for those that wait")
	lacking, v.Waiting, v.SmallestWaiting = false, 0, 0
	v.Free = 5000
	require.Equal(t, grant.Decision{}, p.Decide(v), "others can take from the page")
}

// Guards against primaries of several regions that together risk more of a budget than one primary: each holds a part by its share of
// the demand.
func TestRegionalPrimariesShareTheBounds(t *testing.T) {
	p := grant.HorizonPolicy{Horizon: time.Hour, Share: 0.9, MaxLoss: 0.1, StoreDegraded: func() bool { return false },
		Regional: &grant.RegionalPolicy{Lacking: func(string) bool { return false }}}
	v := grant.View{Credit: 100_000, Unspent: 100_000, Free: 100_000, Demand: 300, OthersDemand: 600}
	require.EqualValues(t, 3333, p.Decide(v).Take)
	v.OthersDemand = 0
	require.EqualValues(t, 10_000, p.Decide(v).Take)
	v.Demand, v.OthersDemand, v.LargestRecent, p.LargestRequests = 1, 999, 500, 1
	require.EqualValues(t, 500, p.Decide(v).Take, "at least the largest recent request")
}
