package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// eventWeight is the weight of one stream's report in eventInterval.
	eventWeight = 0.2
	// quickerWeight and slowerWeight are the weights in baseInterval. A stream that was delayed
	// throughout reports too long an interval, so longer ones count for little; an engine that
	// becomes slow is detected after about twenty reports, within seconds.
	quickerWeight = 0.5
	slowerWeight  = 0.05
	// minReports is the number of reports from which an engine may be reserved for short
	// prompts. Where a router has few streams per engine, a single slow first report made
	// routers disagree on the preferred engines of prompts.
	minReports = 3
	// baselineQuantile is the quantile of a service's intervals, fastest first, that counts as
	// usual: a single outlier does not make all others count as slow.
	baselineQuantile = 0.25
	// maxSlowness bounds an engine's slowness.
	maxSlowness = 4.0
)

// movingAverage returns the exponentially weighted average after one more value; an average of 0 is unset.
func movingAverage(average, value time.Duration, weight float64) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(weight*float64(value-average))
}

// observeIntervals adds one stream's report.
func (s *state) observeIntervals(iv eventIntervals) {
	weight := quickerWeight
	if iv.minMean > s.baseInterval {
		weight = slowerWeight
	}
	s.reports++
	s.baseInterval = movingAverage(s.baseInterval, iv.minMean, weight)
	s.eventInterval = movingAverage(s.eventInterval, iv.mean, eventWeight)
}

// baselineInterval returns the interval that others are compared with, 0 if none is known. It sorts its argument.
func baselineInterval(intervals []time.Duration) time.Duration {
	known := slices.DeleteFunc(intervals, func(d time.Duration) bool { return d == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[int(baselineQuantile*float64(len(known)-1))]
}

// slowness returns the ratio of an engine's event interval to the usual one, from 1 to maxSlowness.
func slowness(interval, usual time.Duration) float64 {
	if interval == 0 || usual == 0 {
		return 1
	}
	return min(maxSlowness, max(1, float64(interval)/float64(usual)))
}

const (
	// gapWindows histograms of gapWindow each are kept: long enough that a quiet period which
	// results from the separation of long and short prompts does not end the separation.
	gapWindows = 4
	gapWindow  = 10 * time.Second
	// minGaps is the number of long gaps needed for a percentile.
	minGaps = 10
	// minGapShare is the share of the goal from which a gap counts as caused by a
	// prefill; shorter ones are the normal time between events.
	minGapShare = 0.3
	// gapPercentile is the percentile of those gaps that decides whether an engine is stall-prone.
	gapPercentile = 90
	// maxGapHundredths bounds a recorded gap, in hundredths of its goal.
	maxGapHundredths = 1000
	// gapRefresh is the minimum time between computations of the percentile, which copy the windows.
	gapRefresh = 250 * time.Millisecond
)

// serviceGaps records the gaps between events of a service's streams, as shares of their routes' goals
// divided by their engines' slowness.
type serviceGaps struct {
	mu      sync.Mutex
	recent  *hdrhistogram.WindowedHistogram // hundredths of the goal
	rotated time.Time
	// percentile is a share of the goal, as of refreshedAt.
	percentile  float64
	refreshedAt time.Time
}

// observe adds a gap, as a share of its goal.
func (g *serviceGaps) observe(now time.Time, ofGoal float64) {
	if ofGoal < minGapShare {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recent == nil || now.Sub(g.rotated) > gapWindows*gapWindow {
		const digits = 2
		g.recent, g.rotated = hdrhistogram.NewWindowed(gapWindows, 1, maxGapHundredths, digits), now
	}
	for now.Sub(g.rotated) >= gapWindow {
		g.recent.Rotate()
		g.rotated = g.rotated.Add(gapWindow)
	}
	_ = g.recent.Current.RecordValue(int64(min(maxGapHundredths, 100*ofGoal))) // cannot fail: always within bounds
	if now.Sub(g.refreshedAt) < gapRefresh {
		return
	}
	g.refreshedAt = now
	if all := g.recent.Merge(); all.TotalCount() >= minGaps {
		g.percentile = float64(all.ValueAtQuantile(gapPercentile)) / 100
	}
}

// share returns the gapPercentile of the gaps that prefills cause, as a share of the goal; 0 while
// unknown.
func (g *serviceGaps) share() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.percentile
}
