package gateway

import (
	"cmp"
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
	// maxQueuedBreaks limits the broken attempts that wait to be investigated. Those beyond it
	// are counted and lost as evidence.
	maxQueuedBreaks = 512
	// probeWorkers is the number of upstreams probed in parallel: a probe of an unreachable one
	// takes the whole dial timeout.
	probeWorkers = 4
	// promptExpireInterval is the interval between checks for expired evidence.
	promptExpireInterval = time.Second
)

// promptGuard implements serving.PromptGuard. It handles a prompt that crashes each engine that runs
// it, while its caller and others retry it through all routers, and each crash interrupts the
// other requests on the engine.
//
// A crash of an upstream during a request is reported to the router that owns the prompt, chosen by
// rendezvous hashing. From the second crash on the owner notifies all routers and allows only an
// occasional request to try the prompt; after three independent crashes no router sends it. Crashes that one
// outage may have caused are not independent: then only trials tell the prompt from the outage. A router that
// reaches no owner uses its own evidence. A few lenders, the keepers, store the owner's evidence
// as well, since all routers may restart together.
type promptGuard struct {
	vm       string
	registry poison.Registry
	attempts trackedAttempts
	members  *member.Group
	links    *link.Pool
	dial     dialFunc
	metrics  *gatewayMetrics
	retries  serving.RetryBudget
	log      zerolog.Logger
	breaks   chan brokenAttempt
	// answeredParts and answeredPrompts hold the parts of prompts, and the whole prompts, that upstreams answered through this
	// router.
	answeredParts, answeredPrompts recentAnswers
	// keeperOutbox and routerOutbox hold the evidence that other processes have not acknowledged.
	keeperOutbox, routerOutbox *promptOutbox

	received receivedPrompts
	trials   trialWaits
	// lastRouters holds the incarnations of the routers at the last check, by VM. Only the routerOutbox's
	// goroutine uses it.
	lastRouters map[string]string
}

// brokenAttempt is an attempt whose connection to the upstream broke.
type brokenAttempt struct {
	request *serving.Request
	attempt serving.Attempt
	prompt  poison.Prompt
	// at is the wall-clock time of the break in milliseconds.
	at int64
}

func newPromptGuard(g *Gateway) *promptGuard {
	p := &promptGuard{
		vm:      g.settings.VM,
		members: g.Members,
		links:   g.Links,
		dial:    g.Network.DialTimeout(time.Duration(g.settings.Upstreams.DialTimeout)),
		metrics: g.metrics,
		retries: g.retryBudgets,
		log:     g.Log,
		breaks:  make(chan brokenAttempt, maxQueuedBreaks),

		answeredParts: recentAnswers{max: maxAnsweredParts}, answeredPrompts: recentAnswers{max: maxAnsweredPrompts},
	}
	p.keeperOutbox, p.routerOutbox = p.newKeeperOutbox(), p.newRouterOutbox()
	return p
}

func (p *promptGuard) start(tasks *process.TaskGroup) {
	for range probeWorkers {
		tasks.Go(p.probeUpstreams)
	}
	tasks.Go(p.routerOutbox.run)
	tasks.Go(p.fetchInitialEvidence)
	tasks.Go(p.keeperOutbox.run)
	tasks.Every(promptExpireInterval, func(context.Context) { p.expire(time.Now()) })
}

// evidenceFor returns the evidence on a request's prompt and on its parts that counts for its service, the
// strongest first. While there is no evidence at all, it doesn't identify them, which would hash the parts
// of every request.
func (p *promptGuard) evidenceFor(r *serving.Request) []poison.Evidence {
	if p.registry.Empty() {
		return nil
	}
	now, service := time.Now(), r.Service.Name
	var all []poison.Evidence
	whole, parts := poison.Identify(r), poison.IdentifyParts(r)
	if e := p.registry.Known(now, whole).ForService(service); e.Standing() > poison.Clear {
		all = append(all, e)
	}
	for _, part := range parts {
		e := p.registry.Known(now, part).ForService(service)
		if e.Standing() > poison.Clear && !p.answeredParts.has(part, service) {
			e.Explained = e.Standing() == poison.Proven && p.registry.Explained(e, append(parts, whole))
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b poison.Evidence) int {
		return cmp.Or(cmp.Compare(b.Standing(), a.Standing()), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Prompt, b.Prompt))
	})
	return all
}

