package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

const (
	// faultTime is how long faults begin, mostFaults how many at most.
	faultTime  = 6 * time.Second
	mostFaults = 12
	// shortest and longest bound how long a fault lasts.
	shortest = 200 * time.Millisecond
	longest  = 2500 * time.Millisecond
)

// fault is done at a moment, and undone after a while if it can be.
type fault struct {
	name string
	// at is when it is done, after the first fault may begin, and lasts how long until it is undone.
	at, lasts time.Duration
	do, undo  func()
}

// faultStream tells the random numbers of a seed's faults from those of its callers.
const faultStream = 7

// plan draws the faults of a seed. One seed in three has planned work alone.
func (w *world) plan(seed uint64) (faults []fault, planned bool) {
	luck := rand.New(rand.NewPCG(seed, faultStream))
	planned = seed%3 == 0
	for range 3 + luck.IntN(mostFaults-2) {
		f := w.draw(luck, planned)
		f.at = time.Duration(luck.Int64N(int64(faultTime)))
		f.lasts = shortest + time.Duration(luck.Int64N(int64(longest-shortest)))
		faults = append(faults, f)
	}
	return faults, planned
}

// draw draws one fault. Those that are planned must cut nothing: stops, reloads, configurations.
func (w *world) draw(luck *rand.Rand, planned bool) fault {
	p := w.processes[luck.IntN(len(w.processes))]
	u := w.upstreams[luck.IntN(len(w.upstreams))]
	if planned {
		work := []fault{w.term(p), w.reload(p), w.reconfigure()}
		return work[luck.IntN(len(work))]
	}
	way, name := p.store, "store of "+p.name
	if luck.IntN(2) == 0 {
		way, name = u.proxy, u.ID
	}
	towards := luck.IntN(2) == 0
	delay := time.Duration(luck.Int64N(int64(300 * time.Millisecond)))
	mode := []standin.Mode{standin.LoseAnswer, standin.Fail, standin.BreakOff, standin.Decline, standin.Hang}[luck.IntN(5)]
	all := w.sameService(u)
	every := []fault{
		w.term(p), w.reload(p), w.reconfigure(), w.kill(p), w.pause(p), w.killPair(luck), w.killAll(),
		{name: "reset " + name, do: way.resetAll},
		{name: "silence " + name, do: func() { way.setSilent(true, true) },
			undo: func() { way.setSilent(false, false); way.resetAll() }},
		{name: fmt.Sprintf("silence %s one way (towards it: %t)", name, towards), do: func() { way.setSilent(towards, !towards) },
			undo: func() { way.setSilent(false, false) }},
		{name: fmt.Sprintf("delay %s by %s", name, delay), do: func() { way.setDelay(delay) }, undo: way.heal},
		{name: fmt.Sprintf("%s of %s", mode, u.ID), do: func() { u.SetMode(mode) },
			undo: func() { u.SetMode(standin.Serve) }},
		{name: fmt.Sprintf("%s of all %s", mode, u.service), do: func() { setModes(all, mode) },
			undo: func() { setModes(all, standin.Serve) }},
		{name: "crash " + u.ID, do: u.proxy.crash, undo: func() { _ = u.proxy.listen() }}, // fails if it is back already
		{name: "store silent", do: func() { w.store.SetSilent(true) }, undo: func() { w.store.SetSilent(false) }},
		{name: "store forgets", do: func() { w.store.Compact() }},
		{name: "drain " + u.ID, do: func() { w.register(u, "draining") }, undo: func() { w.register(u, "ready") }},
	}
	return every[luck.IntN(len(every))]
}

// sameService are the upstreams of an upstream's service.
func (w *world) sameService(u *upstream) (all []*upstream) {
	for _, other := range w.upstreams {
		if other.service == u.service {
			all = append(all, other)
		}
	}
	return all
}

func setModes(ups []*upstream, m standin.Mode) {
	for _, u := range ups {
		u.SetMode(m)
	}
}

func (w *world) term(p *process) fault {
	return fault{name: "stop " + p.name, do: func() { p.restart(syscall.SIGTERM) }}
}

func (w *world) kill(p *process) fault {
	return fault{name: "kill " + p.name, do: func() { p.restart(syscall.SIGKILL) }}
}

// killPair ends a lender together with a router that it may have lent to.
func (w *world) killPair(luck *rand.Rand) fault {
	lenders, gateways := w.ofRole("lender"), w.ofRole("gateway")
	pair := []*process{lenders[luck.IntN(len(lenders))], gateways[luck.IntN(len(gateways))]}
	return fault{name: "kill " + pair[0].name + " and " + pair[1].name, do: func() { killTogether(pair) }}
}

// killAll ends all processes at the same moment.
func (w *world) killAll() fault {
	return fault{name: "kill all", do: func() { killTogether(w.processes) }}
}

func killTogether(ps []*process) {
	var wg sync.WaitGroup
	for _, p := range ps {
		wg.Go(func() { p.restart(syscall.SIGKILL) })
	}
	wg.Wait()
}

func (w *world) reload(p *process) fault {
	return fault{name: "reload " + p.name, do: func() { p.signal(syscall.SIGHUP) }}
}

func (w *world) reconfigure() fault {
	return fault{name: "configuration", do: func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.configure()
	}}
}

func (w *world) pause(p *process) fault {
	return fault{name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP) }, undo: func() { p.signal(syscall.SIGCONT) }}
}

// play does the faults at their times, overlapping, and returns when all are undone.
func play(faults []fault, log func(format string, args ...any)) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(f.at)
			log("%.2f %s", time.Since(began).Seconds(), f.name)
			f.do()
			if f.undo != nil {
				time.Sleep(f.lasts)
				f.undo()
				log("%.2f end of %s", time.Since(began).Seconds(), f.name)
			}
		})
	}
	wg.Wait()
}
