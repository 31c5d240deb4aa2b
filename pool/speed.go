package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// eventWeight is the weight of one report of a stream in the time for an event.
	eventWeight = 0.2
	// quickerWeight and slowerWeight are those in an engine's pace. A stream that was held
	// up all the while tells a pace that is too slow, so a slower one counts for little; an
	// engine that turns slow is known after some twenty reports, which is seconds.
	quickerWeight = 0.5
	slowerWeight  = 0.05
	// leastReports is the number of reports from which an engine may be left to short
	// prompts. Where a router sees little of each engine, a first report that happened to
	// be slow made homes of prompts differ from router to router.
	leastReports = 3
	// usualRank is the rank, among the paces of a service from the fastest on, that
	// counts as usual: one odd engine does not make all others slow.
	usualRank = 0.25
	// mostSlowness bounds what an engine is taken for.
	mostSlowness = 4.0
)

// moved is an average after one more value of that weight.
func moved(average, value time.Duration, weight float64) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(weight*float64(value-average))
}

// paced takes one report of a stream.
func (s *state) paced(of pace) {
	weight := quickerWeight
	if of.least > s.pace {
		weight = slowerWeight
	}
	s.reports++
	s.pace = moved(s.pace, of.least, weight)
	s.eventTime = moved(s.eventTime, of.mean, eventWeight)
}

// usualPace is the pace that others are compared with, 0 if none is known. It sorts them.
func usualPace(paces []time.Duration) time.Duration {
	known := slices.DeleteFunc(paces, func(d time.Duration) bool { return d == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[int(usualRank*float64(len(known)-1))]
}

// slowness is how many times as long as usual an engine takes, at least 1.
func slowness(pace, usual time.Duration) float64 {
	if pace == 0 || usual == 0 {
		return 1
	}
	return min(mostSlowness, max(1, float64(pace)/float64(usual)))
}

const (
	// pauseWindows of pauseWindow each are remembered of streams' pauses: long enough
	// that calm moments do not end a separation that makes them calm.
	pauseWindows = 4
	pauseWindow  = 10 * time.Second
	// pauseLeast is the number of long pauses from which they say something.
	pauseLeast = 10
	// pauseFrom is the share of its goal from which a pause counts as one that the
	// reading of prompts made; shorter ones are the usual time between events.
	pauseFrom = 0.3
	// pausePercentile is the percentile of those pauses by which engines are judged.
	pausePercentile = 90
	// mostPause bounds a pause, in hundredths of its goal.
	mostPause = 1000
	// pauseRefresh is how often the percentile is taken anew: it copies the windows.
	pauseRefresh = 250 * time.Millisecond
)

// pauses is how long streams of a service are held up, as shares of their routes' goals
// and set against the slowness of their engines.
type pauses struct {
	mu      sync.Mutex
	recent  *hdrhistogram.WindowedHistogram // hundredths of the goal
	rotated time.Time
	// ofGoal is the percentile as of taken.
	ofGoal float64
	taken  time.Time
}

// note adds a pause.
func (p *pauses) note(now time.Time, ofGoal float64) {
	if ofGoal < pauseFrom {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recent == nil || now.Sub(p.rotated) > pauseWindows*pauseWindow {
		const digits = 2
		p.recent, p.rotated = hdrhistogram.NewWindowed(pauseWindows, 1, mostPause, digits), now
	}
	for now.Sub(p.rotated) >= pauseWindow {
		p.recent.Rotate()
		p.rotated = p.rotated.Add(pauseWindow)
	}
	_ = p.recent.Current.RecordValue(int64(min(mostPause, 100*ofGoal))) // always within its bounds
	if now.Sub(p.taken) < pauseRefresh {
		return
	}
	p.taken = now
	if all := p.recent.Merge(); all.TotalCount() >= pauseLeast {
		p.ofGoal = float64(all.ValueAtQuantile(pausePercentile)) / 100
	}
}

// share is how long streams are held up while prompts are read, as a share of the goal; 0
// while it is not known.
func (p *pauses) share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ofGoal
}
