package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// trialThreshold is the number of crashes from which only one request per trialInterval may
	// try the prompt. A single crash may be coincidence, so interrupted requests keep their retry.
	trialThreshold = 2
	// provenThreshold is the number of independent crashes that prove that the prompt causes them.
	provenThreshold = 3
	// ambiguousThreshold is the number of crashes from which a part is not tried only because other parts
	// with few crashes may be the cause.
	ambiguousThreshold = 5
	// maxUnexplained is the number of crashes of such a part that may have happened by chance.
	maxUnexplained = 1
	// maxTrials limits how often a proven prompt is tried again.
	maxTrials = 3
	// trialInterval is the time between the starts of two requests that try a prompt on trial: longer than
	// engines usually take to prefill a prompt and begin to answer.
	trialInterval = 2 * time.Second
	// refusalPeriod is how long a prompt is refused after the crash that proved it. Then it is on
	// trial again, since engines are upgraded. Each further crash doubles the period.
	refusalPeriod = 5 * time.Minute
	// evidenceTTL is how long crashes count if no other one follows.
	evidenceTTL = 24 * time.Hour
	// maxPrompts limits the recorded prompts. A rack of engines that fails interrupts some
	// thousand requests.
	maxPrompts = 4096
	// maxAnsweredPrompts is the share of maxPrompts that may hold answers only.
	maxAnsweredPrompts = 1024
	// maxCrashesPerPrompt limits the crashes of one service kept for one prompt.
	maxCrashesPerPrompt = 8
)

// Registry holds one process's evidence on prompts, and on parts of prompts, that crash upstreams. An answer from a service
// clears the prompt there: a prompt that crashes upstreams is never answered, while a harmless one
// that many callers send coincides with a crash now and then.
//
// A crash counts if it is not before the last answer of its service. The process that observes a crash or
// an answer assigns its time, and copies carry that unchanged, so that copies with the same events agree.
// The time of an answer is after all crashes that its observer had recorded, and that of a crash not
// before the last recorded answer, whatever the clocks. Of events that were not recorded at their
// observers yet, the clocks decide: a crash may not count that follows an answer of another router within the
// difference of their clocks.
//
// The zero value is empty. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Prompt]*record
	// crashed is the number of records with crashes; the others hold answers only.
	crashed int
}

// Empty reports whether no crash counts, so that requests need not be identified.
func (r *Registry) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed == 0
}

// Len returns the number of recorded prompts.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Add merges evidence. It returns all evidence on the prompt and whether any of it was new.
func (r *Registry) Add(now time.Time, e Evidence) (all Evidence, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addLocked(now, e)
}

// AddAnswer merges an answer that another process observed. An answer without a time, from a process
// that does not assign one, counts as observed now.
func (r *Registry) AddAnswer(now time.Time, p Prompt, a Answer) (all Evidence, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.UnixMS == 0 {
		a = Answer{Service: a.Service, UnixMS: now.UnixMilli()}
		if rec := r.records[p]; rec != nil {
			a.UnixMS = rec.answerTime(now, a.Service)
		}
	}
	return r.addLocked(now, Evidence{Prompt: p, Answers: []Answer{a}})
}

func (r *Registry) addLocked(now time.Time, e Evidence) (all Evidence, added bool) {
	rec := r.recordLocked(now, e.Prompt)
	before := rec.standing(now)
	r.changeLocked(rec, func() { added = rec.merge(now, e) })
	if after := rec.standing(now); after < before {
		rec.lastStanding = after // by an answer, not by time
	} else {
		rec.lastStanding = max(rec.lastStanding, after)
	}
	r.trimLocked(now, e.Prompt)
	return rec.evidence(now, e.Prompt), added
}

// changeLocked changes a record and updates the count of those with crashes.
func (r *Registry) changeLocked(rec *record, change func()) {
	had := len(rec.crashes) > 0
	change()
	switch has := len(rec.crashes) > 0; {
	case has && !had:
		r.crashed++
	case had && !has:
		r.crashed--
	}
}

