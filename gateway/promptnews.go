package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prepaid"
)

// How routers tell each other of prompts.
const (
	// mostNews bounds what waits to be told to others.
	mostNews = 256
	// tellers is how many routers are told at once.
	tellers = 16
	// tellTimeout bounds one message on a prompt: many times the way between two routers.
	tellTimeout = 150 * time.Millisecond
	// deciders is how many routers are asked to decide for a prompt, one after the other.
	deciders = 2
	// learnFor is for how long a router that starts asks others for what they know until some have
	// answered: longer than most outages of the store, which keepers that have started too need. The
	// pause between two tries grows from learnPause to mostLearnPause.
	learnFor       = time.Minute
	learnPause     = 100 * time.Millisecond
	mostLearnPause = 2 * time.Second
	// learnTries is how many routers are asked in one try.
	learnTries = 3
)

// promptNews is what others are to be told of a prompt.
type promptNews struct {
	prompt  poison.Prompt
	method  string
	message any
	// toAll says that all routers are told, not only the one that decides for the prompt.
	toAll bool
}

// promptMethods answer other routers' messages on prompts.
func (g *Gateway) promptMethods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodPromptEnded: link.Handle(func(ctx context.Context, e poison.Evidence) (poison.Evidence, error) {
			return g.prompts.takeEnded(ctx, e)
		}),
		link.MethodPromptTry: link.Handle(func(ctx context.Context, in link.PromptTry) (link.PromptTryReply, error) {
			return g.prompts.takeTry(ctx, in)
		}),
		link.MethodPromptKnown: link.Handle(func(ctx context.Context, e poison.Evidence) (link.Empty, error) {
			return g.prompts.takeKnown(ctx, e)
		}),
		link.MethodPromptCleared: link.Handle(func(ctx context.Context, in link.PromptAnswered) (link.Empty, error) {
			return g.prompts.takeCleared(ctx, in)
		}),
		link.MethodPromptList: link.Handle(func(ctx context.Context, in link.Empty) ([]poison.Evidence, error) {
			return g.prompts.list(ctx, in)
		}),
	}
}

// errNobodyDecides says that none of the routers that decide for a prompt answered.
var errNobodyDecides = errors.New("no router that decides for the prompt answered")

// rankFor are the routers in the order in which they decide for a prompt. The members' own rankings
// are not asked: they are kept for the few pages of budgets, and there may be thousands of prompts.
func (p *promptGuard) rankFor(prompt poison.Prompt) []member.Member {
	routers := p.members.Newest(prepaid.RoleRouter)
	ranked := make([]member.Member, 0, len(routers))
	for _, vm := range rendezvous.Rank(string(prompt), slices.Collect(maps.Keys(routers))) {
		ranked = append(ranked, routers[vm])
	}
	return ranked
}

// decide sends a message to the router that decides for a prompt, or to the next one if that does
// not answer. Where it is this one, the message is taken here.
func decide[In, Out any](ctx context.Context, p *promptGuard, prompt poison.Prompt, method string, in In,
	here func(context.Context, In) (Out, error)) (out Out, err error) {
	ranked := p.rankFor(prompt)
	for _, router := range ranked[:min(deciders, len(ranked))] {
		if router.VM == p.vm {
			return here(ctx, in)
		}
		asking, cancel := context.WithTimeout(ctx, tellTimeout)
		err = p.links.Call(asking, router.Address, method, in, &out)
		cancel()
		if err == nil {
			return out, nil
		}
	}
	return out, errors.Join(errNobodyDecides, err)
}

// takeEnded takes an end as the router that decides for the prompt.
func (p *promptGuard) takeEnded(_ context.Context, e poison.Evidence) (poison.Evidence, error) {
	all, news := p.add(e)
	p.decided(all, news)
	return all, nil
}

// takeTry decides whether a prompt may be tried.
func (p *promptGuard) takeTry(_ context.Context, in link.PromptTry) (link.PromptTryReply, error) {
	now := time.Now()
	allowed := p.register.Allow(now, in.Prompt, in.Service, in.Request)
	return link.PromptTryReply{Allowed: allowed, Known: p.register.Known(now, in.Prompt)}, nil
}

