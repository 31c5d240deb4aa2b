package grant

import (
	"context"
	"errors"
	"time"
)

// Urgency says how a request for tokens is ordered among others while all that is left of a budget is reserved.
type Urgency struct {
	// Rank is the request's priority; 0 goes first.
	Rank int
	// Wait is how long the request may wait for reservations that end; 0 refuses it at once.
	Wait time.Duration
}

type urgencyKey struct{}

// WithUrgency returns a context for requests for tokens with this urgency.
func WithUrgency(ctx context.Context, u Urgency) context.Context {
	return context.WithValue(ctx, urgencyKey{}, u)
}

// UrgencyOf returns the context's urgency; without one, a request does not wait.
func UrgencyOf(ctx context.Context) Urgency {
	u, _ := ctx.Value(urgencyKey{}).(Urgency)
	return u
}

// ReservedError is ErrAllReserved with the lender's estimate of when reservations end.
type ReservedError struct {
	// RetryAfter is how long the lender's lots of the budget stay open on average; 0 is unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ReservedError) Error() string { return ErrAllReserved.Error() }

// Unwrap returns ErrAllReserved.
func (e *ReservedError) Unwrap() error { return ErrAllReserved }

// RetryAfter returns the estimate that an error carries of when a retry may succeed, 0 if it has none.
func RetryAfter(err error) time.Duration {
	var reserved *ReservedError
	if errors.As(err, &reserved) {
		return reserved.RetryAfter
	}
	return 0
}