// Refuse implements serving.PromptGuard. A trial tries all of the request's parts, so it needs no permission for a part
// that had no other crashes than one for which it has the permission.
func (p *promptGuard) Refuse(ctx context.Context, r *serving.Request) *contract.Refusal {
	var permitted []poison.Evidence
	for _, evidence := range p.evidenceFor(r) {
		switch evidence.Standing() {
		case poison.Proven:
			return provenRefusal(evidence)
		case poison.OnTrial:
			if slices.ContainsFunc(permitted, evidence.CrashedWith) {
				continue
			}
			if refusal := p.requestTrial(ctx, r, evidence); refusal != nil {
				return refusal
			}
			permitted = append(permitted, evidence)
		}
	}
	return nil
}

// Proven implements serving.PromptGuard.
func (p *promptGuard) Proven(r *serving.Request) *contract.Refusal {
	if all := p.evidenceFor(r); len(all) > 0 && all[0].Standing() == poison.Proven {
		return provenRefusal(all[0])
	}
	return nil
}

func provenRefusal(evidence poison.Evidence) *contract.Refusal {
	refusal := contract.Refuse(contract.PromptEndsUpstreams,
		"%d upstreams ended under this prompt, and nothing else was answered to it; it is not sent again", len(evidence.Crashes))
	refusal.Detail = describeEvidence(evidence)
	return refusal
}

// describeEvidence formats the evidence on a prompt for the log.
func describeEvidence(evidence poison.Evidence) string {
	parts := []string{"prompt " + string(evidence.Prompt)}
	for _, c := range evidence.Crashes {
		parts = append(parts, c.Upstream+" of "+c.Service+" crashed "+c.Age.Round(time.Millisecond).String()+" ago")
	}
	return strings.Join(parts, ", ")
}

// requestTrial requests the owner's permission to send a prompt that is on trial, and returns a
// refusal if the owner denies it.
func (p *promptGuard) requestTrial(ctx context.Context, r *serving.Request, evidence poison.Evidence) *contract.Refusal {
	trial := link.PromptTry{Prompt: evidence.Prompt, Service: r.Service.Name, Request: r.ID,
		Known: p.registry.Known(time.Now(), evidence.Prompt), Explained: evidence.Explained}
	reply, _, err := callOwner(ctx, p, evidence.Prompt, link.MethodPromptTry, trial, p.handleTry)
	if err != nil {
		reply, _ = p.handleTry(ctx, trial) // decides by local evidence; never returns an error
	}
	p.log.Info().Str("id", r.ID).Str("prompt", string(evidence.Prompt)).Bool("allowed", reply.Allowed).
		Bool("asked_others", err == nil).Int("independent", reply.Known.Independent()).
		Str("evidence", describeEvidence(reply.Known)).Msg("prompt_on_trial")
	p.addEvidence(reply.Known)
	if reply.Allowed {
		p.trials.permit(time.Now(), evidence.Prompt, r.ID)
		return nil
	}
	relevant := reply.Known.ForService(r.Service.Name)
	relevant.Explained = evidence.Explained
	if relevant.Standing() == poison.Proven {
		return provenRefusal(relevant)
	}
	refusal := trialRefusal()
	refusal.Detail = describeEvidence(reply.Known)
	return refusal
}

// RecordAnswer implements serving.PromptGuard. An answer without evidence on its prompt is kept as well: other routers may have
// some, and a crash before the answer may be found after it.
func (p *promptGuard) RecordAnswer(r *serving.Request) {
	prompt, service := poison.Identify(r), r.Service.Name
	p.answeredPrompts.add(prompt, service, time.Now())
	p.clear(r.ID, prompt, service)
}

// clear records that a service answered a prompt or a part of prompts, and distributes that. It reports
// whether there was evidence on it. The request that was answered is "" if that was earlier.
func (p *promptGuard) clear(request string, prompt poison.Prompt, service string) bool {
	before := p.registry.RecordAnswer(time.Now(), prompt, service)
	if before.Standing() == poison.Clear {
		return false
	}
	p.log.Info().Str("id", request).Str("prompt", string(prompt)).Str("service", service).Str("was", before.Standing().String()).
		Str("evidence", describeEvidence(before)).Msg("prompt_cleared")
	p.trials.notify()
	p.received.add(prompt)
	p.notifyOwner(prompt, true)
	if before.Standing() >= poison.OnTrial {
		p.notifyRouters(prompt, true)
	}
	return true
}

