package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// endsOnTrial is how many upstreams ended under a prompt when only one request now and then
	// tries it. One may be chance, and whoever was cut keeps a second try.
	endsOnTrial = 2
	// endsProven is how many prove that the prompt ends upstreams.
	endsProven = 3
	// mostTrials is how often a proven prompt is tried once more.
	mostTrials = 3
	// trialPause is the time between the starts of two requests that try a prompt on trial:
	// longer than engines usually take to read a prompt and begin to answer.
	trialPause = 2 * time.Second
	// provenFor is how long a prompt is refused after the end that proved it; then it is on trial
	// again, since engines get new versions. Each further end doubles it.
	provenFor = 5 * time.Minute
	// rememberedFor is how long ends count without another one.
	rememberedFor = 24 * time.Hour
	// mostPrompts bounds the prompts that are known. A rack of engines that ends cuts some
	// thousand requests.
	mostPrompts = 4096
	// mostEnds bounds the ends that are kept of one prompt.
	mostEnds = 8
)

// record is one prompt.
type record struct {
	// ends are those of upstreams, by their lives.
	ends map[string]end
	// answered are the services that have answered the prompt.
	answered map[string]bool
	// tried is when the last request that tried the prompt was let through, and by its id.
	tried time.Time
	by    string
	// was is the standing at the last look for what lapsed.
	was Standing
}

// end is when an upstream of a service ended.
type end struct {
	service string
	at      time.Time
}

// last is when the last upstream ended.
func (r *record) last() (last time.Time) {
	for _, e := range r.ends {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// oldest is the upstream whose end is the longest ago.
func (r *record) oldest() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r.ends)), func(a, b string) int {
		return cmp.Or(r.ends[a].at.Compare(r.ends[b].at), cmp.Compare(a, b))
	})
}

// add notes the end of an upstream, and reports whether there is one more than before. Of more
// than are kept the newest are.
func (r *record) add(upstream string, e end) bool {
	if _, told := r.ends[upstream]; told {
		return false
	}
	if len(r.ends) < mostEnds {
		r.ends[upstream] = e
		return true
	}
	if oldest := r.oldest(); r.ends[oldest].at.Before(e.at) {
		delete(r.ends, oldest)
		r.ends[upstream] = e
	}
	return false
}

// standing is that for services which have not answered the prompt.
func (r *record) standing(now time.Time) Standing { return standing(len(r.ends), now.Sub(r.last())) }

// forgotten reports whether nothing ended under the prompt for so long that it counts as clear.
func (r *record) forgotten(now time.Time) bool { return !now.Before(r.last().Add(rememberedFor)) }

// Registry is what one process knows of prompts under which upstreams ended. A prompt that a
// service has answered is cleared there: one that ends upstreams is never answered, while a good
// one that many callers send loses an upstream now and then. The zero value knows of none. It is safe for
// concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Prompt]*record
}

// Empty reports whether no prompt is known, so that requests need not be identified.
func (r *Registry) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records) == 0
}

// Add takes in evidence, and returns all that is known of the prompt and whether any of it was new.
func (r *Registry) Add(now time.Time, e Evidence) (all Evidence, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.recordLocked(now, e.Prompt)
	for _, e := range e.Crashes {
		news = known.add(e.Upstream, end{service: e.Service, at: now.Add(-e.Age)}) || news
	}
	for _, service := range e.Answered {
		known.answered[service] = true
	}
	known.was = max(known.was, known.standing(now))
	return known.evidence(now, e.Prompt), news
}

// recordLocked is the record of a prompt, made if there is none.
func (r *Registry) recordLocked(now time.Time, p Prompt) *record {
	r.forgetLocked(now, p)
	if known := r.records[p]; known != nil {
		return known
	}
	if r.records == nil {
		r.records = map[Prompt]*record{}
	}
	if len(r.records) >= mostPrompts {
		r.dropLocked()
	}
	known := &record{ends: map[string]end{}, answered: map[string]bool{}}
	r.records[p] = known
	return known
}

