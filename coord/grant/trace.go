package grant

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Trace records which sources were asked for the tokens of one request, to explain a refusal.
// It is not safe for concurrent use.
type Trace struct{ steps []traceStep }

// traceStep is one source that was asked, with its answer.
type traceStep struct {
	source string
	took   time.Duration
	err    error
}

// maxTraceSteps bounds a trace. A request asks a few sources, some of them repeatedly.
const maxTraceSteps = 12

type traceKey struct{}

// WithTrace returns a context under which NoteAsked records in t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// NoteAsked records in the context's trace, if it has one, that a source was asked.
func NoteAsked(ctx context.Context, source string, took time.Duration, err error) {
	t, ok := ctx.Value(traceKey{}).(*Trace)
	if ok && len(t.steps) < maxTraceSteps {
		t.steps = append(t.steps, traceStep{source, took, err})
	}
}

// String lists the sources in order, with the time that each took and its answer.
func (t *Trace) String() string {
	parts := make([]string, len(t.steps))
	for i, s := range t.steps {
		answer := "lent"
		if s.err != nil {
			answer = s.err.Error()
		}
		parts[i] = fmt.Sprintf("%s [%d ms] %s", s.source, s.took.Milliseconds(), answer)
	}
	return strings.Join(parts, "; ")
}
