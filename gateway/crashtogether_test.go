package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// readingEngine is an engine that reads each prompt for a while before it answers. It crashes when it begins to answer a
// prompt with a crashing part, and drops a prompt whose caller disconnects.
type readingEngine struct{ *fragileEngine }

// ServeHTTP implements http.Handler.
func (e *readingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(standin.HeaderParts) == "" {
		e.Upstream.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body) // a server detects a disconnected caller only after that
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.got.Add(1)
	id := r.Header.Get(standin.HeaderID)
	e.reading.Store(id, true)
	defer e.reading.Delete(id)
	timer := time.NewTimer(time.Duration(e.readTime.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if _, rest, crashes := strings.Cut(r.Header.Get(standin.HeaderParts), crashingPart); crashes {
		number, _, _ := strings.Cut(rest, ":")
		part := crashingPart + number
		e.cause.CompareAndSwap(nil, &part)
		e.crash()
	}
	e.Upstream.ServeHTTP(w, r)
}

// startReadingEngines starts engines that take the given time to read a prompt.
func (f *fleet) startReadingEngines(n int, reading time.Duration) []*fragileEngine {
	engines := f.startFragileEngines(n)
	for _, e := range engines {
		e.server.Handler = &readingEngine{e}
	}
	setReadTime(engines, reading)
	return engines
}

func setReadTime(engines []*fragileEngine, reading time.Duration) {
	for _, e := range engines {
		e.readTime.Store(int64(reading))
	}
}

// busiest returns the running engines in the order of the requests that they have got, the most first.
func busiest(engines []*fragileEngine) []*fragileEngine {
	running := slices.DeleteFunc(slices.Clone(engines), func(e *fragileEngine) bool { return e.crashed.Load() })
	slices.SortStableFunc(running, func(a, b *fragileEngine) int { return int(b.got.Load() - a.got.Load()) })
	return running
}

// crashedBy counts the engines that each crashing part has crashed.
func crashedBy(engines []*fragileEngine) map[string]int {
	counts := map[string]int{}
	for _, e := range engines {
		if part := e.cause.Load(); part != nil {
			counts[*part]++
		}
	}
	return counts
}

// outage is a load of prompts that share parts which nothing was answered to, and engines that crash together meanwhile.
type outage struct {
	routers, callers int
	// shared lists the parts of all prompts but their own.
	shared string
	// reading is how long an engine reads a prompt.
	reading time.Duration
	// crashes lists when engines crash after the first request, and how many, the busiest first.
	crashes []crashWave
	// restart is when all routers restart after the first request, 0 for never.
	restart time.Duration
}

// crashWave is a number of engines that crash at the same moment.
type crashWave struct {
	after   time.Duration
	engines int
}

// play sends the load for some seconds and returns the statuses of the first request of each caller, and of all. A
// request that lost two engines, which is as many as its route allows, is left out of the first ones.
func (o outage) play(f *fleet) (first, all map[int]int) {
	const engines, duration, pause = 16, 8 * time.Second, 2 * time.Second
	f.putConfig(0, "k1")
	started := f.startReadingEngines(engines, o.reading)
	f.startLenders(1, 4)
	f.startRouters(o.routers)
	first, all = map[int]int{}, map[int]int{}
	crashes := map[string]int{} // by request
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for n := range o.callers {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 3 * time.Millisecond)
			for i := 0; time.Since(began) < duration; i++ {
				req := review(fmt.Sprintf("r-%d-%d", n, i))
				req.vm, req.parts = 1+n%o.routers, fmt.Sprintf("%s,own-%d-%d:300", o.shared, n, i)
				status := f.send(req).status
				mu.Lock()
				all[status]++
				if i == 0 && crashes[req.id] < 2 {
					first[status]++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	for _, wave := range o.crashes {
		time.Sleep(wave.after - time.Since(began))
		for _, e := range busiest(started)[:wave.engines] {
			mu.Lock()
			e.reading.Range(func(id, _ any) bool { crashes[id.(string)]++; return true })
			mu.Unlock()
			e.crash()
		}
	}
	if o.restart > 0 {
		time.Sleep(o.restart - time.Since(began))
		f.restartVMs(o.routers)
	}
	wg.Wait()
	return first, all
}

// Guards against proper prompts that are refused for minutes because engines crashed together before the first answer to
// a part that they share.
func TestPromptsAreServedAfterEnginesCrashedTogether(t *testing.T) {
	at := func(ms, engines int) crashWave { return crashWave{time.Duration(ms) * time.Millisecond, engines} }
	for name, o := range map[string]outage{
		"three engines":           {routers: 4, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(200, 3)}},
		"one router":              {routers: 1, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(200, 3)}},
		"six engines":             {routers: 4, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(150, 6)}},
		"two shared parts":        {routers: 4, callers: 24, shared: "aa:13300,bb:900", reading: 336 * time.Millisecond, crashes: []crashWave{at(200, 3)}},
		"three shared parts":      {routers: 3, callers: 24, shared: "aa:300,bb:900,cc:90", reading: 500 * time.Millisecond, crashes: []crashWave{at(250, 4)}},
		"short prompts":           {routers: 4, callers: 24, shared: "aa:500", reading: 130 * time.Millisecond, crashes: []crashWave{at(120, 3)}},
		"just before answers":     {routers: 4, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(330, 3)}},
		"again before an answer":  {routers: 4, callers: 24, shared: "aa:13300", reading: 600 * time.Millisecond, crashes: []crashWave{at(200, 3), at(500, 3)}},
		"again after a trial":     {routers: 4, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(200, 3), at(1500, 3), at(4000, 3)}},
		"long prompts, few":       {routers: 4, callers: 8, shared: "aa:90000", reading: 2 * time.Second, crashes: []crashWave{at(700, 3)}},
		"and all routers restart": {routers: 4, callers: 24, shared: "aa:13300", reading: 336 * time.Millisecond, crashes: []crashWave{at(200, 3)}, restart: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				first, all := o.play(f)
				t.Logf("first requests %v, all %v", first, all)
				require.Zero(t, all[http.StatusUnprocessableEntity])
				require.Equal(t, []int{200}, slices.Collect(maps.Keys(first)), "interrupted requests go on")
			})
		})
	}
}

