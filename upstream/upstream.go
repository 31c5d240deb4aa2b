// Package upstream chooses which of a service's upstreams gets a request.
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

// LoadHeader carries an upstream's load in the answers of its agent.
const LoadHeader = "Arbutusmill-Load"

// Load is how busy an upstream was when its agent last said so.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// String is the header's value: running/waiting/slots.
func (l Load) String() string { return fmt.Sprintf("%d/%d/%d", l.Running, l.Waiting, l.Slots) }

// ParseLoad reads a header's value.
func ParseLoad(s string) (l Load, ok bool) {
	n, err := fmt.Sscanf(s, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
	return l, err == nil && n == 3
}

// Weights of the choice.
const (
	// cachedBonus is what a probably cached prefix is worth, in shares of an
	// upstream's slots.
	cachedBonus = 0.5
	// penaltyTime is how long an upstream that failed is avoided at first; it
	// doubles up to penaltyMax with each failure in a row.
	penaltyTime = time.Second
	penaltyMax  = 30 * time.Second
)

// Chooser picks upstreams by two choices: the one that probably has the prompt's
// prefix cached, and a random other one; the less loaded wins. Random choice alone
// would scatter the prefixes, and the least loaded of all would draw every router
// to the same upstream after each late report.
type Chooser struct {
	now  func() time.Time
	rand func(n int) int

	mu     sync.Mutex
	states map[string]*state
}

// state is what this router knows of one upstream.
type state struct {
	inFlight int // of this router
	load     Load
	fails    int
	avoid    time.Time
}

// NewChooser returns a chooser that knows nothing yet.
func NewChooser() *Chooser {
	return &Chooser{now: time.Now, rand: rand.IntN, states: map[string]*state{}}
}

// Pick chooses one of the agents for a prompt prefix, leaving out those that were
// tried. The caller must call done once, with whether the upstream answered.
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

// candidatesLocked leaves out upstreams that failed lately, unless no other is left.
func (c *Chooser) candidatesLocked(agents []vm.VM, tried map[string]bool) []vm.VM {
	var good, avoided []vm.VM
	now := c.now()
	for _, a := range agents {
		switch {
		case tried[a.ID]:
		case now.Before(c.stateLocked(a.ID).avoid):
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
	home := rendezvous.Pick(strconv.FormatUint(prefix, 16), ids)
	other := agents[c.rand(len(agents))]
	best := other
	for _, a := range agents {
		if a.ID == home && c.scoreLocked(a.ID)-cachedBonus <= c.scoreLocked(other.ID) {
			best = a
		}
	}
	return best
}

// scoreLocked is the upstream's load in shares of its slots: the larger of what the
// agent last said and what this router itself has there.
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
	pause := min(penaltyMax, penaltyTime<<min(s.fails, 5))
	s.fails++
	s.avoid = c.now().Add(pause)
}

// Report notes an agent's own word on its load.
func (c *Chooser) Report(id string, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateLocked(id).load = l
}

// State is what is known of one upstream, for dumps.
type State struct {
	VM       string `json:"vm"`
	InFlight int    `json:"in_flight"`
	Load     Load   `json:"load"`
	Fails    int    `json:"fails_in_a_row"`
}

// States lists what is known of all upstreams.
func (c *Chooser) States() []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []State
	for id, s := range c.states {
		out = append(out, State{VM: id, InFlight: s.inFlight, Load: s.load, Fails: s.fails})
	}
	return out
}
