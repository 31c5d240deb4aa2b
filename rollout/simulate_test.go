package rollout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// version is how the upstreams of the new version behave.
type version struct {
	// failShare is the share of requests that fail, slowShare that of requests that take slowFactor times
	// as long.
	failShare, slowShare, slowFactor float64
	// after is the time from the order from which it behaves so.
	after time.Duration
	// route is the only route on which it does; "" means all.
	route string
}

func (v version) isBad() bool { return v.failShare > 0 || v.slowShare > 0 }

// simulation is one roll-out with many routers, in steps of virtual time.
type simulation struct {
	rng      *rand.Rand
	version  version
	routers  int
	duration time.Duration
	// rates are the requests per second by route.
	rates map[string]float64
	// lostReports is the share of reports that are lost.
	lostReports float64
	// restartEvery is the mean time between two restarts of a router; 0 means none.
	restartEvery time.Duration
	// replaceDecider is when another process decides, with the reports that arrive from then on.
	replaceDecider []time.Duration

	decidedBy *Decider
	decidedAt time.Duration
	decision  Decision

	sent, sentToNew, badAnswers int
	fiftieth                    time.Duration
	lastSentToNew               time.Duration
	outcome                     State
	ended                       time.Duration
	reason                      string
}

const (
	simStep     = 50 * time.Millisecond
	simInterval = 200 * time.Millisecond
)

var simLimits = Limits{Share: 0.1, Slack: 50, TTL: time.Second, ReportTTL: 1500 * time.Millisecond, Margin: 700 * time.Millisecond}

type simRouter struct {
	id       string
	follower Follower
	report   Report
	// running are the ends of the requests at the previous version.
	running []time.Duration
}

func (s *simulation) newRouter(n, incarnation int, age time.Duration) *simRouter {
	id := fmt.Sprintf("router-%d/%d", n, incarnation)
	return &simRouter{id: id,
		follower: Follower{Order: Order{Revision: 7, Duration: s.duration}, Limits: simLimits},
		report:   Report{Router: id, Order: 7, Age: age, Routes: map[string]RouteSamples{}, OldUpstreams: 1, NewUpstreams: 1}}
}

func newSimDecider(s *simulation) *Decider {
	return &Decider{Order: Order{Revision: 7, Duration: s.duration}, Limits: simLimits}
}

// run plays the roll-out until it ends, or some seconds after its deadline.
func (s *simulation) run() {
	start := time.Unix(1_000_000, 0)
	routers := make([]*simRouter, s.routers)
	for n := range routers {
		routers[n] = s.newRouter(n, 0, time.Millisecond)
	}
	incarnations := 0
	d := newSimDecider(s)
	d.Confirm(start)
	replacements := s.replaceDecider
	for t := simStep; t < s.duration+5*time.Second; t += simStep {
		now := start.Add(t)
		if len(replacements) > 0 && t >= replacements[0] {
			replacements = replacements[1:]
			d = newSimDecider(s)
			d.Confirm(start.Add(time.Duration(s.rng.Int64N(int64(time.Second)))))
		}
		for n, r := range routers {
			if s.restartEvery > 0 && s.rng.Float64() < float64(simStep)/float64(s.restartEvery) {
				incarnations++
				routers[n] = s.newRouter(n, incarnations, 0)
				continue
			}
			s.serve(r, t, now)
			interval := simInterval
			if r.follower.Finishing() {
				interval /= 2
			}
			if t%interval == time.Duration(n)*simStep%interval && s.rng.Float64() >= s.lostReports {
				s.exchange(d, r, routers, t, now)
			}
		}
		if s.outcome.Final() {
			return
		}
	}
}

// serve plays one router's requests in one step.
func (s *simulation) serve(r *simRouter, t time.Duration, now time.Time) {
	for _, route := range slices.Sorted(maps.Keys(s.rates)) {
		mean := s.rates[route] / float64(s.routers) * simStep.Seconds()
		for range poisson(s.rng, mean) {
			s.request(r, route, t, now)
		}
	}
}

