package directory

import "fmt"

// Incarnation is one life of an upstream: from its start to its end. An upstream may start again
// under the id that it had, and has nothing then of what it held before. So everything that a
// process learns of an upstream belongs to a life.
//
// Lives are told apart by being different; which one is newer follows from the revisions of
// the store, never from a comparison of times, since clocks step.
type Incarnation struct {
	// ID is what the upstream is registered under.
	ID string `json:"id"`
	// StartUnixMS is when it started, in Unix milliseconds by its own clock; 0 if it does not say.
	StartUnixMS int64 `json:"born,omitempty"`
}

// String is the life in logs.
func (l Incarnation) String() string {
	if l.StartUnixMS == 0 {
		return l.ID
	}
	return fmt.Sprintf("%s@%d", l.ID, l.StartUnixMS)
}
