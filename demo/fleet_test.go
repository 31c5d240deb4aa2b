package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	settingsfleet "github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/stretchr/testify/require"
)

// testFleet is a configured local fleet for tests.
type testFleet struct {
	*demo
	t *testing.T
}

func startFleet(t *testing.T, opt Options) *testFleet {
	if opt.Datacentres == nil {
		opt.Datacentres = []string{"bergen", "alesund"}
	}
	opt.Log = io.Discard
	f, err := Start(context.Background(), opt) // t.Context ends before the graceful stop
	require.NoError(t, err)
	d := &testFleet{t: t, demo: &demo{fleet: f}}
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, d.configure(context.Background()))
	return d
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the body is truncated
}

func (r response) complete() bool {
	return r.err == nil && strings.Contains(r.body, "data: [DONE]")
}

func (f *testFleet) chat(router, key string, client *http.Client) response {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":30,"messages":[{"role":"user","content":"low water %s?"}]}`, model, key)
	return f.post(router, pilots, key, openai.ChatPath, body, client)
}

func (f *testFleet) post(router, teamName, key, path, body string, client *http.Client) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.fleet.CallerAddresses[router]+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.keys[teamName])
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// ledgerTotals returns the ledger's totals without waiting for charges.
func (f *testFleet) ledgerTotals() map[string]int64 {
	totals, err := f.fleet.Ledger().Totals(context.Background(), "")
	require.NoError(f.t, err)
	return totals
}

// An engine reports more tokens than the request had reserved. The charge must not exceed
// the reservation: tokens beyond it may already be spent by another request.
func TestEngineReportsMoreThanReserved(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	opt.Overrun = 1_000_000
	f := startFleet(t, Options{Routers: 1, Engines: 1, Engine: opt})
	got := f.chat("bergen-router-1", "over", http.DefaultClient)
	require.True(t, got.complete(), got.body)
	total, err := f.waitForCharges(t.Context(), map[string]int64{pilotsBudget: 1})
	require.NoError(t, err)
	require.Positive(t, total[pilotsBudget])
	require.Less(t, total[pilotsBudget], int64(1000))
	a, err := f.fleet.Accounts().Get(t.Context(), pilotsBudget)
	require.NoError(t, err)
	require.LessOrEqual(t, total[pilotsBudget], a.Settled()+a.Outstanding())
}

// An agent and then a router are stopped gracefully while they stream. No response may be
// truncated, and later requests must go to other processes at once.
func TestPlannedStopInterruptsNoStream(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	opt.Step = 2 * time.Millisecond
	f := startFleet(t, Options{Routers: 1, Engines: 2, Engine: opt})
	for _, stopped := range []string{"alesund-engine-1", "alesund-router-1"} {
		var wg sync.WaitGroup
		responses := make([]response, 24)
		started := make(chan struct{}, len(responses))
		for i := range responses {
			wg.Go(func() {
				client := &http.Client{Transport: &notifyTransport{started: started}}
				responses[i] = f.chat([]string{"bergen-router-1", "alesund-router-1"}[i%2], fmt.Sprint(stopped, i), client)
			})
		}
		for range responses {
			<-started // the response headers, or a refusal, have arrived
		}
		f.fleet.StopOne(stopped)
		wg.Wait()
		for i, a := range responses {
			require.True(t, a.complete(), "%s: response %d: %d %v %s", stopped, i, a.status, a.err, a.body)
		}
		after := f.chat("bergen-router-1", stopped+"after", http.DefaultClient)
		require.True(t, after.complete(), "%d %s", after.status, after.body)
	}
}

