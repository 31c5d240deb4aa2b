package gateway

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/rollout"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/cespare/xxhash/v2"
)

// answerOverhead is the time that an answer takes besides its prefill.
const answerOverhead = 10 * time.Millisecond

var _ pool.Versions = (*rollouts)(nil)

// Eligible implements pool.Versions.
func (r *rollouts) Eligible(req *serving.Request, attempts []serving.Attempt, ups []directory.Upstream) []directory.Upstream {
	sr := (*r.active.Load())[req.Service.Name]
	if sr == nil {
		return ups
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.awaitsStateLocked(time.Now()) {
		return nil
	}
	preference := sr.follower.Prefer(time.Now(), req.Route.Name, drawOf(req.ID), len(attempts) > 0)
	if version, bound := req.BoundVersion(attempts); bound && sr.servesLocked(version, preference) {
		return ups // the version at which a stream must go on is not a matter of preference
	}
	return sr.selectLocked(preference, ups)
}

// servesLocked reports whether upstreams of a version may continue streams that it began. Those of the new
// version may while directives are fresh, so that the router learns in time that the version is bad, also if its canaries have had
// their part of the bound, and until the store holds that it is bad: no other upstream can.
func (sr *serviceRollout) servesLocked(version string, p rollout.Preference) bool {
	switch p {
	case rollout.OnlyPrevious:
		return version == sr.order().Version && sr.follower.EndPending(time.Now())
	case rollout.OnlyNext:
		return false
	case rollout.Next, rollout.Canary:
		return true
	}
	if sr.earlier.Rejects(version) {
		return false
	}
	return version != sr.order().Version || sr.follower.Fresh(time.Now())
}

// awaitsStateLocked reports whether the router has just started and does not know yet whether the upstreams
// of the previous version have stopped, or the new version has proven bad.
func (sr *serviceRollout) awaitsStateLocked(now time.Time) bool {
	return now.Before(sr.stateUntil) && !sr.follower.Fresh(now) && !sr.follower.State().Final()
}

// drawOf returns a number from 0 to 1 that is the same at each choice for a request.
func drawOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// selection is the part of a list of upstreams that a preference allows. The directory replaces its lists
// on each change, so a list is identified by its first element and its length.
type selection struct {
	first    *directory.Upstream
	n        int
	selected []directory.Upstream
}

// selectLocked returns the upstreams that a preference allows. It is called for each request, and a service
// may have hundreds of upstreams, so results are kept until the list or the directive changes.
func (sr *serviceRollout) selectLocked(p rollout.Preference, ups []directory.Upstream) []directory.Upstream {
	if len(ups) == 0 {
		return ups
	}
	if s, ok := sr.selections[p]; ok && s.first == &ups[0] && s.n == len(ups) {
		return s.selected
	}
	selected := sr.filterLocked(p, ups)
	if sr.selections == nil {
		sr.selections = map[rollout.Preference]selection{}
	}
	sr.selections[p] = selection{first: &ups[0], n: len(ups), selected: selected}
	return selected
}

func (sr *serviceRollout) filterLocked(p rollout.Preference, ups []directory.Upstream) []directory.Upstream {
	var previous, next, test, uncertain []directory.Upstream
	for _, u := range ups {
		switch {
		case sr.isOutLocked(u):
			if sr.earlierUncertain && !sr.earlier.Rejects(u.Version) {
				uncertain = append(uncertain, u)
			}
			continue
		case !sr.isNew(u):
			previous = append(previous, u)
			continue
		case sr.canaries[u.Incarnation]:
			test = append(test, u)
		}
		next = append(next, u)
	}
	switch p {
	case rollout.OnlyPrevious:
		if len(previous) == 0 && sr.earlier.Completed == sr.order().Version {
			return next // it had served alone before it was ordered again
		}
		return previous
	case rollout.OnlyNext:
		return sr.withLaterLocked(next, previous)
	case rollout.Canary:
		return firstNonEmpty(test, previous, next, uncertain)
	case rollout.Next:
		return firstNonEmpty(next, previous, uncertain)
	}
	return firstNonEmpty(previous, next, uncertain)
}

func firstNonEmpty(lists ...[]directory.Upstream) []directory.Upstream {
	for _, l := range lists {
		if len(l) > 0 {
			return l
		}
	}
	return nil
}

// withLaterLocked adds upstreams of other versions that registered after the roll-out was complete; the
// earlier ones have stopped, although their entries may remain for seconds.
func (sr *serviceRollout) withLaterLocked(next, others []directory.Upstream) []directory.Upstream {
	ended := sr.follower.EndedAt()
	for _, u := range others {
		if ended > 0 && u.Registered > ended {
			next = append(next, u)
		}
	}
	return next
}

func (sr *serviceRollout) isNew(u directory.Upstream) bool { return u.Version == sr.order().Version }

// Begin implements pool.Versions.
func (r *rollouts) Begin(req *serving.Request, u directory.Upstream, prefill time.Duration) func(serving.Result, time.Duration, time.Duration) {
	sr := (*r.active.Load())[req.Service.Name]
	if sr == nil {
		return nil
	}
	mayInterrupt := req.Route.Idempotent() && req.Route.MaxRuns > 1
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.follower.State().Final() {
		return nil
	}
	r.g.metrics.rolloutRequest(req.Service.Name, sr.isNew(u))
	sr.updateLocked(req.Route.Name, u, func(s *rollout.Samples) { s.Sent++ })
	sr.routes[req.Route.Name].MayInterrupt = mayInterrupt
	countsAsRunning := !sr.isNew(u) && !mayInterrupt
	if countsAsRunning {
		sr.runningOld++
	}
	return func(result serving.Result, first, ran time.Duration) {
		sr.mu.Lock()
		defer sr.mu.Unlock()
		if countsAsRunning {
			sr.runningOld--
		}
		if result == serving.Unreached {
			sr.updateLocked(req.Route.Name, u, func(s *rollout.Samples) { s.Sent-- })
		}
		if outcome, counts := rolloutOutcome(result); counts {
			sr.updateLocked(req.Route.Name, u, func(s *rollout.Samples) { s.Add(outcome, first, prefill+answerOverhead, ran) })
		}
	}
}

// rolloutOutcome returns what a result says about a version; false if it says nothing.
func rolloutOutcome(result serving.Result) (o rollout.Outcome, counts bool) {
	switch result {
	case serving.Complete:
		return rollout.Succeeded, true
	case serving.Failed, serving.Unknown, serving.Broken:
		return rollout.Failed, true
	case serving.OutOfTime:
		return rollout.TimedOut, true
	}
	return 0, false
}

// updateLocked changes the samples of a route and an upstream.
func (sr *serviceRollout) updateLocked(route string, u directory.Upstream, change func(*rollout.Samples)) {
	s := sr.routes[route]
	if s == nil {
		s = &rollout.RouteSamples{New: map[string]rollout.Samples{}}
		sr.routes[route] = s
	}
	if !sr.isNew(u) {
		change(&s.Old)
		return
	}
	n := s.New[u.Incarnation.String()]
	change(&n)
	s.New[u.Incarnation.String()] = n
}
