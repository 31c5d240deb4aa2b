package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

const (
	modelEngines = 12
	plainEngines = 3
	modelService = "tide-assist"
	plainService = "level-api"
)

// routerZones are the zones of the four entry machines.
var routerZones = []string{"bergen-hall", "bergen-hall", "alesund-hall", "floro-hall"}

// configure writes a version of the configuration with one tenant and others.
func (f *fleet) configure(version int64, others ...standin.Team) error {
	f.record.add("operator", fmt.Sprintf("writes version %d with further tenants %+v", version, others))
	return f.store.Configure(standin.Configuration{
		Version: version,
		Routes: []standin.Route{
			{Name: "review", Host: host, Prefix: "/review/", Kind: standin.Streaming, Service: modelService, Timeout: 12 * time.Second, Goal: 800 * time.Millisecond, MaxUpstreams: 2, Resumable: true, Rank: 1},
			{Name: "alert", Host: host, Prefix: "/alert/", Kind: standin.Unsafe, Service: plainService, Timeout: time.Second, Goal: 150 * time.Millisecond, MaxUpstreams: 1, Rank: 2},
		},
		Models: []standin.Model{{Name: modelService, Slots: 64, MemoryTokens: 418121, TokensPerEvent: tokensPerEvent}},
		Plain:  []string{plainService},
		Teams:  append([]standin.Team{{Name: "harbours", Keys: []string{"k-harbours"}, Prepaid: 1 << 40}}, others...),
	})
}

// setUp starts the small deployment.
func (f *fleet) setUp() error {
	if err := f.configure(4); err != nil {
		return err
	}
	for n := range modelEngines {
		if _, err := f.startEngine(fmt.Sprintf("i-model-%02d", n+1), modelService, zones[n%len(zones)], 64); err != nil {
			return err
		}
	}
	for n := range plainEngines {
		if _, err := f.startEngine(fmt.Sprintf("i-plain-%02d", n+1), plainService, zones[n%len(zones)], 6, "-kind", "plain"); err != nil {
			return err
		}
	}
	if err := f.startDaemons(routerZones, modelService); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines
	return nil
}

// denied: engines crash while the first prompts with a shared part are read.
func denied(f *fleet, trouble bool) (broken bool, summary string, err error) {
	const (
		clients  = 36
		duration = 30 * time.Second
		crashed  = 3 // of 12, a quarter
		downFor  = 4500 * time.Millisecond
	)
	if err := f.setUp(); err != nil {
		return false, "", err
	}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		statuses = map[int]int{}
		refused  int
		total    int
	)
	began := time.Now()
	for n := range clients {
		wg.Go(func() {
			who := fmt.Sprintf("client %02d", n+1)
			time.Sleep(time.Duration(n) * 3 * time.Millisecond)
			for i := 0; time.Since(began) < duration; i++ {
				a := f.send(f.routers[n%len(f.routers)], who, attempt{method: http.MethodPost, path: fmt.Sprintf("/review/%d-%d", n, i), key: "k-harbours",
					deadline: 12 * time.Second, usage: "17020,120", parts: fmt.Sprintf("5c1e07a2:13300,%08x:3720", 0x10000000+n*1000+i), body: strings.Repeat("x", 2000)})
				mu.Lock()
				total++
				statuses[a.status]++
				if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.signed {
					refused++
				}
				mu.Unlock()
				time.Sleep(2 * time.Second)
			}
		})
	}
	if trouble {
		busy, err := f.awaitBusyEngines(crashed, clients)
		if err != nil {
			return false, "", err
		}
		for _, e := range busy {
			f.crash(e)
		}
		time.AfterFunc(downFor, func() { f.restart(busy) })
	}
	wg.Wait()
	bound := 5 + total/500
	return refused > bound, fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the system's own, allowed are %d; by status: %v", refused, total, bound, statuses), nil
}

// awaitBusyEngines returns the n model engines that have got most requests: as soon as that many requests have arrived, or
// shortly before the first answer can begin.
func (f *fleet) awaitBusyEngines(n, requests int) (busy []*engineProcess, err error) {
	const (
		pause = 10 * time.Millisecond
		most  = 200 * time.Millisecond // after the first arrival; a prompt is read in 336 ms
	)
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(pause) {
		seen := &recorder{}
		if err := seen.addFiles(f.tmp); err != nil {
			return nil, err
		}
		arrivals := seen.of("engine i-model")
		if len(arrivals) == 0 {
			continue
		}
		first := slices.MinFunc(arrivals, func(a, b event) int { return a.at.Compare(b.at) })
		if len(arrivals) < requests && time.Since(first.at) < most {
			continue
		}
		count := func(e *engineProcess) int { return len(seen.of("engine " + e.id)) }
		busy = slices.SortedFunc(slices.Values(f.engines), func(a, b *engineProcess) int { return count(b) - count(a) })[:n]
		if count(busy[n-1]) > 0 {
			return busy, nil
		}
	}
	return nil, fmt.Errorf("not %d engines have got requests", n)
}

// restart starts engines that crashed again, as new incarnations at their addresses.
func (f *fleet) restart(engines []*engineProcess) {
	for _, e := range engines {
		e.id += "b"
		f.record.add("platform", "engine "+e.id+" starts")
		if err := f.launch(e); err != nil {
			f.record.add("platform", "engine "+e.id+" does not start: "+err.Error())
		}
	}
}

