// Package prepaid keeps the tokens of prepaid budgets in one process on the operators'
// platform: taken from the store, lent to other processes, borrowed from them.
package prepaid

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/lending"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
)

// PagePrefix begins the keys of the budget pages in the store.
const PagePrefix = "arbutusmill/budget/"

// storeName is the store in records of what failed.
const storeName = "store"

// How tokens are held; see grant.HorizonPolicy.
const (
	// heldWorsts is how many of the largest recent requests a home keeps room for.
	heldWorsts = 1
	// heldShare is the most of a full budget that a home holds; the figures of the
	// sweep are in docs/MEASUREMENTS.md.
	heldShare = 0.9
	// slowSync is the time from which a sync was slow: the store answers in
	// milliseconds. waryFor is for how long a home then holds as much as for an outage.
	slowSync = 100 * time.Millisecond
	waryFor  = 10 * time.Second
	// callTimeout and syncTimeout bound one call of the store and all of one sync: a
	// store that is slow by a factor of 100 still answers, and after an answer that was
	// lost there is time to read the page again.
	callTimeout = 700 * time.Millisecond
	syncTimeout = 2 * time.Second
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
	// askedHomes is how many processes a request asks for tokens: the home and the
	// one that would be it next, for a home that is gone but still listed.
	askedHomes = 4
	// lotPause is the pause between two rounds of returning lots, lotIdle the
	// time after which an unused lot goes back. Both keep short what is missing
	// at the home.
	lotPause = 250 * time.Millisecond
	lotIdle  = time.Second
	// auditPause is the pause between two rounds of questions about lent lots.
	auditPause = 3 * time.Second
	// standInFor is how long a process that was asked for tokens of a page acts as
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
	// saidUsedUp is when a budget was last said to be used up.
	saidUsedUp lastAsked
	// slow is when the store was slow.
	slow  lastAsked
	peers outages
	gone  absences
	asked lastAsked
	// asking counts the requests that turned to the store, by budget.
	asking counts
	// register lists the borrowers of a process that only lends; nil for others.
	register *settlement.BorrowerRegistry
	// exposure limits what such a process lends; witness keeps the limits of others.
	exposure *settlement.Exposure
	witness  settlement.Witness
	// silentWitnesses are the own witnesses that do not answer, and appointAgain says that the
	// store may have other names than those in force. Only appointWitnesses uses both.
	silentWitnesses absences
	appointAgain    bool
	admitting       singleflight.Group // by borrower
	// notAdmitted is when the store took too long to name a borrower.
	notAdmitted lastAsked
	// settling is since when dead lenders have been waiting for their settlement, and
	// unsettled names those that cannot be settled.
	settling absences
	// words are what borrowers told of these lenders.
	words     settlement.AnswerCache
	unsettled nameSet
	// late are the peers whose answers came too late, since the last probes.
	late nameSet
}

// Parts is what budgets are put together from.
type Parts struct {
	// Life names this life of the process.
	Life     string
	Settings settings.HostedBudgets
	Store    store.Store
	Members  *member.Group
	Links    lending.Caller
	Limits   Limits
	// LendsOnly says that the process spends nothing itself, so that its borrowers can
	// settle it when it dies.
	LendsOnly bool
	Log       zerolog.Logger
}

// New makes the budgets of a process; it makes no call.
func New(p Parts) *Budgets {
	s := p.Settings
	b := &Budgets{
		layout:  account.Layout{Prefix: PagePrefix, Pages: s.Pages},
		members: p.Members,
		limits:  p.Limits,
		timeout: time.Duration(s.StoreWait),
		wait:    time.Duration(s.Wait),
		log:     p.Log,
	}
	b.holder = grant.NewHolder(p.Life, b.layout, grant.HorizonPolicy{
		Horizon: time.Duration(s.Horizon), LargestRequests: heldWorsts, Share: heldShare, Slack: heldSlack,
		MaxLoss: s.MostLost, StoreDegraded: b.wary, Refill: refillStep, Recovering: b.recovering, Role: b.role, StandbyHorizon: standInHorizon, UsingStore: b.asking.has,
	})
	b.holder.SetDemandWindow(time.Duration(s.DemandWindow))
	b.holder.UseMinimalRows(b.isDead)
	b.pages = &grant.StoreGranter{
		Holder: b.holder, Store: p.Store, Layout: b.layout, Timeout: b.timeout,
		CallTimeout: callTimeout, SyncTimeout: syncTimeout, Now: time.Now, Prepare: b.prepare,
		PageCacheTTL: keepPages, MaxFreshAge: freshPages, OnTransfer: b.moved, OnExhausted: b.usedUp, OnSyncEnd: b.callEnded,
		Timing: grant.Timing{Rebalance: time.Duration(s.Report), Report: time.Duration(s.Report),
			RemoveIdleAfter: foldAfter, ExhaustedBackoff: emptyFor, LowBackoff: lowPause},
	}
	if p.LendsOnly {
		b.register = &settlement.BorrowerRegistry{Store: p.Store, Key: lendsPrefix + p.Life}
		b.exposure = b.newExposure()
	}
	b.desk = &lending.Desk{
		Holder: b.holder, Links: p.Links, Address: b.addressOf, Timeout: time.Duration(s.PeerWait), Now: time.Now,
		Limit: p.Limits.Of,
		Fill:  &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{b}, Exposer: b.exposure},
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
	d.Every(settlePause, b.settleDead)
	d.Every(settlePause, b.admitNew)
	b.startExposure(d.Every)
}

// State is what the process holds, for dumps.
func (b *Budgets) State() any { return b.holder.State(time.Now()) }

// Reserve implements serving.Budgets.
func (b *Budgets) Reserve(ctx context.Context, r *serving.Request) (func(int64), *contract.Refusal) {
	worst := r.MaxTokens()
	if worst == 0 || r.Prepaid == 0 {
		return func(int64) {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	trace := &grant.Trace{}
	res, err := b.acquirer.Acquire(grant.WithTrace(ctx, trace), r.Team, worst)
	if err != nil {
		refusal := budgetRefusal(r.Team, worst, err)
		refusal.Detail = trace.String()
		return nil, refusal
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
