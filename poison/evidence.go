package poison

import (
	"cmp"
	"slices"
	"time"
)

// Standing classifies a prompt by the upstream crashes recorded for it.
type Standing int

// The standings, in order of increasing severity.
const (
	// Clear means that no crash is recorded.
	Clear Standing = iota
	// Suspect means that one upstream crashed while running the prompt.
	Suspect
	// OnTrial means that one request at a time may send the prompt.
	OnTrial
	// Proven means that independent crashes prove that the prompt causes them: it must not be sent.
	Proven
)

var standingNames = [...]string{"clear", "suspect", "on_trial", "proven"}

// String returns the name used in logs.
func (s Standing) String() string { return standingNames[s] }

// Evidence lists the upstreams that crashed while running a prompt, and the services that answered
// it. Copies of it can be merged in any order: see Registry.
type Evidence struct {
	Prompt  Prompt  `json:"prompt"`
	Crashes []Crash `json:"ends"`
	// Answered lists the services that answered the prompt after upstreams of others had crashed. It is the
	// only form of answers that processes without Answers read; a service that is listed only here answered
	// at an unknown time.
	Answered []string `json:"answered,omitempty"`
	Answers  []Answer `json:"answers,omitempty"`
	// Explained is set if another part may have caused all crashes: the part is on trial then, but not
	// proven. It depends on the request and is not sent.
	Explained bool `json:"-"`
}

// Crash is the crash of one incarnation of an upstream.
type Crash struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// Age is the time since the crash by the sender's clock.
	Age time.Duration `json:"age_ns"`
	// UnixMS is the wall-clock time of the crash in milliseconds, which the process that observed it
	// assigned. It is 0 in messages of processes without this field.
	UnixMS int64 `json:"unix_ms,omitempty"`
	// Generation is one more than the number of independent crashes that the observer had recorded when it
	// sent the prompt to the upstream. It is 0 in messages of processes without this field.
	Generation int `json:"generation,omitempty"`
}

// Answer is the last answer of a service to a prompt.
type Answer struct {
	Service string `json:"service"`
	// Age is the time since the answer by the sender's clock.
	Age time.Duration `json:"age_ns"`
	// UnixMS is the wall-clock time of the answer in milliseconds, which the router that forwarded it
	// assigned.
	UnixMS int64 `json:"unix_ms"`
}

// ForService returns the evidence that applies to requests to a service. Crashes count for all
// services, since operators move and split routes. For a service that answered the prompt although upstreams of
// others had crashed under it, only its own crashes count.
func (e Evidence) ForService(service string) Evidence {
	if !slices.Contains(e.Answered, service) {
		return e
	}
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.Service != service })
	return e
}

// Independent returns the number of independent crashes: see countIndependent.
func (e Evidence) Independent() int {
	moments := make([]moment, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		moments = append(moments, moment{at: c.UnixMS, generation: c.Generation})
	}
	return countIndependent(moments)
}

// Standing returns the standing that the evidence implies.
func (e Evidence) Standing() Standing {
	s := standing(len(e.Crashes), e.Independent(), e.newestAge())
	if e.Explained {
		s = min(s, OnTrial)
	}
	return s
}

// CrashedWith reports whether the other evidence has all crashes of this one.
func (e Evidence) CrashedWith(other Evidence) bool {
	return !slices.ContainsFunc(e.Crashes, func(c Crash) bool {
		return !slices.ContainsFunc(other.Crashes, func(o Crash) bool { return o.Upstream == c.Upstream })
	})
}

// newestAge returns the age of the latest crash, 0 if there is none.
func (e Evidence) newestAge() time.Duration {
	if len(e.Crashes) == 0 {
		return 0
	}
	return slices.MinFunc(e.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// lastAnswerAge returns the age of the latest answer whose time is known, evidenceTTL if there is none.
func (e Evidence) lastAnswerAge() time.Duration {
	age := evidenceTTL
	for _, a := range e.Answers {
		age = min(age, a.Age)
	}
	return age
}

// standing returns the standing for a number of crashes, of which some are independent, and the time since the
// last one.
func standing(crashes, independent int, since time.Duration) Standing {
	trials := independent - provenThreshold
	switch {
	case trials >= maxTrials, trials >= 0 && since < refusalPeriod<<trials:
		return Proven
	case crashes >= trialThreshold:
		return OnTrial
	case crashes > 0:
		return Suspect
	}
	return Clear
}
