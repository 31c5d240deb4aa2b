package settings_test

import (
	"testing"

	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

func TestQueueing(t *testing.T) {
	on, off := true, false
	oneRegion := map[string]string{"bergen": "west", "floro": "west"}
	twoRegions := map[string]string{"bergen": "west", "oslo": "east"}
	for name, c := range map[string]struct {
		queueing settings.Queueing
		regions  map[string]string
		want     bool
	}{
		"one region":                     {regions: oneRegion},
		"no regions":                     {},
		"several regions":                {regions: twoRegions, want: true},
		"enabled in one region":          {queueing: settings.Queueing{Enabled: &on}, regions: oneRegion, want: true},
		"disabled in several regions":    {queueing: settings.Queueing{Enabled: &off}, regions: twoRegions},
		"one part off":                   {queueing: settings.Queueing{Enabled: &on, Budgets: settings.Switch{On: &off}}},
		"one part on, all others too":    {queueing: settings.Queueing{Enabled: &on, Budgets: settings.Switch{On: &on}}, want: true},
		"a part cannot be enabled alone": {queueing: settings.Queueing{Budgets: settings.Switch{On: &on}}, regions: oneRegion},
		"regions without a name":         {regions: map[string]string{"bergen": "", "oslo": "east"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.queueing.On(c.queueing.Budgets, c.regions))
		})
	}
}
