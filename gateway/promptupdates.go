package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prepaid"
)

// Parameters of the messages between routers about prompts.
const (
	// maxParallelNotifies is the number of routers notified in parallel.
	maxParallelNotifies = 16
	// promptCallTimeout is the timeout of one call about a prompt: many times the latency between two
	// routers.
	promptCallTimeout = 150 * time.Millisecond
	// ownerCandidates is how many routers are tried, one after the other, as a prompt's owner.
	ownerCandidates = 2
	// initialFetchTimeout is how long a starting router tries to fetch evidence from others: longer
	// than most outages of the store, from which restarted keepers must load their evidence first.
	// The backoff between two rounds grows from minFetchBackoff to maxFetchBackoff.
	initialFetchTimeout = time.Minute
	minFetchBackoff     = 100 * time.Millisecond
	maxFetchBackoff     = 2 * time.Second
	// routersPerFetch is how many routers are tried in one round.
	routersPerFetch = 3
)

// promptMethods returns the handlers of other routers' calls about prompts.
func (g *Gateway) promptMethods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodPromptEnded: link.Handle(func(ctx context.Context, e poison.Evidence) (poison.Evidence, error) {
			g.prompts.received.add(e.Prompt)
			return g.prompts.handleEnded(ctx, e)
		}),
		link.MethodPromptTry: link.Handle(func(ctx context.Context, in link.PromptTry) (link.PromptTryReply, error) {
			g.prompts.mergeTry(in)
			return g.prompts.handleTry(ctx, in)
		}),
		link.MethodPromptKnown: link.Handle(func(ctx context.Context, e poison.Evidence) (link.Empty, error) {
			g.prompts.received.add(e.Prompt)
			return g.prompts.handleKnown(ctx, e)
		}),
		link.MethodPromptCleared: link.Handle(func(ctx context.Context, in link.PromptAnswered) (link.Empty, error) {
			g.prompts.received.add(in.Prompt)
			return g.prompts.handleCleared(ctx, in)
		}),
		link.MethodPromptList: link.Handle(func(ctx context.Context, in link.Empty) ([]poison.Evidence, error) {
			return g.prompts.handleList(ctx, in)
		}),
		link.MethodPromptEvidence: link.Handle(func(ctx context.Context, in link.Empty) ([]poison.Evidence, error) {
			return g.prompts.handleListAll(ctx, in)
		}),
	}
}

// errNoOwnerReply is returned if no candidate for a prompt's owner replied.
var errNoOwnerReply = errors.New("no router that may own the prompt replied")

// rankOwners returns the routers in their order of preference as a prompt's owner. It doesn't use
// member.Group.Rank, which caches its rankings: that suits the few pages of budgets, but there may be
// thousands of prompts.
func (p *promptGuard) rankOwners(prompt poison.Prompt) []member.Member {
	routers := p.members.Newest(prepaid.RoleRouter)
	ranked := make([]member.Member, 0, len(routers))
	for _, vm := range rendezvous.Rank(string(prompt), slices.Collect(maps.Keys(routers))) {
		ranked = append(ranked, routers[vm])
	}
	return ranked
}

// callOwner calls the router that owns a prompt, or the next candidate if that doesn't reply. If
// this router is the first to be called, callOwner calls local instead. isOwner reports whether it was the owner
// that replied.
func callOwner[In, Out any](ctx context.Context, p *promptGuard, prompt poison.Prompt, method string, in In,
	local func(context.Context, In) (Out, error)) (out Out, isOwner bool, err error) {
	ranked := p.rankOwners(prompt)
	for n, router := range ranked[:min(ownerCandidates, len(ranked))] {
		if router.VM == p.vm {
			out, err = local(ctx, in)
			return out, n == 0, err
		}
		callCtx, cancel := context.WithTimeout(ctx, promptCallTimeout)
		err = p.links.Call(callCtx, router.Address, method, in, &out)
		cancel()
		if err == nil {
			return out, n == 0, nil
		}
	}
	return out, false, errors.Join(errNoOwnerReply, err)
}

// handleEnded records a crash as the owner of the prompt.
func (p *promptGuard) handleEnded(_ context.Context, e poison.Evidence) (poison.Evidence, error) {
	merged, _ := p.mergeAndPublish(e)
	return merged, nil
}

