package contract

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// RequestIDHeader carries the system's id of a request, in every answer.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a request was refused and whether it had any effect.
type ErrorDetail struct {
	Kind      Kind   `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	NotRun    bool   `json:"not_run"`
}

// Write sends the refusal as its row of the table says, at once.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	a := r.Kind.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	switch {
	case r.RetryAfter > 0:
		// Fractions are allowed: a whole second is long for callers who have one.
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	case a.RetryAfter > 0:
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{ErrorDetail{
		Kind: r.Kind, Message: r.Message, RequestID: requestID, NotRun: a.NotRun,
	}})
}
