package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// clockTolerance is the difference between the sender's clock and the receiver's from which the
	// receiver derives times from their ages instead: far above the difference between synchronized
	// clocks and the age of a delayed message.
	clockTolerance = time.Minute
	// maxTransit is the time by which a time derived from an age may be too late, since the age does
	// not include the message's way.
	maxTransit = time.Second
)

// record holds the evidence on one prompt. Times are wall-clock times in milliseconds.
type record struct {
	// part is set for a part of prompts. An answer clears a part for good, since one that crashes upstreams
	// crashes each of them before it begins to answer.
	part bool
	// crashes holds the upstream crashes, by incarnation.
	crashes map[string]crash
	// answers holds the time of the last answer by service, 0 if it is unknown.
	answers map[string]int64
	// lastTrial is the time of the last request that was allowed to try the prompt, trialRequest
	// its id.
	lastTrial    time.Time
	trialRequest string
	// trialIndependent is the number of independent crashes at that time.
	trialIndependent int
	// lastStanding is the standing at the last check for expired evidence.
	lastStanding Standing
}

// crash is the crash of an upstream of a service.
type crash struct {
	service string
	at      int64
	// generation is that of Crash.
	generation int
	// recorded is the time at which this process recorded the crash.
	recorded time.Time
}

// ageOf returns the time since a wall-clock time in milliseconds, 0 if it is in the future.
func ageOf(now time.Time, unixMS int64) time.Duration {
	return max(0, now.Sub(time.UnixMilli(unixMS)))
}

// eventTime returns the wall-clock time of an event in a message. exact reports whether it is the time
// that the observing process assigned: it is derived from the age if the message has no time, or
// if the sender's clock is wrong.
func eventTime(now time.Time, unixMS int64, age time.Duration) (at int64, exact bool) {
	age = max(0, age)
	sent := time.UnixMilli(unixMS).Add(age)
	if unixMS == 0 || now.Sub(sent).Abs() > clockTolerance {
		return now.Add(-age + time.Millisecond - 1).UnixMilli(), false // rounded up: no crash expires early
	}
	return unixMS, true
}

// isLater reports whether a time for a known event replaces the known time. A derived time is later
// than the assigned one by the message's way.
func isLater(at, known int64, exact bool) bool {
	if !exact {
		known += maxTransit.Milliseconds()
	}
	return at > known
}

// merge merges evidence and reports whether that changed the record. Of two times of one event the
// later one is kept, and crashes before the last answer of their service are dropped, so the result
// does not depend on the order of merges or on repeated ones.
func (r *record) merge(now time.Time, e Evidence) (changed bool) {
	for _, a := range e.Answers {
		at, exact := eventTime(now, a.UnixMS, a.Age)
		if known, exists := r.answers[a.Service]; !exists || isLater(at, known, exact) {
			r.answers[a.Service] = at
			changed = true
		}
	}
	for _, service := range e.Answered {
		if _, exists := r.answers[service]; !exists {
			r.answers[service] = 0
			changed = true
		}
	}
	before := maps.Clone(r.crashes)
	for _, c := range e.Crashes {
		r.mergeCrash(now, c)
	}
	r.dropCleared()
	r.dropOldest()
	return changed || !maps.Equal(before, r.crashes)
}

// mergeCrash merges a crash. One without time and age is observed at this moment.
func (r *record) mergeCrash(now time.Time, c Crash) {
	at, exact := eventTime(now, c.UnixMS, c.Age)
	if c.UnixMS == 0 && c.Age <= 0 {
		at = max(at, r.answers[c.Service])
	}
	known, exists := r.crashes[c.Upstream]
	switch {
	case !exists:
		known = crash{service: c.Service, at: at, recorded: now}
	case isLater(at, known.at, exact):
		known.service, known.at = c.Service, at
	}
	known.generation = max(known.generation, c.Generation)
	r.crashes[c.Upstream] = known
}

// dropCleared drops the crashes before the last answer of their service, those of a part whatever their
// time.
func (r *record) dropCleared() {
	maps.DeleteFunc(r.crashes, func(_ string, c crash) bool {
		answer, answered := r.answers[c.service]
		return c.at < answer || r.part && answered
	})
}

// dropOldest keeps the newest maxCrashesPerPrompt crashes of each service. The bound is one for each
// service so that an answer of one of them does not change which crashes of others are kept.
func (r *record) dropOldest() {
	if len(r.crashes) <= maxCrashesPerPrompt {
		return
	}
	kept := map[string]int{}
	for _, upstream := range slices.SortedFunc(maps.Keys(r.crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.crashes[b].at, r.crashes[a].at), cmp.Compare(a, b))
	}) {
		service := r.crashes[upstream].service
		if kept[service]++; kept[service] > maxCrashesPerPrompt {
			delete(r.crashes, upstream)
		}
	}
}