// Guards against proper prompts that are refused after all routers and lenders restarted, because of the crashes that the
// store holds of an outage before any answer.
func TestStoredCrashesOfAnOutageAreNoProof(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startReadingEngines(12, time.Minute)
		var kills []func()
		for n := 1; n <= 4; n++ {
			_, kill := f.startLender(firstLender+n, fmt.Sprint("i-", n))
			kills = append(kills, kill)
		}
		f.startRouters(3)
		prompt := func(id string, n int) request {
			req := review(id)
			req.vm, req.parts = 1+n%3, fmt.Sprintf("aa:13300,own-%s:300", id)
			return req
		}
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() { f.send(prompt(fmt.Sprint("before-", n), n)) })
		}
		time.Sleep(200 * time.Millisecond)
		for _, e := range busiest(engines)[:3] {
			e.crash()
		}
		time.Sleep(1500 * time.Millisecond)
		require.NotZero(t, f.countEvents(`"event":"prompts_stored"`))
		f.stopVMs(3)
		for _, kill := range kills {
			kill()
		}
		wg.Wait()
		setReadTime(engines, 336*time.Millisecond)
		for n := 5; n <= 8; n++ {
			f.startLender(firstLender+n, fmt.Sprint("i-", n))
		}
		f.startVMs(3)
		time.Sleep(15 * time.Second)
		require.NotZero(t, f.countEvents(`"event":"prompts_loaded"`))
		require.Zero(t, f.countEvents(`"event":"prompt_cleared"`))
		require.Equal(t, 200, f.send(prompt("first", 1)).status)
		for n := range 12 {
			require.Equal(t, 200, f.send(prompt(fmt.Sprint("after-", n), n)).status)
		}
	})
}

