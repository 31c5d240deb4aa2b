package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

const (
	// limitWindow is the time over which the requests to an upstream with a limit are counted,
	// limitPropagation that within which all routers apply the limit.
	limitWindow      = 4 * time.Second
	limitPropagation = 3 * time.Second
)

// maxWithinLimit returns the maximum of requests in limitWindow to an upstream with that limit.
func maxWithinLimit(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// requireWithinLimit checks that an upstream got no more requests than its limit allows, but some.
func requireWithinLimit(t *testing.T, u *standin.Upstream, perSecond float64) {
	t.Helper()
	require.False(t, u.LimitSince().IsZero())
	got := u.MaxWithin(limitWindow, u.LimitSince().Add(limitPropagation))
	require.LessOrEqual(t, got, maxWithinLimit(perSecond), u.ID)
	require.NotZero(t, got, u.ID)
}

// startEngines starts engines i-first to i-last, each with a lender if lenders is set.
func (f *fleet) startEngines(first, last int, lenders bool) (all []*standin.Upstream) {
	for n := first; n <= last; n++ {
		all = append(all, f.upstream(fmt.Sprint("i-", n), "model", 5))
	}
	if lenders {
		f.startLenders(first, last)
	}
	return all
}

// loadRequests is the number of requests sent by sendLoad in all tests.
var loadRequests atomic.Int64

// statusCounts holds the number of responses by status.
type statusCounts map[int]int

// sendLoad sends perSecond requests a second for the duration span, through all routers in turn,
// and waits for the responses. It checks that refusals are immediate and have a Retry-After.
func (f *fleet) sendLoad(routers, perSecond int, span time.Duration, newRequest func(id string, vm int) request) statusCounts {
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := statusCounts{}
	for range int(span.Seconds() * float64(perSecond)) {
		n := int(loadRequests.Add(1))
		wg.Go(func() {
			resp := f.send(newRequest(fmt.Sprint("l-", n), 1+n%routers))
			mu.Lock()
			defer mu.Unlock()
			got[resp.status]++
			if resp.status != http.StatusOK {
				after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				require.NoError(f.t, err, resp.body)
				require.Positive(f.t, after)
				require.Less(f.t, resp.elapsed, 400*time.Millisecond)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return got
}

// uniquePrompt returns the request of a stream with a prompt that no other request has.
func uniquePrompt(id string, vm int) request {
	req := chat(id)
	req.vm, req.parts = vm, id+":1000"
	return req
}

// plainRequest returns a request to a plain service.
func plainRequest(id string, vm int) request {
	req := level(id)
	req.vm = vm
	return req
}

var testLimits = []float64{0.2, 1, 5}

// Guards against an engine that gets more from all routers together than its stated limit.
func TestEngineStaysWithinItsLimit(t *testing.T) {
	for _, limit := range testLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engines := f.startEngines(1, 3, true)
				f.startRouters(4)
				engines[0].SetLimit(fmt.Sprint(limit))
				got := f.sendLoad(4, 40, 12*time.Second, uniquePrompt)
				requireWithinLimit(t, engines[0], limit)
				require.Equal(t, 12*40, got[200], "the other engines serve the rest")
			})
		})
	}
}

// Guards against engines that get more than their limits when no other engine is available.
func TestLimitsOfAllEngines(t *testing.T) {
	for _, limit := range testLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engines := f.startEngines(1, 3, true)
				f.startRouters(4)
				for _, e := range engines {
					e.SetLimit(fmt.Sprint(limit))
				}
				const span = 15 * time.Second
				got := f.sendLoad(4, 40, span, uniquePrompt)
				for _, e := range engines {
					requireWithinLimit(t, e, limit)
				}
				require.GreaterOrEqual(t, float64(got[200]), 0.8*3*limit*span.Seconds(), "the limits are used")
				require.Equal(t, int(span.Seconds())*40, got[200]+got[429])
			})
		})
	}
}

// Guards against a limit that each of many routers uses in full.
func TestLimitsSharedByManyRouters(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startEngines(1, 2, true)
		const routers = 16
		f.startRouters(routers)
		for _, e := range engines {
			e.SetLimit("1")
		}
		f.sendLoad(routers, 40, 10*time.Second, uniquePrompt)
		for _, e := range engines {
			requireWithinLimit(t, e, 1)
		}
	})
}

// Guards against plain upstreams, and engines without a lender, that get more than their limits.
func TestLimitsOfUpstreamsWithoutLenders(t *testing.T) {
	for _, limit := range testLimits {
		for _, routers := range []int{1, 6} {
			t.Run(fmt.Sprint(limit, "-", routers), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					engines := f.startEngines(1, 2, false)
					plain := []*standin.Upstream{f.upstream("i-11", "plain", 0), f.upstream("i-12", "plain", 0)}
					f.startRouters(routers)
					for _, u := range append(engines, plain...) {
						u.SetLimit(fmt.Sprint(limit))
					}
					span := max(10*time.Second, time.Duration(6/limit)*time.Second) // each of three shares allows one request
					f.sendLoad(routers, 50, span, func(id string, vm int) request {
						if strings.HasSuffix(id, "0") || strings.HasSuffix(id, "5") {
							return uniquePrompt(id, vm)
						}
						return plainRequest(id, vm)
					})
					for _, u := range append(engines, plain...) {
						requireWithinLimit(t, u, limit)
					}
				})
			})
		}
	}
}

