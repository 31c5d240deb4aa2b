// Package prepaid manages the tokens of prepaid budgets that one process on the operators'
// platform holds: it takes them from the store, lends them to and borrows them from others.
package prepaid

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/lending"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
)

// PagePrefix begins the keys of the budget pages in the store.
const PagePrefix = "arbutusmill/budget/"

// storeName names the store in traces and in records of slow calls.
const storeName = "store"

// Parameters of how tokens are held; see grant.HorizonPolicy.
const (
	// largestRequests is the number of the largest recent requests that a primary holds tokens for.
	largestRequests = 1
	// maxHeldShare is the largest share of a full budget that a primary holds; see
	// docs/MEASUREMENTS.md for the sweep over it.
	maxHeldShare = 0.9
	// slowSync is the duration from which a sync counts as slow: the store answers in
	// milliseconds. degradedFor is how long a primary then holds as much as for an outage.
	slowSync    = 100 * time.Millisecond
	degradedFor = 10 * time.Second
	// callTimeout and syncTimeout bound one call of the store and one whole sync: a store
	// that is slow by a factor of 100 still answers, and after a lost response
	// there is time to read the page again.
	callTimeout = 700 * time.Millisecond
	syncTimeout = 2 * time.Second
	// refillStep is the time whose demand one take may add until recoveryTime after an
	// outage of the store; takes are at least lowBackoff apart.
	refillStep   = 500 * time.Millisecond
	recoveryTime = 8 * time.Second
	// heldSlack is the tolerated deviation from the target, which saves writes.
	heldSlack = 0.25
	// syncInterval is the pause between two checks for pages that are due.
	syncInterval = 100 * time.Millisecond
	// lowBackoff is the shortest time between two checks of a page that runs low.
	lowBackoff = 300 * time.Millisecond
	// removeIdleAfter is the time without use after which a row is removed.
	removeIdleAfter = 5 * time.Minute
	// exhaustedBackoff is the time for which an exhausted budget is not requested again.
	exhaustedBackoff = 300 * time.Millisecond
	// probeTimeout bounds a probe. It is longer than what a request waits, since
	// saturated links stay slow for seconds.
	probeTimeout = 1500 * time.Millisecond
	// probeInterval is the pause between two probes of a store or peer that failed.
	// Requests do not wait for that store or peer meanwhile.
	probeInterval = 500 * time.Millisecond
	// pageCacheTTL is how long a primary uses a cached page without reading it again.
	pageCacheTTL = 10 * time.Second
	// maxFreshAge is the largest age of a page that may prove a shortfall. Tokens that
	// others return are seen that much later.
	maxFreshAge = 500 * time.Millisecond
	// maxQueriedLenders is how many processes a request asks for tokens: the primary and
	// those that rank next, in case the primary is gone but still listed.
	maxQueriedLenders = 4
	// lotReturnInterval is the pause between two rounds of returning lots, lotIdleTime
	// the time after which an unused lot is returned. Both limit how long tokens are
	// missing at the primary.
	lotReturnInterval = 250 * time.Millisecond
	lotIdleTime       = time.Second
	// auditInterval is the pause between two rounds of queries about lent lots.
	auditInterval = 3 * time.Second
	// standbyDuration is how long a process that was asked for tokens of a page acts
	// as its standby lender.
	standbyDuration = 3 * time.Second
	// standbyHorizon is how long a standby's tokens should last.
	standbyHorizon = 2 * time.Second
	// absenceTimeout is the time after which the lots of a router that is not listed
	// count as used. It is longer than a lease and the time that running routers need
	// to register again after an outage of the store.
	absenceTimeout = 45 * time.Second
)

// Limits are the operators' limits on budgets, as far as a process has them.
type Limits interface {
	// Each calls f with each budget that has a limit, its tokens, and the version of
	// the configuration that sets it.
	Each(f func(budget string, version, tokens int64))
	// Get returns the limit of one budget; version is 0 if it is unknown.
	Get(budget string) (version, tokens int64)
	// Record records a limit that came with another process's request for tokens.
	Record(budget string, version, tokens int64)
}

// Roles of members.
const (
	// RoleRouter is the role of processes that serve callers.
	RoleRouter = "router"
	// RoleLender is the role of processes dedicated to lending, which are preferred as
	// primary lenders of budgets.
	RoleLender = "lender"
)

