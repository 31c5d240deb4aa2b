package placement

import (
	"time"

	"github.com/arbutusmill/arbutusmill/serving"
)

// Engines prefill in chunks between the tokens of the running streams. During the prefill
// of a long prompt, or of several in a row, every event of those streams takes the time of
// several chunks; above the routes' gap goal, all streams of the engine are late at once.
// Slow engines exceed it first. This occurs when long prompts and many streams with short
// prompts share engines of unequal speed.
//
// So stall-prone engines, where prefills delay streams for too long, are reserved for short
// prompts: long ones don't prefer them, and have a cost for each stream that they would delay;
// short ones have a cost at the other engines. Both still use the other group when their own
// is so busy that this costs less.
const (
	// stallProneEnter is the expected gap, as a share of its goal, from which an engine is
	// reserved for short prompts; below it, few of its streams are late. stallProneExit is
	// the share below which it gets long ones again. Each change moves the preferred engines
	// of prompts, and what is cached at the old ones is prefilled or transferred again.
	stallProneEnter = 1.12
	stallProneExit  = 0.95
	// delayedStreamCost is the cost of one stream that a long prompt delays for too long, as
	// time to the first event of that prompt: forty streams outweigh the second that most
	// routes allow for it.
	delayedStreamCost = 25 * time.Millisecond
	// mixedLoadCost is the cost of a short prompt among long ones, in the same unit. With
	// 150 ms the engines reserved for short prompts were too full in bursts (0.5 to 3 in 100
	// less worth).
	mixedLoadCost = 60 * time.Millisecond
	// durationWeight is the share of a stream's expected duration that counts as cost for a
	// short prompt. With 0, engines reserved for short prompts got so many in bursts that one
	// in ten streams exceeded its deadline.
	durationWeight = 0.03
	// longPromptShare is the share of the gap goal from which a prompt with that prefill time
	// counts as long: a few in a row exceed the goal. With 0.5 most of the long prompts of a
	// mixed load counted as short.
	longPromptShare = 0.2
)

// StallProne reports whether prefills delay streams at an engine for too long. was is the previous
// result, gapShare the gap of the service's streams at an engine of usual speed as a share of
// their routes' goals, and slowness the ratio of this engine's event interval to the usual one.
func StallProne(was bool, gapShare, slowness float64) bool {
	if was {
		return gapShare*slowness >= stallProneExit
	}
	return gapShare*slowness >= stallProneEnter
}

// separation says how one choice separates long and short prompts.
type separation struct {
	// active is set if there are engines reserved for short prompts.
	active bool
	// long is set if the request's prompt is long.
	long bool
	// preferable holds the engines among which the preferred one is found.
	preferable []int
}

// separate determines the separation for the usable engines. There is none unless at least half
// remain for long prompts.
func separate(r *serving.Request, ups []Upstream, usable []int, rates Rates) separation {
	s := separation{preferable: usable}
	goal := r.Route.GapGoal
	if goal <= 0 {
		return s
	}
	var forLong []int
	for _, i := range usable {
		if !ups[i].StallProne {
			forLong = append(forLong, i)
		}
	}
	s.active = len(forLong) < len(usable) && 2*len(forLong) >= len(usable)
	prefillTime := float64(r.Prompt) / rates.PrefillPerMs * float64(time.Millisecond)
	s.long = prefillTime >= longPromptShare*float64(goal)
	if s.active && s.long {
		s.preferable = forLong
	}
	return s
}

// cost returns the cost of the separation for the prompt at an engine with that many streams.
func (s separation) cost(r *serving.Request, u Upstream, streams float64) time.Duration {
	exposed := s.active && u.StallProne
	switch {
	case s.long && exposed:
		return time.Duration(streams * float64(delayedStreamCost))
	case s.long:
		return 0
	case s.active && !exposed:
		return mixedLoadCost + durationCost(r, u)
	}
	return durationCost(r, u)
}

// durationCost returns the cost of the expected duration of the answer at an engine. Long streams
// occupy their slots for long, and more of them are interrupted when an engine is lost.
func durationCost(r *serving.Request, u Upstream) time.Duration {
	if r.Service.Engine == nil {
		return 0
	}
	events := float64(r.MaxOutput) / float64(r.Service.Engine.TokensPerEvent)
	return time.Duration(durationWeight * events * float64(u.EventInterval))
}