// poisson returns a random number of arrivals.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}

func (s *simulation) request(r *simRouter, route string, t time.Duration, now time.Time) {
	if t <= s.duration {
		s.sent++
	}
	samples := r.report.Routes[route]
	preference := r.follower.Prefer(now, route, s.rng.Float64(), false)
	took := time.Duration((0.5 + s.rng.ExpFloat64()) * float64(100*time.Millisecond))
	if preference == Previous || preference == OnlyPrevious {
		samples.Old.Sent++
		samples.Old.Add(s.usual(), took, 100*time.Millisecond, took)
		samples.MayInterrupt = route == "plan"
		r.report.Routes[route] = samples
		if !samples.MayInterrupt {
			r.running = append(r.running, t+took)
		}
		return
	}
	s.recordSentToNew(t)
	upstream := fmt.Sprint("u-", s.rng.IntN(2))
	n := samples.New[upstream]
	n.Sent++
	outcome := s.usual()
	if s.version.isBad() && t >= s.version.after && (s.version.route == "" || s.version.route == route) {
		switch draw := s.rng.Float64(); {
		case draw < s.version.failShare:
			outcome = Failed
			s.countBad(t)
		case draw < s.version.failShare+s.version.slowShare:
			took = time.Duration(s.version.slowFactor * float64(took))
			s.countBad(t)
		}
	}
	n.Add(outcome, took, 100*time.Millisecond, took)
	if samples.New == nil {
		samples.New = map[string]Samples{}
	}
	samples.New[upstream] = n
	r.report.Routes[route] = samples
}

// usual returns the outcome of a request that the version has no influence on.
func (s *simulation) usual() Outcome {
	if s.rng.Float64() < 0.02 {
		return Failed
	}
	return Succeeded
}

func (s *simulation) recordSentToNew(t time.Duration) {
	s.lastSentToNew = t
	if t <= s.duration {
		s.sentToNew++
	}
}

func (s *simulation) countBad(t time.Duration) {
	if s.badAnswers++; s.badAnswers == 50 {
		s.fiftieth = t
	}
}

// exchange plays a report and its reply.
func (s *simulation) exchange(d *Decider, r *simRouter, routers []*simRouter, t time.Duration, now time.Time) {
	if r.report.Age > 0 {
		r.report.Age = t
	}
	r.report.RunningOld = 0
	for _, end := range r.running {
		if end > t {
			r.report.RunningOld++
		}
	}
	r.report.Finishing = r.follower.Finishing()
	r.report.RolledBack = r.follower.State() == RolledBack
	copied := r.report
	copied.Routes = map[string]RouteSamples{}
	for name, samples := range r.report.Routes {
		byUpstream := map[string]Samples{}
		for u, n := range samples.New {
			byUpstream[u] = n
		}
		samples.New = byUpstream
		copied.Routes[name] = samples
	}
	d.Add(now, copied)
	var ids []string
	for _, other := range routers {
		ids = append(ids, other.id)
	}
	decision := s.decide(d, t, now, ids)
	r.follower.Apply(now, decision.Directive)
	if decision.Complete {
		d.End(Completed, "")
		s.outcome, s.ended = Completed, t
	}
	if decision.Directive.State == RolledBack && s.outcome == InProgress && s.allKnow(routers) {
		s.outcome, s.ended, s.reason = RolledBack, t, decision.Reason
	}
}

// decide returns the decision of this step: a decider decides a few times a second, not for each report.
func (s *simulation) decide(d *Decider, t time.Duration, now time.Time, routers []string) Decision {
	if s.decidedBy != d || t-s.decidedAt >= 2*simStep {
		s.decidedBy, s.decidedAt, s.decision = d, t, d.Decide(now, routers)
	}
	return s.decision
}

func (s *simulation) allKnow(routers []*simRouter) bool {
	for _, r := range routers {
		if r.follower.State() != RolledBack {
			return false
		}
	}
	return true
}

func newSimulation(seed uint64, v version) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 1)), version: v, routers: 30, duration: 12 * time.Second,
		rates: map[string]float64{"plan": 100, "chat": 178, "tag": 196}}
}

