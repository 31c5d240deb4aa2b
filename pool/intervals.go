package pool

import "time"

// intervalWindow is the number of events over which a stream's interval is averaged. Events
// sometimes arrive in bursts, so a single interval is not representative.
const intervalWindow = 4

// reportEvents is the number of events between two reports of a stream's intervals: streams last
// seconds, and reports at their end would show a slow engine too late.
const reportEvents = 12

// eventIntervals measures the time between the events of one stream.
type eventIntervals struct {
	recent     [intervalWindow]time.Time // ring buffer of the last events' times
	events     int
	reportedAt time.Time
	// minMean is the shortest mean over intervalWindow events in a row, an estimate of the
	// interval without delays; 0 before there are enough events.
	minMean time.Duration
	// mean is the mean interval since the previous report.
	mean time.Duration
}

// observe records an event, and reports whether a report is due.
func (e *eventIntervals) observe(now time.Time) bool {
	if e.events == 0 {
		e.reportedAt = now
	}
	oldest := &e.recent[e.events%intervalWindow]
	if e.events >= intervalWindow {
		if mean := now.Sub(*oldest) / intervalWindow; e.minMean == 0 || mean < e.minMean {
			e.minMean = mean
		}
	}
	*oldest = now
	e.events++
	if e.events%reportEvents != 0 {
		return false
	}
	e.mean, e.reportedAt = now.Sub(e.reportedAt)/reportEvents, now
	return true
}
