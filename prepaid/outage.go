package prepaid

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// outage is whether something outside answers.
type outage struct {
	mu     sync.Mutex
	failed time.Time // the last failure; zero while it answers
	ended  time.Time // when it last answered again
}

// endedWithin reports whether an outage ended so recently.
func (o *outage) endedWithin(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ended.IsZero() && time.Since(o.ended) < d
}

// lasts reports whether the last call failed.
func (o *outage) lasts() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failed.IsZero()
}

// within reports whether a call failed so recently.
func (o *outage) within(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failed.IsZero() && time.Since(o.failed) < d
}

// note keeps the outcome of a call and reports whether that changed the belief.
func (o *outage) note(failed bool) bool {
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

// outages are those of several others, by name.
type outages struct {
	mu sync.Mutex
	by map[string]*outage
}

func (o *outages) of(name string) *outage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.by == nil {
		o.by = map[string]*outage{}
	}
	if o.by[name] == nil {
		o.by[name] = &outage{}
	}
	return o.by[name]
}

// lasting lists those that failed last.
func (o *outages) lasting() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, one := range o.by {
		if one.lasts() {
			out = append(out, name)
		}
	}
	return out
}

func (o *outages) forget(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.by, name)
}

// absences is since when others have been missing.
type absences struct {
	mu sync.Mutex
	at map[string]time.Time
}

// since notes whether one is missing and returns for how long it has been.
func (a *absences) since(now time.Time, name string, missing bool) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[string]time.Time{}
	}
	if !missing {
		delete(a.at, name)
		return 0
	}
	if a.at[name].IsZero() {
		a.at[name] = now
	}
	return now.Sub(a.at[name])
}

// lastAsked is when others last asked for something, by name. It forgets what is older than
// rememberAsked.
type lastAsked struct {
	mu sync.Mutex
	at map[string]time.Time
}

// rememberAsked is longer than any time that is asked about, and mostAsked bounds the names
// that are kept without looking for older ones.
const (
	rememberAsked = time.Minute
	mostAsked     = 64
)

func (l *lastAsked) note(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	now := time.Now()
	if len(l.at) >= mostAsked {
		maps.DeleteFunc(l.at, func(_ string, at time.Time) bool { return now.Sub(at) > rememberAsked })
	}
	l.at[name] = now
}

func (l *lastAsked) within(name string, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.at[name]
	return ok && time.Since(t) < d
}

// counts is how many of something are in progress, by name.
type counts struct {
	mu sync.Mutex
	by map[string]int
}

// begin counts one in; the returned func counts it out.
func (c *counts) begin(name string) (end func()) {
	c.add(name, 1)
	return func() { c.add(name, -1) }
}

func (c *counts) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]int{}
	}
	if c.by[name] += n; c.by[name] == 0 {
		delete(c.by, name)
	}
}

func (c *counts) has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[name] > 0
}

// nameSet is a set of names. It is safe for concurrent use.
type nameSet struct {
	mu sync.Mutex
	in map[string]struct{}
}

func (s *nameSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.in == nil {
		s.in = map[string]struct{}{}
	}
	s.in[name] = struct{}{}
}

func (s *nameSet) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.in[name]
	return ok
}

// keep drops the names that are not listed.
func (s *nameSet) keep(listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.in, func(name string, _ struct{}) bool { return !slices.Contains(listed, name) })
}

// take returns the names, and begins anew.
func (s *nameSet) take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Collect(maps.Keys(s.in))
	s.in = nil
	return names
}
