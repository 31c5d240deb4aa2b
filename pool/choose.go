package pool

import (
	"math/rand/v2"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
)

const (
	// maxChoices bounds the choices for one request when the chosen upstream stops accepting
	// work before its lender has answered.
	maxChoices = 3
	// maxRedirects bounds how often a prompt is moved because an engine's backlog is larger
	// than estimated; each move costs a message that the caller waits for.
	maxRedirects = 2
	// maxDenials bounds the engines that may deny admission to one prompt, for the same reason.
	maxDenials = 6
)

// Pick implements serving.Upstreams: it chooses an upstream and begins an attempt there.
func (p *Pool) Pick(r *serving.Request, attempts []serving.Attempt) (serving.Target, bool) {
	for range maxChoices {
		c := p.candidates(r, attempts)
		choice, ok := c.selectUpstream()
		if !ok {
			c.reportLimited(nil)
			return serving.Target{}, false
		}
		// Its data centre may have been drained while lenders were asked.
		if u := c.ups[choice.Index]; !p.Directory.Accepts(u) {
			continue
		}
		if target, ok := p.beginAttempt(c, choice); ok {
			c.notifyPreferred(choice)
			if p.MeasureWork && c.r.Prompt > 0 {
				p.work.record(p.Now(), c.enginePrompts)
			}
			c.reportLimited(&target.Incarnation)
			return target, true
		}
	}
	return serving.Target{}, false
}

// beginAttempt begins an attempt at the chosen upstream; see beginAttemptLocked.
func (p *Pool) beginAttempt(c *candidates, choice placement.Choice) (serving.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.beginAttemptLocked(p.Now(), c, choice)
}

// Serves reports whether any upstream may take the request, now or soon.
func (p *Pool) Serves(r *serving.Request) bool { return len(p.eligible(r, nil)) > 0 }

// candidates holds the eligible upstreams of one choice and their state.
type candidates struct {
	pool  *Pool
	r     *serving.Request
	ups   []directory.Upstream
	views []placement.Upstream
	rates placement.Rates
	// bound is set if the request must go on at one version of the software.
	bound bool
	// admitted is set when the chosen upstream's lender has admitted the prompt, restarted when that lender
	// knows another incarnation of the upstream.
	admitted, restarted bool
	// enginePrompts is the number of prompts that the chosen engine got from all routers in the last second, by its
	// lender; 0 is unknown.
	enginePrompts int
	// limited counts the upstreams excluded by limits, denied those among them whose lender denied
	// the prompt.
	limited LimitedChoice
	denied  int
}

func (p *Pool) candidates(r *serving.Request, attempts []serving.Attempt) *candidates {
	ups := p.eligible(r, attempts)
	views, limited := p.views(r, ups)
	_, bound := r.BoundVersion(attempts)
	return &candidates{pool: p, r: r, ups: ups, views: views, bound: bound, limited: limited, rates: p.rates(r)}
}

// eligible returns the upstreams of the request's service in its allowed versions and regions, without
// those already tried. A stream that began is continued at its own version only.
func (p *Pool) eligible(r *serving.Request, attempts []serving.Attempt) []directory.Upstream {
	ups := p.Directory.ForService(r.Service.Name)
	if p.Versions != nil {
		ups = p.Versions.Eligible(r, attempts, ups)
	}
	version, bound := r.BoundVersion(attempts)
	if len(attempts) == 0 && r.Regions == nil && !bound {
		return ups
	}
	tried := map[directory.Incarnation]bool{}
	for _, a := range attempts {
		tried[a.Upstream] = true
	}
	var out []directory.Upstream
	for _, u := range ups {
		if bound && (version == "" || u.StreamVersion() != version) {
			continue
		}
		if !tried[u.Incarnation] && r.Regions.Allow(p.Region(u.Datacentre)) {
			out = append(out, u)
		}
	}
	return out
}

// selectUpstream chooses by local state and, for prompts, by the replies of the upstreams' lenders.
func (c *candidates) selectUpstream() (placement.Choice, bool) {
	choice, ok := c.best()
	if !ok || c.pool.Announce == nil || c.r.Prompt <= 0 {
		return choice, ok
	}
	return c.announceAndChoose(choice)
}

func (c *candidates) best() (placement.Choice, bool) {
	return placement.Choose(c.r, c.views, c.rates, rand.IntN)
}

// announceAndChoose announces the prompt to the chosen engine's lender and chooses again with the cache
// and backlog that it reports, or without that engine if it denies the prompt. Announcements to
// engines that are not chosen are withdrawn.
func (c *candidates) announceAndChoose(choice placement.Choice) (placement.Choice, bool) {
	redirects := 0
	for range maxRedirects + maxDenials + 1 {
		u, view := c.ups[choice.Index], &c.views[choice.Index]
		reply, answered := c.pool.announce(c.r, u, choice)
		c.restarted = !answered && reply.StartUnixMS != 0 && reply.StartUnixMS != u.StartUnixMS
		if c.rejected(u, reply, answered) {
			view.Excluded = true
			next, ok := c.best()
			if !ok {
				break
			}
			choice = next
			continue
		}
		c.admitted = answered
		c.enginePrompts = reply.Prompts
		if !answered || redirects == maxRedirects {
			return choice, true
		}
		view.Reply = &reply
		c.addRemoteCache(reply)
		next, _ := c.best() // not empty: the engine just asked is still a candidate
		if next.Index == choice.Index {
			return next, true
		}
		c.pool.Withdraw(u.Address, c.pool.announcement(c.r, u, choice), reply)
		redirects++
		choice = next
	}
	return placement.Choice{}, false
}

