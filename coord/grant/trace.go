package grant

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Trace notes who was asked for the tokens of one request, so that a refusal can be explained.
// One goroutine uses it.
type Trace struct{ steps []step }

// step is one source that was asked, and what came of it.
type step struct {
	source string
	took   time.Duration
	err    error
}

// mostSteps bounds a trace: a request asks a few sources, some of them again.
const mostSteps = 12

type traceKey struct{}

// WithTrace returns a context under which what is asked is noted in t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// NoteAsked notes in the context's trace, if it has one, that a source was asked.
func NoteAsked(ctx context.Context, source string, took time.Duration, err error) {
	t, ok := ctx.Value(traceKey{}).(*Trace)
	if ok && len(t.steps) < mostSteps {
		t.steps = append(t.steps, step{source, took, err})
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
