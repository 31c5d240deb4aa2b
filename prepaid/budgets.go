// Package prepaid keeps the tokens of prepaid budgets in one process on the operators'
// platform: taken from the store, lent to other processes, borrowed from them.
package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/lending"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
)

// pagePrefix begins the keys of the budget pages in the store.
const pagePrefix = "arbutusmill/budget/"

// How tokens are held; see grant.HorizonPolicy.
const (
	// heldWorsts is how many of the largest recent requests a home keeps room for.
	heldWorsts = 1
	// heldShare is the most of a full budget that a home holds; the figures of the
	// sweep are in docs/MEASUREMENTS.md.
	heldShare = 0.9
	// refillStep is the demand that one take adds in the time recoveryTime after an
	// outage of the store; takes come at most each lowPause.
	refillStep   = 500 * time.Millisecond
	recoveryTime = 8 * time.Second
	// heldSlack spares writes for small deviations.
	heldSlack = 0.25
	// syncPause is the pause between two looks for pages that are due.
	syncPause = 100 * time.Millisecond
	// lowPause is the shortest time between two looks at a page that runs low.
	lowPause = 300 * time.Millisecond
	// foldAfter is the time without use after which a row is given up.
	foldAfter = 5 * time.Minute
	// emptyFor is the time for which an exhausted budget is not asked for again.
	emptyFor = 300 * time.Millisecond
	// probeTimeout bounds a probe. It is longer than what a request waits, for links
	// that are full are slow for seconds.
	probeTimeout = 1500 * time.Millisecond
	// probePause is the pause between two tries of a store or peer that failed.
	// Requests do not wait for it meanwhile.
	probePause = 500 * time.Millisecond
	// keepPages is how long a home plans on a page without reading it again.
	keepPages = 10 * time.Second
	// freshPages is how old a page may be to say that tokens lack. What others give
	// back is then seen that much later.
	freshPages = 500 * time.Millisecond
	// askedHomes is how many routers a request asks for tokens: the home and the
	// one that would be it next, for a home that is gone but still listed.
	askedHomes = 2
	// lotPause is the pause between two rounds of returning lots, lotIdle the
	// time after which an unused lot goes back. Both keep short what is missing
	// at the home.
	lotPause = 250 * time.Millisecond
	lotIdle  = time.Second
	// auditPause is the pause between two rounds of questions about lent lots.
	auditPause = 3 * time.Second
	// standInFor is how long a router that was asked for tokens of a page acts as
	// its home.
	standInFor = 3 * time.Second
	// standInHorizon is how long its tokens should last then.
	standInHorizon = 2 * time.Second
	// goneFor is the time after which the lots of a router that is not listed
	// count as used. It is longer than a lease and what living routers need to
	// register again after an outage of the store.
	goneFor = 45 * time.Second
)

// Limits are the operators' limits on budgets, as far as a process knows them.
type Limits interface {
	// Each calls f with each budget that has a limit, its tokens, and the version of
	// the configuration that says so.
	Each(f func(budget string, version, tokens int64))
	// Of returns the limit of one budget; version is 0 if it is not known.
	Of(budget string) (version, tokens int64)
	// Note takes a limit that came with another process's request for tokens.
	Note(budget string, version, tokens int64)
}

// Roles of members.
const (
	// RoleRouter is that of processes which serve callers.
	RoleRouter = "router"
	// RoleLender is that of processes which are there to be homes of budgets.
	RoleLender = "lender"
)

// Budgets implements serving.Budgets over the accounts in the store.
//
// Each page of accounts has a home: the process that ranks first for it among the
// lenders, or among the routers where there are no lenders. The home takes grants from
// the store and reports use; all others borrow from it for each request. So a budget's
// tokens lie in one place whatever the number of routers, a page has one writer, and
// while the store is cut off routers still reach the home.
type Budgets struct {
	holder   *grant.Holder
	pages    *grant.StoreGranter
	acquirer *grant.Acquirer
	desk     *lending.Desk
	members  *member.Group
	layout   account.Layout
	limits   Limits
	// timeout bounds one call of the store, wait all that a request waits.
	timeout, wait time.Duration
	log           zerolog.Logger
	store         outage
	peers         outages
	gone          absences
	asked         lastAsked
	// asking counts the requests that turned to the store, by budget.
	asking counts
	// late are the peers whose answers came too late, since the last probes.
	late counts
}

