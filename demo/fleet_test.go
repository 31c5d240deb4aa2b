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

	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/stretchr/testify/require"
)

// testFleet is a local fleet with the demo's configuration.
type testFleet struct {
	*demo
	t *testing.T
}

func startFleet(t *testing.T, opt Options) *testFleet {
	if opt.Datacentres == nil {
		opt.Datacentres = []string{"bergen", "alesund"}
	}
	opt.Log = io.Discard
	f, err := Start(context.Background(), opt) // t.Context ends before the planned stop
	require.NoError(t, err)
	d := &testFleet{t: t, demo: &demo{f: f}}
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, d.configure(context.Background()))
	return d
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body ended early
}

func (a answer) whole() bool {
	return a.err == nil && strings.Contains(a.body, "data: [DONE]")
}

func (d *testFleet) question(router, key string, client *http.Client) answer {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":30,"messages":[{"role":"user","content":"low water %s?"}]}`, model, key)
	return d.send(router, pilots, key, openai.ChatPath, body, client)
}

func (d *testFleet) send(router, teamName, key, path, body string, client *http.Client) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.f.Callers[router]+path, strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+d.keys[teamName])
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// billed waits until all processes have stopped and returns the bill.
func (d *testFleet) billed() map[string]int64 {
	totals, err := d.f.Ledger().Totals(context.Background(), "")
	require.NoError(d.t, err)
	return totals
}

// An engine reports more tokens than the request had reserved. The bill must end at
// the reservation: what lies beyond it may be spent by somebody else already.
func TestEngineReportsMoreThanReserved(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	opt.Overrun = 1_000_000
	d := startFleet(t, Options{Routers: 1, Engines: 1, Engine: opt})
	got := d.question("bergen-router-1", "over", http.DefaultClient)
	require.True(t, got.whole(), got.body)
	total, err := d.settledBill(t.Context(), map[string]int64{pilotsBudget: 1})
	require.NoError(t, err)
	require.Positive(t, total[pilotsBudget])
	require.Less(t, total[pilotsBudget], int64(1000))
	a, err := d.f.Book().Get(t.Context(), pilotsBudget)
	require.NoError(t, err)
	require.LessOrEqual(t, total[pilotsBudget], a.Settled()+a.Outstanding())
}

// A router and then an agent are stopped as planned while they stream. No caller may
// find its answer cut, and what is asked afterwards goes to others at once.
func TestPlannedStopCutsNothing(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	opt.Step = 2 * time.Millisecond
	d := startFleet(t, Options{Routers: 1, Engines: 2, Engine: opt})
	for _, leaving := range []string{"alesund-engine-1", "alesund-router-1"} {
		var wg sync.WaitGroup
		answers := make([]answer, 24)
		started := make(chan struct{}, len(answers))
		for i := range answers {
			wg.Go(func() {
				client := &http.Client{Transport: &announce{started: started}}
				answers[i] = d.question([]string{"bergen-router-1", "alesund-router-1"}[i%2], fmt.Sprint(leaving, i), client)
			})
		}
		for range answers {
			<-started // the head of each answer, or a refusal, is there
		}
		d.f.StopOne(leaving)
		wg.Wait()
		for i, a := range answers {
			require.True(t, a.whole(), "%s: answer %d: %d %v %s", leaving, i, a.status, a.err, a.body)
		}
		after := d.question("bergen-router-1", leaving+"after", http.DefaultClient)
		require.True(t, after.whole(), "%d %s", after.status, after.body)
	}
}

// announce says when an answer has begun.
type announce struct{ started chan<- struct{} }

// RoundTrip implements http.RoundTripper.
func (a *announce) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	a.started <- struct{}{}
	return resp, err
}

// An agent is leaving while the platform's list still calls it live. It refuses by
// itself, and callers notice nothing.
func TestLeavingAgentIsLeftAtOnce(t *testing.T) {
	d := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 2, Engine: standin.DefaultEngineOptions()})
	d.f.StopOne("bergen-engine-1")
	before := d.f.Engines[0].Served().Requests
	for i := range 10 {
		a := d.question("bergen-router-1", fmt.Sprint(i), http.DefaultClient)
		require.True(t, a.whole(), "%d %s", a.status, a.body)
	}
	require.Equal(t, before, d.f.Engines[0].Served().Requests)
}

