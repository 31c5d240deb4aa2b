package rollout

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

const (
	// significance is the probability below which a difference to the previous version is not
	// chance. A roll-out makes some hundred comparisons. Without the worst upstream, less is left to
	// compare, and restSignificance is enough.
	significance     = 1e-4
	restSignificance = 1e-2
	// moveSignificance applies to the one comparison before requests are moved.
	moveSignificance = 1e-3
	// The factors and margins below are by how much a version may exceed the previous one's share of
	// failures or slow answers: the two versions' upstreams differ in load and caches.
	failureFactor = 1.5
	failureMargin = 0.01
	slowFactor    = 1.3
	slowMargin    = 0.03
	// minBaseline is the number of the previous version's answers needed for a comparison of times.
	minBaseline = 20
	// certainFailures is the number of failures from which one upstream alone proves a bad version:
	// some seconds later a bad version must get nothing more.
	certainFailures = 25
)

// slowLimit defines a slow answer.
type slowLimit struct {
	quantile float64
	classes  int
}

// slowLimits define slow answers: one is in a class above a quantile of the previous version's answers, and
// by at least some classes above their median. The first finds versions that slow down some answers by
// much, the second those that slow down all answers by little.
var slowLimits = []slowLimit{{0.9, 2}, {0.75, 1}}

// evidence is what all routers observed on one route.
type evidence struct {
	old, new Samples
	// byUpstream are the samples of the new version by upstream.
	byUpstream map[string]Samples
}

// comparison compares the new version with the previous one.
type comparison struct {
	// timed reports whether the times of answers on a route are compared.
	timed func(route string) bool
	// significance is the probability of a difference that counts.
	significance float64
	// anyUpstream is set if a difference counts that one upstream alone makes.
	anyUpstream bool
}

// bad returns why the new version is worse than the previous one, or "".
func (c comparison) bad(routes map[string]evidence) string {
	if failures := c.worseFailures(slices.Collect(maps.Values(routes))); failures != "" {
		return failures
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		e := routes[name]
		if failures := c.worseFailures([]evidence{e}); failures != "" {
			return fmt.Sprintf("route %s: %s", name, failures)
		}
		if times := c.slowerAnswers([]evidence{e}); c.timed(name) && times != "" {
			return fmt.Sprintf("route %s: %s", name, times)
		}
	}
	return c.slowerAnswers(c.timedRoutes(routes))
}

// timedRoutes returns the routes whose times are compared.
func (c comparison) timedRoutes(routes map[string]evidence) (timed []evidence) {
	for name, e := range routes {
		if c.timed(name) {
			timed = append(timed, e)
		}
	}
	return timed
}

// tally counts cases among answers, and how many of them the previous version would have at most.
type tally struct {
	cases, answers int
	allowed        float64
}

// unlikely reports whether so many cases are improbable at the allowed share.
func (t tally) unlikely(significance float64) bool {
	if t.answers == 0 || float64(t.cases) <= t.allowed {
		return false
	}
	share := t.allowed / float64(t.answers)
	if share >= 1 {
		return false
	}
	// The regularized incomplete beta function is the upper tail of the binomial distribution.
	return mathext.RegIncBeta(float64(t.cases), float64(t.answers-t.cases+1), share) < significance
}

// worseFailures compares the share of failures over some routes.
func (c comparison) worseFailures(routes []evidence) string {
	count := func(newSamples func(evidence) Samples) (t tally) {
		for _, e := range routes {
			s := newSamples(e)
			t.cases += s.Failed
			t.answers += s.Answered
			t.allowed += float64(s.Answered) * allowedFailures(e.old)
		}
		return t
	}
	all := count(func(e evidence) Samples { return e.new })
	worst := worstUpstream(routes, func(_ evidence, s Samples) int { return s.Failed })
	rest := count(func(e evidence) Samples { return e.new.without(e.byUpstream[worst]) })
	if !c.differs(all, rest, worst) {
		return ""
	}
	return fmt.Sprintf("%d of %d failed, allowed are %.1f", all.cases, all.answers, all.allowed)
}

// differs reports whether a version differs from the previous one. One upstream may fail for reasons of its
// own: the difference must remain without the worst one. Too few answers of the others leave that open;
// then it counts where any upstream does, or if the cases are many.
func (c comparison) differs(all, rest tally, worst string) bool {
	switch {
	case !all.unlikely(c.significance):
		return false
	case worst == "", rest.unlikely(restSignificance):
		return true
	case rest.fewerThan(all.less(rest)):
		return false
	}
	return c.anyUpstream || all.cases >= certainFailures
}

func (t tally) less(other tally) tally {
	return tally{cases: t.cases - other.cases, answers: t.answers - other.answers, allowed: t.allowed - other.allowed}
}

// fewerThan reports whether so few cases are improbable at the share of another tally.
func (t tally) fewerThan(other tally) bool {
	if t.answers == 0 || other.answers == 0 || t.cases == t.answers {
		return false
	}
	share := float64(other.cases) / float64(other.answers)
	return 1-mathext.RegIncBeta(float64(t.cases+1), float64(t.answers-t.cases), share) < restSignificance
}

// allowedFailures returns the share of failures that the new version may have.
func allowedFailures(old Samples) float64 {
	share := float64(old.Failed) / float64(max(1, old.Answered))
	return min(1, share*failureFactor+failureMargin)
}

// slowerAnswers compares the shares of slow answers over some routes.
func (c comparison) slowerAnswers(routes []evidence) string {
	for _, limit := range slowLimits {
		var all tally
		for _, e := range routes {
			all.add(limit.count(e, e.new))
		}
		worst := worstUpstream(routes, func(e evidence, s Samples) int { return limit.count(e, s).cases })
		var rest tally
		for _, e := range routes {
			rest.add(limit.count(e, e.new.without(e.byUpstream[worst])))
		}
		if c.differs(all, rest, worst) {
			return fmt.Sprintf("%d of %d answers are slow, allowed are %.1f", all.cases, all.answers, all.allowed)
		}
	}
	return ""
}

func (t *tally) add(other tally) {
	t.cases += other.cases
	t.answers += other.answers
	t.allowed += other.allowed
}

// count counts the slow answers among s; none without enough answers of the previous version.
func (l slowLimit) count(e evidence, s Samples) tally {
	class := max(e.old.quantile(l.quantile), e.old.quantile(0.5)+l.classes)
	oldSlow, oldAll := e.old.slowerThan(class)
	if oldAll < minBaseline {
		return tally{}
	}
	slow, all := s.slowerThan(class)
	allowed := min(1, float64(oldSlow)/float64(oldAll)*slowFactor+slowMargin)
	return tally{cases: slow, answers: all, allowed: allowed * float64(all)}
}

// worstUpstream returns the new upstream with the highest count, or "" if fewer than two have answers.
func worstUpstream(routes []evidence, count func(evidence, Samples) int) (worst string) {
	counts := map[string]int{}
	for _, e := range routes {
		for upstream, s := range e.byUpstream {
			if s.Answered > 0 {
				counts[upstream] += count(e, s)
			}
		}
	}
	if len(counts) < 2 {
		return ""
	}
	for _, upstream := range slices.Sorted(maps.Keys(counts)) {
		if worst == "" || counts[upstream] > counts[worst] {
			worst = upstream
		}
	}
	return worst
}
