package contract

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
)

// Class is the priority of a request. Lower values go first, strictly.
type Class int

// The classes, from the one that is answered first.
const (
	Urgent Class = iota
	Normal
	Deferrable
	// ClassCount is their number.
	ClassCount
)

var classNames = [ClassCount]string{"urgent", "normal", "deferrable"}

// String returns the class's name in settings and metrics.
func (c Class) String() string {
	if c < 0 || c >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with a name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Work is what a router asks of an agent, beside the body. It travels as JSON in
// WorkHeader.
type Work struct {
	// ID is the identity of the request: team and idempotency key.
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Spender is the router's incarnation.
	Spender     string            `json:"spender"`
	Reservation grant.Reservation `json:"reservation"`
	// Watermarks are the durable watermarks of the budget's rows, by holder:
	// the agent may forget the outcomes of reservations up to them.
	Watermarks map[string]int64 `json:"watermarks"`
	// Floor is passed on in the charge.
	Floor int64 `json:"floor"`
	Class Class `json:"class"`
	// TimeoutMS is the time left, in milliseconds. A duration, not a moment,
	// since the clocks of two VMs differ.
	TimeoutMS int64 `json:"timeout_ms"`
	// Idempotent requests may be run again; others are claimed first.
	Idempotent bool `json:"idempotent"`
	// Engine requests are billed by the engine's usage, others by Price.
	Engine bool `json:"engine"`
	// Price is the tokens that a plain call costs.
	Price int64 `json:"price"`
	// OutputLimit is the most output tokens that are passed on.
	OutputLimit int64 `json:"output_limit"`
	// Generation is that of the configuration the request was admitted under.
	Generation int64 `json:"generation"`
}

// Headers between router and agent.
const (
	// WorkHeader carries the Work of a request.
	WorkHeader = "Arbutusmill-Work"
	// OutcomeTrailer carries the Outcome after the body. An answer without it
	// is cut short, however its connection ended.
	OutcomeTrailer = "Arbutusmill-Outcome"
	// FencedHeader names the holder for whose sake an agent refused as Fenced.
	FencedHeader = "Arbutusmill-Fenced"
	// RefusalHeader carries the kind of an agent's refusal.
	RefusalHeader = "Arbutusmill-Refusal"
)

// Outcome is the agent's last word on a request.
type Outcome struct {
	// Used is the billed amount in tokens.
	Used int64 `json:"used"`
	// Whole says that the upstream's answer was passed on to its end.
	Whole bool `json:"whole"`
	// Kind is set when the answer is not whole.
	Kind Kind `json:"kind,omitempty"`
	// Replayed says that the answer is that of an earlier run; it costs nothing.
	Replayed bool `json:"replayed,omitempty"`
}

// Timeout returns the time left for the work.
func (w Work) Timeout() time.Duration { return time.Duration(w.TimeoutMS) * time.Millisecond }

// SetHeader puts the work into a request's headers.
func (w Work) SetHeader(h http.Header) error {
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	h.Set(WorkHeader, string(b))
	return nil
}

// WorkOf reads the work from a request's headers.
func WorkOf(h http.Header) (Work, error) {
	var w Work
	err := json.Unmarshal([]byte(h.Get(WorkHeader)), &w)
	return w, err
}

// Billed is what the outcome costs; an answer that is replayed was paid before.
func (o Outcome) Billed() int64 {
	if o.Replayed {
		return 0
	}
	return o.Used
}

// SetTrailer puts the outcome into an answer's trailers.
func (o Outcome) SetTrailer(h http.Header) {
	b, _ := json.Marshal(o) // a struct of plain fields
	h.Set(OutcomeTrailer, string(b))
}

// OutcomeOf reads the outcome from an answer's trailers; ok is false when there
// is none.
func OutcomeOf(trailer http.Header) (o Outcome, ok bool) {
	v := trailer.Get(OutcomeTrailer)
	if v == "" || json.Unmarshal([]byte(v), &o) != nil {
		return Outcome{}, false
	}
	return o, true
}
