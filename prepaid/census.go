package prepaid

import (
	"context"
	"iter"
	"maps"
	"slices"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
)

// census collects the holdings of all processes of some closed pages.
type census struct {
	era   store.Era
	pages []string
	// oldest is the oldest era in which one of the pages was open.
	oldest store.Era

	mu sync.Mutex // guards the fields below while processes are asked
	// processes are all that may hold tokens of the pages, by incarnation.
	processes map[string]member.Member
	replies   map[string]link.ConfirmReply
	// ended are the processes that have certainly ended; used is the use of what lenders among them lent, by budget.
	ended map[string]member.Member
	used  map[string]map[string]int64
	// held bounds the use of what routers among them took from the store themselves, by page and budget.
	held map[string]map[string]map[string]int64
	// pending lists the processes that must still answer.
	pending []string
	// unknown is the reason why the use of a process that has ended is not known, "" if all is known.
	unknown string
}

// takeCensus asks all processes for their holdings of the pages.
func (b *Budgets) takeCensus(ctx context.Context, pages []closedPage) *census {
	c := &census{era: b.era(), oldest: store.MaxEra,
		replies: map[string]link.ConfirmReply{}, ended: map[string]member.Member{}, used: map[string]map[string]int64{}, held: map[string]map[string]map[string]int64{}}
	for _, p := range pages {
		c.pages = append(c.pages, p.item.Key)
		c.oldest = min(c.oldest, p.page.Era)
	}
	c.processes = b.reopening.processes(b.members, c.oldest)
	own, err := b.confirm(ctx, c.request(b.holder.ID()))
	if err != nil {
		c.pending = []string{b.holder.ID()}
		return c
	}
	c.replies[b.holder.ID()] = own
	b.askAll(ctx, c)
	if c.addMembers() {
		b.askAll(ctx, c)
	}
	if len(c.pending) == 0 && !c.knewMembers(own) {
		b.askForMembers(ctx, c)
	}
	if len(c.pending) == 0 {
		b.findUse(ctx, c)
	}
	slices.Sort(c.pending)
	return c
}

// request returns the question to a process.
func (c *census) request(holder string) link.ConfirmRequest {
	return link.ConfirmRequest{Holder: holder, Era: c.era, Since: c.oldest, Pages: c.pages}
}

// askAll asks the processes that have not answered yet.
func (b *Budgets) askAll(ctx context.Context, c *census) {
	concurrently(slices.Values(b.unanswered(c)), func(m member.Member) { b.ask(ctx, c, m) })
}

// concurrently calls ask for all processes, for maxConcurrentQuestions at a time.
func concurrently[T any](processes iter.Seq[T], ask func(T)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQuestions)
	for p := range processes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ask(p)
		})
	}
	wg.Wait()
}

// unanswered lists the processes to ask, and records those that have ended.
func (b *Budgets) unanswered(c *census) (out []member.Member) {
	for id, m := range c.processes {
		_, answered := c.replies[id]
		_, ended := c.ended[id]
		switch {
		case answered || ended:
		case b.isDead(id) || b.endedLately.within(id, recentRetention):
			c.ended[id] = m
		default:
			out = append(out, m)
		}
	}
	return out
}

// ask asks one process. If another incarnation answers, the one that was asked has ended.
func (b *Budgets) ask(ctx context.Context, c *census, m member.Member) {
	reply, err := b.endpoint.AskConfirmation(ctx, m.Address, c.request(m.ID))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.pending = append(c.pending, m.ID)
	case !reply.Known:
		c.ended[m.ID] = m
	default:
		c.replies[m.ID] = reply
	}
}

// addMembers adds the processes that others have named, and reports whether there are new ones: those that ended lately may be
// known only to processes that have run for longer.
func (c *census) addMembers() (added bool) {
	for _, reply := range c.replies {
		for _, m := range reply.Members {
			if _, known := c.processes[m.ID]; !known {
				c.processes[m.ID], added = m, true
			}
		}
	}
	return added
}

// knewMembers reports whether the process of a reply has had the list of members since all the pages were open.
func (c *census) knewMembers(r link.ConfirmReply) bool { return r.ViewKnown && r.ViewSince <= c.oldest }

// askForMembers asks a process that has had the list of members since the pages were open for all that it knows, and asks
// these as well: the store may lack them. If there is none, nobody knows who held tokens.
func (b *Budgets) askForMembers(ctx context.Context, c *census) {
	for id, reply := range c.replies {
		if !c.knewMembers(reply) {
			continue
		}
		in := c.request(id)
		in.AllMembers = true
		reply, err := b.endpoint.AskConfirmation(ctx, c.processes[id].Address, in)
		if err != nil || !reply.Known {
			c.pending = append(c.pending, id)
			return
		}
		c.replies[id] = reply
		c.addMembers()
		b.askAll(ctx, c)
		return
	}
	c.unknown = "no process has run since the pages were open"
}

// findUse determines the use of the tokens of processes that have ended.
func (b *Budgets) findUse(ctx context.Context, c *census) {
	var lenders, routers []string
	for id, m := range c.ended {
		if m.Role == RoleLender {
			lenders = append(lenders, id)
		} else {
			routers = append(routers, id)
		}
	}
	for _, lender := range lenders {
		b.sumUse(ctx, c, lender)
		if len(routers) > 0 && len(c.pending) == 0 {
			b.addLimits(ctx, c, lender, routers)
		}
	}
	c.addHeld(routers)
	if len(routers) > 1 && !c.hasLenders() && c.unknown == "" {
		c.unknown = "routers that may have held tokens have ended, and so may have those that they told"
	}
}

