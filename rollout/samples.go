package rollout

import (
	"math"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// slownessClasses is the number of classes of slowness. Class k holds answers that took between
// 2^((k-1)/2) and 2^(k/2) times as long as estimated; the last one also holds all slower ones.
const slownessClasses = 16

// maxSlowness is the class of requests whose time ran out.
const maxSlowness = slownessClasses - 1

// Samples counts the results of requests on one route.
type Samples struct {
	// Sent are the requests sent to upstreams, including those that the upstreams declined, and those that wait for a connection.
	Sent int `json:"sent"`
	// Answered are the requests that were answered or failed, Failed those that failed.
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// Slowness counts the answers by class, those that ran out of time in the last one.
	Slowness [slownessClasses]int `json:"slowness"`
	// RanMS is the total time (ms) that the answered requests ran.
	RanMS int64 `json:"ran_ms"`
}

// Outcome is the result of a request that an upstream ran.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed
	// TimedOut means that the deadline passed before the answer was complete.
	TimedOut
)

// Add counts a request. first is the time to the first byte of the answer's content and estimate what
// it should have taken; ran is the time to the end.
func (s *Samples) Add(o Outcome, first, estimate, ran time.Duration) {
	s.Answered++
	s.RanMS += ran.Milliseconds()
	switch o {
	case Failed:
		s.Failed++
	case TimedOut:
		s.Slowness[maxSlowness]++
	case Succeeded:
		s.Slowness[slownessClass(first, estimate)]++
	}
}

func slownessClass(took, estimate time.Duration) int {
	if took <= estimate || estimate <= 0 {
		return 0
	}
	class := math.Ceil(2 * math.Log2(float64(took)/float64(estimate)))
	return min(int(class), maxSlowness)
}

// merge adds other to s.
func (s *Samples) merge(other Samples) {
	s.Sent += other.Sent
	s.Answered += other.Answered
	s.Failed += other.Failed
	s.RanMS += other.RanMS
	for k, n := range other.Slowness {
		s.Slowness[k] += n
	}
}

// without returns s less other, which is part of it.
func (s Samples) without(other Samples) Samples {
	s.Sent -= other.Sent
	s.Answered -= other.Answered
	s.Failed -= other.Failed
	s.RanMS -= other.RanMS
	for k, n := range other.Slowness {
		s.Slowness[k] -= n
	}
	return s
}

// slowerThan returns the number of answers in classes above class, and the number of all answers that
// have a class.
func (s Samples) slowerThan(class int) (slow, all int) {
	for k, n := range s.Slowness {
		all += n
		if k > class {
			slow += n
		}
	}
	return slow, all
}

// quantile returns the lowest class such that at most 1-q of the answers are in higher ones.
func (s Samples) quantile(q float64) int {
	for class := range slownessClasses {
		if slow, all := s.slowerThan(class); float64(slow) <= (1-q)*float64(all) {
			return class
		}
	}
	return maxSlowness
}

// meanRun returns the mean time that requests ran, 0 without any.
func (s Samples) meanRun() time.Duration {
	if s.Answered == 0 {
		return 0
	}
	return time.Duration(s.RanMS/int64(s.Answered)) * time.Millisecond
}

// RouteSamples holds one router's samples on a route.
type RouteSamples struct {
	// Old are those of the previous version, New those of the new one by upstream.
	Old Samples            `json:"old"`
	New map[string]Samples `json:"new,omitempty"`
	// MayInterrupt reports whether a request of the route can be sent again when its upstream stops.
	MayInterrupt bool `json:"may_interrupt,omitempty"`
}

// Report is what one router has observed since the order; it replaces the router's earlier reports.
type Report struct {
	// Router is the router's incarnation.
	Router  string `json:"router"`
	Service string `json:"service"`
	// Order is the revision of the order that the router knows.
	Order store.Revision `json:"order"`
	// Age is how long the router has known the order, 0 if it was there when the router started.
	Age    time.Duration           `json:"age_ns"`
	Routes map[string]RouteSamples `json:"routes"`
	// RunningOld is the number of the router's requests at upstreams of the previous version that can't
	// be sent again.
	RunningOld int `json:"running_old"`
	// OldUpstreams and NewUpstreams are the upstreams of each version that accept requests.
	OldUpstreams int `json:"old_upstreams"`
	NewUpstreams int `json:"new_upstreams"`
	// Moved are the routes whose requests the router sends to the new version.
	Moved []string `json:"moved,omitempty"`
	// Finishing is set if the router sends nothing to the previous version any more.
	Finishing bool `json:"finishing,omitempty"`
	// RolledBack is set if the router knows that the order was rolled back.
	RolledBack bool `json:"rolled_back,omitempty"`
}