// Budgets implements serving.Budgets over the accounts in the store.
//
// Each page of accounts has a primary lender: the process that ranks first for it among
// the lenders, or among the routers where there are no lenders. The primary takes grants
// from the store and reports use; all others borrow from it for each request. So one
// process holds a budget's tokens whatever the number of routers, a page has one writer,
// and while the store is unreachable routers still reach the primary. If the settings name several
// regions, each region has a primary.
type Budgets struct {
	holder   *grant.Holder
	pages    *grant.StoreGranter
	acquirer *grant.Acquirer
	endpoint *lending.Endpoint
	members  *member.Group
	layout   account.Layout
	limits   Limits
	// timeout bounds one call of the store, wait all calls that one request waits for.
	timeout, wait time.Duration
	log           zerolog.Logger
	storeOutage   outage
	// exhaustedLogged records when a budget was last logged as exhausted.
	exhaustedLogged recentTimes
	// slowSyncs records when the store was slow.
	slowSyncs    recentTimes
	peerOutages  outageSet
	absent       conditionTimers
	lendRequests recentTimes
	// storeRequests counts the requests that are calling the store, by budget.
	storeRequests inFlight
	// registry lists the borrowers of a process that only lends; nil for others.
	registry *settlement.BorrowerRegistry
	// exposure limits what such a process lends; witness stores the limits of others.
	exposure *settlement.Exposure
	witness  settlement.Witness
	// unreachableWitnesses tracks the own witnesses that do not answer. reappoint is set while the
	// store may have other names than the active ones. Only appointWitnesses uses both.
	unreachableWitnesses conditionTimers
	reappoint            bool
	admissions           singleflight.Group // by borrower
	// admissionTimeouts records when the store took too long to register a borrower.
	admissionTimeouts recentTimes
	// settling tracks how long dead lenders have been waiting for their settlement,
	// and unsettled names those that cannot be settled.
	settling conditionTimers
	// deadHolders tracks how long holders have been dead.
	deadHolders conditionTimers
	// answers caches the borrowers' reports about dead lenders.
	answers   settlement.AnswerCache
	unsettled nameSet
	// era returns the store's newest known era; observeEra records one that another process has seen.
	era        func() store.Era
	observeEra func(store.Era)
	reopening  reopening
	holdings   holdings
	// endedLately records the processes that have announced their end.
	endedLately recentTimes
	// queueing makes requests wait for reserved tokens. scarceLots has an element when returnScarceLots is due.
	queueing   bool
	scarceLots chan struct{}
	// regions are the lenders by region. lacking records when a lender of this region could not lend to another one, by
	// budget; returned when its tokens were last returned for that reason.
	regions           regionSet
	lacking, returned recentTimes
	// pageNotices are written pages to send to other regions, noticedPages the pages that others have sent.
	pageNotices   pageNotices
	noticedPages  nameSet
	regionalLends regionalLends
	metrics       *metrics.Set
	// latePeers are the peers whose replies came too late since the last probes.
	latePeers nameSet
}

// Parts are the dependencies and settings of Budgets.
type Parts struct {
	// Incarnation names this incarnation of the process.
	Incarnation string
	Settings    settings.HostedBudgets
	Store       store.Store
	Members     *member.Group
	Links       lending.Caller
	Limits      Limits
	// Era returns the store's newest known era, ObserveEra records one that another process has seen. nil stands for a store that is
	// never restored.
	Era        func() store.Era
	ObserveEra func(store.Era)
	// LendsOnly is set if the process spends no tokens itself, so that it can be settled
	// from its borrowers' reports when it dies.
	LendsOnly bool
	// Queueing makes requests wait for tokens that are reserved, in the order of their ranks.
	Queueing bool
	// Topology names the regions of the fleet's data centres.
	Topology datacentre.Topology
	// Metrics receives the counters; nil stands for a set of its own.
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// New returns the budgets of a process; it makes no calls to other processes.
func New(p Parts) *Budgets {
	s := p.Settings
	b := &Budgets{
		layout:  account.Layout{Prefix: PagePrefix, Pages: s.Pages},
		members: p.Members,
		limits:  p.Limits,
		timeout: time.Duration(s.StoreWait),
		wait:    time.Duration(s.Wait),
		log:     p.Log,
		era:     p.Era, observeEra: p.ObserveEra,
		regions: newRegionSet(p.Topology, p.Members), metrics: cmp.Or(p.Metrics, metrics.NewSet()), pageNotices: newPageNotices(),
		queueing: p.Queueing, scarceLots: make(chan struct{}, 1),
	}
	if b.era == nil {
		b.era, b.observeEra = func() store.Era { return 0 }, func(store.Era) {}
	}
	b.holder = grant.NewHolder(p.Incarnation, b.layout, grant.HorizonPolicy{
		Horizon: time.Duration(s.Horizon), LargestRequests: largestRequests, Share: maxHeldShare, Slack: heldSlack,
		MaxLoss: s.MaxLoss, MinHeld: s.MinHeld, StoreDegraded: b.storeDegraded, Refill: refillStep, Recovering: b.recovering, Role: b.role, StandbyHorizon: standbyHorizon, UsingStore: b.storeRequests.has,
		Regional: b.regionalPolicy(),
	})
	b.witness.ID = p.Incarnation
	b.holder.SetDemandWindow(time.Duration(s.DemandWindow))
	b.holder.UseMinimalRows(b.isForfeit)
	b.holder.SetUnsettled(b.unsettled.has)
	b.pages = &grant.StoreGranter{
		Holder: b.holder, Store: p.Store, Layout: b.layout, Timeout: b.timeout,
		CallTimeout: callTimeout, SyncTimeout: syncTimeout, Now: time.Now, Prepare: b.prepare,
		PageCacheTTL: pageCacheTTL, MaxFreshAge: maxFreshAge, OnTransfer: b.logTransfer, OnExhausted: b.logExhausted, OnSyncEnd: b.syncEnded,
		Era: b.era, OnClosed: b.reopening.closed.add,
		Timing: grant.Timing{Rebalance: time.Duration(s.Report), Report: time.Duration(s.Report),
			RemoveIdleAfter: removeIdleAfter, ExhaustedBackoff: exhaustedBackoff, LowBackoff: lowBackoff},
	}
	b.useRegions()
	if !p.LendsOnly {
		b.pages.OnTake = b.announceHoldings
	}
	if p.LendsOnly {
		b.registry = &settlement.BorrowerRegistry{Store: p.Store, Key: lendsPrefix + p.Incarnation, Era: b.era}
		b.exposure = b.newExposure()
	}
	b.endpoint = &lending.Endpoint{
		Holder: b.holder, Links: p.Links, Address: b.addressOf, Timeout: time.Duration(s.PeerWait), Now: time.Now,
		Limit: p.Limits.Get,
		Acquirer: &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{b}, Exposer: b.exposure,
			Queueing: b.queueing, OnWaited: b.recordWait},
	}
	peers := &grant.PeerGranter{Holder: b.holder, Lender: b, Peers: b.lendersFor, Timeout: time.Duration(s.PeerWait), Now: time.Now}
	if b.regions.several {
		peers.OtherRegions = b.lendersElsewhere
	}
	b.acquirer = &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{peers, b}}
	b.acquirer.Queueing = b.queueing
	if b.queueing {
		b.metrics.NewGauge("arbutusmill_budget_waiting_requests", func() float64 { return float64(b.holder.WaitingRequests()) })
	}
	return b
}

