package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func endedOf(p Prompt, service, upstream string) Evidence {
	return Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: service}}}
}

// Guards against three ends for each service among which a route is split.
func TestEndsCountForAllServices(t *testing.T) {
	var r Registry
	for n, service := range []string{"one", "two", "three"} {
		require.True(t, r.Allow(start, "p", service, fmt.Sprint(n)))
		r.Add(start, endedOf("p", service, fmt.Sprint("i-", n)))
		if n == 1 {
			require.True(t, r.Allow(start, "p", "three", "2"), "one may try")
		}
	}
	require.False(t, r.Allow(start, "p", "four", "4"))
}

// Guards against refusing a prompt at a service that answers it, and against clearing it where it ends upstreams.
func TestAnswerClearsAPromptAtItsService(t *testing.T) {
	var r Registry
	r.Add(start, endedOf("p", "broken", "i-1"))
	r.Add(start, endedOf("p", "broken", "i-2"))
	require.Equal(t, OnTrial, r.RecordAnswer(start, "p", "sound").Standing())
	require.Equal(t, Clear, r.Known(start, "p").ForService("sound").Standing())
	require.Equal(t, OnTrial, r.Known(start, "p").ForService("broken").Standing())
	r.Add(start, endedOf("p", "broken", "i-3"))
	require.False(t, r.Allow(start, "p", "broken", "1"))
	require.False(t, r.Allow(start, "p", "another", "1"), "which has not answered")
	require.True(t, r.Allow(start, "p", "sound", "1"))
	for n := range endsProven {
		r.Add(start, endedOf("p", "sound", fmt.Sprint("i-", 10+n)))
	}
	require.False(t, r.Allow(start, "p", "sound", "2"), "its own upstreams end under it now")
	require.Equal(t, []string{"sound"}, r.Known(start, "p").Answered)

	var other Registry
	other.Add(start, r.Known(start, "p"))
	require.Equal(t, r.Known(start, "p"), other.Known(start, "p"), "another process, told of it")
	r.RecordAnswer(start, "p", "sound")
	r.RecordAnswer(start, "p", "broken")
	require.True(t, r.Empty())
}

// Guards against a new end that does not count since as many older ones are kept as there may be.
func TestNewestEndsAreKept(t *testing.T) {
	var r Registry
	for n := range mostEnds {
		r.Add(start, endedOf("p", "model", fmt.Sprint("i-", n)))
	}
	late := start.Add(rememberedFor - 1)
	r.Add(late, endedOf("p", "model", "i-late"))
	require.Equal(t, Proven, r.Known(late.Add(rememberedFor-1), "p").Standing())
	require.Len(t, r.Known(late, "p").Crashes, mostEnds)
}