// Guards against a prompt that many callers send to the letter and that is refused because engines crashed together before its
// first answer was complete.
func TestSamePromptIsServedAfterEnginesCrashedTogether(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		engines := f.startReadingEngines(16, 336*time.Millisecond)
		f.startRouters(4)
		var wg sync.WaitGroup
		for n := range 24 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				req := review(fmt.Sprint("r-", n))
				req.vm, req.parts = 1+n%4, "aa:600,same:400"
				require.Equal(t, 200, f.send(req).status)
			})
		}
		time.Sleep(200 * time.Millisecond)
		for _, e := range busiest(engines)[:3] {
			e.crash()
		}
		wg.Wait()
	})
}

// crashingLoad is a load of prompts with parts that crash engines, sent at the same moment, and more of them later.
type crashingLoad struct {
	routers, callers int
	reading          time.Duration
	// guilty is the number of parts that crash engines.
	guilty int
	// chance is the number of engines that crash by themselves as soon as all prompts have arrived.
	chance int
	// restart is set if all routers restart after the first prompts.
	restart bool
}

// play returns the number of engines that each part has crashed, and the statuses of the last prompts.
func (l crashingLoad) play(f *fleet) (crashed map[string]int, last map[int]int) {
	const engines, rounds = 40, 6
	f.putConfig(0, "k1")
	started := f.startReadingEngines(engines, l.reading)
	f.startLenders(1, 4)
	f.startRouters(l.routers)
	for round := range rounds {
		last = map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := range l.callers {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				req := variedPrompt(fmt.Sprintf("d-%d-%d", round, n), 1+n%l.routers, fmt.Sprint(crashingPart, n%l.guilty))
				status := f.send(req).status
				mu.Lock()
				defer mu.Unlock()
				last[status]++
			})
		}
		if round == 0 && l.chance > 0 {
			time.Sleep(l.reading / 2)
			for _, e := range busiest(started)[:l.chance] {
				e.crash()
			}
		}
		wg.Wait()
		if round == 0 && l.restart {
			f.restartVMs(l.routers)
			time.Sleep(5 * time.Second)
		}
		time.Sleep(3 * time.Second)
	}
	return crashedBy(started), last
}

// Guards against parts that crash many engines because their prompts arrive at the same moment, when crashes look like an
// outage of several engines.
func TestPartsThatCrashEnginesTogetherAreFound(t *testing.T) {
	const maxCrashesOfAPart = 5
	for name, l := range map[string]crashingLoad{
		"one part":                       {routers: 4, callers: 24, guilty: 1, reading: 336 * time.Millisecond},
		"one part, one router":           {routers: 1, callers: 24, guilty: 1, reading: 336 * time.Millisecond},
		"one part, few callers":          {routers: 4, callers: 6, guilty: 1, reading: 336 * time.Millisecond},
		"two parts":                      {routers: 4, callers: 24, guilty: 2, reading: 336 * time.Millisecond},
		"one part, chance crashes":       {routers: 4, callers: 24, guilty: 1, chance: 3, reading: 336 * time.Millisecond},
		"two parts, chance crashes":      {routers: 4, callers: 24, guilty: 2, chance: 3, reading: 336 * time.Millisecond},
		"one part, restart":              {routers: 4, callers: 24, guilty: 1, restart: true, reading: 336 * time.Millisecond},
		"two parts, chance and restarts": {routers: 4, callers: 24, guilty: 2, chance: 3, restart: true, reading: 336 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				crashed, last := l.play(f)
				t.Logf("engines crashed by part %v, last statuses %v", crashed, last)
				for part, n := range crashed {
					require.LessOrEqual(t, n, maxCrashesOfAPart, part)
				}
				require.Equal(t, map[int]int{http.StatusUnprocessableEntity: l.callers}, last)
			})
		})
	}
}