// ConnectionBroken implements serving.PromptGuard. It does not wait for the investigation of the
// first break for a prompt whose parts were answered before: the first retry is allowed whatever the result.
func (p *promptGuard) ConnectionBroken(ctx context.Context, r *serving.Request, attempts []serving.Attempt) {
	prompt := poison.Identify(r)
	b := brokenAttempt{request: r, attempt: attempts[len(attempts)-1], prompt: prompt, at: p.crashTime(prompt, r.Service.Name)}
	earlier := slices.ContainsFunc(attempts[:len(attempts)-1], func(a serving.Attempt) bool { return a.Break != nil })
	if earlier || p.hasUnansweredPart(r) || len(p.evidenceFor(r)) > 0 {
		p.investigateBreak(ctx, b)
		return
	}
	select {
	case p.breaks <- b:
	default:
		p.metrics.breakNotProbed()
	}
}

// crashTime returns the time of a crash that breaks a connection now, before its probe, during which an answer may come. It is not
// before the last answer through this router, whatever the clock.
func (p *promptGuard) crashTime(prompt poison.Prompt, service string) (unixMS int64) {
	answered, _ := p.answeredPrompts.last(prompt, service)
	return max(answered, p.registry.CrashTime(time.Now(), prompt, service))
}

// Crashed implements serving.PromptGuard.
func (p *promptGuard) Crashed(r *serving.Request, a serving.Attempt) bool {
	known := p.registry.Known(time.Now(), poison.Identify(r))
	return slices.ContainsFunc(known.Crashes, func(c poison.Crash) bool { return c.Upstream == a.Upstream.String() })
}

// probeUpstreams investigates broken attempts until the context ends.
func (p *promptGuard) probeUpstreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.breaks:
			p.investigateBreak(ctx, b)
		}
	}
}

// investigateBreak probes the upstream of a broken attempt. If the upstream is down, it records a crash
// as evidence against the prompt and reports it to the prompt's owner.
func (p *promptGuard) investigateBreak(ctx context.Context, b brokenAttempt) {
	state := probeUpstream(ctx, p.dial, b.attempt.Break.Address)
	p.metrics.connectionBroken(b.request.Service.Name, state)
	p.log.Info().Str("id", b.request.ID).Str("prompt", string(b.prompt)).Str("team", b.request.Team).
		Str("service", b.request.Service.Name).Stringer("upstream", b.attempt.Upstream).Str("state", string(state)).
		Int64("events", b.attempt.Break.Events).Int64("running_ms", b.attempt.Break.Running.Milliseconds()).
		Strs("parts", partNames(b.request)).Msg("upstream_broke_off")
	if state != upstreamDown {
		return
	}
	p.blameParts(b)
	now := time.Now()
	before := p.registry.Known(now, b.prompt)
	local, isNew := p.addEvidence(poison.Evidence{Prompt: b.prompt, Crashes: []poison.Crash{{
		Upstream: b.attempt.Upstream.String(), Service: b.request.Service.Name, Age: now.Sub(time.UnixMilli(b.at)), UnixMS: b.at,
		Generation: p.registry.Generation(b.prompt, b.attempt.Break.Sent)}}})
	if len(local.Crashes) == 0 {
		return // the prompt was answered meanwhile
	}
	p.received.add(b.prompt)
	publishLocally := func(context.Context, poison.Evidence) (poison.Evidence, error) {
		if isNew {
			p.publish(before, local)
		}
		return local, nil
	}
	merged, isOwner, err := callOwner(ctx, p, b.prompt, link.MethodPromptEnded, local, publishLocally)
	if !isOwner {
		p.notifyOwner(b.prompt, false)
	}
	if err != nil {
		p.log.Warn().Err(err).Str("prompt", string(b.prompt)).Msg("prompt_not_told")
		_, _ = publishLocally(ctx, local) // never returns an error
		return
	}
	p.addEvidence(merged)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the ids of a prompt's first parts for the log.
func partNames(r *serving.Request) []string {
	names := make([]string, 0, maxLoggedParts)
	for _, part := range r.Parts[:min(len(r.Parts), maxLoggedParts)] {
		names = append(names, abbreviate(part.ID))
	}
	return names
}

// expire removes expired evidence.
func (p *promptGuard) expire(now time.Time) {
	for _, c := range p.registry.Expire(now) {
		p.log.Info().Str("prompt", string(c.Prompt)).Stringer("was", c.Was).Stringer("standing", c.Now).Msg("prompt_lapsed")
	}
}
