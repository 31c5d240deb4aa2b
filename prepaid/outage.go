package prepaid

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// outage tracks whether a dependency answers. It is safe for concurrent use.
type outage struct {
	mu     sync.Mutex
	failed time.Time // time of the last failure; zero while the dependency answers
	ended  time.Time // end of the last outage
}

// endedWithin reports whether an outage ended less than d ago.
func (o *outage) endedWithin(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ended.IsZero() && time.Since(o.ended) < d
}

// ongoing reports whether the last call failed.
func (o *outage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failed.IsZero()
}

// failedWithin reports whether the last call failed less than d ago.
func (o *outage) failedWithin(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failed.IsZero() && time.Since(o.failed) < d
}

// record stores the outcome of a call and reports whether it differs from the previous one.
func (o *outage) record(failed bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := !o.failed.IsZero()
	o.failed = time.Time{}
	switch {
	case failed:
		o.failed = time.Now()
	case was:
		o.ended = time.Now()
	}
	return was != failed
}

// outageSet holds the outages of several dependencies, by name. It is safe for concurrent use.
type outageSet struct {
	mu     sync.Mutex
	byName map[string]*outage
}

func (o *outageSet) of(name string) *outage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byName == nil {
		o.byName = map[string]*outage{}
	}
	if o.byName[name] == nil {
		o.byName[name] = &outage{}
	}
	return o.byName[name]
}

// ongoing lists the dependencies whose last call failed.
func (o *outageSet) ongoing() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, entry := range o.byName {
		if entry.ongoing() {
			out = append(out, name)
		}
	}
	return out
}

func (o *outageSet) forget(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byName, name)
}

// conditionTimers records since when a condition has held, by name. It is safe for concurrent use.
type conditionTimers struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// heldFor records whether the condition holds and returns for how long it has.
func (t *conditionTimers) heldFor(now time.Time, name string, holds bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since == nil {
		t.since = map[string]time.Time{}
	}
	if !holds {
		delete(t.since, name)
		return 0
	}
	if t.since[name].IsZero() {
		t.since[name] = now
	}
	return now.Sub(t.since[name])
}

// holds reports whether the condition held when it was last recorded.
func (t *conditionTimers) holds(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.since[name].IsZero()
}

// elapsed returns for how long the condition had held when it was last recorded, as of now.
func (t *conditionTimers) elapsed(now time.Time, name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since[name].IsZero() {
		return 0
	}
	return now.Sub(t.since[name])
}

// drop removes the names for which the condition is over.
func (t *conditionTimers) drop(over func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.since, func(name string, _ time.Time) bool { return over(name) })
}

// retain removes the names that are not listed.
func (t *conditionTimers) retain(listed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.since, func(name string, _ time.Time) bool { return !slices.Contains(listed, name) })
}

// recentTimes records when an event last occurred, by name. It forgets times older than
// recentRetention. It is safe for concurrent use.
type recentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

// recentRetention is longer than any duration passed to within. pruneThreshold is the number of
// names from which old ones are pruned.
const (
	recentRetention = time.Minute
	pruneThreshold  = 64
)

func (r *recentTimes) record(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at == nil {
		r.at = map[string]time.Time{}
	}
	now := time.Now()
	if len(r.at) >= pruneThreshold {
		maps.DeleteFunc(r.at, func(_ string, at time.Time) bool { return now.Sub(at) > recentRetention })
	}
	r.at[name] = now
}

// within reports whether the event occurred less than d ago.
func (r *recentTimes) within(name string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.at[name]
	return ok && time.Since(t) < d
}

// inFlight counts operations in progress, by name. It is safe for concurrent use.
type inFlight struct {
	mu     sync.Mutex
	byName map[string]int
}

// begin counts an operation as started; the returned func counts it as ended.
func (f *inFlight) begin(name string) (end func()) {
	f.add(name, 1)
	return func() { f.add(name, -1) }
}

func (f *inFlight) add(name string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byName == nil {
		f.byName = map[string]int{}
	}
	if f.byName[name] += n; f.byName[name] == 0 {
		delete(f.byName, name)
	}
}

func (f *inFlight) has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byName[name] > 0
}

// nameSet is a set of names. It is safe for concurrent use.
type nameSet struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func (s *nameSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]struct{}{}
	}
	s.names[name] = struct{}{}
}

func (s *nameSet) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.names[name]
	return ok
}

func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}

// list returns the names in order.
func (s *nameSet) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.names))
}

// retain removes the names that are not listed.
func (s *nameSet) retain(listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.names, func(name string, _ struct{}) bool { return !slices.Contains(listed, name) })
}

// drain returns the names and empties the set.
func (s *nameSet) drain() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Collect(maps.Keys(s.names))
	s.names = nil
	return names
}