// forgetLocked forgets a prompt under which nothing ended for long.
func (r *Registry) forgetLocked(now time.Time, p Prompt) {
	if known := r.records[p]; known != nil && known.forgotten(now) {
		delete(r.records, p)
	}
}

// dropLocked makes room: the prompt goes against which least is known, and of these the one
// whose last end is the oldest. A flood of requests that were cut by other causes must not make a
// proven prompt forgotten.
func (r *Registry) dropLocked() {
	var out Prompt
	var least *record
	for p, known := range r.records {
		if least == nil || known.before(least) {
			out, least = p, known
		}
	}
	delete(r.records, out)
}

func (r *record) before(other *record) bool {
	if len(r.ends) != len(other.ends) {
		return len(r.ends) < len(other.ends)
	}
	return r.last().Before(other.last())
}

func (r *record) evidence(now time.Time, p Prompt) Evidence {
	e := Evidence{Prompt: p, Answered: slices.Sorted(maps.Keys(r.answered))}
	for _, upstream := range slices.Sorted(maps.Keys(r.ends)) {
		end := r.ends[upstream]
		e.Crashes = append(e.Crashes, Crash{Upstream: upstream, Service: end.service, Age: now.Sub(end.at)})
	}
	return e
}

// Known returns what is known of a prompt.
func (r *Registry) Known(now time.Time, p Prompt) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked(now, p)
	if known := r.records[p]; known != nil {
		return known.evidence(now, p)
	}
	return Evidence{Prompt: p}
}

// Allow reports whether a request, by its id, may send a prompt to a service now, and notes it if the
// prompt is on trial. Only the process that decides for the prompt is asked.
func (r *Registry) Allow(now time.Time, p Prompt, service, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked(now, p)
	known := r.records[p]
	if known == nil {
		return true
	}
	switch standing := known.evidence(now, p).ForService(service).Standing(); {
	case standing < OnTrial:
		return true
	case standing == Proven:
		return false
	case known.by == request:
		return true // it could not be sent to the upstream that was chosen first
	case now.Sub(known.tried) < trialPause:
		return false
	}
	known.tried, known.by = now, request
	return true
}

// RecordAnswer notes that a service answered a prompt, and returns what counted for it before. What
// ended of that service does not count any more; what ended of others does, for them.
func (r *Registry) RecordAnswer(now time.Time, p Prompt, service string) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[p]
	if known == nil {
		return Evidence{Prompt: p}
	}
	was := known.evidence(now, p).ForService(service)
	maps.DeleteFunc(known.ends, func(_ string, e end) bool { return e.service == service })
	known.answered[service] = true
	if len(known.ends) == 0 {
		delete(r.records, p)
	}
	return was
}

// StandingChange is a prompt whose standing became better with time.
type StandingChange struct {
	Prompt   Prompt
	Was, Now Standing
}

// Expire takes the time into account that passed, and returns the prompts that were on trial or
// proven and are not any more.
func (r *Registry) Expire(now time.Time) (lapsed []StandingChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, known := range r.records {
		l := StandingChange{Prompt: p, Was: known.was, Now: known.standing(now)}
		known.was = l.Now
		if known.forgotten(now) {
			l.Now = Clear
			delete(r.records, p)
		}
		if l.Was >= OnTrial && l.Now != l.Was {
			lapsed = append(lapsed, l)
		}
	}
	return lapsed
}

// Restricted returns the prompts on trial and the proven ones.
func (r *Registry) Restricted(now time.Time) []Evidence { return r.atLeast(now, OnTrial) }

// mostListed bounds the prompts that one process tells another at once.
const mostListed = 512

// List returns the prompts under which any upstream ended, those with the most ends first and of
// these the newest; at most mostListed.
func (r *Registry) List(now time.Time) []Evidence {
	all := r.atLeast(now, Suspect)
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.newest(), b.newest()), cmp.Compare(a.Prompt, b.Prompt))
	})
	return all[:min(len(all), mostListed)]
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