// Parts is what budgets are put together from.
type Parts struct {
	// Life names this life of the process.
	Life     string
	Settings settings.GatewayBudgets
	Store    store.Store
	Members  *member.Group
	Links    lending.Caller
	Limits   Limits
	Log      zerolog.Logger
}

// New makes the budgets of a process; it makes no call.
func New(p Parts) *Budgets {
	s := p.Settings
	b := &Budgets{
		layout:  account.Layout{Prefix: pagePrefix, Pages: s.Pages},
		members: p.Members,
		limits:  p.Limits,
		timeout: time.Duration(s.StoreWait),
		wait:    time.Duration(s.Wait),
		log:     p.Log,
	}
	b.holder = grant.NewHolder(p.Life, b.layout, grant.HorizonPolicy{
		Horizon: time.Duration(s.Horizon), Worsts: heldWorsts, Share: heldShare, Slack: heldSlack,
		Refill: refillStep, Recovering: b.recovering, Role: b.role, StandIn: standInHorizon, Asking: b.asking.has,
	})
	b.holder.AverageDemand(time.Duration(s.DemandWindow))
	b.holder.Lean(b.isDead)
	b.pages = &grant.StoreGranter{
		Holder: b.holder, Store: p.Store, Layout: b.layout, Timeout: b.timeout, Now: time.Now, Prepare: b.prepare,
		KeepPages: keepPages, Fresh: freshPages, Moved: b.moved, Ended: b.callEnded,
		Timing: grant.Timing{Rebalance: time.Duration(s.Report), Report: time.Duration(s.Report),
			Fold: foldAfter, Empty: emptyFor, LowPause: lowPause},
	}
	b.desk = &lending.Desk{
		Holder: b.holder, Links: p.Links, Address: b.addressOf, Timeout: time.Duration(s.PeerWait), Now: time.Now,
		Limit: p.Limits.Of,
		Fill:  &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{b}},
	}
	peers := &grant.PeerGranter{Holder: b.holder, Lender: b, Peers: b.homes, Timeout: time.Duration(s.PeerWait), Now: time.Now}
	b.acquirer = &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{peers, b}}
	return b
}

// Start starts a goroutine for each duty.
func (b *Budgets) Start(d *process.Duties) {
	d.Every(syncPause, b.step)
	d.Every(lotPause, b.returnLots)
	d.Every(auditPause, b.desk.AuditLots)
	d.Every(auditPause, b.settleGone)
	d.Every(probePause, b.probePeers)
}

// Wait waits for calls that are on their way, after the duties have ended.
func (b *Budgets) Wait() { b.pages.Wait() }

// State is what the process holds, for dumps.
func (b *Budgets) State() any { return b.holder.State(time.Now()) }

func (b *Budgets) addressOf(life string) (string, bool) {
	m, ok := b.members.Get(life)
	return m.Address, ok
}

// isDead reports whether a life is known to be over.
func (b *Budgets) isDead(life string) bool {
	vm, _, _ := strings.Cut(life, "/")
	if b.members.Replaced(life, vm) {
		return true
	}
	_, listed := b.members.Get(life)
	return b.gone.since(time.Now(), life, !listed && !b.store.lasts()) >= goneFor
}

// role is what this router is to a budget. Before the members are known it is no home:
// if every router of a new fleet took itself for the home, each would hold room for large
// requests.
func (b *Budgets) role(budget string) grant.Role {
	page := b.layout.Key(budget)
	ranked := b.ranked(page)
	switch {
	case b.members.Aside():
		return grant.BorrowerOf
	case len(ranked) > 0 && ranked[0].VM == b.members.Self.VM:
		return grant.HomeOf
	case b.asked.within(page, standInFor):
		return grant.StandInFor
	}
	return grant.BorrowerOf
}

