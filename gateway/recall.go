package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

// maxUnpaidCrashes is the number of crashes in one outage from which attempts with a prompt on trial are recalled although
// the retry budget may not permit another one.
const maxUnpaidCrashes = 5

// minRecallCrashes is the number of crashes, one after the other, from which attempts are recalled while the prompt is on
// trial. If upstreams crash at once, others may follow at once, so then two crashes suffice.
const minRecallCrashes = 3

// trackedAttempts holds this router's attempts whose responses have not begun, by prompt. Their prompts
// are queued or in prefill at upstreams. Each attempt with a prompt that causes crashes would crash one
// more upstream.
type trackedAttempts struct {
	mu       sync.Mutex
	byPrompt map[poison.Prompt]map[*trackedAttempt]struct{}
}

// trackedAttempt is an attempt that can be recalled: canceled if other upstreams crash under its prompt.
type trackedAttempt struct {
	request *serving.Request
	// prompts are the identities of the prompt and of its parts.
	prompts []poison.Prompt
	cancel  context.CancelCauseFunc
	removed atomic.Bool
	// mu is held while it is decided whether to recall the attempt. recalled is set once it is, and considered once
	// the retry budget was asked for a further attempt.
	mu                   sync.Mutex
	recalled, considered bool
	// postponable is set if the request could be sent again, and the attempt is not a trial itself.
	postponable bool
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
func (p *promptGuard) TrackAttempt(ctx context.Context, r *serving.Request, repeatable bool) (tracked context.Context, began, done func()) {
	if len(r.Parts) == 0 {
		return ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	parts := poison.IdentifyParts(r)
	a := &trackedAttempt{request: r, prompts: append([]poison.Prompt{poison.Identify(r)}, parts...), cancel: cancel,
		postponable: repeatable && !p.isOnTrial(r)}
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
// the prompt is now on trial or proven to crash upstreams, it recalls attempts with it.
func (p *promptGuard) addEvidence(e poison.Evidence) (merged poison.Evidence, isNew bool) {
	merged, isNew = p.registry.Add(time.Now(), e)
	if !isNew {
		return merged, false
	}
	if p.clearAnswered(merged) {
		merged = p.registry.Known(time.Now(), e.Prompt)
	}
	if merged.Standing() == poison.Proven || len(merged.Answers) > 0 {
		p.trials.notify()
	}
	if merged.Standing() >= poison.OnTrial {
		p.recall(merged)
	}
	return merged, true
}

// recall cancels the tracked attempts that must not go on with a prompt.
func (p *promptGuard) recall(e poison.Evidence) {
	for _, a := range p.attempts.forPrompt(e.Prompt) {
		relevant := e.ForService(a.request.Service.Name)
		cause := p.recallAttempt(a, relevant)
		if cause == nil {
			continue
		}
		p.metrics.attemptRecalled(a.request.Service.Name)
		p.log.Warn().Str("id", a.request.ID).Str("prompt", string(e.Prompt)).Stringer("standing", relevant.Standing()).AnErr("cause", cause).
			Int("independent", e.Independent()).Str("evidence", describeEvidence(e)).Msg("prompt_recalled")
	}
}

// recallAttempt cancels an attempt if it must not go on with a prompt, and returns why, nil if it was not canceled.
func (p *promptGuard) recallAttempt(a *trackedAttempt, e poison.Evidence) (cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recalled {
		return nil
	}
	if cause = p.recallCauseLocked(a, e); cause != nil {
		a.recalled = true
		a.cancel(cause)
	}
	return cause
}

// recallCauseLocked returns why an attempt must not go on with a prompt, nil if it may. While the prompt is on trial,
// attempts that could not be sent again go on, since their callers would get no answer; beyond what the retry budget
// permits only while a small outage may explain the crashes.
func (p *promptGuard) recallCauseLocked(a *trackedAttempt, e poison.Evidence) error {
	switch standing := e.Standing(); {
	case standing == poison.Proven:
		return serving.ErrRecalled
	case standing < poison.OnTrial || !a.postponable || len(e.Crashes) < minRecallCrashes && e.Independent() > 1:
		return nil
	case !a.considered && p.retries.Allow(a.request):
		return serving.ErrPostponed
	case len(e.Crashes) >= maxUnpaidCrashes || e.Independent() > 1:
		return serving.ErrRecalled
	}
	a.considered = true
	return nil
}
