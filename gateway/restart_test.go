package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// replaceableUpstream serves an address at which one upstream process replaces another.
type replaceableUpstream struct {
	current atomic.Pointer[standin.Upstream]
}

func newReplaceableUpstream(u *standin.Upstream) *replaceableUpstream {
	r := &replaceableUpstream{}
	r.current.Store(u)
	return r
}

// ServeHTTP implements http.Handler.
func (r *replaceableUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.current.Load().ServeHTTP(w, req)
}

// Guards against an upstream that is avoided after a restart. It crashes, another process answers
// at its address for a moment, and it restarts with the same ID and address within the lease of
// its entry. It must get requests within a second of its new entry; failures of its previous
// incarnation must not count.
func TestUpstreamRestartsUnderItsID(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		first := &standin.Upstream{ID: "i-1", StartUnixMS: 1}
		at := newReplaceableUpstream(first)
		f.serve(upstreamAddress("i-1"), at)
		register := func(startUnixMS int64) {
			require.NoError(t, f.store.RegisterWithStart("i-1", "plain", upstreamAddress("i-1"), "bergen", "ready", 6, startUnixMS))
		}
		register(1)
		f.start()
		require.Equal(t, 200, f.send(alert("before")).status)
		at.current.Store(&standin.Upstream{ID: "i-9"})
		require.NotEqual(t, 200, f.send(alert("meanwhile")).status)
		restarted := &standin.Upstream{ID: "i-1", StartUnixMS: 2}
		at.current.Store(restarted)
		register(2)
		time.Sleep(time.Second)
		for range 5 {
			require.Equal(t, 200, f.send(alert("after")).status)
		}
		require.Equal(t, []string{"after"}, restarted.IDs())
	})
}

// Guards against a second run of a request that must not run twice, when an upstream crashes
// before its answer and restarts with the same ID at once. The caller must get an unknown outcome:
// that the new incarnation has no record of the request does not prove that it never ran.
func TestUnsafeRequestOfThePreviousIncarnation(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		first := &standin.Upstream{ID: "i-1", StartUnixMS: 1}
		first.SetMode(standin.LoseAnswer)
		at := newReplaceableUpstream(first)
		f.serve(upstreamAddress("i-1"), at)
		require.NoError(t, f.store.RegisterWithStart("i-1", "plain", upstreamAddress("i-1"), "bergen", "ready", 6, 1))
		f.start()
		restarted := &standin.Upstream{ID: "i-1", StartUnixMS: 2}
		done := make(chan int)
		go func() { done <- f.send(alert("once")).status }()
		time.Sleep(time.Millisecond)
		at.current.Store(restarted)
		require.NoError(t, f.store.RegisterWithStart("i-1", "plain", upstreamAddress("i-1"), "bergen", "ready", 6, 2))
		require.Equal(t, http.StatusBadGateway, <-done)
		require.Equal(t, 1, first.Runs("once")+restarted.Runs("once"))
	})
}

// Guards against failures when another writer overwrites the entry of one of two upstreams with
// invalid bytes while requests arrive. All requests must be served by the other one, and the first
// must get requests again as soon as its entry is valid.
func TestAnotherWriterCorruptsAnEntry(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		corrupted := f.upstream("i-1", "plain", 0)
		other := f.upstream("i-2", "plain", 0)
		f.start()
		require.NoError(t, f.store.CorruptEntry("i-1", []byte("\xff not a document")))
		time.Sleep(time.Second)
		seen := len(corrupted.Requests())
		for range 20 {
			require.Equal(t, 200, f.send(alert("r")).status)
		}
		require.Len(t, corrupted.Requests(), seen)
		require.Len(t, other.Requests(), 20)
		f.register("i-1", "plain", "ready")
		time.Sleep(time.Second)
		for range 20 {
			require.Equal(t, 200, f.send(alert("r")).status)
		}
		require.Greater(t, len(corrupted.Requests()), seen)
	})
}
