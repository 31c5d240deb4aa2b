package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/rs/zerolog"
)

const (
	// mostBroken bounds the broken attempts that wait to be looked at. What finds no room is
	// counted, and lost as evidence.
	mostBroken = 512
	// lookers is how many upstreams are looked at at once: one that does not answer at all
	// takes the time of a dial.
	lookers = 4
	// lapsePause is the pause between two looks for prompts whose time is over.
	lapsePause = time.Second
)

// promptGuard implements serving.Poison. The load that it answers: one prompt ends each engine
// that runs it, its caller and others bring it again through all routers, and what runs beside it
// is cut each time.
//
// An upstream that ended under a request is told to the router that decides for the prompt, found
// by rendezvous hashing. From the second end on that router tells all others, and lets one request
// now and then try the prompt; after the third one nobody sends it. A router that reaches no other
// goes by what it has seen itself. What it decides for is kept by a few processes beside upstreams
// too, since routers may all start anew together.
type promptGuard struct {
	vm       string
	register poison.Registry
	sends    sends
	members  *member.Group
	links    *link.Pool
	dial     dialer
	metrics  *gatewayMetrics
	log      zerolog.Logger
	broken   chan brokenAttempt
	news     chan promptNews
	// toKeep is what the keepers are to be told.
	toKeep chan promptChange
}

// brokenAttempt is one whose connection to the upstream broke.
type brokenAttempt struct {
	request *serving.Request
	attempt serving.Attempt
}

func newPromptGuard(g *Gateway) *promptGuard {
	return &promptGuard{
		vm:      g.settings.VM,
		members: g.Members,
		links:   g.Links,
		dial:    g.Network.Within(time.Duration(g.settings.Upstreams.DialTimeout)),
		metrics: g.metrics,
		log:     g.Log,
		broken:  make(chan brokenAttempt, mostBroken),
		news:    make(chan promptNews, mostNews),
		toKeep:  make(chan promptChange, mostToKeep),
	}
}

// start starts the guard's duties.
func (p *promptGuard) start(d *process.Duties) {
	for range lookers {
		d.Go(p.look)
	}
	d.Go(p.tellNews)
	d.Go(p.learnFromOthers)
	d.Go(p.keep)
	d.Every(lapsePause, func(context.Context) { p.lapse(time.Now()) })
}

// known is what is known against a request's prompt at its service. While no prompt is known at all, none is
// identified: that would hash a part of every request.
func (p *promptGuard) known(r *serving.Request) poison.Evidence {
	if p.register.Empty() {
		return poison.Evidence{}
	}
	return p.register.Known(time.Now(), poison.Identify(r)).ForService(r.Service.Name)
}

// Refuse implements serving.Poison.
func (p *promptGuard) Refuse(ctx context.Context, r *serving.Request) *contract.Refusal {
	known := p.known(r)
	switch known.Standing() {
	case poison.Proven:
		return provenRefusal(known)
	case poison.OnTrial:
		return p.try(ctx, r, known)
	}
	return nil
}

// Proven implements serving.Poison.
func (p *promptGuard) Proven(r *serving.Request) *contract.Refusal {
	known := p.known(r)
	if known.Standing() != poison.Proven {
		return nil
	}
	return provenRefusal(known)
}

func provenRefusal(known poison.Evidence) *contract.Refusal {
	refusal := contract.Refuse(contract.PromptEndsUpstreams,
		"%d upstreams ended under this prompt, and nothing else was answered to it; it is not sent again", len(known.Crashes))
	refusal.Detail = describe(known)
	return refusal
}

// describe tells a prompt's evidence for the log.
func describe(known poison.Evidence) string {
	parts := []string{"prompt " + string(known.Prompt)}
	for _, e := range known.Crashes {
		parts = append(parts, e.Upstream+" of "+e.Service+" ended "+e.Age.Round(time.Millisecond).String()+" ago")
	}
	return strings.Join(parts, ", ")
}

// try asks whether a request may try a prompt that is on trial.
func (p *promptGuard) try(ctx context.Context, r *serving.Request, known poison.Evidence) *contract.Refusal {
	ask := link.PromptTry{Prompt: known.Prompt, Service: r.Service.Name, Request: r.ID}
	reply, err := decide(ctx, p, known.Prompt, link.MethodPromptTry, ask, p.takeTry)
	if err != nil {
		reply, _ = p.takeTry(ctx, ask) // by what is known here; it does not fail
	}
	p.log.Info().Str("id", r.ID).Str("prompt", string(known.Prompt)).Bool("allowed", reply.Allowed).
		Bool("asked_others", err == nil).Str("evidence", describe(reply.Known)).Msg("prompt_on_trial")
	if reply.Allowed {
		return nil
	}
	p.add(reply.Known)
	if counts := reply.Known.ForService(r.Service.Name); counts.Standing() == poison.Proven {
		return provenRefusal(counts)
	}
	refusal := contract.Refuse(contract.PromptOnTrial, "upstreams ended under this prompt, and another request is trying it")
	refusal.Detail = describe(reply.Known)
	return refusal
}

