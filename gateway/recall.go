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
// are queued or in prefill at upstreams. Each attempt with a prompt that causes crashes would crash one
// more upstream.
type trackedAttempts struct {
	mu       sync.Mutex
	byPrompt map[poison.Prompt]map[*trackedAttempt]struct{}
}

// trackedAttempt is an attempt that can be recalled: canceled if its prompt is found to crash
// upstreams.
type trackedAttempt struct {
	request *serving.Request
	// prompts are the identities of the prompt and of its parts.
	prompts []poison.Prompt
	cancel  context.CancelCauseFunc
	removed atomic.Bool
}

func (t *trackedAttempts) add(a *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPrompt == nil {
		t.byPrompt = map[poison.Prompt]map[*trackedAttempt]struct{}{}
	}
	for _, prompt := range a.prompts {
		if t.byPrompt[prompt] == nil {
			t.byPrompt[prompt] = map[*trackedAttempt]struct{}{}
		}
		t.byPrompt[prompt][a] = struct{}{}
	}
}

// remove removes an attempt. It is called for each event of a response; calls after the first do
// nothing.
func (t *trackedAttempts) remove(a *trackedAttempt) {
	if a.removed.Swap(true) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, prompt := range a.prompts {
		delete(t.byPrompt[prompt], a)
		if len(t.byPrompt[prompt]) == 0 {
			delete(t.byPrompt, prompt)
		}
	}
}

// forPrompt returns the tracked attempts of a prompt, or of prompts with a part.
func (t *trackedAttempts) forPrompt(prompt poison.Prompt) (out []*trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.byPrompt[prompt] {
		out = append(out, a)
	}
	return out
}

// TrackAttempt implements serving.PromptGuard. It doesn't track requests without parts: they are short.
func (p *promptGuard) TrackAttempt(ctx context.Context, r *serving.Request) (tracked context.Context, began, done func()) {
	if len(r.Parts) == 0 {
		return ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	parts := poison.IdentifyParts(r)
	a := &trackedAttempt{request: r, prompts: append([]poison.Prompt{poison.Identify(r)}, parts...), cancel: cancel}
	p.attempts.add(a)
	began = func() {
		p.attempts.remove(a)
		p.recordPartsAnswered(r, parts)
	}
	return ctx, began, func() {
		p.attempts.remove(a)
		cancel(nil)
	}
}

// addEvidence adds evidence on a prompt and returns all evidence on it, and whether any was new. If
// the prompt is now proven to crash upstreams, it cancels the prompt's tracked attempts.
func (p *promptGuard) addEvidence(e poison.Evidence) (merged poison.Evidence, isNew bool) {
	merged, isNew = p.registry.Add(time.Now(), e)
	if isNew && p.clearAnswered(merged) {
		return p.registry.Known(time.Now(), e.Prompt), isNew
	}
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
