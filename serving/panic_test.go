package serving

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/stretchr/testify/require"
)

// panickingFleet has two upstreams, of which the first one's answer panics. It counts what is reserved and released.
type panickingFleet struct {
	picked, done, settled, logged int
	used                          int64
}

func (f *panickingFleet) Pick(_ *Request, attempts []Attempt) (Target, bool) {
	f.picked++
	return Target{Event: func(time.Time) {}, Done: func(a Attempt) Attempt { f.done++; return a }}, len(attempts) < 2
}

func (f *panickingFleet) Limited(*Request, []Attempt) *contract.Refusal { return nil }

func (f *panickingFleet) RetryAfter(*Request) (time.Duration, bool) { return 0, false }

func (f *panickingFleet) Send(_ context.Context, _ *Request, _ Target, out Caller) Attempt {
	status := 0 // net/http panics
	if f.picked > 1 {
		status = http.StatusOK
	}
	_ = out.Begin(status, http.Header{"Signature": {"s"}}) // never fails
	return Attempt{Result: Complete, Began: true}
}

func (f *panickingFleet) Reserve(context.Context, *Request) (func(int64), *contract.Refusal) {
	return func(used int64) { f.settled, f.used = f.settled+1, used }, nil
}

func (f *panickingFleet) Request(string) {}

func (f *panickingFleet) Allow(*Request) bool { return true }

// Guards against a panic during an attempt that keeps the request's tokens and its place at the upstream, and leaves the caller without an
// answer or with the upstream's headers.
func TestPanicDuringAnAttemptReleasesWhatTheRequestHeld(t *testing.T) {
	for _, retried := range []bool{false, true} {
		f := &panickingFleet{}
		d := Dispatcher{Upstreams: f, Budgets: f, RetryBudget: f, Now: func() time.Time { return start },
			Panicked: func(_ *Request, _ Target, value, stack string) {
				f.logged++
				require.Contains(t, value, "invalid WriteHeader code 0")
				require.Contains(t, stack, "Send")
			}}
		r := requestOn(unsafe)
		if retried {
			r = requestOn(safe)
		}
		r.Deadline = time.Now().Add(time.Hour)
		w := httptest.NewRecorder()
		out := NewHTTPCaller(w, time.Second, false)
		o := d.Serve(t.Context(), r, out)
		require.Equal(t, 1, f.logged)
		require.Equal(t, 1, f.settled)
		require.Equal(t, retried, out.Began())
		if retried {
			require.Nil(t, o.Refusal)
			require.Equal(t, []int{2, http.StatusOK}, []int{f.done, w.Code})
			continue
		}
		require.Equal(t, contract.OutcomeUnknown, o.Refusal.Kind)
		require.EqualValues(t, 110, f.used, "it may have run")
		require.Equal(t, 1, f.done)
		require.NotContains(t, w.Header(), "Signature")
	}
}
