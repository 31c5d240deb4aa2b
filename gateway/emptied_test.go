package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Operators ask that a data centre be emptied. Requests went on to the upstreams there until the
// order was taken back, 19.6 s later, since nobody read such orders: second tries, prompts whose
// shared part an engine there had read, and transfers of cached parts from there too.
func TestNothingGoesToAnEmptiedDatacentre(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		plain := f.upstreamIn("bergen", "i-1", "plain", 0)
		engine := f.upstreamIn("bergen", "i-2", "model", 5)
		otherPlain := f.upstreamIn("oslo", "i-3", "plain", 0)
		otherEngine := f.upstreamIn("oslo", "i-4", "model", 5)
		f.start()
		askAll := func() {
			for n := range 20 {
				f.ask(level("r"))
				q := review("c")
				q.usage, q.parts = "9000,60", "s"+string(rune('a'+n))+":8000,own:1000"
				f.ask(q)
			}
		}
		askAll()
		require.NotEmpty(t, plain.Seen())
		require.NotEmpty(t, engine.Seen())

		require.NoError(t, f.store.Empty("bergen"))
		f.settle()
		before, beforeEngine, beforeOther := len(plain.Seen()), len(engine.Seen()), len(otherEngine.Seen())
		askAll()
		otherPlain.SetMode(standin.LoseAnswer)
		otherEngine.SetMode(standin.LoseAnswer)
		askAll()
		require.Len(t, plain.Seen(), before)
		require.Len(t, engine.Seen(), beforeEngine)
		for _, s := range otherEngine.Seen()[beforeOther:] {
			require.Empty(t, s.Header.Get(standin.HeaderFetch), "nothing is fetched from there")
		}

		require.NoError(t, f.store.EndEmptying("bergen"))
		f.settle()
		askAll()
		require.Greater(t, len(plain.Seen()), before)
		require.Greater(t, len(engine.Seen()), beforeEngine)
	})
}

// A stream runs in a data centre that is emptied then. It ends whole: only new work stays away.
func TestStreamsEndInAnEmptiedDatacentre(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstreamIn("oslo", "i-1", "model", 200) // two seconds
		f.start()
		ended := make(chan answer, 1)
		go func() { ended <- f.ask(chat("long")) }()
		f.settle()
		require.NoError(t, f.store.Empty("oslo"))
		a := <-ended
		require.False(t, a.cut)
		require.Equal(t, events(200), a.body)
	})
}

// All upstreams of a service are in data centres that are emptied. Callers hear at once that
// nothing was done and when to come back, and are served again when one is taken back.
func TestAllDatacentresAreEmptied(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstreamIn("bergen", "i-1", "plain", 0)
		f.upstreamIn("oslo", "i-2", "plain", 0)
		f.upstreamIn("oslo", "i-3", "model", 5)
		f.start()
		require.NoError(t, f.store.Empty("oslo"))
		require.NoError(t, f.store.Empty("bergen"))
		require.NoError(t, f.store.Empty("oslo")) // once more
		f.settle()
		for _, q := range []question{level("r"), alert("a"), chat("c")} {
			a := f.ask(q)
			require.Equal(t, 503, a.status)
			require.NotEmpty(t, a.header.Get("Retry-After"))
			require.Less(t, a.took, 100*time.Millisecond)
		}
		require.NoError(t, f.store.EndEmptying("bergen"))
		f.settle()
		require.Equal(t, 200, f.ask(level("r")).status)
		require.Equal(t, 503, f.ask(chat("c")).status, "one order is left")
	})
}

// A data centre is emptied, and another one's order is taken back, while a router is cut off
// from everything. It goes on by what it knew, and knows both within 1.5 s of its return.
func TestDatacentreIsEmptiedDuringACut(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		bergen := f.upstreamIn("bergen", "i-1", "plain", 0)
		oslo := f.upstreamIn("oslo", "i-2", "plain", 0)
		require.NoError(t, f.store.Empty("oslo"))
		f.start()
		require.Equal(t, 200, f.ask(level("r")).status)
		require.Empty(t, oslo.Seen())
		f.cutOffAll(1)
		time.Sleep(3 * time.Second)
		require.NoError(t, f.store.EndEmptying("oslo"))
		require.NoError(t, f.store.Empty("bergen"))
		time.Sleep(4 * time.Second)
		f.reconnect(1)
		time.Sleep(1500 * time.Millisecond)
		before := len(bergen.Seen())
		for range 10 {
			require.Equal(t, 200, f.ask(level("r")).status)
		}
		require.Len(t, bergen.Seen(), before)
		require.NotEmpty(t, oslo.Seen())
	})
}

// What operators write is wrong: an unknown data centre, or a value that is no document. The
// order holds all the same, since its key says what is asked; one line names the field, and
// all else goes on.
func TestOrdersThatCannotBeRead(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		emptied := f.upstreamIn("bergen", "i-1", "plain", 0)
		f.upstreamIn("oslo", "i-2", "plain", 0)
		f.start()
		require.NoError(t, f.store.Empty("atlantis"))
		require.NoError(t, f.store.SpoilEmptying("bergen", []byte("\xff")))
		f.settle()
		for range 10 {
			require.Equal(t, 200, f.ask(level("r")).status)
		}
		require.Empty(t, emptied.Seen())
		require.Equal(t, 1, strings.Count(f.log.String(), `op/evacuate/atlantis: field zone`))
		require.Equal(t, 1, strings.Count(f.log.String(), `op/evacuate/bergen: `))
	})
}
