// Package contract defines the interface for one request: its identity, its priority,
// its limits, and the closed list of ways in which it can be refused.
package contract

import (
	"fmt"
	"net/http"
	"time"
)

// Kind is one way in which a request can end without its answer. The list is
// closed: every error that a caller sees is one of these.
type Kind string

// The kinds. The answers table below defines what a caller gets for each.
const (
	BadRequest        Kind = "bad_request"
	BodyTooLarge      Kind = "body_too_large"
	HeadersTooLarge   Kind = "headers_too_large"
	Unauthorized      Kind = "unauthorized"
	NotAllowed        Kind = "not_allowed"
	UnknownModel      Kind = "unknown_model"
	UnknownService    Kind = "unknown_service"
	UnknownPath       Kind = "unknown_path"
	KeyReused         Kind = "idempotency_key_reused"
	BudgetExhausted   Kind = "budget_exhausted"
	BudgetUnreachable Kind = "budget_unreachable"
	BudgetMissing     Kind = "budget_missing"
	Overloaded        Kind = "overloaded"
	DeadlineTooShort  Kind = "deadline_too_short"
	NoUpstream        Kind = "no_upstream"
	UpstreamLimit     Kind = "upstream_limit"
	Stopping          Kind = "stopping"
	NotReady          Kind = "not_ready"
	// ConfigUnconfirmed means that this router's copy of the configuration refuses the request and may be older than the one in force.
	ConfigUnconfirmed   Kind = "configuration_unconfirmed"
	ChargeBacklog       Kind = "charge_backlog"
	ClaimUnavailable    Kind = "claim_unavailable"
	Fenced              Kind = "fenced"
	InProgress          Kind = "in_progress"
	UpstreamFailed      Kind = "upstream_failed"
	OutcomeUnknown      Kind = "outcome_unknown"
	PromptEndsUpstreams Kind = "prompt_ends_upstreams"
	PromptOnTrial       Kind = "prompt_on_trial"
	// StreamUnknown means that this router cannot find out which version began the stream; another one may.
	StreamUnknown Kind = "stream_unknown"
	// NoStreamVersion means that no upstream of the version that began the stream takes requests.
	NoStreamVersion Kind = "no_stream_version"
	TimedOut        Kind = "timed_out"
	Internal        Kind = "internal"
)

// Answer is what a caller gets for a kind.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// NotRun reports that the request had no effect and cost nothing.
	NotRun bool
	// RetryAfter is the delay after which a retry may succeed; 0 means that none will.
	RetryAfter time.Duration
	// TryOther allows the router to try another upstream itself.
	TryOther bool
}

// answers maps each kind to its answer. NotRun is true only where the refusal is
// decided before the request is sent, or by the agent that held it.
var answers = map[Kind]Answer{
	BadRequest:          {Status: http.StatusBadRequest, NotRun: true},
	BodyTooLarge:        {Status: http.StatusRequestEntityTooLarge, NotRun: true},
	HeadersTooLarge:     {Status: http.StatusRequestHeaderFieldsTooLarge, NotRun: true},
	Unauthorized:        {Status: http.StatusUnauthorized, NotRun: true},
	NotAllowed:          {Status: http.StatusForbidden, NotRun: true},
	UnknownModel:        {Status: http.StatusNotFound, NotRun: true},
	UnknownService:      {Status: http.StatusNotFound, NotRun: true},
	UnknownPath:         {Status: http.StatusNotFound, NotRun: true},
	KeyReused:           {Status: http.StatusUnprocessableEntity, NotRun: true},
	BudgetExhausted:     {Status: http.StatusPaymentRequired, NotRun: true},
	BudgetUnreachable:   {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 2 * time.Second},
	BudgetMissing:       {Status: http.StatusPaymentRequired, NotRun: true},
	Overloaded:          {Status: http.StatusTooManyRequests, NotRun: true, RetryAfter: time.Second, TryOther: true},
	DeadlineTooShort:    {Status: http.StatusTooManyRequests, NotRun: true, RetryAfter: time.Second},
	NoUpstream:          {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 2 * time.Second},
	UpstreamLimit:       {Status: http.StatusTooManyRequests, NotRun: true, RetryAfter: time.Second},
	Stopping:            {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: time.Second, TryOther: true},
	NotReady:            {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 2 * time.Second, TryOther: true},
	ConfigUnconfirmed:   {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 500 * time.Millisecond},
	ChargeBacklog:       {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 10 * time.Second, TryOther: true},
	ClaimUnavailable:    {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 5 * time.Second},
	Fenced:              {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: time.Second},
	InProgress:          {Status: http.StatusConflict, RetryAfter: time.Second},
	UpstreamFailed:      {Status: http.StatusBadGateway, RetryAfter: time.Second},
	OutcomeUnknown:      {Status: http.StatusBadGateway, RetryAfter: time.Second},
	PromptEndsUpstreams: {Status: http.StatusUnprocessableEntity},
	PromptOnTrial:       {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 2 * time.Second},
	StreamUnknown:       {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: time.Second},
	NoStreamVersion:     {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 2 * time.Second},
	TimedOut:            {Status: http.StatusGatewayTimeout},
	Internal:            {Status: http.StatusInternalServerError},
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(answers))
	for k := range answers {
		out = append(out, k)
	}
	return out
}

// Answer returns the answer for the kind; an unknown kind counts as Internal.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Refusal is an error with a kind and a message for the caller.
type Refusal struct {
	Kind    Kind
	Message string
	// RetryAfter, if not 0, overrides the kind's, for refusals with a better
	// estimate of when a retry may succeed.
	RetryAfter time.Duration
	// Detail is the data behind the decision, for the log.
	Detail string
}

// Refuse returns a refusal with a formatted message for the caller.
func Refuse(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay after which a retry may succeed, and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Message }
