package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

// An outage of several upstreams interrupts many requests at once, and puts each part on trial that they share and that
// was not answered yet. Their callers have waited already, and the trial's answer usually comes within a prompt's
// prefill, so these requests wait for it. New requests are refused instead: their callers may come back.

const (
	// maxTrialWait is how long an interrupted request waits for the results of other requests' trials: longer
	// than poison's interval between trials, so that one may be lost.
	maxTrialWait = 3 * time.Second
	// maxTrialWaiting limits the waiting requests of this router. Those beyond it do not wait.
	maxTrialWaiting = 512
	// settleTime is the time before the first question about a waiting request. Until then all routers have received
	// the crashes of an outage, so that they ask the same router about prompts with several parts on trial.
	settleTime = 50 * time.Millisecond
	// trialAskInterval is the time between two questions to the owner of a prompt about its waiting requests.
	trialAskInterval = 100 * time.Millisecond
)

// trialWaits holds what the requests that wait for a trial share. The zero value has none; it is safe for
// concurrent use.
type trialWaits struct {
	mu      sync.Mutex
	waiting int
	// changed is closed at the next change of a standing, nil if nobody waits for it.
	changed chan struct{}
	// asked holds the last questions to the owners of prompts, at most maxTrialWaiting.
	asked map[poison.Prompt]trialQuestion
}

// trialQuestion is a question to the owner of a prompt.
type trialQuestion struct {
	at time.Time
	// permitted is the id of the request that has the permission, "" if none is known.
	permitted string
}

// enter adds a waiting request, and reports whether there was room for it.
func (t *trialWaits) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= maxTrialWaiting {
		return false
	}
	t.waiting++
	return true
}

// leave removes a waiting request.
func (t *trialWaits) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// count returns the number of waiting requests.
func (t *trialWaits) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting
}

// change returns a channel that is closed at the next call of notify.
func (t *trialWaits) change() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// notify wakes all waiting requests.
func (t *trialWaits) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// mayAsk reports whether the owner of a prompt may be asked now about a request, and counts that as a question: the
// waiting requests share one permission anyway. The request that has it may always ask, as its first upstream may not
// have been reached.
func (t *trialWaits) mayAsk(now time.Time, prompt poison.Prompt, request string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, asked := t.asked[prompt]
	if asked && last.permitted != request && now.Sub(last.at) < trialAskInterval {
		return false
	}
	t.setLocked(prompt, trialQuestion{at: now, permitted: last.permitted})
	return true
}

// isPermitted reports whether a request has the permission to try a prompt.
func (t *trialWaits) isPermitted(prompt poison.Prompt, request string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked[prompt].permitted == request
}

// permit records that a request has the permission to try a prompt.
func (t *trialWaits) permit(now time.Time, prompt poison.Prompt, request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLocked(prompt, trialQuestion{at: now, permitted: request})
}

func (t *trialWaits) setLocked(prompt poison.Prompt, q trialQuestion) {
	if t.asked == nil || len(t.asked) >= maxTrialWaiting {
		t.asked = map[poison.Prompt]trialQuestion{}
	}
	t.asked[prompt] = q
}

// RefuseRetry implements serving.PromptGuard.
func (p *promptGuard) RefuseRetry(ctx context.Context, r *serving.Request) *contract.Refusal {
	if !p.isOnTrial(r) {
		if refusal := p.Refuse(ctx, r); refusal == nil || refusal.Kind != contract.PromptOnTrial {
			return refusal
		}
	}
	if !p.trials.enter() {
		p.metrics.trialNotAwaited()
		return p.Refuse(ctx, r)
	}
	defer p.trials.leave()
	began := time.Now()
	refusal := p.awaitTrial(ctx, r)
	p.metrics.trialAwaited(r.Service.Name, refusal == nil)
	p.log.Info().Str("id", r.ID).Int64("waited_ms", time.Since(began).Milliseconds()).Bool("allowed", refusal == nil).Msg("prompt_trial_awaited")
	return refusal
}

// awaitTrial waits until a request may be sent, or is refused for another reason than that its prompt is on trial.
func (p *promptGuard) awaitTrial(ctx context.Context, r *serving.Request) *contract.Refusal {
	ctx, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	if p.hasPermission(r) { // its first upstream could not be reached, or crashed: then it is not sent again
		return p.Refuse(ctx, r)
	}
	changed := p.trials.change()
	for pause := settleTime; ; pause = trialAskInterval {
		select {
		case <-changed:
		case <-time.After(pause):
		case <-ctx.Done():
			return trialRefusal()
		}
		changed = p.trials.change()
		if prompt, onTrial := p.promptOnTrial(r); onTrial && !p.trials.mayAsk(time.Now(), prompt, r.ID) {
			continue
		}
		if refusal := p.Refuse(ctx, r); refusal == nil || refusal.Kind != contract.PromptOnTrial {
			return refusal
		}
	}
}

// hasPermission reports whether a request has the permission to try its prompt.
func (p *promptGuard) hasPermission(r *serving.Request) bool {
	prompt, onTrial := p.promptOnTrial(r)
	return onTrial && p.trials.isPermitted(prompt, r.ID)
}

// promptOnTrial returns the prompt or part of a request whose owner decides about its trial, and false if none is on
// trial, or one is proven.
func (p *promptGuard) promptOnTrial(r *serving.Request) (prompt poison.Prompt, onTrial bool) {
	all := p.evidenceFor(r)
	if len(all) == 0 || all[0].Standing() != poison.OnTrial {
		return "", false
	}
	return all[0].Prompt, true
}

// isOnTrial reports whether a request's prompt or one of its parts is on trial, and none is proven.
func (p *promptGuard) isOnTrial(r *serving.Request) bool {
	_, onTrial := p.promptOnTrial(r)
	return onTrial
}

// trialRefusal returns the refusal of a prompt that another request tries.
func trialRefusal() *contract.Refusal {
	return contract.Refuse(contract.PromptOnTrial, "upstreams ended under this prompt, and another request is trying it")
}
