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

// reconciliation collects the holdings of all processes of some closed pages.
type reconciliation struct {
	era   store.Era
	pages []string
	// oldest is the oldest era in which one of the pages was open.
	oldest store.Era
	// unlisted are the members that may hold tokens and are not listed any more, as far as this process has them.
	unlisted []string

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

// reconcile asks all processes for their holdings of the pages.
func (b *Budgets) reconcile(ctx context.Context, pages []closedPage) *reconciliation {
	r := &reconciliation{era: b.era(), oldest: store.MaxEra,
		replies: map[string]link.ConfirmReply{}, ended: map[string]member.Member{}, used: map[string]map[string]int64{}, held: map[string]map[string]map[string]int64{}}
	for _, p := range pages {
		r.pages = append(r.pages, p.item.Key)
		r.oldest = min(r.oldest, p.page.Era)
	}
	r.processes = b.reopening.processes(b.members, r.oldest)
	r.unlisted = slices.Sorted(maps.Keys(b.reopening.unlisted(b.members, r.oldest)))
	own, err := b.confirm(ctx, r.request(b.holder.ID()))
	if err != nil {
		r.pending = []string{b.holder.ID()}
		return r
	}
	r.replies[b.holder.ID()] = own
	b.askAll(ctx, r)
	if r.addMembers() {
		b.askAll(ctx, r)
	}
	if len(r.pending) == 0 && !r.knewMembers(own) {
		b.askForMembers(ctx, r)
	}
	if len(r.pending) == 0 {
		b.findUse(ctx, r)
	}
	slices.Sort(r.pending)
	return r
}

// request returns the question to a process.
func (r *reconciliation) request(holder string) link.ConfirmRequest {
	return link.ConfirmRequest{Holder: holder, Era: r.era, Since: r.oldest, Pages: r.pages, Known: r.unlisted}
}

// askAll asks the processes that have not answered yet.
func (b *Budgets) askAll(ctx context.Context, r *reconciliation) {
	concurrently(slices.Values(b.unanswered(r)), func(m member.Member) { b.ask(ctx, r, m) })
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
func (b *Budgets) unanswered(r *reconciliation) (out []member.Member) {
	for id, m := range r.processes {
		_, answered := r.replies[id]
		_, ended := r.ended[id]
		switch {
		case answered || ended:
		case b.hasEnded(id):
			r.ended[id] = m
		default:
			out = append(out, m)
		}
	}
	return out
}

// ask asks one process. If another incarnation answers, the one that was asked has ended.
func (b *Budgets) ask(ctx context.Context, r *reconciliation, m member.Member) {
	reply, err := b.endpoint.AskConfirmation(ctx, m.Address, r.request(m.ID))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.pending = append(r.pending, m.ID)
	case !reply.Known:
		r.ended[m.ID] = m
	default:
		r.replies[m.ID] = reply
	}
}

// addMembers adds the processes that others have named, and reports whether there are new ones: those that ended lately may be
// known only to processes that have run for longer.
func (r *reconciliation) addMembers() (added bool) {
	for _, reply := range r.replies {
		for _, m := range reply.Members {
			if _, known := r.processes[m.ID]; !known {
				r.processes[m.ID], added = m, true
			}
		}
	}
	return added
}

// knewMembers reports whether the process of a reply has had the list of members since all the pages were open.
func (r *reconciliation) knewMembers(reply link.ConfirmReply) bool {
	return reply.ViewKnown && reply.ViewSince <= r.oldest
}

// askForMembers asks a process that has had the list of members since the pages were open for all of them, and asks these as
// well: the store may lack them. If there is none, the holders of tokens are unknown.
func (b *Budgets) askForMembers(ctx context.Context, r *reconciliation) {
	for id, reply := range r.replies {
		if !r.knewMembers(reply) {
			continue
		}
		in := r.request(id)
		in.AllMembers = true
		reply, err := b.endpoint.AskConfirmation(ctx, r.processes[id].Address, in)
		if err != nil || !reply.Known {
			r.pending = append(r.pending, id)
			return
		}
		r.replies[id] = reply
		r.addMembers()
		b.askAll(ctx, r)
		return
	}
	r.unknown = "no process has run since the pages were open"
}

// findUse determines the use of the tokens of processes that have ended.
func (b *Budgets) findUse(ctx context.Context, r *reconciliation) {
	var lenders, routers []string
	for id, m := range r.ended {
		if m.Role == RoleLender {
			lenders = append(lenders, id)
		} else {
			routers = append(routers, id)
		}
	}
	for _, lender := range lenders {
		b.sumUse(ctx, r, lender)
		if len(routers) > 0 && len(r.pending) == 0 {
			b.addLimits(ctx, r, lender, routers)
		}
	}
	r.addHeld(routers)
	if len(routers) > 1 && !r.hasLenders() && r.unknown == "" {
		r.unknown = "routers that may have held tokens have ended, and so may have those that they told"
	}
}

// addHeld adds the bounds on the use of routers that have ended, as they sent them to others.
func (r *reconciliation) addHeld(routers []string) {
	for _, reply := range r.replies {
		for _, router := range routers {
			for page, budgets := range reply.Held[router] {
				for budget, most := range budgets {
					addMost(r.held, router, page, budget, most)
				}
			}
		}
	}
}

func (r *reconciliation) hasLenders() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(r.processes)), func(m member.Member) bool { return m.Role == RoleLender })
}

