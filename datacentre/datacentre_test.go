package datacentre_test

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/stretchr/testify/require"
)

// Guards against distances in a fleet of one region, or without named ones, and against a data centre that the settings
// lack and that counts as near.
func TestRoundTrip(t *testing.T) {
	several := map[string]string{"bergen": "west", "floro": "west", "oslo": "east"}
	for name, c := range map[string]struct {
		regions map[string]string
		to      string
		want    time.Duration
	}{
		"same data centre":                        {several, "bergen", 0},
		"same region":                             {several, "floro", datacentre.WithinRegion},
		"another region":                          {several, "oslo", datacentre.DefaultBetweenRegions},
		"a data centre that the settings lack":    {several, "tromso", datacentre.DefaultBetweenRegions},
		"one region":                              {map[string]string{"bergen": "west", "floro": "west"}, "floro", datacentre.WithinRegion},
		"one region, a data centre that it lacks": {map[string]string{"bergen": "west", "floro": "west"}, "oslo", datacentre.WithinRegion},
		"no regions":                              {nil, "oslo", datacentre.WithinRegion},
		"one of two without a name":               {map[string]string{"bergen": "west", "oslo": ""}, "oslo", datacentre.WithinRegion},
	} {
		t.Run(name, func(t *testing.T) {
			topology := datacentre.Topology{Local: "bergen", Regions: c.regions}
			require.Equal(t, c.want, topology.RoundTrip(c.to))
			require.Equal(t, c.want, topology.Between(c.to, "bergen"))
			if c.want == datacentre.DefaultBetweenRegions {
				topology.BetweenRegions = 50 * time.Millisecond
				require.Equal(t, topology.BetweenRegions, topology.RoundTrip(c.to))
			}
		})
	}
}