// The list names agents that are gone: nothing listens there. A request that reached
// none of them was not run, and its caller must be told so, at once.
func TestAgentsThatAreGone(t *testing.T) {
	d := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	d.f.StopOne("bergen-engine-1")
	a := d.question("bergen-router-1", "none", http.DefaultClient)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Contains(t, a.body, `"kind":"no_upstream"`)
	require.Contains(t, a.body, `"not_run":true`)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// The upstream has its effect and breaks the connection, which it had kept open from
// an earlier call. net/http would send a request that carries an idempotency key
// again by itself; the order would be placed twice.
func TestBrokenKeptConnectionRunsNothingTwice(t *testing.T) {
	d := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	path := "/services/" + Orders + "/refund"
	for _, body := range []string{"", `{"refund":1}`} {
		require.Equal(t, http.StatusOK, d.send("bergen-router-1", conventions, "warm"+body[:0]+fmt.Sprint(len(body)), path, body, http.DefaultClient).status)
		d.f.Service.SetFault(standin.ServiceFault{BreakAfterEffect: 1})
		key := fmt.Sprint("refund-", len(body))
		first := d.send("bergen-router-1", conventions, key, path, body, http.DefaultClient)
		require.Equal(t, http.StatusBadGateway, first.status)
		require.Contains(t, first.body, `"not_run":false`)
		second := d.send("bergen-router-1", conventions, key, path, body, http.DefaultClient)
		require.Contains(t, second.body, `"kind":"outcome_unknown"`)
		require.Equal(t, int64(1), d.f.Service.Effects()[key])
	}
}

// An upstream answers an error after its effect. The retry must get that same error
// and not a second run.
func TestErrorAfterEffectIsReplayed(t *testing.T) {
	d := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	d.f.Service.SetFault(standin.ServiceFault{ErrorAfterEffect: 1})
	for range 2 {
		a := d.send("bergen-router-1", conventions, "ruling-1", "/services/"+Orders+"/ruling", "{}", http.DefaultClient)
		require.Equal(t, http.StatusInternalServerError, a.status)
		require.Contains(t, a.body, "failed after its effect")
	}
	require.Equal(t, int64(1), d.f.Service.Effects()["ruling-1"])
}

// Two clients send one key at the same moment through two routers. The call must run
// once; the other client learns that it was started.
func TestSameKeyThroughTwoRouters(t *testing.T) {
	d := startFleet(t, Options{Routers: 1, Engines: 1, Engine: standin.DefaultEngineOptions()})
	var wg sync.WaitGroup
	for i := range 10 {
		for _, router := range []string{"bergen-router-1", "alesund-router-1"} {
			wg.Go(func() {
				d.send(router, conventions, fmt.Sprint("key-", i), "/services/"+Orders+"/x", "{}", http.DefaultClient)
			})
		}
	}
	wg.Wait()
	for key, n := range d.f.Service.Effects() {
		require.Equal(t, int64(1), n, key)
	}
}

// The caller goes away in the middle of a stream. What it got is billed once, and the
// rest of its reservation is available again.
func TestCallerGoesAway(t *testing.T) {
	opt := standin.DefaultEngineOptions()
	d := startFleet(t, Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1, Engine: opt,
		Tune: func(s *settings.Settings) { s.Log.Level = "error" }})
	ctx, cancel := context.WithCancel(t.Context())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"gone"}]}`, model)
	resp, err := d.call(ctx, "bergen-router-1", pilots, "gone", openai.ChatPath, body)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	d.f.StopOne("bergen-engine-1") // waits until the router has the outcome
	d.f.StopOne("bergen-router-1")
	a, err := d.f.Book().Get(context.Background(), pilotsBudget)
	require.NoError(t, err)
	require.Zero(t, a.Outstanding())
	require.Equal(t, d.billed()[pilotsBudget], a.Settled())
}