// mergeTry merges the evidence of the router that asks for permission: an owner that has just started may have
// less.
func (p *promptGuard) mergeTry(in link.PromptTry) {
	if in.Known.Prompt == in.Prompt && len(in.Known.Crashes) > 0 {
		p.mergeAndPublish(in.Known)
	}
}

// handleTry decides whether a request may try a prompt.
func (p *promptGuard) handleTry(_ context.Context, in link.PromptTry) (link.PromptTryReply, error) {
	now := time.Now()
	allowed := p.registry.AllowTrial(now, in.Prompt, in.Service, in.Request, in.Explained)
	return link.PromptTryReply{Allowed: allowed, Known: p.registry.Known(now, in.Prompt)}, nil
}

// handleKnown adds another router's evidence on a prompt.
func (p *promptGuard) handleKnown(_ context.Context, e poison.Evidence) (link.Empty, error) {
	if merged, isNew := p.addEvidence(e); isNew {
		p.log.Info().Str("prompt", string(e.Prompt)).Str("standing", merged.Standing().String()).
			Str("evidence", describeEvidence(merged)).Msg("prompt_known")
	}
	return link.Empty{}, nil
}

// handleCleared records that a service answered a prompt.
func (p *promptGuard) handleCleared(_ context.Context, in link.PromptAnswered) (link.Empty, error) {
	now := time.Now()
	before := p.registry.Known(now, in.Prompt)
	after, isNew := p.registry.AddAnswer(now, in.Prompt, in.Answer())
	if isNew {
		p.trials.notify()
	}
	if isNew && p.isOwner(in.Prompt) {
		p.publish(before, after)
	}
	return link.Empty{}, nil
}

// handleList returns the evidence on all prompts with crashes.
func (p *promptGuard) handleList(context.Context, link.Empty) ([]poison.Evidence, error) {
	return p.registry.List(time.Now()), nil
}

// handleListAll returns the evidence on all prompts.
func (p *promptGuard) handleListAll(context.Context, link.Empty) ([]poison.Evidence, error) {
	return p.registry.ListAll(time.Now()), nil
}

// fetchInitialEvidence fetches the evidence on prompts from other processes: without it, a router that
// has just started would send each of these prompts once more. The keepers have the evidence if all
// routers restarted together, other routers have it if the keepers restarted. So it tries both until
// one of each has replied or the time is over.
func (p *promptGuard) fetchInitialEvidence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialFetchTimeout)
	defer cancel()
	var keeper, router bool
	retry := backoff.New(minFetchBackoff, maxFetchBackoff)
	for !keeper || !router {
		keeper = keeper || p.fetchFromAny(ctx, p.keepers(), keeperCount)
		router = router || p.fetchFromAny(ctx, p.otherRouters(), 1)
		if retry.Wait(ctx) != nil {
			return
		}
	}
}

// otherRouters returns up to routersPerFetch other routers in no particular order.
func (p *promptGuard) otherRouters() []member.Member {
	others := p.members.Newest(prepaid.RoleRouter)
	delete(others, p.vm)
	all := slices.Collect(maps.Values(others))
	return all[:min(len(all), routersPerFetch)]
}

// fetchFromAny fetches evidence from the members, one after the other, until enough have replied, and
// reports whether any did.
func (p *promptGuard) fetchFromAny(ctx context.Context, members []member.Member, enough int) bool {
	replies := 0
	for _, m := range members {
		if replies < enough && p.fetchFrom(ctx, m) {
			replies++
		}
	}
	return replies > 0
}

// fetchFrom fetches evidence from one member, and reports whether it replied.
func (p *promptGuard) fetchFrom(ctx context.Context, m member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, promptCallTimeout)
	defer cancel()
	var fetched []poison.Evidence
	err := p.links.Call(ctx, m.Address, link.MethodPromptEvidence, link.Empty{}, &fetched)
	if errors.Is(err, link.ErrUnknownMethod) {
		err = p.links.Call(ctx, m.Address, link.MethodPromptList, link.Empty{}, &fetched)
	}
	if err != nil {
		return false
	}
	p.log.Info().Str("from", m.ID).Int("prompts", len(fetched)).Msg("prompts_learned")
	for _, e := range fetched {
		_, _ = p.handleKnown(ctx, e) // never returns an error
	}
	return true
}
