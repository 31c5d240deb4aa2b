package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fetchMetrics returns the metrics of the process on a VM.
func (f *fleet) fetchMetrics(vm int) string {
	resp, err := f.client().Get("http://" + address(vm, adminPort) + "/metrics")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return string(body)
}

// Guards against requests that cross to another region while their own one serves, that fail or wait when it does not, that stay away
// once it serves again, and that leave no trace of why they crossed.
func TestRequestsCrossRegionsWithReason(t *testing.T) {
	for name, c := range map[string]struct {
		lose, restore func(f *fleet)
		reason        string
	}{
		"drained": {
			lose:    func(f *fleet) { require.NoError(f.t, f.store.OrderDrain("bergen")) },
			restore: func(f *fleet) { require.NoError(f.t, f.store.EndDrain("bergen")) },
			reason:  "none_here",
		},
		"empty": {
			lose:    func(f *fleet) { require.NoError(f.t, f.store.Unregister("i-1")) },
			restore: func(f *fleet) { f.register("i-1", "plain", "ready") },
			reason:  "none_here",
		},
		"silent": {
			lose:    func(f *fleet) { f.unreachable.Store(upstreamAddress("i-1"), true) },
			restore: func(f *fleet) { f.unreachable.Delete(upstreamAddress("i-1")) },
			reason:  "none_here",
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				west := f.upstreamIn("bergen", "i-1", "plain", 0)
				east := f.upstreamIn("oslo", "i-2", "plain", 0)
				f.start()
				for i := range 20 {
					require.Equal(t, 200, f.send(alert(fmt.Sprint("before-", i))).status)
				}
				require.Empty(t, east.Requests())
				require.NotContains(t, f.log.String(), `"upstream_region"`)
				c.lose(f)
				time.Sleep(5 * time.Second) // idle connections are closed
				for i := range 20 {
					resp := f.send(alert(fmt.Sprint("lost-", i)))
					require.Equal(t, 200, resp.status)
					require.Less(t, resp.elapsed, 500*time.Millisecond)
				}
				require.Len(t, east.Requests(), 20)
				f.settle() // the last log line is written after the answer
				require.Equal(t, 20, strings.Count(f.log.String(), `"upstream_region":"east","region_reason":"`+c.reason+`"`))
				require.Contains(t, f.fetchMetrics(1), `arbutusmill_gateway_region_crossings_total{service="plain",region="east",reason="`+c.reason+`"} 20`)
				c.restore(f)
				time.Sleep(15 * time.Second)
				served := len(west.Requests())
				for i := range 20 {
					require.Equal(t, 200, f.send(alert(fmt.Sprint("after-", i))).status)
				}
				require.Len(t, west.Requests(), served+20)
			})
		})
	}
}

// cutRegion is what of the region east a router in west does not reach, and whether it reaches the store.
type cutRegion struct{ upstreams, store bool }

// Guards against callers that wait or fail while regions are cut off each other, the store, or both: those of the router's region are
// served as before from what it knows, those that only allow the other region are refused at once, as not run and with a time
// to come back, and all are served again when the cut has ended.
func TestRegionsCutOffEachOther(t *testing.T) {
	for name, c := range map[string]cutRegion{
		"other region":           {upstreams: true},
		"store":                  {store: true},
		"other region and store": {upstreams: true, store: true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.template = strings.Replace(configTemplate, `{"name":"alert",`, `{"name":"alert","allowed_regions":["east"],`, 1)
				f.putConfig(0, "k1")
				west := f.upstreamIn("bergen", "i-1", "plain", 0)
				east := f.upstreamIn("oslo", "i-2", "plain", 0)
				f.start()
				if c.upstreams {
					f.cut(linkEnds{1, upstreamAddress("i-2")})
				}
				if c.store {
					f.disconnectFromStore(1)
				}
				for i := range 20 {
					require.Equal(t, 200, f.send(level(fmt.Sprint("cut-", i))).status)
					resp := f.send(alert(fmt.Sprint("cut-east-", i)))
					if !c.upstreams {
						require.Equal(t, 200, resp.status)
						continue
					}
					require.Equal(t, 503, resp.status)
					require.NotEmpty(t, resp.header.Get("Retry-After"))
					require.Less(t, resp.elapsed, 500*time.Millisecond)
				}
				require.Len(t, west.Requests(), 20)
				if c.upstreams {
					require.Empty(t, east.Requests(), "a refusal says not run")
				}
				f.heal(linkEnds{1, upstreamAddress("i-2")})
				f.reconnect(1)
				time.Sleep(15 * time.Second)
				require.Equal(t, 200, f.send(alert("after")).status)
			})
		})
	}
}

// Guards against callers that wait for a region which the settings name but nobody lives in, or without engines of their service.
func TestRegionWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.template = strings.Replace(configTemplate, `"tenants":[{`, `"tenants":[{"allowed_regions":["east"],`, 1)
		f.putConfig(0, "k1")
		west := f.upstreamIn("bergen", "i-1", "plain", 0)
		engine := f.upstreamIn("bergen", "i-3", "model", 3)
		f.start()
		for _, withPlain := range []bool{false, true} {
			if withPlain {
				f.upstreamIn("oslo", "i-2", "plain", 0)
				f.settle()
				require.Equal(t, 200, f.send(alert("plain")).status)
			}
			resp := f.send(chat(fmt.Sprint("stream-", withPlain)))
			require.Equal(t, 503, resp.status)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
			require.Less(t, resp.elapsed, 100*time.Millisecond)
		}
		require.Empty(t, west.Requests())
		require.Empty(t, engine.Requests())
	})
}
