package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against requests to upstreams of a data centre that operators drain: first attempts and
// retries, prompts whose shared part an engine there has cached, and transfers of cached parts
// from there. A router that ignores drain orders sends them until the order is revoked; such a
// failure lasted 19.6 s.
func TestDrainedDatacentreGetsNoRequests(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		plain := f.upstreamIn("bergen", "i-1", "plain", 0)
		engine := f.upstreamIn("bergen", "i-2", "model", 5)
		otherPlain := f.upstreamIn("oslo", "i-3", "plain", 0)
		otherEngine := f.upstreamIn("oslo", "i-4", "model", 5)
		f.start()
		sendAll := func() {
			for n := range 20 {
				f.send(level("r"))
				req := review("c")
				req.usage, req.parts = "9000,60", "s"+string(rune('a'+n))+":8000,own:1000"
				f.send(req)
			}
		}
		sendAll()
		require.NotEmpty(t, plain.Requests())
		require.NotEmpty(t, engine.Requests())

		require.NoError(t, f.store.OrderDrain("bergen"))
		f.settle()
		before, beforeEngine, beforeOther := len(plain.Requests()), len(engine.Requests()), len(otherEngine.Requests())
		sendAll()
		otherPlain.SetMode(standin.LoseAnswer)
		otherEngine.SetMode(standin.LoseAnswer)
		sendAll()
		require.Len(t, plain.Requests(), before)
		require.Len(t, engine.Requests(), beforeEngine)
		for _, s := range otherEngine.Requests()[beforeOther:] {
			require.Empty(t, s.Header.Get(standin.HeaderFetch), "nothing is fetched from the drained data centre")
		}

		require.NoError(t, f.store.EndDrain("bergen"))
		f.settle()
		sendAll()
		require.Greater(t, len(plain.Requests()), before)
		require.Greater(t, len(engine.Requests()), beforeEngine)
	})
}

// Guards against streams that are truncated when their data centre is drained: only new requests
// avoid it.
func TestStreamsCompleteInADrainedDatacentre(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstreamIn("oslo", "i-1", "model", 200) // two seconds
		f.start()
		done := make(chan response, 1)
		go func() { done <- f.send(chat("long")) }()
		f.settle()
		require.NoError(t, f.store.OrderDrain("oslo"))
		resp := <-done
		require.False(t, resp.truncated)
		require.Equal(t, events(200), resp.body)
	})
}

// Guards against callers that wait when all upstreams of a service are in drained data centres.
// They are refused at once with a Retry-After, and are served again when one drain order is
// revoked.
func TestAllDatacentresAreDrained(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstreamIn("bergen", "i-1", "plain", 0)
		f.upstreamIn("oslo", "i-2", "plain", 0)
		f.upstreamIn("oslo", "i-3", "model", 5)
		f.start()
		require.NoError(t, f.store.OrderDrain("oslo"))
		require.NoError(t, f.store.OrderDrain("bergen"))
		require.NoError(t, f.store.OrderDrain("oslo")) // a repeated order
		f.settle()
		for _, req := range []request{level("r"), alert("a"), chat("c")} {
			resp := f.send(req)
			require.Equal(t, 503, resp.status)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
			require.Less(t, resp.elapsed, 100*time.Millisecond)
		}
		require.NoError(t, f.store.EndDrain("bergen"))
		f.settle()
		require.Equal(t, 200, f.send(level("r")).status)
		require.Equal(t, 503, f.send(chat("c")).status, "the other data centre is still drained")
	})
}

// Guards against missed changes when one data centre is drained, and the order for another one is
// revoked, while a router is disconnected from all processes. It continues with its last state
// and applies both changes within 1.5 s of its reconnection.
func TestDatacentreIsDrainedWhileDisconnected(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		bergen := f.upstreamIn("bergen", "i-1", "plain", 0)
		oslo := f.upstreamIn("oslo", "i-2", "plain", 0)
		require.NoError(t, f.store.OrderDrain("oslo"))
		f.start()
		require.Equal(t, 200, f.send(level("r")).status)
		require.Empty(t, oslo.Requests())
		f.disconnect(1)
		time.Sleep(3 * time.Second)
		require.NoError(t, f.store.EndDrain("oslo"))
		require.NoError(t, f.store.OrderDrain("bergen"))
		time.Sleep(4 * time.Second)
		f.reconnect(1)
		time.Sleep(1500 * time.Millisecond)
		before := len(bergen.Requests())
		for range 10 {
			require.Equal(t, 200, f.send(level("r")).status)
		}
		require.Len(t, bergen.Requests(), before)
		require.NotEmpty(t, oslo.Requests())
	})
}

// Guards against drain orders that are ignored because they are invalid: an unknown data centre,
// or a value that is not a document. The order still applies, since its key identifies the data
// centre; one log line names the field.
func TestInvalidDrainOrders(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		drained := f.upstreamIn("bergen", "i-1", "plain", 0)
		f.upstreamIn("oslo", "i-2", "plain", 0)
		f.start()
		require.NoError(t, f.store.OrderDrain("atlantis"))
		require.NoError(t, f.store.CorruptDrainOrder("bergen", []byte("\xff")))
		f.settle()
		for range 10 {
			require.Equal(t, 200, f.send(level("r")).status)
		}
		require.Empty(t, drained.Requests())
		require.Equal(t, 1, strings.Count(f.log.String(), `op/evacuate/atlantis: field zone`))
		require.Equal(t, 1, strings.Count(f.log.String(), `op/evacuate/bergen: `))
	})
}