// deleteLocked removes a record.
func (r *Registry) deleteLocked(p Prompt) {
	r.changeLocked(r.records[p], func() { clear(r.records[p].crashes) })
	delete(r.records, p)
}

// recordLocked returns the record of a prompt and creates it if there is none.
func (r *Registry) recordLocked(now time.Time, p Prompt) *record {
	r.dropExpiredLocked(now, p)
	if rec := r.records[p]; rec != nil {
		return rec
	}
	if r.records == nil {
		r.records = map[Prompt]*record{}
	}
	rec := &record{part: p.IsPart(), crashes: map[string]crash{}, answers: map[string]int64{}}
	r.records[p] = rec
	return rec
}

// dropExpiredLocked removes expired evidence on a prompt.
func (r *Registry) dropExpiredLocked(now time.Time, p Prompt) {
	rec := r.records[p]
	if rec == nil {
		return
	}
	expired := false
	r.changeLocked(rec, func() { expired = rec.dropExpired(now) })
	if expired {
		r.deleteLocked(p)
	}
}

// trimLocked evicts prompts beyond the maximum numbers. A prompt that was just added is evicted only if it
// has no crashes, and at once if it has no evidence at all.
func (r *Registry) trimLocked(now time.Time, added Prompt) {
	r.dropExpiredLocked(now, added)
	if rec := r.records[added]; rec == nil || len(rec.crashes) == 0 {
		added = ""
	}
	for len(r.records) > maxPrompts || len(r.records)-r.crashed > maxAnsweredPrompts {
		r.evictLocked(added)
	}
}

// evictLocked removes the weakest prompt apart from one. A flood of requests interrupted by other
// causes must not evict a proven prompt, nor answered ones any that has crashes.
func (r *Registry) evictLocked(except Prompt) {
	var out Prompt
	var least *record
	for p, rec := range r.records {
		if p != except && (least == nil || rec.weakerThan(least)) {
			out, least = p, rec
		}
	}
	r.deleteLocked(out)
}

// Known returns the evidence on a prompt.
func (r *Registry) Known(now time.Time, p Prompt) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now, p)
	if rec := r.records[p]; rec != nil {
		return rec.evidence(now, p)
	}
	return Evidence{Prompt: p}
}

// Explained reports whether other parts or whole prompts than the given ones may have caused all crashes of a
// part. Prompts that crash upstreams share harmless parts with many others, and only an answer tells these
// from the cause: a prompt without what may be the cause is allowed to try the others. Parts and whole
// prompts with provenThreshold crashes may be the cause. Below ambiguousThreshold crashes any other part may,
// and an upstream may also have crashed by chance.
func (r *Registry) Explained(e Evidence, except []Prompt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAny, byProven := slices.Clone(e.Crashes), slices.Clone(e.Crashes)
	for p, rec := range r.records {
		if len(rec.crashes) == 0 || p == e.Prompt || slices.Contains(except, p) {
			continue
		}
		if rec.part {
			byAny = rec.without(byAny)
		}
		if len(rec.crashes) >= provenThreshold {
			byProven = rec.without(byProven)
		}
	}
	return len(byProven) == 0 || len(byAny) <= maxUnexplained && len(e.Crashes) < ambiguousThreshold
}

// Has reports whether any evidence on a prompt is recorded.
func (r *Registry) Has(now time.Time, p Prompt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now, p)
	return r.records[p] != nil
}

// Allow reports whether the request with this id may send a prompt to a service now, and records
// the trial if the prompt is on trial. Only the process that decides for the prompt calls it.
func (r *Registry) Allow(now time.Time, p Prompt, service, request string) bool {
	return r.AllowTrial(now, p, service, request, false)
}

