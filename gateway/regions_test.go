package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against requests, retries and transfers of cached parts that leave the regions which a
// route and a team allow. Both restrictions apply; a data centre whose region is unknown is not
// allowed.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, team string
		served      []string
	}{
		"route":           {route: `["west"]`, served: []string{"i-1"}},
		"team":            {team: `["east"]`, served: []string{"i-2"}},
		"both":            {route: `["west","east"]`, team: `["east","north"]`, served: []string{"i-2"}},
		"nothing in both": {route: `["west"]`, team: `["east"]`},
		"unknown region":  {route: `["north"]`},
		"none named":      {route: `[]`, served: []string{"i-1", "i-2", "i-3"}},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.template = configTemplate
				if c.route != "" {
					f.template = strings.Replace(f.template, `{"name":"level",`, `{"name":"level","allowed_regions":`+c.route+`,`, 1)
				}
				if c.team != "" {
					f.template = strings.Replace(f.template, `"tenants":[{`, `"tenants":[{"allowed_regions":`+c.team+`,`, 1)
				}
				f.putConfig(0, "k1")
				upstreams := map[string]*standin.Upstream{
					"i-1": f.upstreamIn("bergen", "i-1", "plain", 0),
					"i-2": f.upstreamIn("oslo", "i-2", "plain", 0),
					"i-3": f.upstreamIn("nowhere", "i-3", "plain", 0),
				}
				f.start()
				for _, u := range upstreams {
					u.SetMode(standin.LoseAnswer) // each request takes two attempts
				}
				for range 30 {
					resp := f.send(level("r"))
					if len(c.served) == 0 {
						require.Equal(t, 503, resp.status)
						require.NotEmpty(t, resp.header.Get("Retry-After"))
					}
				}
				var served []string
				for id, u := range upstreams {
					if len(u.Requests()) > 0 {
						served = append(served, id)
					}
				}
				require.ElementsMatch(t, c.served, served)
				unknown := strings.Count(f.log.String(), `allowed_regions names the region \"north\"`)
				require.Equal(t, strings.Count(c.route+c.team, "north"), unknown, "one line for each unknown region")
			})
		})
	}
}

// Guards against requests that wait, or leave their region, when nothing in the only region that they allow
// can serve them: they are refused at once, as not run and with a time to come back.
func TestOnlyAllowedRegionServesNothing(t *testing.T) {
	for name, lose := range map[string]func(f *fleet){
		"drained": func(f *fleet) { require.NoError(t, f.store.OrderDrain("oslo")) },
		"empty":   func(f *fleet) { require.NoError(t, f.store.Unregister("i-2")) },
		"leaving": func(f *fleet) {
			require.NoError(t, f.store.Register("i-2", "plain", upstreamAddress("i-2"), "oslo", "draining", 6))
		},
		"unreachable": func(f *fleet) { f.unreachable.Store(upstreamAddress("i-2"), true) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.template = strings.Replace(configTemplate, `{"name":"alert",`, `{"name":"alert","allowed_regions":["east"],`, 1)
				f.putConfig(0, "k1")
				west := f.upstreamIn("bergen", "i-1", "plain", 0)
				east := f.upstreamIn("oslo", "i-2", "plain", 0)
				f.start()
				require.Equal(t, 200, f.send(alert("before")).status)
				lose(f)
				time.Sleep(5 * time.Second) // idle connections are closed
				resp := f.send(alert("after"))
				require.Equal(t, 503, resp.status)
				require.NotEmpty(t, resp.header.Get("Retry-After"))
				require.Less(t, resp.elapsed, 500*time.Millisecond)
				require.Empty(t, west.Requests())
				require.Equal(t, []string{"before"}, east.IDs())
			})
		})
	}
}