// refused: a plain engine sends some of its answers a second time, late.
func refused(f *fleet, trouble bool) (broken bool, summary string, err error) {
	const (
		clients  = 36
		duration = 12 * time.Second
		think    = 20 * time.Millisecond
		garbleAt = 3 * time.Second
		garbles  = 5 * time.Second
	)
	if err := f.setUp(); err != nil {
		return false, "", err
	}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		statuses = map[int]int{}
		byID     = map[string]int{}
	)
	began := time.Now()
	for n := range clients {
		wg.Go(func() {
			who := fmt.Sprintf("client %02d", n+1)
			for i := 0; time.Since(began) < duration; i++ {
				a := f.send(f.routers[n%len(f.routers)], who, attempt{method: http.MethodPost, path: fmt.Sprintf("/alert/%d-%d", n, i), key: "k-harbours",
					deadline: time.Second, body: fmt.Sprint("alert ", n, " ", i)})
				mu.Lock()
				statuses[a.status]++
				byID[a.id] = a.status
				mu.Unlock()
				time.Sleep(think)
			}
		})
	}
	if trouble {
		if err := f.garble(garbleAt, garbles); err != nil {
			return false, "", err
		}
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	seen := &recorder{}
	if err := seen.addFiles(f.tmp); err != nil {
		return false, "", err
	}
	runs, again, falselyRefused, seconds := map[string]int{}, 0, 0, 0
	for _, e := range seen.of("engine i-plain") {
		if strings.HasPrefix(e.what, "sends its answer") {
			seconds++
		}
		id, runsIt := strings.CutPrefix(e.what, "runs ")
		if !runsIt {
			continue
		}
		runs[id]++
		switch {
		case runs[id] == 2:
			again++
			f.record.add("harness", id+" ran a second time")
		case runs[id] == 1 && saysNotRun(byID[id]):
			falselyRefused++
			f.record.add("harness", fmt.Sprintf("%s ran, and its client got %d", id, byID[id]))
		}
	}
	return falselyRefused > 0 || again > 0, fmt.Sprintf("REFUSED: %d of %d unsafe requests that ran were answered as not run; TWICE: %d ran a second time; engines sent %d second answers; answers by status: %v",
		falselyRefused, len(runs), again, seconds, statuses), nil
}

// garble makes one plain engine of three send some of its answers a second time, for a while.
func (f *fleet) garble(after, duration time.Duration) error {
	time.Sleep(after)
	for _, e := range f.engines {
		if e.service != plainService {
			continue
		}
		path := garbleFile(f.tmp, e.id)
		f.record.add("platform", "engine "+e.id+" begins to send some answers a second time")
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			return err
		}
		time.Sleep(duration)
		f.record.add("platform", "engine "+e.id+" no longer does")
		return os.Remove(path)
	}
	return errors.New("no plain engine")
}

// saysNotRun reports whether a status promises that the request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mixed: clients leave before their answers.
func mixed(f *fleet, trouble bool) (broken bool, summary string, err error) {
	const (
		clients  = 10
		leaving  = 3 // of 10
		requests = 20
	)
	if err := f.setUp(); err != nil {
		return false, "", err
	}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		statuses = map[int]int{}
		unsigned int
	)
	for n := range clients {
		wg.Go(func() {
			for i := range requests {
				a := attempt{method: http.MethodPost, path: fmt.Sprintf("/alert/%d-%d", n, i), key: "k-harbours", deadline: time.Second, body: fmt.Sprint("alert ", n, " ", i)}
				if trouble && n < leaving {
					a.leaveAfter = 10 * time.Millisecond
				}
				got := f.send(f.routers[n%len(f.routers)], fmt.Sprintf("client %02d", n+1), a)
				mu.Lock()
				statuses[got.status]++
				if got.status/100 == 2 && !got.signed {
					unsigned++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return unsigned > 0, fmt.Sprintf("MIXED: %d successes without the engine's signature, of %d attempts; by status (0: none): %v", unsigned, clients*requests, statuses), nil
}

// budget: a tenant is added whose prepaid total is 0 until its first top-up.
func budget(f *fleet, trouble bool) (broken bool, summary string, err error) {
	const (
		requests = 30
		input    = 1460
		output   = 30
		funded   = 20_000
	)
	if err := f.setUp(); err != nil {
		return false, "", err
	}
	prepaid := int64(funded)
	if trouble {
		prepaid = 0
	}
	if err := f.configure(5, standin.Team{Name: "new-hall", Keys: []string{"k-new-hall"}, Prepaid: prepaid}); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second) // config_apply_ms is 2,000
	statuses, consumed := map[int]int{}, int64(0)
	for i := range requests {
		got := f.send(f.routers[i%len(f.routers)], "client of new-hall", attempt{method: http.MethodPost, path: fmt.Sprintf("/review/%d", i), key: "k-new-hall",
			deadline: 12 * time.Second, usage: fmt.Sprint(input, ",", output), parts: fmt.Sprintf("5c1e07a2:350,%08x:1110", 0x10000000+i), body: strings.Repeat("x", input)})
		statuses[got.status]++
		if got.status == http.StatusOK && got.signed {
			consumed += input + tokensPerEvent*int64(strings.Count(got.body, "id: "))
		}
	}
	return consumed > prepaid, fmt.Sprintf("BUDGET: the tenant consumed %d tokens of %d prepaid ones; by status: %v", consumed, prepaid, statuses), nil
}