// ranked lists who should be the home of a page, best first.
func (b *Budgets) ranked(page string) []member.Member {
	if lenders := b.members.Rank(page, RoleLender); len(lenders) > 0 {
		return lenders
	}
	return b.members.Rank(page, RoleRouter)
}

// recovering reports whether the store came back lately.
func (b *Budgets) recovering() bool { return b.store.endedWithin(recoveryTime) }

// Methods answers the messages of other routers.
func (b *Budgets) Methods() map[string]link.Handler {
	m := b.desk.Methods()
	lend := m[link.MethodLend]
	m[link.MethodLend] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var in link.LendRequest
		if json.Unmarshal(params, &in) == nil { // if not, lend says what is wrong
			b.asked.note(b.layout.Key(in.Budget))
			b.limits.Note(in.Budget, in.Version, in.Limit)
		}
		return lend(ctx, params)
	}
	return m
}

// homes lists the processes to ask for tokens of a budget; a home asks the store itself.
func (b *Budgets) homes(budget string) []string {
	ranked := b.ranked(b.layout.Key(budget))
	var out []string
	for _, m := range ranked[:min(askedHomes, len(ranked))] {
		if m.VM == b.members.Self.VM {
			break // this router, or an earlier life of it that is still listed
		}
		out = append(out, m.ID)
	}
	return out
}

// Lend implements grant.Lender. A peer that failed is not asked again before it has
// answered a probe: each request that tried it would lose the time that it takes. An answer
// that only came too late says less: where the own link is full, all of them do.
func (b *Budgets) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	o := b.peers.of(peer)
	if o.lasts() {
		return grant.Lot{}, link.Error.Wrap(link.ErrDown)
	}
	lot, err := b.desk.Lend(ctx, peer, budget, id, need, want)
	if errors.Is(err, context.DeadlineExceeded) {
		b.late.begin(peer)
		return lot, err
	}
	b.noteOutage(o, "member", peer, err, link.ErrDown)
	return lot, err
}

// probePeers asks the peers that failed or were late whether they answer. One that is no
// longer listed is forgotten.
func (b *Budgets) probePeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range slices.Compact(slices.Sorted(slices.Values(append(b.peers.lasting(), b.late.take()...)))) {
		if _, listed := b.members.Get(peer); !listed {
			b.peers.forget(peer)
			continue
		}
		wg.Go(func() { b.probePeer(ctx, peer) })
	}
	wg.Wait()
}

func (b *Budgets) probePeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	b.noteOutage(b.peers.of(peer), "member", peer, b.desk.Probe(ctx, peer), link.ErrDown)
}

// prepare brings the accounts of a page up to the operators' limits.
func (b *Budgets) prepare(key string, p *account.Page) bool {
	changed := false
	b.limits.Each(func(budget string, version, tokens int64) {
		if b.layout.Key(budget) != key {
			return
		}
		a := p.Accounts[budget]
		if a == nil {
			a = &account.Account{Team: budget}
			p.Accounts[budget] = a
		}
		changed = a.SetPrepaid(version, tokens) || changed
	})
	return changed
}

