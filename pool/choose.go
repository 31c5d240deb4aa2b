package pool

import (
	"math/rand/v2"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/placement"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
)

const (
	// mostChoices bounds the choices for one request, when the chosen upstream takes no new
	// work any more by the time that the process beside it has answered.
	mostChoices = 3
	// mostMoves bounds how often a prompt goes elsewhere because an engine has more to read
	// than was believed; each move is a message that the caller waits for.
	mostMoves = 2
	// mostDenied bounds the engines that may give no leave to one prompt, likewise.
	mostDenied = 6
)

// Pick implements serving.Upstreams' choice.
func (p *Pool) Pick(r *serving.Request, attempts []serving.Attempt) (serving.Target, bool) {
	for range mostChoices {
		c := p.candidates(r, attempts)
		choice, ok := c.choose()
		if !ok {
			c.logHeld(nil)
			return serving.Target{}, false
		}
		// Its data centre may have been emptied while others were asked.
		if u := c.ups[choice.Index]; !p.Directory.Accepts(u) {
			continue
		}
		if target, ok := p.take(c, choice); ok {
			c.tellHome(choice)
			c.logHeld(&target.Life)
			return target, true
		}
	}
	return serving.Target{}, false
}

// take begins an attempt at the chosen upstream; see takeLocked.
func (p *Pool) take(c *candidates, choice placement.Choice) (serving.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeLocked(p.Now(), c.r, c.ups, choice, c.granted)
}

// Serves reports whether any upstream may take the request, now or soon.
func (p *Pool) Serves(r *serving.Request) bool { return len(p.allowed(r, nil)) > 0 }

// candidates is one choice: the upstreams that may be chosen, and what is known of them.
type candidates struct {
	pool  *Pool
	r     *serving.Request
	ups   []directory.Upstream
	views []placement.Upstream
	rates placement.Rates
	// granted says that the process beside the chosen upstream has given leave.
	granted bool
	// held is what limits hold back, denied how many of those the process beside an upstream denied.
	held   LimitedChoice
	denied int
}

func (p *Pool) candidates(r *serving.Request, attempts []serving.Attempt) *candidates {
	ups := p.allowed(r, attempts)
	views, held := p.views(r, ups)
	return &candidates{pool: p, r: r, ups: ups, views: views, held: held, rates: p.rates(r)}
}

// allowed are the upstreams of the request's service in the regions where it may be served,
// without those that it was sent to.
func (p *Pool) allowed(r *serving.Request, attempts []serving.Attempt) []directory.Upstream {
	ups := p.Directory.ForService(r.Service.Name)
	if len(attempts) == 0 && r.Regions == nil {
		return ups
	}
	tried := map[directory.Incarnation]bool{}
	for _, a := range attempts {
		tried[a.Upstream] = true
	}
	var out []directory.Upstream
	for _, u := range ups {
		if !tried[u.Incarnation] && r.Regions.Allow(p.Region(u.Datacentre)) {
			out = append(out, u)
		}
	}
	return out
}

// choose finds the best by what is known here, and for prompts asks the process beside it.
func (c *candidates) choose() (placement.Choice, bool) {
	choice, ok := c.best()
	if !ok || c.pool.Announce == nil || c.r.Prompt <= 0 {
		return choice, ok
	}
	return c.ask(choice)
}

func (c *candidates) best() (placement.Choice, bool) {
	return placement.Choose(c.r, c.views, c.rates, rand.IntN)
}

// ask announces the prompt at the chosen engine, and chooses again by what that has cached and
// still has to read, or if it is cold and has had what it bears. An announcement at an engine that is
// not taken is withdrawn.
func (c *candidates) ask(choice placement.Choice) (placement.Choice, bool) {
	moves := 0
	for range mostMoves + mostDenied + 1 {
		u, view := c.ups[choice.Index], &c.views[choice.Index]
		told, answered := c.pool.announce(c.r, u, choice)
		if c.turnedAway(u, told, answered) {
			view.Excluded = true
			next, ok := c.best()
			if !ok {
				break
			}
			choice = next
			continue
		}
		c.granted = answered
		if !answered || moves == mostMoves {
			return choice, true
		}
		view.Reply = &told
		c.learn(told)
		next, _ := c.best() // the one that was just asked is there
		if next.Index == choice.Index {
			return next, true
		}
		c.pool.Withdraw(u.Address, c.pool.announcement(c.r, u, choice), told)
		moves++
		choice = next
	}
	return placement.Choice{}, false
}

