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
		name          string
		route         *catalog.Route
		results       []Result
		retry         bool
		countsAsRetry bool
	}{
		{"a complete answer ends the request", safe, []Result{Complete}, false, false},
		{"unsafe is not retried after it may have run", unsafe, []Result{Unknown}, false, false},
		{"unsafe is not retried after a failure", unsafe, []Result{Failed}, false, false},
		{"unsafe is retried after a proof that it did not run", unsafe, []Result{Declined}, true, true},
		{"another attempt after an unreached upstream is no retry", unsafe, []Result{Unreached}, true, false},
		{"an unreached upstream does not use up the permission to retry", review, []Result{Broken, Unreached}, true, false},
		{"unsafe is not retried after a decline and a run", unsafe, []Result{Declined, Unknown}, false, false},
		{"safe is retried once", safe, []Result{Failed}, true, true},
		{"safe is retried once only", safe, []Result{Failed, Unknown}, false, false},
		{"a stream that is not resumable ends", chat, []Result{Broken}, false, false},
		{"a resumable stream is retried", review, []Result{Broken}, true, true},
		{"a caller that disconnected ends the request", review, []Result{CallerGone}, false, false},
		{"declined by as many upstreams as may be tried", safe, []Result{Declined, Declined, Declined, Declined}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := decideRetry(requestOn(c.route), attempts(c.results...), start)
			require.Equal(t, retryDecision{retry: c.retry, countsAsRetry: c.countsAsRetry}, v)
			require.False(t, decideRetry(requestOn(c.route), attempts(c.results...), start.Add(time.Second)).retry, "the deadline has passed")
		})
	}
}

// A request that must not run twice is never sent again after it may have run, and no refusal
// states that a request did not run when it may have.
func TestAtMostAllowedRunsAndAccurateRefusals(t *testing.T) {
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
			v := decideRetry(r, at, start)
			if ran > 0 && !route.Idempotent() {
				require.False(t, v.retry)
			}
			if ran >= route.MaxRuns {
				require.False(t, v.retry)
			}
			refused := refusalFor(r, at, start)
			if ran > 0 {
				require.False(t, refused.Kind.Answer().NotRun, "%v: %s", results[:i+1], refused.Kind)
			}
			require.LessOrEqual(t, chargedTokens(r, at), r.MaxTokens())
			if ran == 0 {
				require.Zero(t, chargedTokens(r, at))
			}
		}
	})
}

// Guards against a charge that leaves out a run of a request, or counts its prompt for each.
func TestChargeCoversAllRuns(t *testing.T) {
	ran, declined := Attempt{Result: Broken, Began: true, Output: 4}, Attempt{Result: Declined}
	left := Attempt{Result: CallerGone, Began: true, Output: 3}
	for _, c := range []struct {
		attempts []Attempt
		want     int64
	}{{[]Attempt{ran, left}, 107}, {[]Attempt{left}, 103}, {[]Attempt{declined, left}, 103}, {[]Attempt{ran, declined}, 104},
		{[]Attempt{declined, declined}, 0}, {[]Attempt{ran, ran, left}, 110}} {
		require.Equal(t, c.want, chargedTokens(requestOn(chat), c.attempts), "%v", c.attempts)
	}
}

// Guards against passing on the failure of an earlier run when a later run may have continued: the
// caller needs the outcome of the later one.
func TestFailureThenUnknownOutcome(t *testing.T) {
	at := attempts(Failed, Unknown)
	at[0].Answer = &Answer{Status: 500}
	require.Nil(t, failureAnswer(at))
	at = attempts(Failed, Declined)
	at[0].Answer = &Answer{Status: 500}
	require.Equal(t, 500, failureAnswer(at).Status)
	require.Equal(t, contract.OutcomeUnknown, refusalFor(requestOn(safe), attempts(Failed, Unknown), start).Kind)
}

// Guards against a recalled request that is not sent again because an upstream had crashed under it before, and against
// one that runs on more upstreams than its route allows.
func TestRecalledRequestKeepsTheRunOfACrash(t *testing.T) {
	crashed, broken := Attempt{Result: Unknown, Crashed: true}, Attempt{Result: Unknown}
	recalled := Attempt{Result: Unknown, Recalled: true, RetryPermitted: true}
	for name, c := range map[string]struct {
		route    *catalog.Route
		attempts []Attempt
		want     retryDecision
	}{
		"recalled":                          {review, []Attempt{recalled}, retryDecision{retry: true}},
		"after a crash":                     {review, []Attempt{crashed, recalled}, retryDecision{retry: true}},
		"after a crash, and unreached":      {review, []Attempt{crashed, recalled, {Result: Unreached}}, retryDecision{retry: true}},
		"after a break without a crash":     {review, []Attempt{broken, recalled}, retryDecision{}},
		"recalled twice":                    {review, []Attempt{recalled, recalled}, retryDecision{}},
		"two crashes without a recall":      {review, []Attempt{crashed, crashed}, retryDecision{}},
		"a request that must not run again": {chat, []Attempt{recalled}, retryDecision{}},
	} {
		require.Equal(t, c.want, decideRetry(requestOn(c.route), c.attempts, start), name)
		last := c.attempts[len(c.attempts)-1]
		if last.Recalled {
			require.Equal(t, c.want.retry, isRepeatable(requestOn(c.route), c.attempts[:len(c.attempts)-1], start), name)
		}
	}
}
