package rollout

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runWithRecords plays a roll-out in which each new decider continues from the record, as processes do.
// restartAll are the times at which all routers restart together with the decider.
func (s *simulation) runWithRecords(restartAll []time.Duration) {
	start := time.Unix(1_000_000, 0)
	routers := make([]*simRouter, s.routers)
	for n := range routers {
		routers[n] = s.newRouter(n, 0, time.Millisecond)
	}
	incarnations := 0
	d := newSimDecider(s)
	d.Confirm(start)
	var record *Observed
	replace := func() {
		d = newSimDecider(s)
		d.Resume(start, nil)
		if record != nil {
			o := *record
			o.Routers = slices.Clone(record.Routers)
			d.Resume(start, &o)
		}
		d.Confirm(start)
	}
	for t := simStep; t < s.duration+5*time.Second; t += simStep {
		now := start.Add(t)
		if len(restartAll) > 0 && t >= restartAll[0] {
			restartAll = restartAll[1:]
			for n := range routers {
				incarnations++
				routers[n] = s.newRouter(n, incarnations, 0)
			}
			replace()
			d.countingSince = now
		}
		if len(s.replaceDecider) > 0 && t >= s.replaceDecider[0] {
			s.replaceDecider = s.replaceDecider[1:]
			replace()
			d.countingSince = now
		}
		for n, r := range routers {
			s.serve(r, t, now)
			interval := simInterval
			if r.follower.Finishing() {
				interval /= 2
			}
			if t%interval == time.Duration(n)*simStep%interval && s.rng.Float64() >= s.lostReports {
				s.exchange(d, r, routers, t, now)
				if s.decision.Record {
					var ids []string
					for _, other := range routers {
						ids = append(ids, other.id)
					}
					record = d.Observed(now, ids)
					d.RecordBegun(now)
				}
			}
		}
		if s.outcome.Final() {
			return
		}
	}
}

// Guards against a bad version that gets more than its bound since deciders are replaced, or all routers restart.
func TestBoundWithRecords(t *testing.T) {
	versions := map[string]version{"fails": {failShare: 0.3}, "fails little": {failShare: 0.08}, "fails later": {failShare: 0.5, after: 7 * time.Second},
		"slow": {slowShare: 1, slowFactor: 4}, "fails late": {failShare: 1, after: 11 * time.Second}, "fails at the end": {failShare: 1, after: 11900 * time.Millisecond}}
	for name, v := range versions {
		for kind, every := range map[string]time.Duration{"deciders each 0.45 s": 450 * time.Millisecond, "deciders each 1.2 s": 1200 * time.Millisecond, "all each 3 s": -3 * time.Second, "all each 1.1 s": -1100 * time.Millisecond} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				failed := 0
				for seed := range uint64(15) {
					s := newSimulation(seed, v)
					var all []time.Duration
					for at := max(every, -every); at < s.duration; at += max(every, -every) {
						if every > 0 {
							s.replaceDecider = append(s.replaceDecider, at)
						} else {
							all = append(all, at)
						}
					}
					s.runWithRecords(all)
					bound := simLimits.Share*float64(s.sent) + float64(simLimits.Slack)
					if float64(s.sentToNew) > bound || s.fiftieth > 0 && s.lastSentToNew > s.fiftieth+5*time.Second {
						failed++
						t.Logf("seed %d: %v, %d of %d, bound %.0f, 50th bad at %v, last at %v", seed, s.outcome, s.sentToNew, s.sent, bound, s.fiftieth, s.lastSentToNew)
					}
				}
				require.Zero(t, failed)
			})
		}
	}
}

// Guards against a long roll-out whose evidence is lost each time when another router decides, although all routers run on.
func TestLongRollOutWithReplacedDeciders(t *testing.T) {
	for name, v := range map[string]version{"good": {}, "fails": {failShare: 1}, "fails a third": {failShare: 0.33}} {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for seed := range uint64(10) {
				s := newSimulation(seed, v)
				s.routers, s.duration, s.rates = 6, 10*time.Minute, map[string]float64{"plan": 1, "chat": 1}
				for at := 30 * time.Second; at < s.duration; at += 30 * time.Second { // a record each 37.5 s
					s.replaceDecider = append(s.replaceDecider, at)
				}
				s.runWithRecords(nil)
				bound := simLimits.Share*float64(s.sent) + float64(simLimits.Slack)
				want := RolledBack
				if !v.isBad() {
					want = Completed
				}
				if v.isBad() && float64(s.sentToNew) > bound || s.outcome != want || s.ended > s.duration {
					failed++
				}
				t.Logf("seed %d: %v after %v, %d of %d, bound %.0f, %d bad; %s", seed, s.outcome, s.ended, s.sentToNew, s.sent, bound, s.badAnswers, s.reason)
			}
			require.Zero(t, failed)
		})
	}
}