// Guards against a request whose body ends after the notice of a planned stop and that is passed on, although it may last
// longer than the router: it would be cut without an answer.
func TestBodyThatEndsLateInAPlannedStop(t *testing.T) {
	const longStop = 5 * time.Second // shorter than the services' timeouts
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions(),
		Tune: func(s *settings.Settings) { s.StopTimeout = settingsfleet.Duration(longStop) }})
	body, rest := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.fleet.CallerAddresses["bergen-router-1"]+openai.ChatPath, body)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+f.keys[pilots])
	late := make(chan response, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			late <- response{err: err}
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		late <- response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
	}()
	text := fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"user","content":"low water?"}]}`, model)
	_, err = io.WriteString(rest, text[:20]) // returns once the request's head is on its way
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, f.post("bergen-router-1", pilots, "before", openai.ChatPath, text, http.DefaultClient).status)
	stopped := make(chan struct{})
	go func() { defer close(stopped); f.fleet.StopOne("bergen-router-1") }()
	for n := 0; ; n++ {
		a := f.post("bergen-router-1", pilots, fmt.Sprint("during-", n), openai.ChatPath, text, http.DefaultClient)
		require.NoError(t, a.err)
		if a.status == http.StatusServiceUnavailable {
			break
		}
	}
	served := f.fleet.Engines[0].Served().Requests
	_, err = io.WriteString(rest, text[20:])
	require.NoError(t, err)
	require.NoError(t, rest.Close())
	a := <-late
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	require.Contains(t, a.body, `"kind":"stopping"`)
	require.Contains(t, a.body, `"not_run":true`)
	require.Equal(t, served, f.fleet.Engines[0].Served().Requests)
	<-stopped
}

// notifyTransport signals when the response headers have arrived or the request failed.
type notifyTransport struct{ started chan<- struct{} }

// RoundTrip implements http.RoundTripper.
func (t *notifyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	t.started <- struct{}{}
	return resp, err
}

// An agent is stopped while the platform's list still shows it as live. It refuses
// requests itself, and callers must see no errors.
func TestStoppedAgentGetsNoRequests(t *testing.T) {
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 2, Engine: standin.DefaultEngineOptions()})
	f.fleet.StopOne("bergen-engine-1")
	before := f.fleet.Engines[0].Served().Requests
	for i := range 10 {
		a := f.chat("bergen-router-1", fmt.Sprint(i), http.DefaultClient)
		require.True(t, a.complete(), "%d %s", a.status, a.body)
	}
	require.Equal(t, before, f.fleet.Engines[0].Served().Requests)
}

// The list contains only an agent without a listener. A request that reached no agent was
// not run, and the response must say so at once.
func TestUnreachableAgents(t *testing.T) {
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	f.fleet.StopOne("bergen-engine-1")
	a := f.chat("bergen-router-1", "none", http.DefaultClient)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Contains(t, a.body, `"kind":"no_upstream"`)
	require.Contains(t, a.body, `"not_run":true`)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// Guards against an engine's refusal that is passed on although another engine has room.
func TestRequestThatAnEngineRefusesGoesToAnother(t *testing.T) {
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 2, Engine: standin.DefaultEngineOptions()})
	f.fleet.Engines[0].Refuse(1000)
	for i := range 10 {
		a := f.chat("bergen-router-1", fmt.Sprint("one-refuses-", i), http.DefaultClient)
		require.True(t, a.complete(), "%d %s", a.status, a.body)
	}
	f.fleet.Engines[1].Refuse(1000)
	for i := range 3 { // on connections that carried a request before
		f.chat("bergen-router-1", fmt.Sprint("both-refuse-", i), http.DefaultClient)
	}
	a := f.chat("bergen-router-1", "both-refuse", http.DefaultClient)
	require.Equal(t, http.StatusTooManyRequests, a.status, a.body)
	require.Contains(t, a.body, `"not_run":true`)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// Guards against a refusal that counts as a proof that a request did not run although it may be the copy of an earlier answer
// on the same connection.
func TestRefusalOnAUsedConnectionProvesNothing(t *testing.T) {
	for name, refuse := range map[string]func(e *standin.Engine, n int){"with a body": (*standin.Engine).Refuse, "without": (*standin.Engine).RefuseWithoutBody} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
			send := func(key string) response {
				body := fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"user","content":"low water?"}]}`, model)
				return f.post("bergen-router-1", pilots, key, openai.ChatPath, body, http.DefaultClient)
			}
			require.Equal(t, http.StatusOK, send("first").status)
			refuse(f.fleet.Engines[0], 1000)
			a := send("used-connection")
			require.Equal(t, http.StatusBadGateway, a.status, a.body)
			require.Contains(t, a.body, `"not_run":false`)
			for n := range 3 { // a refusal never leaves its connection to the next request
				a = send(fmt.Sprint("new-connection-", n))
				require.Equal(t, http.StatusTooManyRequests, a.status, a.body)
				require.Contains(t, a.body, `"not_run":true`)
			}
		})
	}
}

