package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

// trackedAttempts holds this router's attempts whose responses have not begun, by prompt. Their prompts
// are queued or in prefill at upstreams, and each would crash one more upstream if it causes crashes.
type trackedAttempts struct {
	mu       sync.Mutex
	byPrompt map[poison.Prompt]map[*trackedAttempt]struct{}
}

// trackedAttempt is an attempt that can be recalled: canceled if its prompt is found to crash
// upstreams.
type trackedAttempt struct {
	request *serving.Request
	prompt  poison.Prompt
	cancel  context.CancelCauseFunc
	removed atomic.Bool
}

func (t *trackedAttempts) add(a *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPrompt == nil {
		t.byPrompt = map[poison.Prompt]map[*trackedAttempt]struct{}{}
	}
	if t.byPrompt[a.prompt] == nil {
		t.byPrompt[a.prompt] = map[*trackedAttempt]struct{}{}
	}
	t.byPrompt[a.prompt][a] = struct{}{}
}

// remove removes an attempt. It is called for each event of a response; calls after the first do
// nothing.
func (t *trackedAttempts) remove(a *trackedAttempt) {
	if a.removed.Swap(true) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byPrompt[a.prompt], a)
	if len(t.byPrompt[a.prompt]) == 0 {
		delete(t.byPrompt, a.prompt)
	}
}

// forPrompt returns the tracked attempts of a prompt.
func (t *trackedAttempts) forPrompt(prompt poison.Prompt) (out []*trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.byPrompt[prompt] {
		out = append(out, a)
	}
	return out
}

// TrackSend implements serving.PromptGuard. It doesn't track requests without parts: they are short.
func (p *promptGuard) TrackSend(ctx context.Context, r *serving.Request) (tracked context.Context, began, done func()) {
	if len(r.Parts) == 0 {
		return ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &trackedAttempt{request: r, prompt: poison.Identify(r), cancel: cancel}
	p.attempts.add(a)
	began = func() { p.attempts.remove(a) }
	return ctx, began, func() {
		p.attempts.remove(a)
		cancel(nil)
	}
}

// addEvidence adds evidence on a prompt and returns all evidence on it, and whether any was new. If
// the prompt is now proven to crash upstreams, it cancels the prompt's tracked attempts.
func (p *promptGuard) addEvidence(e poison.Evidence) (merged poison.Evidence, isNew bool) {
	merged, isNew = p.registry.Add(time.Now(), e)
	if !isNew || merged.Standing() < poison.Proven {
		return merged, isNew
	}
	for _, a := range p.attempts.forPrompt(merged.Prompt) {
		if merged.ForService(a.request.Service.Name).Standing() < poison.Proven {
			continue
		}
		p.metrics.attemptRecalled(a.request.Service.Name)
		p.log.Warn().Str("id", a.request.ID).Str("prompt", string(merged.Prompt)).Str("evidence", describeEvidence(merged)).Msg("prompt_recalled")
		a.cancel(serving.ErrRecalled)
	}
	return merged, isNew
}