// RecordAnswer implements serving.Poison.
func (p *promptGuard) RecordAnswer(r *serving.Request) {
	if p.register.Empty() {
		return
	}
	prompt := poison.Identify(r)
	service := r.Service.Name
	known := p.register.RecordAnswer(time.Now(), prompt, service)
	if known.Standing() == poison.Clear {
		return
	}
	p.log.Info().Str("id", r.ID).Str("prompt", string(prompt)).Str("service", service).Str("was", known.Standing().String()).
		Str("evidence", describe(known)).Msg("prompt_cleared")
	answered := link.PromptAnswered{Prompt: prompt, Service: service}
	p.keepAnswered(answered)
	p.tellLater(promptNews{
		prompt: prompt, method: link.MethodPromptCleared, message: answered,
		toAll: known.Standing() >= poison.OnTrial})
}

// ConnectionBroken implements serving.Poison. Nobody waits after the first break under a prompt: its second
// try is let through whatever the look shows.
func (p *promptGuard) ConnectionBroken(ctx context.Context, r *serving.Request, attempts []serving.Attempt) {
	b := brokenAttempt{request: r, attempt: attempts[len(attempts)-1]}
	earlier := slices.ContainsFunc(attempts[:len(attempts)-1], func(a serving.Attempt) bool { return a.Break != nil })
	if earlier || p.known(r).Standing() > poison.Clear {
		p.judge(ctx, b)
		return
	}
	select {
	case p.broken <- b:
	default:
		p.metrics.breakNotLookedAt()
	}
}

// look looks at the upstreams of broken attempts until the context ends.
func (p *promptGuard) look(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.broken:
			p.judge(ctx, b)
		}
	}
}

// judge finds out what became of the upstream under a request, and takes its end as evidence
// against the prompt.
func (p *promptGuard) judge(ctx context.Context, b brokenAttempt) {
	state := lookAt(ctx, p.dial, b.attempt.Break.Address)
	prompt := poison.Identify(b.request)
	p.metrics.broke(b.request.Service.Name, state)
	p.log.Info().Str("id", b.request.ID).Str("prompt", string(prompt)).Str("team", b.request.Team).
		Str("service", b.request.Service.Name).Stringer("upstream", b.attempt.Upstream).Str("state", string(state)).
		Int64("events", b.attempt.Break.Events).Int64("running_ms", b.attempt.Break.Running.Milliseconds()).Msg("upstream_broke_off")
	if state != upstreamEnded {
		return
	}
	end := poison.Crash{Upstream: b.attempt.Upstream.String(), Service: b.request.Service.Name}
	mine, news := p.add(poison.Evidence{Prompt: prompt, Crashes: []poison.Crash{end}})
	decideHere := func(context.Context, poison.Evidence) (poison.Evidence, error) {
		p.decided(mine, news)
		return mine, nil
	}
	all, err := decide(ctx, p, prompt, link.MethodPromptEnded, mine, decideHere)
	if err != nil {
		p.log.Warn().Err(err).Str("prompt", string(prompt)).Msg("prompt_not_told")
		p.decided(mine, news)
		return
	}
	p.add(all)
}

// decided follows evidence that this router took as the one that decides for the prompt.
func (p *promptGuard) decided(known poison.Evidence, news bool) {
	if news {
		p.keepLater(promptChange{prompt: known.Prompt})
	}
	p.spread(known, news)
}

// spread tells all routers of a prompt that is on trial or proven.
func (p *promptGuard) spread(known poison.Evidence, news bool) {
	if !news || known.Standing() < poison.OnTrial {
		return
	}
	p.log.Warn().Str("prompt", string(known.Prompt)).Str("standing", known.Standing().String()).
		Str("evidence", describe(known)).Msg("prompt_ends_upstreams")
	p.tellLater(promptNews{prompt: known.Prompt, method: link.MethodPromptKnown, message: known, toAll: true})
}

// lapse forgets prompts whose time is over.
func (p *promptGuard) lapse(now time.Time) {
	for _, l := range p.register.Expire(now) {
		p.log.Info().Str("prompt", string(l.Prompt)).Stringer("was", l.Was).Stringer("standing", l.Now).Msg("prompt_lapsed")
	}
}
