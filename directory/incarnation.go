package directory

import "fmt"

// Incarnation identifies one incarnation of an upstream, from a start of its process to its end. An
// upstream may restart under the same id and has lost all its state then, so everything recorded
// about an upstream belongs to one incarnation.
//
// Incarnations are compared for equality only. Their order follows from the revisions of the store, never
// from start times, since clocks step.
type Incarnation struct {
	// ID is the id under which the upstream is registered.
	ID string `json:"id"`
	// StartUnixMS is the start time in Unix milliseconds by the upstream's own clock; 0 if unknown.
	StartUnixMS int64 `json:"born,omitempty"`
}

// String returns the form used in logs.
func (i Incarnation) String() string {
	if i.StartUnixMS == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.StartUnixMS)
}
