// Package ratelimit holds what an upstream is sent to the rate that it names in its answers: the
// requests a second that it takes from all routers together, for as long as it says so.
//
// Routers do not hear of each other's requests. So one process counts for each upstream where
// there is one beside it, to which each prompt is announced; it gives leave for each (Limiter).
// Where there is none, a few routers share the rate (Share).
package ratelimit

import "math/rand/v2"

// Mark tells states of what is known of one upstream's limit apart. One process's marks are of one
// source; 0 is a router's own. They are compared for being the same only: processes' clocks differ.
type Mark struct {
	Source int64 `json:"source,omitempty"`
	Number int64 `json:"number,omitempty"`
}

// State is a limit in requests a second, 0 for none, and the state in which it is known.
type State struct {
	PerSecond float64 `json:"per_second,omitempty"`
	Mark      Mark    `json:"mark,omitzero"`
}

// NamedLimit is what one answer said of the limit.
type NamedLimit struct {
	PerSecond float64 `json:"per_second,omitempty"`
	// KnownMark is what was known when the answer's request was let go.
	KnownMark Mark `json:"under,omitzero"`
}

// hear takes in a word, and reports whether it changed the limit. Answers overtake each other: one
// whose request was let go before the limit that is known now may have been given before that
// was named. It can only make the limit stricter.
func (k *State) hear(w NamedLimit) bool {
	switch {
	case w.PerSecond == k.PerSecond:
		return false
	case w.KnownMark != k.Mark && !stricter(w.PerSecond, k.PerSecond):
		return false
	}
	k.PerSecond = w.PerSecond
	k.Mark.Number++
	return true
}

// stricter reports whether a limit allows less than another; 0 is none.
func stricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// newSource makes the source of a process's marks, or of those that follow a restart of its upstream.
func newSource() int64 { return 1 + rand.Int64N(1<<62) }
