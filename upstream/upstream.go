// Package upstream selects the upstream of a service for each request.
package upstream

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/vm"
)

// LoadHeader carries an upstream's load in the responses of its agent.
const LoadHeader = "Arbutusmill-Load"

// Load is an upstream's load as last reported by its agent.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// String returns the header's value: running/waiting/slots.
func (l Load) String() string { return fmt.Sprintf("%d/%d/%d", l.Running, l.Waiting, l.Slots) }

// ParseLoad parses a header's value.
func ParseLoad(s string) (l Load, ok bool) {
	n, err := fmt.Sscanf(s, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
	return l, err == nil && n == 3
}

// Weights of the selection.
const (
	// cachedBonus is the value of a probably cached prefix, as a fraction of an
	// upstream's slots.
	cachedBonus = 0.5
	// minPenalty is how long an upstream is avoided after its first failure; it
	// doubles up to maxPenalty with each consecutive failure.
	minPenalty = time.Second
	maxPenalty = 30 * time.Second
)

// Chooser selects upstreams by power of two choices: one that probably has the prompt's
// prefix cached, and one at random; the less loaded of them gets the request. Random
// choice alone would scatter the prefixes, and always using the least loaded upstream
// would send every router to the same one after each stale report.
type Chooser struct {
	now  func() time.Time
	rand func(n int) int

	mu     sync.Mutex
	states map[string]*state
}

// state is this router's view of one upstream.
type state struct {
	inFlight   int // requests of this router
	load       Load
	fails      int
	avoidUntil time.Time
}

// NewChooser returns a chooser without any state.
func NewChooser() *Chooser {
	return &Chooser{now: time.Now, rand: rand.IntN, states: map[string]*state{}}
}

// Pick selects one of the agents for a prompt prefix, except those already tried; ok
// is false if none is left. The caller must call done once, with whether the upstream
// answered.
func (c *Chooser) Pick(agents []vm.VM, prefix uint64, tried map[string]bool) (chosen vm.VM, done func(answered bool), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.candidatesLocked(agents, tried)
	if len(candidates) == 0 {
		return vm.VM{}, nil, false
	}
	chosen = c.chooseLocked(candidates, prefix)
	s := c.stateLocked(chosen.ID)
	s.inFlight++
	var once sync.Once
	return chosen, func(answered bool) { once.Do(func() { c.done(chosen.ID, answered) }) }, true
}

// candidatesLocked omits upstreams that failed recently, unless no other is left.
func (c *Chooser) candidatesLocked(agents []vm.VM, tried map[string]bool) []vm.VM {
	var good, avoided []vm.VM
	now := c.now()
	for _, a := range agents {
		switch {
		case tried[a.ID]:
		case now.Before(c.stateLocked(a.ID).avoidUntil):
			avoided = append(avoided, a)
		default:
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		return avoided
	}
	return good
}

func (c *Chooser) chooseLocked(agents []vm.VM, prefix uint64) vm.VM {
	ids := make([]string, len(agents))
	for i, a := range agents {
		ids[i] = a.ID
	}
	preferred := rendezvous.Pick(strconv.FormatUint(prefix, 16), ids)
	other := agents[c.rand(len(agents))]
	best := other
	for _, a := range agents {
		if a.ID == preferred && c.scoreLocked(a.ID)-cachedBonus <= c.scoreLocked(other.ID) {
			best = a
		}
	}
	return best
}

// scoreLocked returns the upstream's load as a fraction of its slots: the larger of the
// load last reported by the agent and this router's own requests in flight.
func (c *Chooser) scoreLocked(id string) float64 {
	s := c.stateLocked(id)
	slots := max(1, s.load.Slots)
	return float64(max(s.load.Running+s.load.Waiting, s.inFlight)) / float64(slots)
}

func (c *Chooser) stateLocked(id string) *state {
	s := c.states[id]
	if s == nil {
		s = &state{}
		c.states[id] = s
	}
	return s
}

func (c *Chooser) done(id string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateLocked(id)
	s.inFlight--
	if answered {
		s.fails = 0
		return
	}
	penalty := min(maxPenalty, minPenalty<<min(s.fails, 5))
	s.fails++
	s.avoidUntil = c.now().Add(penalty)
}

// Report records the load reported by an agent.
func (c *Chooser) Report(id string, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateLocked(id).load = l
}

// State is the state of one upstream, for debug dumps.
type State struct {
	VM       string `json:"vm"`
	InFlight int    `json:"in_flight"`
	Load     Load   `json:"load"`
	Fails    int    `json:"fails_in_a_row"`
}

// States returns the state of all upstreams.
func (c *Chooser) States() []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []State
	for id, s := range c.states {
		out = append(out, State{VM: id, InFlight: s.inFlight, Load: s.load, Fails: s.fails})
	}
	return out
}
