package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

const (
	// faultPeriod is the period within which faults begin, maxFaults the maximum number of faults.
	faultPeriod = 6 * time.Second
	maxFaults   = 12
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// fault is injected at a time and, if undo is set, reverted after its duration.
type fault struct {
	name string
	// at is the time of injection since the start of the fault period, duration the time until undo.
	at, duration time.Duration
	do, undo     func()
	// endsAll is set if the fault ends all processes, restores if it restores the store.
	endsAll, restores bool
}

// faultStream is the PCG stream for the faults of a seed; it differs from those of the callers.
const faultStream = 7

// planFaults draws the faults of a seed. Every third seed has planned operations only.
func (tf *testFleet) planFaults(seed uint64) (faults []fault, planned bool) {
	rng := rand.New(rand.NewPCG(seed, faultStream))
	planned = seed%3 == 0
	for range 3 + rng.IntN(maxFaults-2) {
		f := tf.drawFault(rng, planned)
		f.at = time.Duration(rng.Int64N(int64(faultPeriod)))
		f.duration = minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, f)
	}
	if slices.ContainsFunc(faults, func(f fault) bool { return f.endsAll }) {
		// Where all processes end around a restoration the use is unknown, and all free tokens are forfeited: then the
		// fleet must not serve as before.
		faults = slices.DeleteFunc(faults, func(f fault) bool { return f.restores })
	}
	return faults, planned
}

// drawFault draws one fault. Planned operations (stop, reload, configuration change) must not
// interrupt any request.
func (tf *testFleet) drawFault(rng *rand.Rand, planned bool) fault {
	p := tf.processes[rng.IntN(len(tf.processes))]
	u := tf.upstreams[rng.IntN(len(tf.upstreams))]
	if planned {
		operations := []fault{tf.terminate(p), tf.reload(p), tf.reconfigure()}
		return operations[rng.IntN(len(operations))]
	}
	link, name := p.store, "store of "+p.name
	if rng.IntN(2) == 0 {
		link, name = u.proxy, u.ID
	}
	towards := rng.IntN(2) == 0
	delay := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
	mode := []standin.Mode{standin.LoseAnswer, standin.Fail, standin.Truncate, standin.Decline, standin.Hang}[rng.IntN(5)]
	peers := tf.sameService(u)
	candidates := []fault{
		tf.terminate(p), tf.reload(p), tf.reconfigure(), tf.kill(p), tf.pause(p), tf.killPair(rng), tf.killAll(),
		{name: "reset " + name, do: link.resetAll},
		{name: "stall " + name, do: func() { link.setStalled(true, true) },
			undo: func() { link.setStalled(false, false); link.resetAll() }},
		{name: fmt.Sprintf("stall %s in one direction (towards it: %t)", name, towards), do: func() { link.setStalled(towards, !towards) },
			undo: func() { link.setStalled(false, false) }},
		{name: fmt.Sprintf("delay %s by %s", name, delay), do: func() { link.setDelay(delay) }, undo: link.clearFaults},
		{name: fmt.Sprintf("%s of %s", mode, u.ID), do: func() { u.SetMode(mode) },
			undo: func() { u.SetMode(standin.Serve) }},
		{name: fmt.Sprintf("%s of all %s", mode, u.service), do: func() { setModes(peers, mode) },
			undo: func() { setModes(peers, standin.Serve) }},
		{name: "crash " + u.ID, do: u.proxy.crash, undo: func() { _ = u.proxy.listen() }}, // fails if it already listens again
		{name: "store does not respond", do: func() { tf.store.SetUnresponsive(true) }, undo: func() { tf.store.SetUnresponsive(false) }},
		{name: "compact store", do: func() { tf.store.Compact() }},
		tf.restoreStore(rng),
		{name: "drain " + u.ID, do: func() { tf.register(u, "draining") }, undo: func() { tf.register(u, "ready") }},
	}
	return candidates[rng.IntN(len(candidates))]
}

// restoreStore lets the store be away, and come back with an older copy.
func (tf *testFleet) restoreStore(rng *rand.Rand) fault {
	lost, absence := time.Duration(rng.Int64N(int64(4*time.Second))), time.Duration(rng.Int64N(int64(2*time.Second)))
	return fault{name: fmt.Sprintf("restore the store, %s lost, away for %s", lost, absence), restores: true, do: func() {
		older := tf.store.Copy()
		time.Sleep(lost)
		tf.store.SetUnresponsive(true)
		time.Sleep(absence)
		tf.restore(older)
		tf.store.SetUnresponsive(false)
	}}
}

// sameService returns all upstreams of an upstream's service.
func (tf *testFleet) sameService(u *upstream) (all []*upstream) {
	for _, other := range tf.upstreams {
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

func (tf *testFleet) terminate(p *process) fault {
	return fault{name: "stop " + p.name, do: func() { p.restart(syscall.SIGTERM) }}
}

func (tf *testFleet) kill(p *process) fault {
	return fault{name: "kill " + p.name, do: func() { p.restart(syscall.SIGKILL) }}
}

// killPair kills a lender together with a router that may have borrowed from it.
func (tf *testFleet) killPair(rng *rand.Rand) fault {
	lenders, gateways := tf.ofRole("lender"), tf.ofRole("gateway")
	pair := []*process{lenders[rng.IntN(len(lenders))], gateways[rng.IntN(len(gateways))]}
	return fault{name: "kill " + pair[0].name + " and " + pair[1].name, do: func() { killTogether(pair) }}
}

// killAll kills all processes at the same time.
func (tf *testFleet) killAll() fault {
	return fault{name: "kill all", endsAll: true, do: func() { killTogether(tf.processes) }}
}

func killTogether(ps []*process) {
	var wg sync.WaitGroup
	for _, p := range ps {
		wg.Go(func() { p.restart(syscall.SIGKILL) })
	}
	wg.Wait()
}

func (tf *testFleet) reload(p *process) fault {
	return fault{name: "reload " + p.name, do: func() { p.signal(syscall.SIGHUP) }}
}

func (tf *testFleet) reconfigure() fault {
	return fault{name: "change configuration", do: func() {
		tf.mu.Lock()
		defer tf.mu.Unlock()
		tf.configure()
	}}
}

func (tf *testFleet) pause(p *process) fault {
	return fault{name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP) }, undo: func() { p.signal(syscall.SIGCONT) }}
}

// runFaults injects the faults at their times, overlapping, and returns when all are reverted.
func runFaults(faults []fault, log func(format string, args ...any)) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(f.at)
			log("%.2f %s", time.Since(start).Seconds(), f.name)
			f.do()
			if f.undo != nil {
				time.Sleep(f.duration)
				f.undo()
				log("%.2f end of %s", time.Since(start).Seconds(), f.name)
			}
		})
	}
	wg.Wait()
}