// without returns the crashes that the record does not have.
func (r *record) without(crashes []Crash) []Crash {
	return slices.DeleteFunc(crashes, func(c Crash) bool { _, has := r.crashes[c.Upstream]; return has })
}

// answerTime returns the time of an answer of a service that this process observes now: later than all
// recorded crashes of the service and not before those of others, whatever the clocks of their observers.
func (r *record) answerTime(now time.Time, service string) int64 {
	at := max(now.UnixMilli(), r.answers[service])
	for _, c := range r.crashes {
		if c.service == service {
			at = max(at, c.at+1)
		} else {
			at = max(at, c.at)
		}
	}
	return at
}

// lastCrash returns the time of the latest crash, the zero time if there is none.
func (r *record) lastCrash() (last time.Time) {
	for _, c := range r.crashes {
		if at := time.UnixMilli(c.at); at.After(last) {
			last = at
		}
	}
	return last
}

// lastEvent returns the time of the latest crash or answer, the zero time if none is known.
func (r *record) lastEvent() time.Time {
	last := r.lastCrash()
	for _, unixMS := range r.answers {
		if at := time.UnixMilli(unixMS); unixMS > 0 && at.After(last) {
			last = at
		}
	}
	return last
}

// standing returns the standing for services that have not answered the prompt.
func (r *record) standing(now time.Time) Standing {
	return standing(len(r.crashes), r.independent(), now.Sub(r.lastCrash()))
}

// mayTryAgain reports whether the prompt may be tried although the last trial began a short time ago: that one ended with
// a crash, and another one would prove the prompt.
func (r *record) mayTryAgain() bool {
	independent := r.independent()
	return independent > r.trialIndependent && independent < provenThreshold
}

// independent returns the number of independent crashes.
func (r *record) independent() int {
	return r.independentIf(func(crash) bool { return true })
}

// independentIf returns the number of independent ones among some crashes.
func (r *record) independentIf(counts func(c crash) bool) int {
	moments := make([]moment, 0, len(r.crashes))
	for _, c := range r.crashes {
		if counts(c) {
			moments = append(moments, moment{at: c.at, generation: c.generation})
		}
	}
	return countIndependent(moments)
}

// limitToNow replaces times in the future by the current one. Such times were assigned before this process's
// clock stepped back; no message has them.
func (r *record) limitToNow(now time.Time) {
	latest := now.Add(clockTolerance).UnixMilli()
	for upstream, c := range r.crashes {
		if c.at > latest {
			c.at = now.UnixMilli()
			r.crashes[upstream] = c
		}
	}
	for service, at := range r.answers {
		if at > latest {
			r.answers[service] = now.UnixMilli()
		}
	}
}

// dropExpired drops crashes that no longer count because no other one followed, and reports whether
// the whole record has expired.
func (r *record) dropExpired(now time.Time) bool {
	r.limitToNow(now)
	if !now.Before(r.lastCrash().Add(evidenceTTL)) {
		clear(r.crashes)
	}
	return !now.Before(r.lastEvent().Add(evidenceTTL))
}

// weakerThan reports whether a prompt is evicted before another one: that with fewer crashes, and among
// these the one whose last crash or answer is older.
func (r *record) weakerThan(other *record) bool {
	if len(r.crashes) != len(other.crashes) {
		return len(r.crashes) < len(other.crashes)
	}
	return r.lastEvent().Before(other.lastEvent())
}

func (r *record) evidence(now time.Time, p Prompt) Evidence {
	e := Evidence{Prompt: p}
	for _, upstream := range slices.Sorted(maps.Keys(r.crashes)) {
		c := r.crashes[upstream]
		e.Crashes = append(e.Crashes, Crash{Upstream: upstream, Service: c.service, Age: ageOf(now, c.at), UnixMS: c.at, Generation: c.generation})
	}
	for _, service := range slices.Sorted(maps.Keys(r.answers)) {
		at := r.answers[service]
		if at > 0 {
			e.Answers = append(e.Answers, Answer{Service: service, Age: ageOf(now, at), UnixMS: at})
		}
		if at == 0 || r.part || r.crashedBefore(at, service) {
			e.Answered = append(e.Answered, service)
		}
	}
	return e
}

// crashedBefore reports whether an upstream of another service than the given one crashed before a time.
func (r *record) crashedBefore(at int64, service string) bool {
	for _, c := range r.crashes {
		if c.service != service && c.at <= at {
			return true
		}
	}
	return false
}