// turnedAway reports whether an upstream must not get the prompt by what the process beside it
// told, or since it did not answer.
func (c *candidates) turnedAway(u directory.Upstream, told prefill.AnnounceReply, answered bool) bool {
	if !answered {
		return c.pool.needsLeave(c.r, u) || c.pool.unreachedLimit(c.r, u)
	}
	c.pool.adoptLimit(u.Incarnation, told.Limit)
	if told.Denied && told.RetryAfter > 0 {
		c.pool.denied(u.Incarnation, c.r.Rank, told.RetryAfter)
		c.held.add(told.RetryAfter)
		c.deniedByLimit()
	}
	return told.Denied
}

// deniedByLimit leaves all upstreams that name a limit alone after a few have denied the prompt for
// theirs, if there are others.
func (c *candidates) deniedByLimit() {
	if c.denied++; c.denied < mostLimitsAsked {
		return
	}
	limited := make([]bool, len(c.ups))
	others := false
	for i, u := range c.ups {
		limited[i] = c.pool.limitKnown(u.Incarnation).PerSecond > 0
		others = others || !limited[i] && !c.views[i].Excluded && !c.views[i].Avoid
	}
	for i := range c.views {
		c.views[i].Excluded = c.views[i].Excluded || others && limited[i]
	}
}

// logHeld tells of a choice that limits had a part in.
func (c *candidates) logHeld(chosen *directory.Incarnation) {
	if c.held.Limited > 0 {
		c.held.Chosen = chosen
		c.pool.Limits.Limited(c.r, c.held)
	}
}

// learn takes in which other engine keeps more of the prompt.
func (c *candidates) learn(told prefill.AnnounceReply) {
	if told.RemoteTokens == 0 {
		return
	}
	for i := range c.views {
		if v := &c.views[i]; v.Life == told.RemoteEngine {
			v.Cached = max(v.Cached, told.RemoteTokens)
		}
	}
}

// tellHome tells the process beside the engine that the prompt prefers that another one reads its
// shared parts, unless that engine is believed to keep them, or knows.
func (c *candidates) tellHome(choice placement.Choice) {
	p, shared := c.pool, placement.Shared(c.r.Parts)
	if p.ReportRemotePrefill == nil || choice.Preferred < 0 || choice.Preferred == choice.Index {
		return
	}
	home := c.views[choice.Preferred]
	known := home.Cached
	if home.Reply != nil {
		known = max(home.Reply.Cached, home.Reply.RemoteTokens)
	}
	if prefill.TokensOf(shared)-known < placement.MinFetchTokens {
		return
	}
	p.ReportRemotePrefill(c.ups[choice.Preferred].Address, prefill.RemotePrefill{Parts: shared, Engine: c.ups[choice.Index].Incarnation})
}

// announce tells the process beside an engine of a prompt. An answer about another life of the
// engine is none: either the entry is late or that process is, and a cache that is gone would
// draw prompts there.
func (p *Pool) announce(r *serving.Request, u directory.Upstream, c placement.Choice) (prefill.AnnounceReply, bool) {
	told, ok := p.Announce(u.Address, p.announcement(r, u, c))
	return told, ok && told.StartUnixMS == u.StartUnixMS
}

func (p *Pool) announcement(r *serving.Request, u directory.Upstream, c placement.Choice) prefill.Announcement {
	a := prefill.Announcement{Prompt: r.Prompt, Parts: r.Parts, Fetched: c.Fetched,
		MaxPerSecond: p.Cold.MaxRequests(r.Service.Cold.PerSecond), Cold: p.cold(p.Now(), r, u),
		Rank: r.Rank, Limit: p.limitKnown(u.Incarnation)}
	if rate, known := p.readingOf(r.Service.Name).perMs(p.PrefillPerMs); known {
		a.PrefillPerMs = rate
	}
	return a
}
