package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// rest is the time for which test upstreams want nothing; underWay is what may still arrive after they said so.
const (
	rest     = 3 * time.Second
	underWay = 500 * time.Millisecond
)

// askForRest makes an upstream turn one request away and ask for rest, and returns the time of that.
func (f *fleet) askForRest(u *standin.Upstream, text string, req func(id string) request) time.Time {
	u.SetRest(text)
	u.SetMode(standin.Decline)
	f.sendUntil(u, req)
	u.SetMode(standin.Serve)
	return time.Now()
}

// afterRest are what may happen after an upstream has asked for rest.
var afterRest = []struct {
	name string
	then func(f *fleet, id, service string)
}{
	{"nothing", func(*fleet, string, string) {}},
	{"the store is silent", func(f *fleet, _, _ string) { f.store.SetUnresponsive(true) }},
	{"its entry is gone and returns", func(f *fleet, id, service string) {
		require.NoError(f.t, f.store.Unregister(id))
		time.Sleep(underWay / 2)
		f.register(id, service, "ready")
	}},
	{"the configuration changes", func(f *fleet, _, _ string) { f.putConfig(0, "k1") }},
	{"the settings are loaded again", func(f *fleet, _, _ string) { f.gateways[1].gateway.Reload(f.settings(1)) }},
}

// Guards against requests that reach an upstream in the time of rest that it has asked this router for.
func TestUpstreamThatAsksForRestGetsNothing(t *testing.T) {
	for _, service := range []string{"plain", "model"} {
		for _, after := range afterRest {
			t.Run(service+"/"+after.name, func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					req, events := alert, 0
					if service == "model" {
						req, events = review, 5
					}
					for n := 1; n <= 3; n++ {
						f.upstream(fmt.Sprint("i-", n), service, events)
					}
					f.start()
					resting := f.upstreams["i-2"]
					if service == "model" {
						resting = f.upstreams[signedBy(f.send(req("first")))]
					}
					began := f.askForRest(resting, "3", req)
					after.then(f, resting.ID, service)
					for n := 0; time.Since(began) < rest-50*time.Millisecond; n++ {
						require.Equal(t, http.StatusOK, f.send(req(fmt.Sprint("meanwhile-", n))).status)
						time.Sleep(20 * time.Millisecond)
					}
					require.Zero(t, resting.Between(began.Add(underWay), began.Add(rest)))
					f.store.SetUnresponsive(false)
					time.Sleep(rest)
					f.sendUntil(resting, req)
				})
			})
		}
	}
}

// Guards against one request that asks all upstreams of a service in turn although they have asked for rest, and
// against callers that do not learn when to come back.
func TestAllUpstreamsAskForRest(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		var ups []*standin.Upstream
		for n := 1; n <= 4; n++ {
			u := f.upstream(fmt.Sprint("i-", n), "plain", 0)
			u.SetMode(standin.Decline)
			u.SetRest(strconv.Itoa(n + 2))
			ups = append(ups, u)
		}
		f.start()
		began := time.Now()
		require.Equal(t, http.StatusTooManyRequests, f.send(alert("first")).status)
		f.send(alert("second")) // may meet those that the first one did not
		received := 0
		for _, u := range ups {
			received += len(u.Requests())
		}
		time.Sleep(time.Second)
		resp := f.send(alert("later"))
		require.Equal(t, http.StatusTooManyRequests, resp.status)
		require.Less(t, resp.elapsed, 100*time.Millisecond)
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, seconds, (rest-time.Since(began)).Seconds()-0.01, "the earliest end of rest")
		require.Less(t, seconds, 2*rest.Seconds())
		for _, u := range ups {
			received -= len(u.Requests())
			u.SetMode(standin.Serve)
		}
		require.Zero(t, received)
		time.Sleep(time.Until(began.Add(rest)) + time.Second)
		require.Equal(t, http.StatusOK, f.send(alert("after")).status)
	})
}

// Guards against rest that a later answer ends or shortens: answers to requests that were under way overtake each other.
func TestRestIsOnlyExtended(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		u.Pause = 200 * time.Millisecond
		f.start()
		slow := make(chan response, 2)
		go func() { slow <- f.send(alert("answered later")) }()
		time.Sleep(50 * time.Millisecond)
		u.SetRest("0.25")
		u.SetMode(standin.Full)
		f.dialDelays.Store(upstreamAddress("i-1"), 100*time.Millisecond)
		go func() { slow <- f.send(alert("asks for less later")) }()
		time.Sleep(time.Millisecond)
		f.dialDelays.Delete(upstreamAddress("i-1"))
		u.SetMode(standin.Decline)
		u.SetRest("3")
		began := time.Now()
		require.Equal(t, http.StatusTooManyRequests, f.send(alert("declined")).status)
		u.SetRest("0.25")
		first, second := (<-slow).status, (<-slow).status
		u.SetMode(standin.Serve)
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusTooManyRequests}, []int{first, second})
		for time.Since(began) < rest-100*time.Millisecond {
			require.Equal(t, http.StatusTooManyRequests, f.send(alert("meanwhile")).status)
			time.Sleep(100 * time.Millisecond)
		}
		require.Zero(t, u.Between(began.Add(underWay), began.Add(rest)))
	})
}

// Guards against values that are no time of rest, or not in an answer that turns a request away: they must not hold an
// upstream back, and be logged.
func TestRestThatCannotBeRead(t *testing.T) {
	for _, text := range []string{"Wed, 21 Oct 2026 07:28:00 GMT", "-3", "soon", "0", "1e9"} {
		t.Run(text, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.upstream("i-1", "plain", 0)
				f.start()
				f.askForRest(f.upstreams["i-1"], text, alert)
				require.Equal(t, http.StatusOK, f.send(alert("after")).status)
			})
		})
	}
}
