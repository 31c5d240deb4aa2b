package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prepaid"
)

// maxRouterBatch limits the prompts that are taken from the outbox at once, to be sent one after the other.
const maxRouterBatch = 32

// newRouterOutbox returns the outbox of the other routers.
func (p *promptGuard) newRouterOutbox() *promptOutbox {
	return &promptOutbox{
		maxBatch: maxRouterBatch, slots: make(chan struct{}, maxParallelNotifies),
		refresh: p.refreshRouters, list: p.listedPrompts, send: p.sendToRouter,
		unreached: p.replaceOwner, overflowed: p.metrics.promptUpdateDropped,
		wake: make(chan struct{}, 1),
	}
}

// mergeAndPublish merges another process's evidence on a prompt, and distributes what is new.
func (p *promptGuard) mergeAndPublish(e poison.Evidence) (after poison.Evidence, isNew bool) {
	before := p.registry.Known(time.Now(), e.Prompt)
	after, isNew = p.addEvidence(e)
	if isNew {
		p.publish(before, after)
	}
	return after, isNew
}

// publish distributes new evidence on a prompt as its owner: to the keepers, and to all routers if the prompt
// is or was on trial or proven.
func (p *promptGuard) publish(before, after poison.Evidence) {
	answered := !slices.EqualFunc(before.Answers, after.Answers, func(a, b poison.Answer) bool {
		return a.Service == b.Service && a.UnixMS == b.UnixMS
	})
	p.keeperOutbox.add(after.Prompt, answered)
	if after.Standing() >= poison.OnTrial && !answered {
		p.log.Warn().Str("prompt", string(after.Prompt)).Str("standing", after.Standing().String()).Int("independent", after.Independent()).
			Str("evidence", describeEvidence(after)).Msg("prompt_ends_upstreams")
	}
	if max(before.Standing(), after.Standing()) >= poison.OnTrial {
		p.notifyRouters(after.Prompt, answered)
	}
}

// notifyRouters sends the evidence on a prompt to all routers.
func (p *promptGuard) notifyRouters(prompt poison.Prompt, answered bool) {
	p.setRouterPeers(p.members.Newest(prepaid.RoleRouter))
	p.routerOutbox.add(prompt, answered)
}

// notifyOwner sends the evidence on a prompt to its owner, or to the keepers if that is this router.
func (p *promptGuard) notifyOwner(prompt poison.Prompt, answered bool) {
	ranked := p.rankOwners(prompt)
	if len(ranked) == 0 || ranked[0].VM == p.vm {
		p.keeperOutbox.add(prompt, answered)
		return
	}
	p.setRouterPeers(p.members.Newest(prepaid.RoleRouter))
	p.routerOutbox.add(prompt, answered, ranked[0].ID)
}

// replaceOwner distributes the evidence on prompts whose owner did not reply. The owner is called again
// until it does.
func (p *promptGuard) replaceOwner(peer string, prompts []pendingPrompt) {
	for _, pending := range prompts {
		if ranked := p.rankOwners(pending.prompt); len(ranked) > 0 && ranked[0].ID == peer {
			p.keeperOutbox.add(pending.prompt, pending.answered)
			p.setRouterPeers(p.members.Newest(prepaid.RoleRouter))
			p.routerOutbox.addForOthers(pending.prompt, pending.answered, peer)
		}
	}
}

// sendToRouter sends the evidence on prompts to a router, and reports whether it replied to all.
func (p *promptGuard) sendToRouter(ctx context.Context, address, id string, batch []pendingPrompt) bool {
	return !slices.ContainsFunc(batch, func(pending pendingPrompt) bool { return !p.sendPromptToRouter(ctx, address, id, pending) })
}

// sendPromptToRouter sends the evidence on a prompt to a router, and reports whether it replied. Expired
// evidence counts as sent.
func (p *promptGuard) sendPromptToRouter(ctx context.Context, address, id string, pending pendingPrompt) bool {
	e := p.registry.Known(time.Now(), pending.prompt)
	for _, a := range answersToSend(e, pending) {
		if !p.callRouter(ctx, address, id, link.MethodPromptCleared, a, nil) {
			return false
		}
	}
	if len(e.Crashes) == 0 {
		return true
	}
	if ranked := p.rankOwners(e.Prompt); len(ranked) == 0 || ranked[0].ID != id {
		return p.callRouter(ctx, address, id, link.MethodPromptKnown, e, nil)
	}
	var merged poison.Evidence
	if !p.callRouter(ctx, address, id, link.MethodPromptEnded, e, &merged) {
		return false
	}
	p.addEvidence(merged)
	return true
}

func (p *promptGuard) callRouter(ctx context.Context, address, id, method string, message, reply any) bool {
	ctx, cancel := context.WithTimeout(ctx, promptCallTimeout)
	defer cancel()
	if err := p.links.Call(ctx, address, method, message, reply); err != nil {
		p.log.Warn().Err(err).Str("router", id).Str("method", method).Msg("prompt_not_told")
		return false
	}
	return true
}

// refreshRouters updates the routers. A router that becomes the owner of a prompt sends its evidence to the
// keepers, and those that received it from its observers send it to a new owner: the keepers may not have
// received it from the old one.
func (p *promptGuard) refreshRouters() {
	routers := p.members.Newest(prepaid.RoleRouter)
	p.setRouterPeers(routers)
	current, last := incarnations(routers), p.lastRouters
	p.lastRouters = current
	if len(last) == 0 || maps.Equal(current, last) {
		return
	}
	vms, lastVMs := slices.Collect(maps.Keys(current)), slices.Collect(maps.Keys(last))
	received := p.received.retain(func(prompt poison.Prompt) bool { return p.registry.Has(time.Now(), prompt) })
	for _, prompt := range p.listedPrompts() {
		owner := rendezvous.Pick(string(prompt), vms)
		if current[owner] == last[rendezvous.Pick(string(prompt), lastVMs)] {
			continue
		}
		if owner == p.vm || received[prompt] {
			p.notifyOwner(prompt, false)
		}
	}
}

// receivedPrompts holds the prompts on which evidence was observed here or received in a message about one
// prompt, at most maxPendingPrompts. Evidence in lists is left out: all processes that start receive it.
type receivedPrompts struct {
	mu      sync.Mutex
	prompts map[poison.Prompt]bool
}

// add adds a prompt. If there is no room, it replaces another one.
func (r *receivedPrompts) add(p poison.Prompt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prompts == nil {
		r.prompts = map[poison.Prompt]bool{}
	}
	for other := range r.prompts {
		if len(r.prompts) < maxPendingPrompts {
			break
		}
		delete(r.prompts, other)
	}
	r.prompts[p] = true
}

// retain removes the prompts for which keep is false and returns the others.
func (r *receivedPrompts) retain(keep func(poison.Prompt) bool) map[poison.Prompt]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.prompts, func(p poison.Prompt, _ bool) bool { return !keep(p) })
	return maps.Clone(r.prompts)
}

// incarnations returns the incarnations of members by VM.
func incarnations(members map[string]member.Member) map[string]string {
	ids := make(map[string]string, len(members))
	for vm, m := range members {
		ids[vm] = m.ID
	}
	return ids
}

// setRouterPeers sets the peers of the routers' outbox: all routers but this one.
func (p *promptGuard) setRouterPeers(routers map[string]member.Member) {
	addresses := make(map[string]string, len(routers))
	for vm, m := range routers {
		if vm != p.vm {
			addresses[m.ID] = m.Address
		}
	}
	p.routerOutbox.setPeers(addresses)
}
