package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// bears is how many requests in any second a cold engine of coldConfig bears: 6.6 a second, half
// as many more, and five.
const bears = 14

// coldConfig puts a configuration in force whose engines are cold for three seconds.
func (f *fleet) coldConfig(keys ...string) {
	f.form = strings.Replace(configForm, `{"name":"model",`, `{"name":"model","cold_start_s":3,"cold_per_s":6.6,`, 1)
	f.config(0, keys...)
}

// flood asks for many streams with prompts of their own within a second, through all routers.
func (f *fleet) flood(routers, requests int) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		f.flooded++
		n := f.flooded
		wg.Go(func() {
			q := chat(fmt.Sprint("c-", n))
			q.vm, q.parts = 1+n%routers, fmt.Sprintf("own-%d:1000", n)
			a := f.ask(q)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
			} else {
				require.Contains(f.t, []int{429, 503}, a.status)
				require.NotEmpty(f.t, a.header.Get("Retry-After"))
			}
		})
		time.Sleep(time.Second / time.Duration(requests))
	}
	wg.Wait()
	return served
}

// An engine comes back cold, idle, while its neighbours are busy, and all routers send it what
// they have: 60 prompts in a second, where it bears 14 and ends soon after. With a lender beside
// it, which hears of each prompt, no second has more; its neighbour takes the rest.
func TestColdEngineGetsWhatItBears(t *testing.T) {
	play(t, func(f *fleet) {
		f.coldConfig("k1")
		warm := f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "i-1")
		cold := f.upstreamCold("i-2", "model", 5, 3*time.Second)
		f.startLender(firstLender+1, "i-2")
		for vm := 1; vm <= 4; vm++ {
			f.startVM(vm)
		}
		time.Sleep(3 * time.Second) // they find each other
		f.registerCold("i-2", "model", 6*time.Second)
		f.settle()
		for range 3 {
			require.Equal(t, 60, f.flood(4, 60))
		}
		require.LessOrEqual(t, cold.MostInASecond(), bears)
		require.NotEmpty(t, cold.Seen())
		require.NotEmpty(t, warm.Seen())
	})
}

// Engines without a lender beside them come back cold, all of them, and nothing else is there.
// Three routers share what each bears; who finds no room hears so at once.
func TestColdEnginesWithoutLenders(t *testing.T) {
	play(t, func(f *fleet) {
		f.coldConfig("k1")
		var cold []*standin.Upstream
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			cold = append(cold, f.upstreamCold(id, "model", 5, 3*time.Second))
		}
		for vm := 1; vm <= 6; vm++ {
			f.startVM(vm)
		}
		time.Sleep(2 * time.Second)
		for n := range cold {
			f.registerCold(fmt.Sprint("i-", n+1), "model", 3*time.Second)
		}
		f.settle()
		require.NotZero(t, f.flood(6, 200))
		for _, u := range cold {
			require.LessOrEqual(t, u.MostInASecond(), bears)
			require.NotEmpty(t, u.Seen())
		}
	})
}

// The lender beside a cold engine cannot be reached by the routers. They send the engine nothing
// while it is cold, since others may have leave for all that it bears; then they do.
func TestColdEngineBehindASilentLender(t *testing.T) {
	play(t, func(f *fleet) {
		f.coldConfig("k1")
		f.upstream("i-1", "model", 5)
		cold := f.upstream("i-2", "model", 5)
		_, kill := f.startLender(firstLender, "i-2")
		f.startVM(1)
		time.Sleep(3 * time.Second)
		kill()
		f.registerCold("i-2", "model", 3*time.Second)
		f.settle()
		require.Equal(t, 20, f.flood(1, 20))
		require.Empty(t, cold.Seen())
		f.register("i-2", "model", "ready")
		f.settle()
		require.Equal(t, 20, f.flood(1, 20))
		require.NotEmpty(t, cold.Seen())
	})
}

// A data centre is taken back from being emptied, and its engine is cold without having said so:
// its entry still tells of warmer days. It counts as cold until its entry would have told.
func TestColdAfterEmptying(t *testing.T) {
	play(t, func(f *fleet) {
		f.coldConfig("k1")
		f.upstreamIn("oslo", "i-1", "model", 5)
		back := f.upstreamIn("bergen", "i-2", "model", 5)
		for vm := 1; vm <= 4; vm++ {
			f.startVM(vm)
		}
		require.NoError(t, f.store.Empty("bergen"))
		time.Sleep(3 * time.Second)
		f.flood(4, 60)
		require.Empty(t, back.Seen())
		require.NoError(t, f.store.EndEmptying("bergen"))
		time.Sleep(400 * time.Millisecond)
		for range 3 {
			require.Equal(t, 60, f.flood(4, 60))
		}
		require.NotEmpty(t, back.Seen())
		require.LessOrEqual(t, back.MostInASecond(), bears)
		time.Sleep(3 * time.Second)
		f.flood(4, 200)
		require.Greater(t, back.MostInASecond(), bears, "it has long been warm")
	})
}
