package poison

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what the ends of upstreams say of a prompt.
type Standing int

// The standings, from the best on.
const (
	// Clear says that nothing speaks against the prompt.
	Clear Standing = iota
	// Suspect says that an upstream ended under it.
	Suspect
	// OnTrial says that it may be sent for one request now and then.
	OnTrial
	// Proven says that it must not be sent.
	Proven
)

var standingNames = [...]string{"clear", "suspect", "on_trial", "proven"}

// String is the standing's name in logs.
func (s Standing) String() string { return standingNames[s] }

// Evidence is what is known of a prompt: which upstreams ended under it, and how long ago.
type Evidence struct {
	Prompt Prompt `json:"prompt"`
	Crashes   []Crash  `json:"ends"`
	// Answered are the services that have answered it although upstreams of others ended.
	Answered []string `json:"answered,omitempty"`
}

// Crash is that of one life of an upstream.
type Crash struct {
	Upstream string        `json:"upstream"`
	Service  string        `json:"service"`
	Age      time.Duration `json:"age_ns"`
}

// ForService is the evidence that counts for requests to a service. Ends count for all services, since
// operators move and split routes, but not for one that has answered the prompt itself.
func (e Evidence) ForService(service string) Evidence {
	if !slices.Contains(e.Answered, service) {
		return e
	}
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), func(end Crash) bool { return end.Service != service })
	return e
}

// Standing is what the evidence says.
func (e Evidence) Standing() Standing { return standing(len(e.Crashes), e.newest()) }

// newest is how long ago the last upstream ended; 0 if none did.
func (e Evidence) newest() time.Duration {
	if len(e.Crashes) == 0 {
		return 0
	}
	return slices.MinFunc(e.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// standing is that of a prompt with so many ends, the last one that long ago.
func standing(ends int, since time.Duration) Standing {
	trials := ends - endsProven
	switch {
	case trials >= mostTrials, trials >= 0 && since < provenFor<<trials:
		return Proven
	case ends >= endsOnTrial:
		return OnTrial
	case ends > 0:
		return Suspect
	}
	return Clear
}
