package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against copies that differ for good, or change for ever, while their clocks differ: after all
// messages they list the same crashes; an answer after that clears these at all copies for good, and three crashes
// after it prove the prompt at all copies.
func TestCopiesWithDifferentClocksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		offsets := rapid.SampledFrom([][]time.Duration{
			{0, 2 * time.Second, -2 * time.Second}, {0, 29 * time.Second, -29 * time.Second},
			{0, 90 * time.Second, -90 * time.Second}, {0, 5 * time.Hour, -5 * time.Hour}, {0, 30 * time.Hour, -30 * time.Hour}}).Draw(t, "offsets")
		clocks := make([]time.Duration, 3)
		copies := make([]*Registry, 3)
		for n := range copies {
			copies[n], clocks[n] = &Registry{}, rapid.SampledFrom(offsets).Draw(t, "clock")
		}
		at := func(n int) time.Time { return now.Add(clocks[n]) }
		transit := func() time.Duration { return time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond }
		send := func(from, to int) {
			e := overWire(t, copies[from].Known(at(from), "p"))
			now = now.Add(transit())
			if len(e.Crashes)+len(e.Answers) > 0 {
				copies[to].Add(at(to), e)
			}
		}
		exchange := func() {
			for range 2 {
				for from := range copies {
					for to := range copies {
						send(from, to)
					}
				}
			}
		}
		crashes := 0
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(1500, 4000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "copy")
			for k := range copies {
				copies[k].Expire(at(k))
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				if crashes == maxCrashesPerPrompt {
					continue // copies whose times differ by the messages' way keep others
				}
				crashes++
				crashNow(copies[n], at(n), "p", "chat", fmt.Sprint("i-", crashes))
			case 2:
				copies[n].RecordAnswer(at(n), "p", "chat")
			case 3, 4:
				send(n, rapid.IntRange(0, 2).Draw(t, "to"))
			}
		}
		for k := range copies {
			copies[k].Expire(at(k))
		}
		upstreams := func(n int) (all []string) {
			for _, c := range copies[n].Known(at(n), "p").Crashes {
				all = append(all, c.Upstream)
			}
			slices.Sort(all)
			return all
		}
		exchange()
		for n := range copies {
			require.Equal(t, upstreams(0), upstreams(n))
		}
		now = now.Add(2 * time.Second)
		n := rapid.IntRange(0, 2).Draw(t, "answers")
		copies[n].RecordAnswer(at(n), "p", "chat")
		for range 3 {
			exchange()
			now = now.Add(3 * time.Second)
			for n := range copies {
				require.Empty(t, upstreams(n), "copy %d", n)
			}
		}
		for k := range 3 {
			now = now.Add(time.Second)
			crashNow(copies[k], at(k), "p", "chat", fmt.Sprint("last-", k))
		}
		exchange()
		for n := range copies {
			require.Equal(t, Proven, copies[n].Known(at(n), "p").Standing())
		}
	})
}