// checkBound checks the bound on what a bad version may get.
func (s *simulation) checkBound(t require.TestingT) {
	require.LessOrEqual(t, float64(s.sentToNew), simLimits.Share*float64(s.sent)+float64(simLimits.Slack),
		"%+v: new version got %d of %d", s.version, s.sentToNew, s.sent)
	if s.fiftieth > 0 {
		require.LessOrEqual(t, s.lastSentToNew, s.fiftieth+5*time.Second, "%+v", s.version)
	}
}

// Guards against good versions that are rolled back by chance, or not completed by the deadline.
func TestGoodVersionsAreCompleted(t *testing.T) {
	late := 0
	for seed := range uint64(40) {
		s := newSimulation(seed, version{})
		s.run()
		require.Equal(t, Completed, s.outcome, "seed %d: %s", seed, s.reason)
		if s.ended > s.duration {
			late++
			t.Logf("seed %d: %v after the deadline", seed, s.ended-s.duration)
		}
	}
	require.Zero(t, late, "completed after the deadline")
}

// Guards against a bad version that gets more requests than allowed, in each way in which a version can be bad.
func TestBadVersionsAreRolledBack(t *testing.T) {
	const second = time.Second
	for name, v := range map[string]version{
		"fails":                    {failShare: 0.3},
		"fails all":                {failShare: 1},
		"fails later":              {failShare: 0.5, after: 6 * second},
		"fails on one route":       {failShare: 0.4, route: "plan"},
		"slow":                     {slowShare: 1, slowFactor: 4},
		"slow by 2":                {slowShare: 1, slowFactor: 2.5},
		"partly slow":              {slowShare: 0.5, slowFactor: 5},
		"slow later":               {slowShare: 0.7, slowFactor: 6, after: 7 * second},
		"slow on one route":        {slowShare: 0.8, slowFactor: 5, route: "chat"},
		"fails in the last second": {failShare: 0.5, after: 11 * second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSimulation(seed, v)
				s.run()
				s.checkBound(t)
				if v.after < 10*second {
					require.Equal(t, RolledBack, s.outcome, "seed %d: %d of %d, %d bad", seed, s.sentToNew, s.sent, s.badAnswers)
				}
			}
		})
	}
}

// Guards against a version that slows down half of its answers by a factor of 2 and still gets requests five
// seconds after its fiftieth slow answer.
func TestMildlySlowVersionIsRolledBack(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, version{slowShare: 0.5, slowFactor: 2})
		for route := range s.rates {
			s.rates[route] *= 3
		}
		s.run()
		s.checkBound(t)
		require.Equal(t, RolledBack, s.outcome, "seed %d", seed)
	}
}

// Guards against a bad version that gets more requests than allowed while routers restart, reports are
// lost and the decider is replaced.
func TestBoundWithFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := version{
			failShare:  rapid.SampledFrom([]float64{0, 0.2, 0.5, 1}).Draw(t, "failures"),
			slowShare:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "slow"),
			slowFactor: rapid.Float64Range(2, 8).Draw(t, "factor"),
			after:      time.Duration(rapid.IntRange(0, 11_000).Draw(t, "after")) * time.Millisecond,
			route:      rapid.SampledFrom([]string{"", "plan", "chat"}).Draw(t, "route"),
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), v)
		s.routers = rapid.IntRange(1, 60).Draw(t, "routers")
		s.lostReports = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost")
		s.restartEvery = time.Duration(rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "restarts")) * time.Second
		for range rapid.IntRange(0, 2).Draw(t, "replacements") {
			s.replaceDecider = append(s.replaceDecider, time.Duration(rapid.IntRange(0, 12_000).Draw(t, "at"))*time.Millisecond)
		}
		scale := rapid.SampledFrom([]float64{0.02, 0.2, 1, 3}).Draw(t, "load")
		for route := range s.rates {
			s.rates[route] *= scale
		}
		s.run()
		if v.isBad() {
			s.checkBound(t)
		}
	})
}