// Guards against a limit that is lost or allotted again when routers, or the lender that counts,
// restart.
func TestLimitsDuringRestarts(t *testing.T) {
	for _, limit := range []float64{1, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engines := f.startEngines(1, 2, false)
				stop, _ := f.startLender(firstLender+1, "i-1")
				f.startLender(firstLender+2, "i-2")
				f.startRouters(4)
				for _, e := range engines {
					e.SetLimit(fmt.Sprint(limit))
				}
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(6 * time.Second)
					f.stopVM(4)
					f.startVM(4)
				})
				wg.Go(func() {
					time.Sleep(9 * time.Second)
					stop()
					f.startLender(firstLender+1, "i-1")
				})
				f.sendLoad(3, 30, 16*time.Second, uniquePrompt)
				wg.Wait()
				for _, e := range engines {
					requireWithinLimit(t, e, limit)
				}
			})
		})
	}
}

// Guards against an engine that gets more than its limit, or nothing at all, while the lender
// that counts is unreachable.
func TestLimitWithUnreachableLender(t *testing.T) {
	for _, limit := range testLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engine := f.startEngines(1, 1, false)[0]
				_, kill := f.startLender(firstLender+1, "i-1")
				f.startRouters(6)
				engine.SetLimit(fmt.Sprint(limit))
				f.sendLoad(6, 40, 9*time.Second, uniquePrompt)
				kill()
				before := len(engine.Requests())
				f.sendLoad(6, 20, max(14*time.Second, time.Duration(12/limit)*time.Second), uniquePrompt)
				requireWithinLimit(t, engine, limit)
				require.Greater(t, len(engine.Requests()), before)
			})
		})
	}
}

// Guards against an engine that is avoided, or still limited, after it no longer states a limit.
func TestRemovedLimit(t *testing.T) {
	for _, lenders := range []bool{true, false} {
		t.Run(fmt.Sprint(lenders), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engines := f.startEngines(1, 2, lenders)
				f.startRouters(3)
				engines[0].SetLimit("1")
				f.sendLoad(3, 40, 8*time.Second, uniquePrompt)
				requireWithinLimit(t, engines[0], 1)
				engines[0].SetLimit("")
				f.sendLoad(3, 40, 4*time.Second, uniquePrompt)
				before := len(engines[0].Requests())
				f.sendLoad(3, 40, 3*time.Second, uniquePrompt)
				require.Greater(t, len(engines[0].Requests())-before, 40, "a fair share of 120")
			})
		})
	}
}

// Guards against a limit that is removed or changed by a value that cannot be parsed.
func TestUnparsableLimitsAreIgnored(t *testing.T) {
	for _, text := range []string{"-1", "NaN", "Inf", "0", "many"} {
		t.Run(text, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				engines := f.startEngines(1, 2, true)
				f.startRouters(3)
				engines[0].SetLimit("1")
				f.sendLoad(3, 40, 4*time.Second, uniquePrompt)
				engines[0].SetLimit(text)
				f.sendLoad(3, 40, 8*time.Second, uniquePrompt)
				requireWithinLimit(t, engines[0], 1)
				require.Contains(t, f.log.String(), `"event":"upstream_limit_unreadable"`)
				require.LessOrEqual(t, strings.Count(f.log.String(), "upstream_limit_unreadable"), 3, "one line for each router")
			})
		})
	}
}

// Guards against less urgent requests that use up the limits of engines while urgent ones are refused.
func TestUrgentRequestsHavePriorityWithinLimits(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.template = strings.Replace(configTemplate, `"priority":1,"prepaid"`, `"prepaid"`, 1) // the priorities of the routes apply
		f.putConfig(0, "k1")
		engines := f.startEngines(1, 2, true)
		f.startRouters(3)
		for _, e := range engines {
			e.SetLimit("3")
		}
		f.sendLoad(3, 40, 4*time.Second, uniquePrompt) // until all routers have the limits
		var wg sync.WaitGroup
		var urgent, other statusCounts
		wg.Go(func() { urgent = f.sendLoad(3, 6, 15*time.Second, uniquePrompt) })
		wg.Go(func() {
			other = f.sendLoad(3, 20, 15*time.Second, func(id string, vm int) request {
				req := uniquePrompt("o"+id, vm)
				req.path = "/review/x"
				return req
			})
		})
		wg.Wait()
		served := func(o statusCounts) float64 { return float64(o[200]) / float64(o[200]+o[429]) }
		require.Greater(t, served(urgent), 0.5, "the urgent load equals the limits")
		require.Less(t, served(other), 0.2*served(urgent))
	})
}