// Obtain implements grant.Granter: the store, unless it just failed.
func (b *Budgets) Obtain(ctx context.Context, budget string, lack int64) error {
	if b.store.lasts() {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	defer b.asking.begin(budget)()
	err := b.pages.Obtain(ctx, budget, lack)
	if errors.Is(err, grant.ErrShort) {
		// This was the last place where there could be some.
		return grant.Error.Wrap(grant.ErrHeld)
	}
	return err
}

// callEnded hears how a call of the store ended.
func (b *Budgets) callEnded(err error) {
	b.noteOutage(&b.store, "store", "", err, store.ErrUnknown)
}

// moved logs tokens that this router took or gave back.
func (b *Budgets) moved(d grant.Decision, v grant.View) {
	b.log.Info().Str("budget", v.Budget).Bool("home", b.role(v.Budget) == grant.HomeOf).Int64("took", d.Take).Int64("gave", d.Give).
		Int64("free", v.Free).Int64("unspent", v.Unspent).Int64("available", v.Available).Int64("reserved", v.Reserved).
		Int64("waiting", v.Waiting).Int64("largest", v.Worst).Int64("demand_per_s", int64(v.Demand)).Msg("tokens_moved")
}

// noteOutage keeps whether the store or a peer answers, and logs when that changes.
func (b *Budgets) noteOutage(o *outage, what, name string, err, sign error) {
	failed := errors.Is(err, sign)
	if !o.note(failed) {
		return
	}
	if failed {
		b.log.Warn().Err(err).Str("of", what).Str("name", name).Msg("tokens_lost")
		return
	}
	b.log.Info().Str("of", what).Str("name", name).Msg("tokens_regained")
}

// step keeps the pages in step, or looks whether a store that failed is back.
func (b *Budgets) step(ctx context.Context) {
	switch {
	case !b.store.lasts():
		b.sync(ctx, b.holder.Due(time.Now()))
	case !b.store.within(probePause):
		b.probe(ctx)
	}
}

// probe asks a store that failed whether it answers again, by a cheap read.
func (b *Budgets) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	_, err := b.pages.Store.Peek(ctx, pagePrefix+"none")
	b.noteOutage(&b.store, "store", "", err, store.ErrUnknown)
}

func (b *Budgets) sync(ctx context.Context, keys []string) {
	for _, key := range keys {
		if b.store.lasts() {
			return // calls are paid for, also those that fail
		}
		ctx, cancel := context.WithTimeout(ctx, b.timeout)
		err := b.pages.Sync(ctx, key)
		cancel()
		if err != nil {
			b.holder.Postpone(time.Now(), key)
		}
	}
}

// returnLots gives unused lots back.
func (b *Budgets) returnLots(ctx context.Context) { b.desk.ReturnLots(ctx, lotIdle) }

// settleGone counts the lots of routers that are gone as used: what a dead router had
// not returned it may have spent.
func (b *Budgets) settleGone(context.Context) {
	if b.store.lasts() {
		return // members cannot be told from missing ones now
	}
	now := time.Now()
	for borrower := range b.holder.LentLots() {
		_, listed := b.members.Get(borrower)
		if b.gone.since(now, borrower, !listed) < goneFor {
			continue
		}
		lots := b.holder.LentTo(borrower)
		for _, l := range lots {
			l.Used = account.MaxTokens // cut to what was lent
			b.holder.TakeBack(now, l)
		}
		b.log.Warn().Str("borrower", borrower).Int("lots", len(lots)).Msg("lots_of_gone_router_counted_as_used")
	}
}

// GiveBack returns everything that is not reserved; it is the end of a planned stop.
func (b *Budgets) GiveBack(ctx context.Context) error {
	b.desk.ReturnLots(ctx, 0)
	b.holder.ReturnAll()
	for _, key := range b.holder.Pages() {
		if err := b.pages.Sync(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// Reserve implements serving.Budgets.
func (b *Budgets) Reserve(ctx context.Context, r *serving.Request) (func(int64), *contract.Refusal) {
	worst := r.Worst()
	if worst == 0 || r.Prepaid == 0 {
		return func(int64) {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	res, err := b.acquirer.Acquire(ctx, r.Team, worst)
	if err != nil {
		return nil, budgetRefusal(r.Team, worst, err)
	}
	return func(used int64) { b.holder.Settle(time.Now(), res, used) }, nil
}

func budgetRefusal(team string, worst int64, err error) *contract.Refusal {
	switch {
	case errors.Is(err, grant.ErrExhausted):
		return contract.Refuse(contract.BudgetExhausted, "the budget of %s does not cover %d tokens", team, worst)
	case errors.Is(err, grant.ErrFenced):
		return contract.Refuse(contract.Fenced, "this router was replaced")
	}
	return contract.Refuse(contract.BudgetUnreachable, "the tokens of %s cannot be reached now", team)
}