// Start starts a goroutine for each periodic task.
func (b *Budgets) Start(tasks *process.TaskGroup) {
	tasks.Every(syncInterval, b.syncOrProbe)
	tasks.Every(reopenInterval, b.openPages)
	tasks.Every(lotReturnInterval, b.returnLots)
	tasks.Every(auditInterval, b.endpoint.AuditLots)
	tasks.Every(settleInterval, b.settleBorrowers)
	tasks.Every(probeInterval, b.probePeers)
	tasks.Every(settleInterval, b.settleDeadLenders)
	tasks.Every(settleInterval, b.admitNewRouters)
	b.startExposure(tasks.Every)
	b.startQueueing(tasks)
	b.startRegional(tasks)
}

// State returns the tokens that the process holds, for dumps.
func (b *Budgets) State() any { return b.holder.State(time.Now()) }

// Reserve implements serving.Budgets.
func (b *Budgets) Reserve(ctx context.Context, r *serving.Request) (func(int64), *contract.Refusal) {
	maxTokens := r.MaxTokens()
	if maxTokens == 0 || r.Prepaid == 0 {
		return func(int64) {}, nil
	}
	var u grant.Urgency
	if b.queueing {
		u = urgency(time.Now(), r)
	}
	ctx, cancel := context.WithTimeout(grant.WithUrgency(ctx, u), b.wait+u.Wait)
	defer cancel()
	trace := &grant.Trace{}
	res, err := b.acquirer.Acquire(grant.WithTrace(ctx, trace), r.Team, maxTokens)
	if err != nil {
		b.requestEnded(r.Team)
		if grant.RetryAfter(err) == 0 { // no lender has said when
			err = b.withSettlementTime(r.Team, err)
		}
		refusal := budgetRefusal(r.Team, maxTokens, err)
		refusal.Detail = trace.String()
		return nil, refusal
	}
	return func(used int64) {
		b.holder.Settle(time.Now(), res, used)
		b.requestEnded(r.Team)
	}, nil
}

func budgetRefusal(team string, maxTokens int64, err error) *contract.Refusal {
	switch {
	case errors.Is(err, grant.ErrExhausted):
		return contract.Refuse(contract.BudgetExhausted, "the budget of %s does not cover %d tokens", team, maxTokens)
	case errors.Is(err, grant.ErrFenced):
		return contract.Refuse(contract.Fenced, "this router was replaced")
	}
	refusal := contract.Refuse(contract.BudgetUnreachable, "the tokens of %s cannot be reached now", team)
	if d := grant.RetryAfter(err); d > 0 {
		return refusal.WithRetryAfter(min(max(d, minRetryAfter), maxRetryAfter))
	}
	return refusal
}
