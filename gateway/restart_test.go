package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// replaceable is an address where one upstream process follows another.
type replaceable struct {
	now atomic.Pointer[standin.Upstream]
}

func replaceableBy(u *standin.Upstream) *replaceable {
	r := &replaceable{}
	r.now.Store(u)
	return r
}

// ServeHTTP implements http.Handler.
func (r *replaceable) ServeHTTP(w http.ResponseWriter, q *http.Request) { r.now.Load().ServeHTTP(w, q) }

// An upstream crashes, and another process answers at its address for a moment. Then it starts
// again under its id and address, within the lease of its entry. It gets requests again within
// a second of its new entry; those of the life before it are not held against it.
func TestUpstreamRestartsUnderItsID(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		first := &standin.Upstream{ID: "i-1", Born: 1}
		at := replaceableBy(first)
		f.serve(addressOf("i-1"), at)
		register := func(born int64) {
			require.NoError(t, f.store.RegisterBorn("i-1", "plain", addressOf("i-1"), "bergen", "ready", 6, born))
		}
		register(1)
		f.start()
		require.Equal(t, 200, f.ask(alert("before")).status)
		at.now.Store(&standin.Upstream{ID: "i-9"})
		require.NotEqual(t, 200, f.ask(alert("meanwhile")).status)
		again := &standin.Upstream{ID: "i-1", Born: 2}
		at.now.Store(again)
		register(2)
		time.Sleep(time.Second)
		for range 5 {
			require.Equal(t, 200, f.ask(alert("after")).status)
		}
		require.Equal(t, []string{"after"}, again.IDs())
	})
}

// An upstream runs a request that must not run twice, crashes before its answer, and starts
// again under its id at once. The caller hears that nobody knows the outcome: that the new
// life knows nothing of the request proves nothing about the one before.
func TestUnsafeRequestOfTheLifeBefore(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		first := &standin.Upstream{ID: "i-1", Born: 1}
		first.SetMode(standin.LoseAnswer)
		at := replaceableBy(first)
		f.serve(addressOf("i-1"), at)
		require.NoError(t, f.store.RegisterBorn("i-1", "plain", addressOf("i-1"), "bergen", "ready", 6, 1))
		f.start()
		again := &standin.Upstream{ID: "i-1", Born: 2}
		ended := make(chan int)
		go func() { ended <- f.ask(alert("once")).status }()
		time.Sleep(time.Millisecond)
		at.now.Store(again)
		require.NoError(t, f.store.RegisterBorn("i-1", "plain", addressOf("i-1"), "bergen", "ready", 6, 2))
		require.Equal(t, http.StatusBadGateway, <-ended)
		require.Equal(t, 1, first.Runs("once")+again.Runs("once"))
	})
}

// Another writer puts bytes of its own over the entry of one of two upstreams while requests
// come. All of them are served by the other one, and the first gets requests again as soon as
// it has written its entry anew.
func TestAnotherWriterSpoilsAnEntry(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		spoiled := f.upstream("i-1", "plain", 0)
		other := f.upstream("i-2", "plain", 0)
		f.start()
		require.NoError(t, f.store.Spoil("i-1", []byte("\xff not a document")))
		time.Sleep(time.Second)
		seen := len(spoiled.Seen())
		for range 20 {
			require.Equal(t, 200, f.ask(alert("r")).status)
		}
		require.Len(t, spoiled.Seen(), seen)
		require.Len(t, other.Seen(), 20)
		f.register("i-1", "plain", "ready")
		time.Sleep(time.Second)
		for range 20 {
			require.Equal(t, 200, f.ask(alert("r")).status)
		}
		require.Greater(t, len(spoiled.Seen()), seen)
	})
}
