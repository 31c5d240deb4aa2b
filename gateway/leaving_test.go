package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// drainTime is the time after which an upstream that leaves must get nothing more.
const drainTime = 2 * time.Second

// signedBy returns the upstream that signed a response, "" if none did.
func signedBy(r response) string {
	const prefix = "signature-of-"
	if s := r.header.Get(standin.HeaderSignature); len(s) > len(prefix) {
		return s[len(prefix):]
	}
	return ""
}

// sendUntil sends requests until an upstream has got one more, and returns the response to that.
func (f *fleet) sendUntil(u *standin.Upstream, req func(id string) request) response {
	const maxRequests = 200
	before := len(u.Requests())
	for n := range maxRequests {
		if resp := f.send(req(fmt.Sprint("until-", n))); len(u.Requests()) > before {
			return resp
		}
	}
	require.Fail(f.t, "the upstream got no request")
	return response{}
}

// leavingAnswers are the answers that say that their upstream leaves.
var leavingAnswers = []struct {
	name string
	mode standin.Mode
	req  func(id string) request
}{
	{"success", standin.Serve, level},
	{"failure", standin.Fail, alert},
	{"declined", standin.Decline, alert},
	{"503 without proof that it did not run", standin.Full, alert},
	{"truncated", standin.Truncate, alert},
	{"stream", standin.Serve, review},
}

// afterLeaving are what may happen after such an answer.
var afterLeaving = []struct {
	name string
	then func(f *fleet, id, service string)
}{
	{"nothing", func(*fleet, string, string) {}},
	{"the store is silent", func(f *fleet, _, _ string) { f.store.SetUnresponsive(true) }},
	{"its entry is written again", func(f *fleet, id, service string) { f.register(id, service, "ready") }},
	{"its entry is gone and returns", func(f *fleet, id, service string) {
		require.NoError(f.t, f.store.Unregister(id))
		f.settle()
		f.register(id, service, "ready")
	}},
	{"its entry is gone for long and returns", func(f *fleet, id, service string) {
		require.NoError(f.t, f.store.Unregister(id))
		time.Sleep(time.Minute)
		f.register(id, service, "ready")
	}},
	{"the configuration changes", func(f *fleet, _, _ string) { f.putConfig(0, "k1") }},
	{"the settings are loaded again", func(f *fleet, _, _ string) { f.gateways[1].gateway.Reload(f.settings(1)) }},
	{"its answers no longer say so", func(f *fleet, id, _ string) { f.upstreams[id].SetLeaving(false) }},
}

// Guards against requests that reach an upstream after one of its answers has told this router that it leaves: the
// store may say so many seconds later, or never.
func TestUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, answer := range leavingAnswers {
		for _, after := range afterLeaving {
			t.Run(answer.name+"/"+after.name, func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					service, events := "plain", 0
					if answer.name == "stream" {
						service, events = "model", 100
					}
					for n := 1; n <= 3; n++ {
						f.upstream(fmt.Sprint("i-", n), service, events)
					}
					f.start()
					leaving := f.upstreams["i-2"]
					if answer.name == "stream" {
						leaving = f.upstreams[signedBy(f.send(answer.req("first")))]
					}
					leaving.SetLeaving(true)
					leaving.SetMode(answer.mode)
					f.sendUntil(leaving, answer.req)
					leaving.SetMode(standin.Serve)
					after.then(f, leaving.ID, service)
					time.Sleep(drainTime)
					received := len(leaving.Requests())
					for n := range 30 {
						f.send(answer.req(fmt.Sprint("after-", n)))
					}
					require.Equal(t, received, len(leaving.Requests()))
				})
			})
		}
	}
}

// Guards against a stream whose upstream says that it leaves, and that lasts for longer than the time after which it
// must get nothing more: its head says so, not its end.
func TestLeavingIsKnownFromTheHeadOfAStream(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "model", 500) // five seconds
		f.upstream("i-2", "model", 500)
		f.start()
		leaving := f.upstreams[signedBy(f.send(review("first")))]
		leaving.SetLeaving(true)
		done := make(chan response, 1)
		go func() { done <- f.send(review("long")) }()
		time.Sleep(drainTime + 500*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req := review("meanwhile")
		req.ctx = ctx
		f.send(req)
		long := <-done
		require.Zero(t, leaving.Runs("meanwhile"))
		require.False(t, long.truncated, "the stream that runs there goes on to its end")
	})
}

// Guards against a request that is sent to a leaving upstream because no other one is left: it must be refused at once.
func TestLastUpstreamLeaves(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		u.SetLeaving(true)
		require.Equal(t, http.StatusOK, f.send(alert("before")).status)
		time.Sleep(drainTime)
		resp := f.send(alert("after"))
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
		require.Less(t, resp.elapsed, 100*time.Millisecond)
		require.Len(t, u.Requests(), 1)
	})
}

// Guards against an upstream that is left idle because its previous incarnation, or another process at its address,
// said that it leaves.
func TestLeavingIsOfOneIncarnation(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		require.NoError(t, f.store.RegisterWithStart("i-1", "plain", upstreamAddress("i-1"), "bergen", "ready", 6, 1))
		f.start()
		u.SetLeaving(true)
		require.Equal(t, http.StatusOK, f.send(alert("before")).status)
		u.SetLeaving(false)
		require.NoError(t, f.store.RegisterWithStart("i-1", "plain", upstreamAddress("i-1"), "bergen", "ready", 6, 2))
		time.Sleep(drainTime)
		require.Equal(t, http.StatusOK, f.send(alert("after")).status)

		other := &standin.Upstream{ID: "i-9"}
		other.SetLeaving(true)
		f.serve(upstreamAddress("i-2"), other)
		f.register("i-2", "plain", "ready")
		f.settle()
		for range 20 {
			require.Equal(t, http.StatusOK, f.send(alert("r")).status)
		}
		require.NotContains(t, f.log.String(), `"upstream":"i-2","id":"r","leaving":true`)
	})
}

// Guards against routers that learn only from their own answers that an engine leaves, while the store is silent: the
// lender beside the engine knows it, and replies to each announcement.
func TestLenderTellsThatItsEngineLeaves(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := map[string]*standin.Upstream{}
		for n := 1; n <= 2; n++ {
			id := fmt.Sprint("i-", n)
			engines[id] = f.upstream(id, "model", 5)
			engines[id].StartUnixMS = 1
			require.NoError(t, f.store.RegisterWithStart(id, "model", upstreamAddress(id), "bergen", "ready", 64, 1))
			f.startLender(firstLender+n, id)
		}
		f.start()
		leaving := engines[signedBy(f.send(review("first")))]
		f.store.SetUnresponsive(true)
		leaving.SetState("draining")
		time.Sleep(drainTime)
		received := len(leaving.Requests())
		for n := range 10 {
			require.Equal(t, http.StatusOK, f.send(review(fmt.Sprint("after-", n))).status)
		}
		require.Len(t, leaving.Requests(), received)
	})
}