// sumUse adds up what the running borrowers of a lender that has ended used.
func (b *Budgets) sumUse(ctx context.Context, r *reconciliation, lender string) {
	r.used[lender] = map[string]int64{}
	concurrently(maps.Keys(r.replies), func(id string) {
		report, err := b.borrowedFrom(ctx, id, lender)
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case err != nil:
			r.pending = append(r.pending, id)
		case !report.Known:
			r.unknown = "the record of a borrower is incomplete"
		}
		for budget, n := range report.Used {
			r.used[lender][budget] += n
		}
	})
}

// addLimits adds the most that routers that have ended can have used of a lender's tokens, which is known to the lender's
// witnesses. All of them have answered if no other lender has ended, or if as many as there can be have those of the last term.
func (b *Budgets) addLimits(ctx context.Context, r *reconciliation, lender string, routers []string) {
	running, ended := r.otherLenders(lender)
	answers, ok := b.askWitnesses(ctx, r, lender, running)
	if !ok {
		return
	}
	limits, witnesses := mergeLimits(answers)
	if witnesses == 0 || ended > 0 && witnesses < maxWitnesses {
		r.unknown = "a lender and a router have ended, and so may have a witness"
		return
	}
	for budget, byBorrower := range limits {
		for _, router := range routers {
			r.used[lender][budget] += byBorrower[router]
		}
	}
}

// otherLenders lists the lenders that have answered, but for one, and counts those that have ended.
func (r *reconciliation) otherLenders(lender string) (running []string, ended int) {
	for id, m := range r.processes {
		if m.Role != RoleLender || id == lender {
			continue
		}
		if _, answered := r.replies[id]; answered {
			running = append(running, id)
		} else {
			ended++
		}
	}
	return running, ended
}

// askWitnesses asks lenders for the limits of one that has ended, and returns the answers of those that have some. It fails if one does
// not answer.
func (b *Budgets) askWitnesses(ctx context.Context, r *reconciliation, lender string, witnesses []string) (known []settlement.WitnessAnswer, ok bool) {
	ok = true
	concurrently(slices.Values(witnesses), func(id string) {
		answer, err := b.queryWitness(ctx, id, lender, settlement.AnyTerm)
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case err != nil:
			r.pending, ok = append(r.pending, id), false
		case answer.Known:
			if len(answer.Of) == 0 {
				answer.Of = []string{id}
			}
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
	ofLast := map[string]bool{}
	for _, a := range answers {
		for _, witness := range a.Of {
			if a.Term == last {
				ofLast[witness] = true
			}
		}
	}
	return limits, len(ofLast)
}

// borrowedFrom asks a process, which may be this one, for its final use of a lender's tokens.
func (b *Budgets) borrowedFrom(ctx context.Context, borrower, lender string) (grant.Borrowed, error) {
	if borrower == b.holder.ID() {
		return b.holder.BorrowedFrom(lender), nil
	}
	return b.endpoint.AskBorrowed(ctx, borrower, lender)
}

// apply writes the holdings to a page.
func (r *reconciliation) apply(key string, page *account.Page) {
	for id, reply := range r.replies {
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
	for id := range r.ended {
		r.applyEnded(id, page)
		for budget, most := range r.held[id][key] {
			accountOf(page, budget).ConfirmEnded(id, most)
		}
	}
	for _, a := range page.Accounts {
		a.CoverDeficit()
	}
}

// applyEnded writes the use of a lender that has ended. Rows of other processes stay as they are.
func (r *reconciliation) applyEnded(id string, page *account.Page) {
	used, known := r.used[id]
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
func (r *reconciliation) forfeit(p closedPage) (total int64) {
	if r.unknown == "" || p.item.Revision == 0 {
		return 0
	}
	for _, a := range p.page.Accounts {
		total += a.ForfeitFree()
	}
	return total
}

func (r *reconciliation) endedNames() []string { return slices.Sorted(maps.Keys(r.ended)) }