// addHeld adds the bounds on the use of routers that have ended, as they sent them to others.
func (c *census) addHeld(routers []string) {
	for _, reply := range c.replies {
		for _, router := range routers {
			for page, budgets := range reply.Held[router] {
				for budget, most := range budgets {
					addMost(c.held, router, page, budget, most)
				}
			}
		}
	}
}

func (c *census) hasLenders() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(c.processes)), func(m member.Member) bool { return m.Role == RoleLender })
}

// sumUse adds up what the running borrowers of a lender that has ended used.
func (b *Budgets) sumUse(ctx context.Context, c *census, lender string) {
	c.used[lender] = map[string]int64{}
	concurrently(maps.Keys(c.replies), func(id string) {
		report, err := b.borrowedFrom(ctx, id, lender)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case err != nil:
			c.pending = append(c.pending, id)
		case !report.Known:
			c.unknown = "the record of a borrower is incomplete"
		}
		for budget, n := range report.Used {
			c.used[lender][budget] += n
		}
	})
}

// addLimits adds the most that routers that have ended can have used of a lender's tokens, which is known to the lender's
// witnesses. All of them have answered if no other lender has ended, or if as many as there can be know the last term.
func (b *Budgets) addLimits(ctx context.Context, c *census, lender string, routers []string) {
	running, ended := c.otherLenders(lender)
	answers, ok := b.askWitnesses(ctx, c, lender, running)
	if !ok {
		return
	}
	limits, witnesses := mergeLimits(answers)
	if witnesses == 0 || ended > 0 && witnesses < maxWitnesses {
		c.unknown = "a lender and a router have ended, and so may have a witness"
		return
	}
	for budget, byBorrower := range limits {
		for _, router := range routers {
			c.used[lender][budget] += byBorrower[router]
		}
	}
}

// otherLenders lists the lenders that have answered, but for one, and counts those that have ended.
func (c *census) otherLenders(lender string) (running []string, ended int) {
	for id, m := range c.processes {
		if m.Role != RoleLender || id == lender {
			continue
		}
		if _, answered := c.replies[id]; answered {
			running = append(running, id)
		} else {
			ended++
		}
	}
	return running, ended
}

// askWitnesses asks lenders for the limits of one that has ended, and returns the answers of those that know some. It fails if one does
// not answer.
func (b *Budgets) askWitnesses(ctx context.Context, c *census, lender string, witnesses []string) (known []settlement.WitnessAnswer, ok bool) {
	ok = true
	concurrently(slices.Values(witnesses), func(id string) {
		answer, err := b.queryWitness(ctx, id, lender, settlement.AnyTerm)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case err != nil:
			c.pending, ok = append(c.pending, id), false
		case answer.Known:
			known = append(known, answer)
		}
	})
	return known, ok
}

// mergeLimits merges the limits of all terms, and counts the witnesses of the last one.
func mergeLimits(answers []settlement.WitnessAnswer) (limits grant.ExposureLimits, witnesses int) {
	limits = grant.ExposureLimits{}
	var last int64
	for _, a := range answers {
		last = max(last, a.Term)
		limits.Merge(a.Limits)
	}
	for _, a := range answers {
		if a.Term == last {
			witnesses++
		}
	}
	return limits, witnesses
}

// borrowedFrom asks a process, which may be this one, for its final use of a lender's tokens.
func (b *Budgets) borrowedFrom(ctx context.Context, borrower, lender string) (grant.Borrowed, error) {
	if borrower == b.holder.ID() {
		return b.holder.BorrowedFrom(lender), nil
	}
	return b.endpoint.AskBorrowed(ctx, borrower, lender)
}

// apply writes the holdings to a page.
func (c *census) apply(key string, page *account.Page) {
	for id, reply := range c.replies {
		for budget := range reply.Rows[key] {
			accountOf(page, budget)
		}
		for budget, a := range page.Accounts {
			_, listed := a.Rows[id]
			if confirmation, holds := reply.Rows[key][budget]; holds || listed {
				a.Confirm(id, confirmation)
			}
		}
	}
	for id := range c.ended {
		c.applyEnded(id, page)
		for budget, most := range c.held[id][key] {
			accountOf(page, budget).ConfirmEnded(id, most)
		}
	}
	for _, a := range page.Accounts {
		a.CoverDeficit()
	}
}

// applyEnded writes the use of a lender that has ended. Rows of other processes stay as they are.
func (c *census) applyEnded(id string, page *account.Page) {
	used, known := c.used[id]
	if !known {
		return
	}
	for budget, a := range page.Accounts {
		_, listed := a.Rows[id]
		if n, lent := used[budget]; lent || listed {
			a.ConfirmEnded(id, n)
		}
	}
}

// accountOf returns a budget's account on a page, which the copy may lack.
func accountOf(page *account.Page, budget string) *account.Account {
	a := page.Accounts[budget]
	if a == nil {
		a = &account.Account{Team: budget}
		page.Accounts[budget] = a
	}
	return a
}

// forfeit forfeits a page's free tokens if they may have been granted, and returns how many. Nothing was ever granted from a page
// that does not exist.
func (c *census) forfeit(p closedPage) (total int64) {
	if c.unknown == "" || p.item.Revision == 0 {
		return 0
	}
	for _, a := range p.page.Accounts {
		total += a.ForfeitFree()
	}
	return total
}

func (c *census) endedNames() []string { return slices.Sorted(maps.Keys(c.ended)) }