// The upstream executes a call and then breaks the keep-alive connection of an earlier
// call. net/http by default retries a request with an idempotency key on such a failure,
// and the call would be executed twice.
func TestBrokenKeepAliveConnectionIsNotRetried(t *testing.T) {
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	path := "/services/" + Orders + "/refund"
	for _, body := range []string{"", `{"refund":1}`} {
		require.Equal(t, http.StatusOK, f.post("bergen-router-1", conventions, "warm"+body[:0]+fmt.Sprint(len(body)), path, body, http.DefaultClient).status)
		f.fleet.Service.SetFault(standin.ServiceFault{BreakAfterEffect: 1})
		key := fmt.Sprint("refund-", len(body))
		first := f.post("bergen-router-1", conventions, key, path, body, http.DefaultClient)
		require.Equal(t, http.StatusBadGateway, first.status)
		require.Contains(t, first.body, `"not_run":false`)
		second := f.post("bergen-router-1", conventions, key, path, body, http.DefaultClient)
		require.Contains(t, second.body, `"kind":"outcome_unknown"`)
		require.Equal(t, int64(1), f.fleet.Service.Effects()[key])
	}
}

// An upstream returns an error after it has executed a call. The retry must get the same
// error without a second execution.
func TestErrorAfterEffectIsReplayed(t *testing.T) {
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	f.fleet.Service.SetFault(standin.ServiceFault{ErrorAfterEffect: 1})
	for range 2 {
		a := f.post("bergen-router-1", conventions, "ruling-1", "/services/"+Orders+"/ruling", "{}", http.DefaultClient)
		require.Equal(t, http.StatusInternalServerError, a.status)
		require.Contains(t, a.body, "failed after its effect")
	}
	require.Equal(t, int64(1), f.fleet.Service.Effects()["ruling-1"])
}

// Two clients send the same idempotency key concurrently through two routers. The call must
// run once; the other client is informed that it has already started.
func TestSameKeyThroughTwoRouters(t *testing.T) {
	f := startFleet(t, Options{Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	var wg sync.WaitGroup
	for i := range 10 {
		for _, router := range []string{"bergen-router-1", "alesund-router-1"} {
			wg.Go(func() {
				f.post(router, conventions, fmt.Sprint("key-", i), "/services/"+Orders+"/x", "{}", http.DefaultClient)
			})
		}
	}
	wg.Wait()
	for key, n := range f.fleet.Service.Effects() {
		require.Equal(t, int64(1), n, key)
	}
}

// The caller disconnects in the middle of a stream. The tokens it received must be billed
// once, and the rest of its reservation must be released.
func TestCallerDisconnects(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	f := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: opt,
		Tune: func(s *settings.Settings) { s.Log.Level = "error" }})
	ctx, cancel := context.WithCancel(t.Context())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"gone"}]}`, model)
	resp, err := f.call(ctx, "bergen-router-1", pilots, "gone", openai.ChatPath, body)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	f.fleet.StopOne("bergen-engine-1") // waits until the router has received the outcome
	f.fleet.StopOne("bergen-router-1")
	a, err := f.fleet.Accounts().Get(context.Background(), pilotsBudget)
	require.NoError(t, err)
	require.Zero(t, a.Outstanding())
	require.Equal(t, f.ledgerTotals()[pilotsBudget], a.Settled())
}
