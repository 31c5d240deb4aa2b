// Package ratelimit keeps the requests sent to an upstream within the limit that it names in its
// answers: the requests per second that it accepts from all routers together, for as long as it
// names it.
//
// Routers do not exchange their request counts. If an upstream has a lender on its VM, all prompts
// are announced there, and the lender counts them and grants a permit for each (Limiter).
// Otherwise a few routers share the limit (Share).
package ratelimit

import "math/rand/v2"

// Mark identifies a state of the information on one upstream's limit. All marks of one process
// have the same source; source 0 marks a router's own state. Marks of different sources have no
// order, since clocks of processes differ.
type Mark struct {
	Source int64 `json:"source,omitempty"`
	Number int64 `json:"number,omitempty"`
}

// State is a limit in requests per second, 0 for none, and the mark of the state in which it was
// recorded.
type State struct {
	PerSecond float64 `json:"per_second,omitempty"`
	Mark      Mark    `json:"mark,omitzero"`
}

// NamedLimit is the limit that one answer named.
type NamedLimit struct {
	PerSecond float64 `json:"per_second,omitempty"`
	// KnownMark is the mark that was current when the answer's request was permitted.
	KnownMark Mark `json:"under,omitzero"`
}

// apply applies the limit named by an answer and reports whether that changed the limit. Answers
// may arrive out of order: one whose request was permitted under an earlier mark may have been
// given before the current limit was named. It can only make the limit stricter.
func (s *State) apply(n NamedLimit) bool {
	switch {
	case n.PerSecond == s.PerSecond:
		return false
	case n.KnownMark != s.Mark && !stricter(n.PerSecond, s.PerSecond):
		return false
	}
	s.PerSecond = n.PerSecond
	s.Mark.Number++
	return true
}

// stricter reports whether limit a allows less than limit b; 0 is no limit.
func stricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// newSource returns a random source for the marks of a process, or for those after a restart of
// its upstream.
func newSource() int64 { return 1 + rand.Int64N(1<<62) }
