package router

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/lending"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/vm"
)

// auditIdlePeriods is the interval between audits of lent lots, in multiples of budgets.lot_idle.
const auditIdlePeriods = 12

// makeHolder creates the holder and the chain of sources of more tokens: the store,
// then other routers, nearest first. A router that is not one of its data centre's
// holders of a page asks those holders before the store.
func (r *Router) makeHolder() {
	b := r.base.Settings.Budgets
	r.holder = grant.NewHolder(r.base.Incarnation, r.layout, policyOf(b))
	r.endpoint = &lending.Endpoint{Holder: r.holder, Links: r.base.Links, Address: r.addressOf, Timeout: linkTimeout, Now: time.Now}
	timing := grant.DefaultTiming()
	timing.Rebalance, timing.Report = time.Duration(b.Rebalance), time.Duration(b.Report)
	r.storeGranter = &grant.StoreGranter{Holder: r.holder, Store: r.base.Store, Layout: r.layout, Timing: timing,
		Timeout: storeTimeout, Now: time.Now}
	peers := func(list func(string) []string) *grant.PeerGranter {
		return &grant.PeerGranter{Holder: r.holder, Lender: lender{r}, Peers: list,
			Timeout: time.Duration(b.PeerTimeout), Now: time.Now}
	}
	r.acquirer = &grant.Acquirer{Holder: r.holder, Now: time.Now, Chain: []grant.Granter{
		peers(r.primaryLenders), r.storeGranter, peers(r.otherLenders),
	}}
}

func policyOf(b settings.Budgets) grant.Policy {
	p := grant.FavourAvailability()
	if b.Favour == settings.FavourExactness {
		p = grant.FavourExactness()
	}
	p.MinDemand = b.AdoptFrom
	return p
}

// holders lists the routers of this data centre that hold grants of a page directly.
func (r *Router) holders(page string) []vm.VM {
	var local []vm.VM
	for _, m := range r.base.View.Routers() {
		if m.Datacentre == r.base.Settings.Datacentre {
			local = append(local, m)
		}
	}
	ranked := r.topology.SortByDistance(page, local)
	return ranked[:min(len(ranked), r.base.Settings.Budgets.HoldersPerDatacentre)]
}

// holdsPage reports whether this router holds grants of the page directly. It does while
// no router of the data centre is listed, so that a new fleet can start.
func (r *Router) holdsPage(page string) bool {
	list := r.holders(page)
	for _, m := range list {
		if m.ID == r.base.Settings.VM {
			return true
		}
	}
	return len(list) == 0
}

// primaryLenders returns the holders to ask first; none if this router holds the page itself.
func (r *Router) primaryLenders(budget string) []string {
	page := r.layout.Key(budget)
	if r.holdsPage(page) {
		return nil
	}
	return ids(r.holders(page))
}

// maxOtherLenders is the maximum number of other routers that one request asks for tokens.
const maxOtherLenders = 8

// otherLenders returns the nearest other routers, without the primary lenders.
func (r *Router) otherLenders(budget string) []string {
	asked := map[string]bool{r.base.Settings.VM: true}
	for _, id := range r.primaryLenders(budget) {
		asked[id] = true
	}
	var out []string
	for _, m := range r.topology.SortByDistance(budget, r.base.View.Routers()) {
		if !asked[m.ID] && len(out) < maxOtherLenders {
			out = append(out, m.ID)
		}
	}
	return out
}

func ids(list []vm.VM) []string {
	out := make([]string, len(list))
	for i, m := range list {
		out[i] = m.ID
	}
	return out
}

// lender borrows lots from other routers and counts them.
type lender struct{ r *Router }

// Lend implements grant.Lender.
func (l lender) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	lot, err := l.r.endpoint.Lend(ctx, peer, budget, id, need, want)
	if err == nil {
		l.r.metrics.borrowedLots.Inc()
	}
	return lot, err
}

// addressOf returns the link address of a router, by the name of its VM or of one of its
// incarnations.
func (r *Router) addressOf(name string) (string, bool) {
	m, ok := r.base.View.Get(vm.IDOf(name))
	return m.Link, ok
}

// directHolders returns the number of routers of the fleet that hold grants of one page.
func (r *Router) directHolders() int {
	byDC := map[string]int{}
	for _, m := range r.base.View.Routers() {
		byDC[m.Datacentre]++
	}
	n := 0
	for _, routers := range byDC {
		n += min(routers, r.base.Settings.Budgets.HoldersPerDatacentre)
	}
	return n
}

// syncDuePages syncs the pages that are due.
func (r *Router) syncDuePages(ctx context.Context) {
	r.holder.SetExpectedHolders(r.directHolders())
	for _, key := range r.holder.Due(time.Now()) {
		r.syncPage(ctx, key)
	}
	if r.holder.Fenced() {
		r.handleFenced()
	}
}

func (r *Router) syncPage(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.base.Settings.Platform.Timeout))
	defer cancel()
	err := r.storeGranter.Sync(ctx, key)
	switch {
	case err == nil:
		r.metrics.syncs.Inc()
	case errors.Is(err, grant.ErrFenced):
	default:
		r.metrics.syncErrors.Inc()
		r.holder.Postpone(time.Now(), key)
		r.log.Warn().Err(err).Str("page", key).Msg("page_sync_failed")
	}
}

// placeTokens syncs each page that this router holds, so that it has its share of the
// budgets in use elsewhere before a partition starts.
func (r *Router) placeTokens(ctx context.Context) {
	r.holder.SetExpectedHolders(r.directHolders())
	for page := range r.layout.Pages {
		key := r.layout.PageKey(page)
		if !r.holdsPage(key) {
			continue
		}
		r.syncPage(ctx, key)
		_ = backoff.Sleep(ctx, backoff.Jitter(budgetSyncInterval)) // if ctx has ended, the next sync fails
	}
}

// returnLots returns idle lots to their lenders.
func (r *Router) returnLots(ctx context.Context) {
	r.endpoint.ReturnLots(ctx, time.Duration(r.base.Settings.Budgets.LotIdle))
}

// returnTokens returns all lots and grants. It reports whether the holder has none left.
func (r *Router) returnTokens(ctx context.Context) bool {
	r.holder.ReturnAll()
	r.returnLots(ctx)
	for _, key := range r.holder.Pages() {
		r.syncPage(ctx, key)
	}
	return r.holder.Empty()
}

// handleFenced ends this incarnation: other routers recover its tokens, or have done so.
// Run returns ErrFenced, and the process supervisor starts the next incarnation. Until
// then requests are refused as not run, which is correct.
func (r *Router) handleFenced() {
	r.fencedOnce.Do(func() {
		r.log.Error().Str("incarnation", r.base.Incarnation).Msg("fenced")
		r.base.Admin.SetReady(false)
		close(r.fenced)
	})
}
