package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prepaid"
)

// Parameters of the keepers: lenders that store the routers' evidence on prompts.
const (
	// keeperCount is the number of keepers: one may fail together with its upstream while another
	// one restarts.
	keeperCount = 3
	// keeperBatchDelay is how long changes are collected for one message to the keepers. A crashing
	// engine interrupts dozens of requests at once.
	keeperBatchDelay = 100 * time.Millisecond
	// keeperCheckInterval is the interval between checks for new keepers.
	keeperCheckInterval = time.Second
	// maxQueuedChanges limits the changes between two messages.
	maxQueuedChanges = 512
)

// promptChange is a prompt with new evidence, or one that a service answered.
type promptChange struct {
	prompt poison.Prompt
	// answered is nil for new evidence.
	answered *link.PromptAnswered
}

// keepers returns the lenders that store the evidence on all prompts.
func (p *promptGuard) keepers() []member.Member {
	ranked := p.members.Rank(poison.KeepersKey, prepaid.RoleLender)
	return ranked[:min(keeperCount, len(ranked))]
}

// isOwner reports whether this router owns a prompt.
func (p *promptGuard) isOwner(prompt poison.Prompt) bool {
	ranked := p.rankOwners(prompt)
	return len(ranked) == 0 || ranked[0].VM == p.vm
}

// queueForKeepers queues a change for the keepers. If the queue is full, the change is dropped and
// counted; it is sent when the prompt's owner or a keeper changes.
func (p *promptGuard) queueForKeepers(c promptChange) {
	select {
	case p.keeperChanges <- c:
	default:
		p.metrics.promptUpdateDropped()
	}
}

// queueAnsweredForKeepers queues an answer to a prompt for the keepers, if this router owns the prompt.
func (p *promptGuard) queueAnsweredForKeepers(a link.PromptAnswered) {
	if p.isOwner(a.Prompt) {
		p.queueForKeepers(promptChange{prompt: a.Prompt, answered: &a})
	}
}

// updateKeepers sends changes to the keepers, and to each new keeper the evidence on all prompts that
// this router owns, until the context ends.
func (p *promptGuard) updateKeepers(ctx context.Context) {
	synced := map[string]bool{} // the keepers that have received all owned evidence, by incarnation
	check := time.NewTicker(keeperCheckInterval)
	defer check.Stop()
	for {
		var changes []promptChange
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case c := <-p.keeperChanges:
			changes = append(changes, c)
			_ = backoff.Sleep(ctx, keeperBatchDelay) // ends early only with the context
		}
		synced = p.sendToKeepers(ctx, synced, p.mergeChanges(p.appendQueuedChanges(changes)))
	}
}

// appendQueuedChanges appends the changes that are already queued, without waiting for more.
func (p *promptGuard) appendQueuedChanges(changes []promptChange) []promptChange {
	for range len(p.keeperChanges) {
		changes = append(changes, <-p.keeperChanges)
	}
	return changes
}

// mergeChanges combines changes into one message.
func (p *promptGuard) mergeChanges(changes []promptChange) (message link.PromptKeep) {
	now, seen := time.Now(), map[poison.Prompt]bool{}
	for _, c := range changes {
		if c.answered != nil {
			message.Answered = append(message.Answered, *c.answered)
		}
		if seen[c.prompt] {
			continue
		}
		seen[c.prompt] = true
		if e := p.registry.Known(now, c.prompt); len(e.Crashes) > 0 {
			message.Known = append(message.Known, e)
		}
	}
	return message
}

// sendToKeepers sends the changes to each keeper, or the evidence on all owned prompts to one that is
// not synced, and returns the keepers that are synced then.
func (p *promptGuard) sendToKeepers(ctx context.Context, synced map[string]bool, changes link.PromptKeep) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	updated := map[string]bool{}
	for _, m := range p.keepers() {
		message := changes
		if !synced[m.ID] {
			message.Known = p.ownedEvidence()
		}
		wg.Go(func() {
			if ok := p.sendToKeeper(ctx, m, message); ok {
				mu.Lock()
				defer mu.Unlock()
				updated[m.ID] = true
			}
		})
	}
	wg.Wait()
	return updated
}

// ownedEvidence returns the evidence on the prompts that this router owns.
func (p *promptGuard) ownedEvidence() (owned []poison.Evidence) {
	for _, e := range p.registry.List(time.Now()) {
		if p.isOwner(e.Prompt) {
			owned = append(owned, e)
		}
	}
	return owned
}

// sendToKeeper sends one message to a keeper, and adds the keeper's additional evidence: another
// router may have owned a prompt before. It reports whether the keeper replied.
func (p *promptGuard) sendToKeeper(ctx context.Context, m member.Member, message link.PromptKeep) bool {
	if len(message.Known)+len(message.Answered) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, promptCallTimeout)
	defer cancel()
	var stored []poison.Evidence
	if err := p.links.Call(ctx, m.Address, link.MethodPromptKeep, message, &stored); err != nil {
		p.log.Warn().Err(err).Str("keeper", m.ID).Str("method", link.MethodPromptKeep).Msg("prompt_not_told")
		return false
	}
	for _, e := range stored {
		p.addKeeperEvidence(e)
	}
	return true
}

// addKeeperEvidence adds a keeper's evidence on a prompt, unless the prompt was answered meanwhile.
func (p *promptGuard) addKeeperEvidence(e poison.Evidence) {
	now := time.Now()
	if len(p.registry.Known(now, e.Prompt).Crashes) == 0 {
		return
	}
	merged, isNew := p.addEvidence(e)
	p.publishAsOwner(merged, isNew)
}
