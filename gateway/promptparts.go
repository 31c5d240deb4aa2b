package gateway

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

// A part of a prompt may crash each engine that begins to answer a prompt with it. When an engine crashes, any
// of the prompts that waited there may be the cause, and any of their parts, but not a part that was ever
// answered: it would have crashed that engine. So the parts that are left after a few crashes are the
// cause. Evidence on a part is kept and distributed like that on a prompt.

// recordPartsAnswered records that an answer to a request began: it clears all parts of its prompt.
func (p *promptGuard) recordPartsAnswered(r *serving.Request, parts []poison.Prompt) {
	now, service := time.Now(), r.Service.Name
	for _, part := range parts {
		p.answeredParts.add(part, service, now)
		if !p.registry.Empty() {
			p.clear(r.ID, part, service)
		}
	}
}

// hasUnansweredPart reports whether a part of a request's prompt was not answered through this router yet. An outage of
// several upstreams puts it on trial.
func (p *promptGuard) hasUnansweredPart(r *serving.Request) bool {
	return slices.ContainsFunc(poison.IdentifyParts(r), func(part poison.Prompt) bool {
		return !p.answeredParts.has(part, r.Service.Name)
	})
}

// blameParts records the crash of a broken attempt's upstream as evidence against the parts of its prompt. An
// attempt whose answer had begun is no evidence, and neither is a part that was answered through this
// router.
func (p *promptGuard) blameParts(b brokenAttempt) {
	if b.attempt.Break.Events > 0 {
		return
	}
	service, upstream := b.request.Service.Name, b.attempt.Upstream.String()
	for _, part := range poison.IdentifyParts(b.request) {
		if p.answeredParts.has(part, service) {
			continue
		}
		before := p.registry.Known(time.Now(), part)
		after, isNew := p.addEvidence(poison.Evidence{Prompt: part, Crashes: []poison.Crash{{Upstream: upstream, Service: service, UnixMS: b.at,
			Generation: p.registry.Generation(part, b.attempt.Break.Sent)}}})
		if !isNew || len(after.Crashes) == 0 {
			continue
		}
		p.received.add(part)
		if p.isOwner(part) {
			p.publish(before, after)
		} else {
			p.notifyOwner(part, false)
		}
	}
}
