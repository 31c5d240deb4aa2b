package rollout

import "time"

const (
	// recentWindow is the time over which recent answers are compared by themselves: the good answers of
	// a version that turns bad later would hide the bad ones.
	recentWindow = 3 * time.Second
	// historyInterval is the time between two recorded sums.
	historyInterval = 500 * time.Millisecond
)

// history holds the evidence at earlier times, oldest first.
type history []moment

type moment struct {
	elapsed time.Duration
	routes  map[string]evidence
}

// since records the evidence and returns that of the last recentWindow.
func (h *history) since(elapsed time.Duration, routes map[string]evidence) map[string]evidence {
	if n := len(*h); n == 0 || elapsed-(*h)[n-1].elapsed >= historyInterval {
		*h = append(*h, moment{elapsed, routes})
	}
	for len(*h) > 1 && elapsed-(*h)[1].elapsed >= recentWindow {
		*h = (*h)[1:]
	}
	recent := map[string]evidence{}
	for name, e := range routes {
		recent[name] = e.less((*h)[0].routes[name])
	}
	return recent
}

// less returns the evidence without an earlier sum of it. The previous version's answers stay: they are the
// measure.
func (e evidence) less(earlier evidence) evidence {
	out := evidence{old: e.old, new: e.new.without(earlier.new), byUpstream: map[string]Samples{}}
	for upstream, s := range e.byUpstream {
		out.byUpstream[upstream] = s.without(earlier.byUpstream[upstream])
	}
	return out
}
