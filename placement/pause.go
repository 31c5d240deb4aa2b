package placement

import (
	"time"

	"github.com/arbutusmill/arbutusmill/serving"
)

// Engines read prompts in pieces between the tokens of the streams that run there. Behind
// a long prompt, or several in a row, every event of those streams takes several pieces'
// time; where that passes the routes' goal for pauses, all streams of the engine are late
// at once. Slow engines pass it first. The load pattern that this answers: long prompts
// and many streams with short prompts share engines of unequal speed.
//
// So engines at which reading holds streams up for too long are left to short prompts: long
// ones have no home there, and pay for each stream that they would hold up; short ones pay
// for going where the long ones are. Either goes to the other engines all the same when
// its own are so busy that this costs less.
const (
	// exposedFrom is the expected pause, as a share of its goal, from which an engine is
	// left to short prompts; below it, few of its streams are late. exposedUntil is the
	// share below which it gets long ones again: each change moves homes, and what is
	// cached at the old ones is read or moved again.
	exposedFrom  = 1.12
	exposedUntil = 0.95
	// heldUpCost is the cost of one stream that a long prompt holds up too long, in time
	// to the first event of that prompt: forty streams outweigh the second that most
	// routes allow for it.
	heldUpCost = 25 * time.Millisecond
	// mixedCost is the cost of a short prompt among long ones, likewise. With 150 ms the
	// engines left to short prompts were too full in bursts (0.5 to 3 in 100 less worth).
	mixedCost = 60 * time.Millisecond
	// answerShare is the share of a stream's expected time that is cost for a short prompt.
	// With 0, engines left to short prompts took so many that in bursts one in ten streams
	// passed its deadline.
	answerShare = 0.03
	// longShare is the share of the goal for pauses from which reading a whole prompt
	// counts as long: a few such in a row pass the goal. With 0.5 most of the long prompts
	// of a mixed load counted as short.
	longShare = 0.2
)

// StallProne reports whether streams at an engine are held up too long while it reads prompts.
// Was is the verdict before; pauseOfGoal is how long streams of the service are held up at an
// engine of usual speed, as a share of their routes' goals, and slowness is how many times as
// long as others this one takes.
func StallProne(was bool, pauseOfGoal, slowness float64) bool {
	if was {
		return pauseOfGoal*slowness >= exposedUntil
	}
	return pauseOfGoal*slowness >= exposedFrom
}

// separation is how long and short prompts are kept apart in one choice.
type separation struct {
	// active says that there are engines to be left to short prompts.
	active bool
	// long says that the request's prompt is long.
	long bool
	// homes are the engines among which the prompt's home is found.
	homes []int
}

// separate looks at the usable engines. All of them are alike unless at least half stay for
// long prompts.
func separate(r *serving.Request, ups []Upstream, usable []int, rates Rates) separation {
	s := separation{homes: usable}
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
	reading := float64(r.Prompt) / rates.PrefillPerMs * float64(time.Millisecond)
	s.long = reading >= longShare*float64(goal)
	if s.active && s.long {
		s.homes = forLong
	}
	return s
}

// cost is what it costs to read the prompt at an engine with that many streams.
func (s separation) cost(r *serving.Request, u Upstream, streams float64) time.Duration {
	exposed := s.active && u.StallProne
	switch {
	case s.long && exposed:
		return time.Duration(streams * float64(heldUpCost))
	case s.long:
		return 0
	case s.active && !exposed:
		return mixedCost + answering(r, u)
	}
	return answering(r, u)
}

// answering is the cost of the time that the answer takes at an engine. Streams that last
// long hold their places long, and more of them are cut when an engine is lost.
func answering(r *serving.Request, u Upstream) time.Duration {
	if r.Service.Engine == nil {
		return 0
	}
	events := float64(r.MaxOutput) / float64(r.Service.Engine.TokensPerEvent)
	return time.Duration(answerShare * events * float64(u.EventInterval))
}