// rejected reports whether an upstream must not get the prompt: its lender denied it, or did not
// answer and the request needs its admission or exceeds this router's share of the limit. A stream that must go
// on at its version is not sent to an upstream that has restarted, maybe with another version.
func (c *candidates) rejected(u directory.Upstream, reply prefill.AnnounceReply, answered bool) bool {
	if c.bound && c.restarted {
		return true
	}
	if !answered {
		return c.pool.requiresAdmission(c.r, u) || c.pool.exceedsUnreachedLimit(c.r, u)
	}
	if reply.Leaving {
		return true // only for now: the lender may not know yet that another incarnation has started
	}
	c.pool.adoptLimit(u.Incarnation, reply.Limit)
	if reply.Denied && reply.RetryAfter > 0 {
		c.pool.recordDenial(u.Incarnation, c.r.Rank, reply.RetryAfter)
		c.limited.add(reply.RetryAfter)
		c.countLimitDenial()
	}
	return reply.Denied
}

// countLimitDenial excludes all upstreams with a limit after maxLimitDenials of them have denied the
// prompt for it, if there are others.
func (c *candidates) countLimitDenial() {
	if c.denied++; c.denied < maxLimitDenials {
		return
	}
	limited := make([]bool, len(c.ups))
	others := false
	for i, u := range c.ups {
		limited[i] = c.pool.currentLimit(u.Incarnation).PerSecond > 0
		others = others || !limited[i] && !c.views[i].Excluded && !c.views[i].Avoid
	}
	for i := range c.views {
		c.views[i].Excluded = c.views[i].Excluded || others && limited[i]
	}
}

// reportLimited reports a choice in which limits excluded upstreams.
func (c *candidates) reportLimited(chosen *directory.Incarnation) {
	if c.limited.Limited > 0 {
		c.limited.Chosen = chosen
		c.pool.Limits.ReportLimited(c.r, c.limited)
	}
}

// addRemoteCache records which other engine has more of the prompt cached.
func (c *candidates) addRemoteCache(reply prefill.AnnounceReply) {
	if reply.RemoteTokens == 0 {
		return
	}
	for i := range c.views {
		if v := &c.views[i]; v.Incarnation == reply.RemoteEngine {
			v.Cached = max(v.Cached, reply.RemoteTokens)
		}
	}
}

// notifyPreferred informs the lender of the prompt's preferred engine that another engine prefills the
// shared parts, unless the preferred one probably has them cached or its lender already has that record.
func (c *candidates) notifyPreferred(choice placement.Choice) {
	p, shared := c.pool, placement.Shared(c.r.Parts)
	if p.ReportRemotePrefill == nil || choice.Preferred < 0 || choice.Preferred == choice.Index {
		return
	}
	preferred := c.views[choice.Preferred]
	known := preferred.Cached
	if preferred.Reply != nil {
		known = max(preferred.Reply.Cached, preferred.Reply.RemoteTokens)
	}
	if prefill.TokensOf(shared)-known < placement.MinFetchTokens {
		return
	}
	p.ReportRemotePrefill(c.ups[choice.Preferred].Address, prefill.RemotePrefill{Parts: shared, Engine: c.ups[choice.Index].Incarnation})
}

// announce announces a prompt to an engine's lender. A reply about another incarnation of the
// engine is ignored: the directory entry or the lender is out of date, and the cache of an ended
// incarnation would attract prompts.
func (p *Pool) announce(r *serving.Request, u directory.Upstream, c placement.Choice) (prefill.AnnounceReply, bool) {
	reply, ok := p.Announce(r.Deadline, u.Address, p.announcement(r, u, c))
	return reply, ok && reply.StartUnixMS == u.StartUnixMS
}

func (p *Pool) announcement(r *serving.Request, u directory.Upstream, c placement.Choice) prefill.Announcement {
	a := prefill.Announcement{Prompt: r.Prompt, Parts: r.Parts, Fetched: c.Fetched,
		MaxPerSecond: p.Cold.MaxRequests(r.Service.Cold.PerSecond), Cold: p.cold(p.Now(), r, u),
		Rank: r.Rank, Limit: p.currentLimit(u.Incarnation), CountPrompts: p.MeasureWork}
	if rate, known := p.prefillRateOf(r.Service.Name).tokensPerMs(p.PrefillPerMs); known {
		a.PrefillPerMs = rate
	}
	return a
}
