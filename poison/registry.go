package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// trialThreshold is the number of crashes from which only one request per trialInterval may
	// try the prompt. A single crash may be coincidence, so interrupted requests keep their retry.
	trialThreshold = 2
	// provenThreshold is the number of crashes that prove that the prompt causes them.
	provenThreshold = 3
	// maxTrials limits how often a proven prompt is tried again.
	maxTrials = 3
	// trialInterval is the time between the starts of two requests that try a prompt on trial:
	// longer than engines usually take to read a prompt and begin to answer.
	trialInterval = 2 * time.Second
	// refusalPeriod is how long a prompt is refused after the crash that proved it. Then it is on
	// trial again, since engines are upgraded. Each further crash doubles the period.
	refusalPeriod = 5 * time.Minute
	// evidenceTTL is how long crashes count if no other one follows.
	evidenceTTL = 24 * time.Hour
	// maxPrompts limits the recorded prompts. A rack of engines that fails interrupts some
	// thousand requests.
	maxPrompts = 4096
	// maxCrashesPerPrompt limits the crashes kept for one prompt.
	maxCrashesPerPrompt = 8
)

// record holds the evidence on one prompt.
type record struct {
	// crashes holds the upstream crashes, by incarnation.
	crashes map[string]crash
	// answered are the services that have answered the prompt.
	answered map[string]bool
	// lastTrial is the time of the last request that was allowed to try the prompt, trialRequest
	// its id.
	lastTrial    time.Time
	trialRequest string
	// lastStanding is the standing at the last check for expired evidence.
	lastStanding Standing
}

// crash is the time at which an upstream of a service crashed.
type crash struct {
	service string
	at      time.Time
}

// lastCrash returns the time of the latest crash.
func (r *record) lastCrash() (last time.Time) {
	for _, c := range r.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// oldestCrash returns the upstream that crashed the longest ago.
func (r *record) oldestCrash() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r.crashes)), func(a, b string) int {
		return cmp.Or(r.crashes[a].at.Compare(r.crashes[b].at), cmp.Compare(a, b))
	})
}

// add records the crash of an upstream and reports whether the number of crashes grew. Beyond
// maxCrashesPerPrompt, the newest are kept.
func (r *record) add(upstream string, c crash) bool {
	if _, exists := r.crashes[upstream]; exists {
		return false
	}
	if len(r.crashes) < maxCrashesPerPrompt {
		r.crashes[upstream] = c
		return true
	}
	if oldest := r.oldestCrash(); r.crashes[oldest].at.Before(c.at) {
		delete(r.crashes, oldest)
		r.crashes[upstream] = c
	}
	return false
}

// standing returns the standing for services that have not answered the prompt.
func (r *record) standing(now time.Time) Standing {
	return standing(len(r.crashes), now.Sub(r.lastCrash()))
}

// expired reports whether the last crash is old enough that the prompt counts as clear.
func (r *record) expired(now time.Time) bool { return !now.Before(r.lastCrash().Add(evidenceTTL)) }

// Registry holds one process's evidence on prompts that crash upstreams. An answer from a service
// clears the prompt there: a prompt that crashes upstreams is never answered, while a harmless one
// that many callers send coincides with a crash now and then. The zero value is empty. It is safe
// for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Prompt]*record
}

// Empty reports whether no prompt is recorded, so that requests need not be identified.
func (r *Registry) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records) == 0
}

// Add merges evidence. It returns all evidence on the prompt and whether any of it was new.
func (r *Registry) Add(now time.Time, e Evidence) (all Evidence, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.recordLocked(now, e.Prompt)
	for _, e := range e.Crashes {
		added = known.add(e.Upstream, crash{service: e.Service, at: now.Add(-e.Age)}) || added
	}
	for _, service := range e.Answered {
		known.answered[service] = true
	}
	known.lastStanding = max(known.lastStanding, known.standing(now))
	return known.evidence(now, e.Prompt), added
}

// recordLocked returns the record of a prompt and creates it if there is none.
func (r *Registry) recordLocked(now time.Time, p Prompt) *record {
	r.dropExpiredLocked(now, p)
	if known := r.records[p]; known != nil {
		return known
	}
	if r.records == nil {
		r.records = map[Prompt]*record{}
	}
	if len(r.records) >= maxPrompts {
		r.evictLocked()
	}
	known := &record{crashes: map[string]crash{}, answered: map[string]bool{}}
	r.records[p] = known
	return known
}

