package contract

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// RequestIDHeader carries the system's request id in every response.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the reason for a refusal and whether the request had any effect.
type ErrorDetail struct {
	Kind      Kind   `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	NotRun    bool   `json:"not_run"`
}

// Write sends the refusal with the status and headers that the answer table has for its kind.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	a := r.Kind.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	switch {
	case r.RetryAfter > 0:
		// Fractions are sent, since a caller's whole timeout may be one second.
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	case a.RetryAfter > 0:
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{ErrorDetail{
		Kind: r.Kind, Message: r.Message, RequestID: requestID, NotRun: a.NotRun,
	}})
}