// takeKnown takes what another router knows of a prompt.
func (p *promptGuard) takeKnown(_ context.Context, e poison.Evidence) (link.Empty, error) {
	if all, news := p.add(e); news {
		p.log.Info().Str("prompt", string(e.Prompt)).Str("standing", all.Standing().String()).
			Str("evidence", describe(all)).Msg("prompt_known")
	}
	return link.Empty{}, nil
}

// takeCleared takes that a prompt was answered.
func (p *promptGuard) takeCleared(_ context.Context, in link.PromptAnswered) (link.Empty, error) {
	p.register.RecordAnswer(time.Now(), in.Prompt, in.Service)
	p.keepAnswered(in)
	return link.Empty{}, nil
}

// list returns what is known of all prompts.
func (p *promptGuard) list(context.Context, link.Empty) ([]poison.Evidence, error) {
	return p.register.List(time.Now()), nil
}

// tellLater queues news.
func (p *promptGuard) tellLater(n promptNews) {
	select {
	case p.news <- n:
	default:
		p.metrics.promptNewsDropped()
	}
}

// tellNews tells others what is queued until the context ends.
func (p *promptGuard) tellNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.news:
			if n.toAll {
				p.tellAll(ctx, n)
			} else {
				p.tellDecider(ctx, n)
			}
		}
	}
}

// tellDecider tells the router that decides for the prompt.
func (p *promptGuard) tellDecider(ctx context.Context, n promptNews) {
	nothingToDo := func(context.Context, any) (link.Empty, error) { return link.Empty{}, nil }
	if _, err := decide(ctx, p, n.prompt, n.method, n.message, nothingToDo); err != nil {
		p.log.Warn().Err(err).Str("prompt", string(n.prompt)).Str("method", n.method).Msg("prompt_not_told")
	}
}

// tellAll tells all other routers. One that does not hear of a prompt learns of it by its own loss.
func (p *promptGuard) tellAll(ctx context.Context, n promptNews) {
	var wg sync.WaitGroup
	room := make(chan struct{}, tellers)
	for vm, m := range p.members.Newest(prepaid.RoleRouter) {
		if vm == p.vm {
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			telling, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			if err := p.links.Call(telling, m.Address, n.method, n.message, nil); err != nil {
				p.log.Warn().Err(err).Str("router", vm).Str("method", n.method).Msg("prompt_not_told")
			}
		})
	}
	wg.Wait()
}

// learnFromOthers asks others for the prompts that they know: a router that has just started would
// else send each of them once more. The keepers know what a fleet of routers knew that started
// anew together, and other routers what keepers missed that did; so both are asked until one of
// each has answered, or there seems to be none.
func (p *promptGuard) learnFromOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnFor)
	defer cancel()
	var keeper, router bool
	pauses := backoff.New(learnPause, mostLearnPause)
	for !keeper || !router {
		keeper = keeper || p.learnFromAny(ctx, p.keepers(), keepers)
		router = router || p.learnFromAny(ctx, p.otherRouters(), 1)
		if pauses.Wait(ctx) != nil {
			return
		}
	}
}

// otherRouters are a few routers beside this one, in no order.
func (p *promptGuard) otherRouters() []member.Member {
	others := p.members.Newest(prepaid.RoleRouter)
	delete(others, p.vm)
	all := slices.Collect(maps.Values(others))
	return all[:min(len(all), learnTries)]
}

// learnFromAny asks members one after the other until enough have answered, and reports whether any did.
func (p *promptGuard) learnFromAny(ctx context.Context, members []member.Member, enough int) bool {
	answered := 0
	for _, m := range members {
		if answered < enough && p.learnFrom(ctx, m) {
			answered++
		}
	}
	return answered > 0
}

// learnFrom asks one member, and reports whether it answered.
func (p *promptGuard) learnFrom(ctx context.Context, m member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var known []poison.Evidence
	if p.links.Call(ctx, m.Address, link.MethodPromptList, link.Empty{}, &known) != nil {
		return false
	}
	p.log.Info().Str("from", m.ID).Int("prompts", len(known)).Msg("prompts_learned")
	for _, e := range known {
		_, _ = p.takeKnown(ctx, e) // it does not fail
	}
	return true
}