// AllowTrial is Allow for a request for which a proven part is on trial if explained is set; see Explained.
func (r *Registry) AllowTrial(now time.Time, p Prompt, service, request string, explained bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredLocked(now, p)
	rec := r.records[p]
	if rec == nil {
		return true
	}
	e := rec.evidence(now, p).ForService(service)
	e.Explained = explained
	switch standing := e.Standing(); {
	case standing < OnTrial:
		return true
	case standing == Proven:
		return false
	case rec.trialRequest == request && !rec.lastCrash().After(rec.lastTrial):
		return true // the first upstream chosen for it could not be reached
	case now.Sub(rec.lastTrial) < trialInterval && !rec.mayTryAgain():
		return false
	}
	rec.lastTrial, rec.trialRequest, rec.trialIndependent = now, request, rec.independent()
	return true
}

// RecordAnswer records that a service answered a prompt through this process now, and returns the evidence
// that applied to the service before; without any, it records nothing. The service's own crashes no
// longer count; crashes of other services still count, but not for this one.
func (r *Registry) RecordAnswer(now time.Time, p Prompt, service string) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[p]
	if rec == nil {
		return Evidence{Prompt: p}
	}
	was := rec.evidence(now, p).ForService(service)
	if len(was.Crashes) > 0 {
		r.changeLocked(rec, func() {
			rec.answers[service] = rec.answerTime(now, service)
			rec.dropCleared()
		})
		rec.lastStanding = rec.standing(now)
		r.trimLocked(now, p)
	}
	return was
}

// CrashTime returns the time of a crash of a service that this process observes now: not before the last
// answer of the service that it has recorded, whatever the clock of the answer's observer.
func (r *Registry) CrashTime(now time.Time, p Prompt, service string) (unixMS int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[p]; rec != nil {
		return max(now.UnixMilli(), rec.answers[service])
	}
	return now.UnixMilli()
}

// Generation returns the generation of a crash under a prompt that was sent at a time: see Crash.
func (r *Registry) Generation(p Prompt, sent time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[p]; rec != nil {
		return 1 + rec.independentIf(func(c crash) bool { return !c.recorded.After(sent) })
	}
	return 1
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
	for p, rec := range r.records {
		r.dropExpiredLocked(now, p)
		c := StandingChange{Prompt: p, Was: rec.lastStanding, Now: rec.standing(now)}
		rec.lastStanding = c.Now
		if c.Was >= OnTrial && c.Now != c.Was {
			changes = append(changes, c)
		}
	}
	return changes
}

// Restricted returns the prompts that are on trial or proven.
func (r *Registry) Restricted(now time.Time) []Evidence { return r.atLeast(now, OnTrial) }

const (
	// maxListedPrompts limits the prompts with crashes that one process sends another at once.
	maxListedPrompts = 512
	// maxListedAnswered limits those with answers only.
	maxListedAnswered = 256
)

// List returns the prompts with any crash, ordered by the number of crashes, then the newest crash
// first; at most maxListedPrompts.
func (r *Registry) List(now time.Time) []Evidence {
	all := r.atLeast(now, Suspect)
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.newestAge(), b.newestAge()), cmp.Compare(a.Prompt, b.Prompt))
	})
	return limit(all, maxListedPrompts)
}

// limit returns the first prompts of a list, with at most maxCrashesPerPrompt crashes a prompt on average: a
// prompt that several services run may have more.
func limit(all []Evidence, prompts int) []Evidence {
	all = all[:min(len(all), prompts)]
	crashes := 0
	for n, e := range all {
		if crashes += len(e.Crashes); crashes > prompts*maxCrashesPerPrompt {
			return all[:n]
		}
	}
	return all
}

// ListAll returns the prompts of List, then those with answers only, the newest answer first; at most
// maxListedAnswered of these.
func (r *Registry) ListAll(now time.Time) []Evidence {
	_, answered := split(r.atLeast(now, Clear))
	slices.SortFunc(answered, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.lastAnswerAge(), b.lastAnswerAge()), cmp.Compare(a.Prompt, b.Prompt))
	})
	return append(r.List(now), answered[:min(len(answered), maxListedAnswered)]...)
}

func (r *Registry) atLeast(now time.Time, least Standing) (all []Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rec := range r.records {
		if rec.standing(now) >= least {
			all = append(all, rec.evidence(now, p))
		}
	}
	return all
}
