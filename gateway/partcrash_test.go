package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// variedPrompt returns a request whose prompt has a part that crashes engines between others: its last part
// is its own, the first one is shared with harmless prompts.
func variedPrompt(id string, vm int, part string) request {
	req := review(id)
	req.parts, req.vm = fmt.Sprintf("aa:600,%s:100,own-%s:300", part, id), vm
	return req
}

// harmlessPrompt returns a request that shares caller and first part with those of variedPrompt.
func harmlessPrompt(id string, vm int) request { return variedPrompt(id, vm, "bb") }

// Guards against a part of a prompt that crashes engine after engine because no two prompts with it are alike:
// it must be refused for good after three crashes, at every router.
func TestPartThatCrashesEnginesIsSentToThree(t *testing.T) {
	for _, routers := range []int{1, 4} {
		for _, parts := range []string{"aa:600,dead:100,own-%s:300", "dead:100,aa:600,own-%s:300", "aa:600,bb:100,dead:200,own-%s:100"} {
			t.Run(fmt.Sprint(routers, " routers, ", parts), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					engines := f.startFragileEngines(12)
					f.startRouters(routers)
					var last response
					for n := range 12 {
						req := review(fmt.Sprint("d-", n))
						req.parts, req.vm = fmt.Sprintf(parts, req.id), 1+n%routers
						last = f.send(req)
						require.NotEqual(t, 200, last.status)
						time.Sleep(500 * time.Millisecond)
					}
					require.LessOrEqual(t, countCrashed(engines), 3)
					require.Equal(t, http.StatusUnprocessableEntity, last.status)
					require.Empty(t, last.header.Get("Retry-After"), "a retry would not help")
					require.Equal(t, 200, f.send(harmlessPrompt("harmless", 1)).status, "its parts were in all crashes and in no answer")
				})
			})
		}
	}
}

// Guards against refusals of harmless prompts that share caller and first part with those that crash engines:
// they must be served at once, while several parts crash engines.
func TestHarmlessPromptsBesidePartsThatCrashEngines(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(24)
		f.startRouters(4)
		var wg sync.WaitGroup
		var early, late atomic.Int32
		const harmless, guilty = 100, 40
		for n := range harmless {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				status := f.send(harmlessPrompt(fmt.Sprint("good-", n), 1+n%4)).status
				switch {
				case status != 200:
				case n < harmless/2:
					early.Add(1)
				default:
					late.Add(1)
				}
			})
		}
		for n := range guilty {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 200 * time.Millisecond)
				require.NotEqual(t, 200, f.send(variedPrompt(fmt.Sprint("d-", n), 1+n%4, fmt.Sprint(crashingPart, n%2))).status)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, countCrashed(engines), 8, "four for each of two parts")
		require.GreaterOrEqual(t, int(early.Load()), harmless/2*9/10)
		require.EqualValues(t, harmless/2, late.Load(), "once the parts are known")
	})
}

// Guards against a part of a prompt that crashes engines again after a restart of all routers, or through a
// router that joins late.
func TestPartThatCrashesEnginesIsKnownToNewRouters(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(12)
		f.startLender(firstLender, "i-1")
		f.startRouters(2)
		for n := range 6 {
			f.send(variedPrompt(fmt.Sprint("d-", n), 1+n%2, crashingPart))
			time.Sleep(500 * time.Millisecond)
		}
		crashed := countCrashed(engines)
		require.LessOrEqual(t, crashed, 3)
		f.startVM(3)
		time.Sleep(5 * time.Second)
		require.Equal(t, http.StatusUnprocessableEntity, f.send(variedPrompt("late", 3, crashingPart)).status)
		require.Equal(t, crashed, countCrashed(engines))
	})
}

// Guards against harmless parts that are blamed for crashes which have other causes: a part that was ever
// answered must not be refused, however many engines crash while prompts with it wait.
func TestAnsweredPartsAreNeverRefused(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startFragileEngines(30)
		f.startRouters(4)
		require.Equal(t, 200, f.send(harmlessPrompt("first", 1)).status)
		var wg sync.WaitGroup
		for n := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				r := f.send(harmlessPrompt(fmt.Sprint("good-", n), 1+n%4))
				require.NotEqual(t, http.StatusUnprocessableEntity, r.status, r.body)
				require.NotContains(t, r.body, "prompt_on_trial")
			})
		}
		for n := range 20 {
			time.Sleep(400 * time.Millisecond)
			engines[n].crash()
		}
		wg.Wait()
	})
}

var (
	partsFirst = flag.Uint64("parts.first", 1, "first seed of TestRandomPartsThatCrashEngines")
	partsSeeds = flag.Uint64("parts.seeds", 4, "number of seeds of TestRandomPartsThatCrashEngines")
	partsFleet = flag.Int("parts.routers", 4, "routers of TestRandomPartsThatCrashEngines")
)

// Guards against parts that are not found, and against harmless ones that are refused, whatever the prompts:
// several parts crash engines, at any place but the last, beside engines that crash by chance.
func TestRandomPartsThatCrashEngines(t *testing.T) {
	for seed := *partsFirst; seed < *partsFirst+*partsSeeds; seed++ {
		for _, routers := range slices.Compact([]int{1, *partsFleet}) {
			t.Run(fmt.Sprintf("seed %d, %d routers", seed, routers), func(t *testing.T) {
				withFleet(t, func(f *fleet) { playRandomParts(f, rand.New(rand.NewPCG(seed, uint64(routers))), routers) })
			})
		}
	}
}

// playRandomParts sends 200 prompts within 20 s and checks what becomes of them.
func playRandomParts(f *fleet, random *rand.Rand, routers int) {
	const prompts, chanceCrashes, maxCrashesOfAPart = 200, 4, 5
	f.putConfig(0, "k1")
	engines := f.startFragileEngines(40)
	f.startRouters(routers)
	guilty := 1 + random.IntN(3)
	var wg sync.WaitGroup
	for n := range prompts {
		req, part := randomParts(random, fmt.Sprint("r-", n), guilty)
		req.vm = 1 + random.IntN(routers)
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			status := f.send(req).status
			if part == "" {
				require.NotEqual(f.t, http.StatusUnprocessableEntity, status, "harmless prompt %s", req.parts)
				return
			}
			require.NotEqual(f.t, http.StatusOK, status)
			if n > prompts*3/4 {
				require.Equal(f.t, http.StatusUnprocessableEntity, status, "late prompt %s", req.parts)
			}
		})
	}
	for range chanceCrashes {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		engines[random.IntN(len(engines))].crash()
	}
	wg.Wait()
	crashes := map[string]int{}
	for _, e := range engines {
		if part := e.cause.Load(); part != nil {
			crashes[*part]++
		}
	}
	for part, n := range crashes {
		require.LessOrEqual(f.t, n, maxCrashesOfAPart, "part %s of %v", part, crashes)
	}
}

// randomParts returns a request with some of six shared parts and a last part of its own. A third of them have a
// part that crashes engines, whose name is returned.
func randomParts(random *rand.Rand, id string, guilty int) (req request, part string) {
	var parts []string
	for n := range 6 {
		if random.IntN(3) == 0 {
			parts = append(parts, fmt.Sprintf("shared-%d:100", n))
		}
	}
	if random.IntN(3) == 0 {
		part = fmt.Sprint(crashingPart, random.IntN(guilty))
		parts = slices.Insert(parts, random.IntN(len(parts)+1), part+":100")
	}
	req = review(id)
	req.parts = strings.Join(append(parts, "own-"+id+":200"), ",")
	return req, part
}
