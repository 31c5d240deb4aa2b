package contract

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
)

// Class is the priority of a request. Lower values have strict precedence.
type Class int

// The classes, in order of precedence.
const (
	Urgent Class = iota
	Normal
	Deferrable
	// ClassCount is the number of classes.
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

// ParseClass returns the class with the given name, and false if there is none.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Work is a router's instructions to an agent for one request, sent as JSON in
// WorkHeader. The request's body is not part of it.
type Work struct {
	// ID is the identity of the request: team and idempotency key.
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Spender is the router's incarnation.
	Spender     string            `json:"spender"`
	Reservation grant.Reservation `json:"reservation"`
	// Watermarks are the durable watermarks of the budget's rows, by holder.
	// The agent may drop the outcomes of reservations up to them.
	Watermarks map[string]int64 `json:"watermarks"`
	// Floor is copied into the charge; see ledger.Charge.
	Floor int64 `json:"floor"`
	Class Class `json:"class"`
	// TimeoutMS is the remaining time in milliseconds. It is a duration and not a
	// deadline, since the clocks of two VMs differ.
	TimeoutMS int64 `json:"timeout_ms"`
	// Idempotent requests may be run again; others are claimed before they run.
	Idempotent bool `json:"idempotent"`
	// Engine requests are billed by the usage that the engine reports, others by Price.
	Engine bool `json:"engine"`
	// Price is the cost of a call to a plain service, in tokens.
	Price int64 `json:"price"`
	// OutputLimit is the maximum number of output tokens that are forwarded.
	OutputLimit int64 `json:"output_limit"`
	// Generation is the generation of the configuration that admitted the request.
	Generation int64 `json:"generation"`
}

// Headers between router and agent.
const (
	// WorkHeader carries the Work of a request.
	WorkHeader = "Arbutusmill-Work"
	// OutcomeTrailer carries the Outcome after the body. An answer without it
	// is truncated, however its connection ended.
	OutcomeTrailer = "Arbutusmill-Outcome"
	// FencedHeader names the fenced holder that made an agent refuse with Fenced.
	FencedHeader = "Arbutusmill-Fenced"
	// RefusalHeader carries the kind of an agent's refusal.
	RefusalHeader = "Arbutusmill-Refusal"
)

// Outcome is the result of a request, as sent by the agent after the body.
type Outcome struct {
	// Used is the billed amount in tokens.
	Used int64 `json:"used"`
	// Complete reports whether the upstream's answer was forwarded completely.
	Complete bool `json:"whole"`
	// Kind is set if the answer is not complete.
	Kind Kind `json:"kind,omitempty"`
	// Replayed reports whether the answer is that of an earlier run; it costs nothing.
	Replayed bool `json:"replayed,omitempty"`
}

// Timeout returns the remaining time for the work.
func (w Work) Timeout() time.Duration { return time.Duration(w.TimeoutMS) * time.Millisecond }

// SetHeader writes the work to a request's headers.
func (w Work) SetHeader(h http.Header) error {
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	h.Set(WorkHeader, string(b))
	return nil
}

// WorkOf parses the work in a request's headers.
func WorkOf(h http.Header) (Work, error) {
	var w Work
	err := json.Unmarshal([]byte(h.Get(WorkHeader)), &w)
	return w, err
}

// Billed returns the tokens to bill; a replayed answer was billed before.
func (o Outcome) Billed() int64 {
	if o.Replayed {
		return 0
	}
	return o.Used
}

// SetTrailer writes the outcome to an answer's trailers.
func (o Outcome) SetTrailer(h http.Header) {
	b, _ := json.Marshal(o) // cannot fail: only plain fields
	h.Set(OutcomeTrailer, string(b))
}

// OutcomeOf parses the outcome in an answer's trailers; ok is false if it is
// missing or invalid.
func OutcomeOf(trailer http.Header) (o Outcome, ok bool) {
	v := trailer.Get(OutcomeTrailer)
	if v == "" || json.Unmarshal([]byte(v), &o) != nil {
		return Outcome{}, false
	}
	return o, true
}
