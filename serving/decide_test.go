package serving

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	unsafe = &catalog.Route{Kind: catalog.Unsafe, MaxRuns: 1}
	safe   = &catalog.Route{Kind: catalog.Safe, MaxRuns: 2}
	chat   = &catalog.Route{Kind: catalog.Streaming, MaxRuns: 2}
	review = &catalog.Route{Kind: catalog.Streaming, MaxRuns: 2, Resumable: true}
)

func requestOn(r *catalog.Route) *Request {
	return &Request{ID: "r", Route: r, Deadline: start.Add(time.Second), Prompt: 100, MaxOutput: 10}
}

func attempts(results ...Result) []Attempt {
	var out []Attempt
	for _, r := range results {
		out = append(out, Attempt{Result: r, Began: !r.NotRun(), Output: 10})
	}
	return out
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		route   *catalog.Route
		results []Result
		again   bool
		counted bool
	}{
		{"whole is the end", safe, []Result{Complete}, false, false},
		{"unsafe is not repeated after it may have run", unsafe, []Result{Unknown}, false, false},
		{"unsafe is not repeated after a failure", unsafe, []Result{Failed}, false, false},
		{"unsafe goes on after a proof that it did not run", unsafe, []Result{Declined}, true, true},
		{"a send that never left is no repeat", unsafe, []Result{Unreached}, true, false},
		{"not after run and decline", unsafe, []Result{Declined, Unknown}, false, false},
		{"safe is repeated once", safe, []Result{Failed}, true, true},
		{"safe is repeated once only", safe, []Result{Failed, Unknown}, false, false},
		{"a stream that may not be resumed ends", chat, []Result{Broken}, false, false},
		{"a stream that may be resumed goes on", review, []Result{Broken}, true, true},
		{"a caller that left ends it", review, []Result{CallerGone}, false, false},
		{"declined by as many as may be asked", safe, []Result{Declined, Declined, Declined, Declined}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := decide(requestOn(c.route), attempts(c.results...), start)
			require.Equal(t, verdict{again: c.again, counted: c.counted}, v)
			require.False(t, decide(requestOn(c.route), attempts(c.results...), start.Add(time.Second)).again, "time is over")
		})
	}
}

// Whatever happened, a request that must not run twice is never sent again after it may
// have run, and none is said not to have run when it may have.
func TestNeverTwiceAndTrueRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom([]*catalog.Route{unsafe, safe, chat, review}).Draw(t, "route")
		results := rapid.SliceOfN(rapid.SampledFrom([]Result{Unreached, Declined, Misdirected, Failed, Unknown, Broken,
			CallerGone, OutOfTime, Refused}), 1, 6).Draw(t, "results")
		r := requestOn(route)
		ran := 0
		for i := range results {
			at := attempts(results[:i+1]...)
			if !results[i].NotRun() {
				ran++
			}
			v := decide(r, at, start)
			if ran > 0 && !route.Idempotent() {
				require.False(t, v.again)
			}
			if ran >= route.MaxRuns {
				require.False(t, v.again)
			}
			refused := refusal(r, at, start)
			if ran > 0 {
				require.False(t, refused.Kind.Answer().NotRun, "%v: %s", results[:i+1], refused.Kind)
			}
			require.LessOrEqual(t, used(r, at), r.MaxTokens())
			if ran == 0 {
				require.Zero(t, used(r, at))
			}
		}
	})
}

// The failure of an earlier run is not passed on when a later run may have gone on: its
// outcome is what the caller would have to know.
func TestFailureThenSilence(t *testing.T) {
	at := attempts(Failed, Unknown)
	at[0].Answer = &Answer{Status: 500}
	require.Nil(t, failure(at))
	at = attempts(Failed, Declined)
	at[0].Answer = &Answer{Status: 500}
	require.Equal(t, 500, failure(at).Status)
	require.Equal(t, contract.OutcomeUnknown, refusal(requestOn(safe), attempts(Failed, Unknown), start).Kind)
}
