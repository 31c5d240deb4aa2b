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

// How processes beside upstreams keep what routers know of prompts.
const (
	// keepers is how many keep it: one may be lost with its upstream, and another restarted
	// meanwhile.
	keepers = 3
	// keepPause is the pause between two messages to the keepers. An engine that ends cuts dozens
	// of requests at once; they go in one message.
	keepPause = 100 * time.Millisecond
	// keepersLook is the pause between two looks for keepers that were not told before.
	keepersLook = time.Second
	// mostToKeep bounds the changes between two messages.
	mostToKeep = 512
)

// promptChange is a prompt of which more is known, or which a service answered.
type promptChange struct {
	prompt poison.Prompt
	// answered is nil if more is known.
	answered *link.PromptAnswered
}

// keepers are the processes beside upstreams that keep what is known of all prompts.
func (p *promptGuard) keepers() []member.Member {
	ranked := p.members.Rank(poison.KeepersKey, prepaid.RoleLender)
	return ranked[:min(keepers, len(ranked))]
}

// decides reports whether this router is the one that decides for a prompt.
func (p *promptGuard) decides(prompt poison.Prompt) bool {
	ranked := p.rankFor(prompt)
	return len(ranked) == 0 || ranked[0].VM == p.vm
}

// keepLater queues a change for the keepers. One that finds no room is told when another router
// decides for the prompt, or a keeper is another.
func (p *promptGuard) keepLater(c promptChange) {
	select {
	case p.toKeep <- c:
	default:
		p.metrics.promptNewsDropped()
	}
}

// keepAnswered queues that a service answered a prompt, at the router that decides for it.
func (p *promptGuard) keepAnswered(a link.PromptAnswered) {
	if p.decides(a.Prompt) {
		p.keepLater(promptChange{prompt: a.Prompt, answered: &a})
	}
}

// keep tells the keepers what changes until the context ends, and a new one all that this router
// decides for.
func (p *promptGuard) keep(ctx context.Context) {
	told := map[string]bool{} // by the keeper's life: it was told all before
	look := time.NewTicker(keepersLook)
	defer look.Stop()
	for {
		var first []promptChange
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		case c := <-p.toKeep:
			first = append(first, c)
			_ = backoff.Sleep(ctx, keepPause) // ends early only with the context
		}
		told = p.tellKeepers(ctx, told, p.merge(p.takeChanges(first)))
	}
}

// takeChanges adds what is queued to the first changes.
func (p *promptGuard) takeChanges(first []promptChange) []promptChange {
	for range len(p.toKeep) {
		first = append(first, <-p.toKeep)
	}
	return first
}

// merge makes one message of changes.
func (p *promptGuard) merge(changes []promptChange) (changed link.PromptKeep) {
	now, seen := time.Now(), map[poison.Prompt]bool{}
	for _, c := range changes {
		if c.answered != nil {
			changed.Answered = append(changed.Answered, *c.answered)
		}
		if seen[c.prompt] {
			continue
		}
		seen[c.prompt] = true
		if e := p.register.Known(now, c.prompt); len(e.Crashes) > 0 {
			changed.Known = append(changed.Known, e)
		}
	}
	return changed
}

// tellKeepers tells each keeper what changed, or all if it was not told before, and returns those
// that took it.
func (p *promptGuard) tellKeepers(ctx context.Context, told map[string]bool, changed link.PromptKeep) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	took := map[string]bool{}
	for _, m := range p.keepers() {
		message := changed
		if !told[m.ID] {
			message.Known = p.decidedHere()
		}
		wg.Go(func() {
			if ok := p.tellKeeper(ctx, m, message); ok {
				mu.Lock()
				defer mu.Unlock()
				took[m.ID] = true
			}
		})
	}
	wg.Wait()
	return took
}

// decidedHere is what this router knows of the prompts that it decides for.
func (p *promptGuard) decidedHere() (known []poison.Evidence) {
	for _, e := range p.register.List(time.Now()) {
		if p.decides(e.Prompt) {
			known = append(known, e)
		}
	}
	return known
}

// tellKeeper brings one message to a keeper, and takes what that knows beyond it: another router
// may have decided for a prompt before.
func (p *promptGuard) tellKeeper(ctx context.Context, m member.Member, message link.PromptKeep) bool {
	if len(message.Known)+len(message.Answered) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var kept []poison.Evidence
	if err := p.links.Call(ctx, m.Address, link.MethodPromptKeep, message, &kept); err != nil {
		p.log.Warn().Err(err).Str("keeper", m.ID).Str("method", link.MethodPromptKeep).Msg("prompt_not_told")
		return false
	}
	for _, e := range kept {
		p.takeKept(e)
	}
	return true
}

// takeKept takes what a keeper knows of a prompt, unless that was answered meanwhile.
func (p *promptGuard) takeKept(e poison.Evidence) {
	now := time.Now()
	if len(p.register.Known(now, e.Prompt).Crashes) == 0 {
		return
	}
	all, news := p.add(e)
	p.decided(all, news)
}
