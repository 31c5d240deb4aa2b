package gateway

import (
	"context"
	"time"

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
	// maxKeeperBatch limits the prompts of one message to a keeper to some 40 kilobytes.
	maxKeeperBatch = 128
)

// newKeeperOutbox returns the outbox of the keepers.
func (p *promptGuard) newKeeperOutbox() *promptOutbox {
	return &promptOutbox{
		batchDelay: keeperBatchDelay, maxBatch: maxKeeperBatch, slots: make(chan struct{}, keeperCount),
		refresh: p.refreshKeepers, list: p.listedPrompts, send: p.sendToKeeper,
		unreached: func(string, []pendingPrompt) {}, overflowed: p.metrics.promptUpdateDropped,
		wake: make(chan struct{}, 1),
	}
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

// refreshKeepers updates the keepers. Each new one is sent the evidence on all prompts that this router
// owns.
func (p *promptGuard) refreshKeepers() {
	addresses := map[string]string{}
	for _, m := range p.keepers() {
		addresses[m.ID] = m.Address
	}
	added := p.keeperOutbox.setPeers(addresses)
	if len(added) == 0 {
		return
	}
	for _, prompt := range p.listedPrompts() {
		if p.isOwner(prompt) {
			p.keeperOutbox.add(prompt, false, added...)
		}
	}
}

// listedPrompts returns the prompts that this router lists to others.
func (p *promptGuard) listedPrompts() (prompts []poison.Prompt) {
	for _, e := range p.registry.ListAll(time.Now()) {
		prompts = append(prompts, e.Prompt)
	}
	return prompts
}

// sendToKeeper sends the evidence on prompts to a keeper, and merges the keeper's evidence on them: another
// router may have owned a prompt before. It reports whether the keeper replied.
func (p *promptGuard) sendToKeeper(ctx context.Context, address, id string, batch []pendingPrompt) bool {
	message := p.keeperMessage(time.Now(), batch)
	if len(message.Known)+len(message.Answered) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, promptCallTimeout)
	defer cancel()
	var stored []poison.Evidence
	if err := p.links.Call(ctx, address, link.MethodPromptKeep, message, &stored); err != nil {
		p.log.Warn().Err(err).Str("keeper", id).Str("method", link.MethodPromptKeep).Msg("prompt_not_told")
		return false
	}
	for _, e := range stored {
		p.mergeAndPublish(e)
	}
	return true
}

// keeperMessage returns the message with the current evidence on prompts.
func (p *promptGuard) keeperMessage(now time.Time, batch []pendingPrompt) (message link.PromptKeep) {
	for _, pending := range batch {
		e := p.registry.Known(now, pending.prompt)
		if len(e.Crashes) > 0 {
			message.Known = append(message.Known, e)
		}
		message.Answered = append(message.Answered, answersToSend(e, pending)...)
	}
	return message
}

// answersToSend returns the answers to a prompt that are sent by themselves. Evidence contains answers too,
// but evidence without crashes is sent to no process, and some processes read only messages of this form.
// These remove all crashes of the services, so they are sent no answers without need.
func answersToSend(e poison.Evidence, pending pendingPrompt) (answers []link.PromptAnswered) {
	if len(e.Crashes) > 0 && !pending.answered {
		return nil
	}
	for _, a := range e.Answers {
		answers = append(answers, link.NewPromptAnswered(e.Prompt, a))
	}
	return answers
}