// dropExpiredLocked removes a prompt whose evidence has expired.
func (r *Registry) dropExpiredLocked(now time.Time, p Prompt) {
	if known := r.records[p]; known != nil && known.expired(now) {
		delete(r.records, p)
	}
}

// evictLocked removes the prompt with the fewest crashes, and among these the one whose last crash
// is the oldest. A flood of requests interrupted by other causes must not evict a proven prompt.
func (r *Registry) evictLocked() {
	var out Prompt
	var least *record
	for p, known := range r.records {
		if least == nil || known.weakerThan(least) {
			out, least = p, known
		}
	}
	delete(r.records, out)
}

func (r *record) weakerThan(other *record) bool {
	if len(r.crashes) != len(other.crashes) {
		return len(r.crashes) < len(other.crashes)
	}
	return r.lastCrash().Before(other.lastCrash())
}

func (r *record) evidence(now time.Time, p Prompt) Evidence {
	e := Evidence{Prompt: p, Answered: slices.Sorted(maps.Keys(r.answered))}
	for _, upstream := range slices.Sorted(maps.Keys(r.crashes)) {
		c := r.crashes[upstream]
		e.Crashes = append(e.Crashes, Crash{Upstream: upstream, Service: c.service, Age: now.Sub(c.at)})
	}
	return e
}

// Known returns the evidence on a prompt.
func (r *Registry) Known(now time.Time, p Prompt) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now, p)
	if known := r.records[p]; known != nil {
		return known.evidence(now, p)
	}
	return Evidence{Prompt: p}
}

// Allow reports whether the request with this id may send a prompt to a service now, and records the
// trial if the prompt is on trial. Only the prompt's owner calls it.
func (r *Registry) Allow(now time.Time, p Prompt, service, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now, p)
	known := r.records[p]
	if known == nil {
		return true
	}
	switch standing := known.evidence(now, p).ForService(service).Standing(); {
	case standing < OnTrial:
		return true
	case standing == Proven:
		return false
	case known.trialRequest == request:
		return true // the first upstream chosen for it could not be reached
	case now.Sub(known.lastTrial) < trialInterval:
		return false
	}
	known.lastTrial, known.trialRequest = now, request
	return true
}

// RecordAnswer records that a service answered a prompt, and returns the evidence that applied to the
// service before. Crashes of that service no longer count; those of other services still count for
// these.
func (r *Registry) RecordAnswer(now time.Time, p Prompt, service string) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[p]
	if known == nil {
		return Evidence{Prompt: p}
	}
	was := known.evidence(now, p).ForService(service)
	maps.DeleteFunc(known.crashes, func(_ string, c crash) bool { return c.service == service })
	known.answered[service] = true
	if len(known.crashes) == 0 {
		delete(r.records, p)
	}
	return was
}

// StandingChange is a prompt whose standing improved because evidence expired.
type StandingChange struct {
	Prompt   Prompt
	Was, Now Standing
}

// Expire removes expired evidence and returns the prompts that were on trial or proven and whose
// standing improved.
func (r *Registry) Expire(now time.Time) (changes []StandingChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, known := range r.records {
		c := StandingChange{Prompt: p, Was: known.lastStanding, Now: known.standing(now)}
		known.lastStanding = c.Now
		if known.expired(now) {
			c.Now = Clear
			delete(r.records, p)
		}
		if c.Was >= OnTrial && c.Now != c.Was {
			changes = append(changes, c)
		}
	}
	return changes
}

// Restricted returns the prompts that are on trial or proven.
func (r *Registry) Restricted(now time.Time) []Evidence { return r.atLeast(now, OnTrial) }

// maxListedPrompts limits the prompts that one process sends another at once.
const maxListedPrompts = 512

// List returns the prompts with any crash, ordered by the number of crashes, then the newest crash
// first; at most maxListedPrompts.
func (r *Registry) List(now time.Time) []Evidence {
	all := r.atLeast(now, Suspect)
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.newestAge(), b.newestAge()), cmp.Compare(a.Prompt, b.Prompt))
	})
	return all[:min(len(all), maxListedPrompts)]
}

func (r *Registry) atLeast(now time.Time, least Standing) (all []Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, known := range r.records {
		if known.standing(now) >= least {
			all = append(all, known.evidence(now, p))
		}
	}
	return all
}
