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

// auditRounds is the number of idle times after which lent lots are asked about.
const auditRounds = 12

// makeHolder makes the holder and the ways to more tokens, in their order: the
// store, then peers, nearest first. A router that is not one of its data centre's
// holders of a page asks those holders before the store.
func (r *Router) makeHolder() {
	b := r.base.Settings.Budgets
	r.holder = grant.NewHolder(r.base.Incarnation, r.layout, policyOf(b))
	r.desk = &lending.Desk{Holder: r.holder, Links: r.base.Links, Address: r.addressOf, Timeout: linkTimeout, Now: time.Now}
	timing := grant.DefaultTiming()
	timing.Rebalance, timing.Report = time.Duration(b.Rebalance), time.Duration(b.Report)
	r.pages = &grant.StoreGranter{Holder: r.holder, Store: r.base.Store, Layout: r.layout, Timing: timing,
		Timeout: storeTimeout, Now: time.Now}
	peers := func(list func(string) []string) *grant.PeerGranter {
		return &grant.PeerGranter{Holder: r.holder, Lender: lender{r}, Peers: list,
			Timeout: time.Duration(b.PeerTimeout), Now: time.Now}
	}
	r.acquirer = &grant.Acquirer{Holder: r.holder, Now: time.Now, Chain: []grant.Granter{
		peers(r.homes), r.pages, peers(r.others),
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

// holders lists the routers of this data centre that hold grants of a page
// themselves.
func (r *Router) holders(page string) []vm.VM {
	var here []vm.VM
	for _, m := range r.base.View.Routers() {
		if m.Datacentre == r.base.Settings.Datacentre {
			here = append(here, m)
		}
	}
	ranked := r.places.Nearest(page, here)
	return ranked[:min(len(ranked), r.base.Settings.Budgets.HoldersPerDatacentre)]
}

// holdsPage reports whether this router holds grants of the page itself. One that
// is not listed yet does, so that a new fleet can start.
func (r *Router) holdsPage(page string) bool {
	list := r.holders(page)
	for _, m := range list {
		if m.ID == r.base.Settings.VM {
			return true
		}
	}
	return len(list) == 0
}

// homes are the holders to ask first, for a router that is none itself.
func (r *Router) homes(budget string) []string {
	page := r.layout.Key(budget)
	if r.holdsPage(page) {
		return nil
	}
	return ids(r.holders(page))
}

// askedPeers bounds the peers that one request asks for tokens.
const askedPeers = 8

// others are the nearest other routers, the homes left out.
func (r *Router) others(budget string) []string {
	asked := map[string]bool{r.base.Settings.VM: true}
	for _, id := range r.homes(budget) {
		asked[id] = true
	}
	var out []string
	for _, m := range r.places.Nearest(budget, r.base.View.Routers()) {
		if !asked[m.ID] && len(out) < askedPeers {
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

// lender asks other routers for lots, and counts those that it got.
type lender struct{ r *Router }

// Lend implements grant.Lender.
func (l lender) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	lot, err := l.r.desk.Lend(ctx, peer, budget, id, need, want)
	if err == nil {
		l.r.metrics.lots.Inc()
	}
	return lot, err
}

// addressOf returns where a router answers, by its VM or one of its incarnations.
func (r *Router) addressOf(name string) (string, bool) {
	m, ok := r.base.View.Get(vm.IDOf(name))
	return m.Link, ok
}

// directHolders counts the routers of the fleet that hold grants of one page.
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

// syncDue syncs the pages that want it.
func (r *Router) syncDue(ctx context.Context) {
	r.holder.SetExpectedHolders(r.directHolders())
	for _, key := range r.holder.Due(time.Now()) {
		r.syncPage(ctx, key)
	}
	if r.holder.Fenced() {
		r.fencedOut()
	}
}

func (r *Router) syncPage(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.base.Settings.Platform.Timeout))
	defer cancel()
	err := r.pages.Sync(ctx, key)
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

// placeTokens looks at each page, so that this router holds its share of the
// budgets that others use before a partition needs it.
func (r *Router) placeTokens(ctx context.Context) {
	r.holder.SetExpectedHolders(r.directHolders())
	for page := range r.layout.Pages {
		key := r.layout.PageKey(page)
		if !r.holdsPage(key) {
			continue
		}
		r.syncPage(ctx, key)
		_ = backoff.Sleep(ctx, backoff.Jitter(dutyInterval)) // the next page's calls see a context that ended
	}
}

// returnLots gives idle lots back to their lenders.
func (r *Router) returnLots(ctx context.Context) {
	r.desk.ReturnLots(ctx, time.Duration(r.base.Settings.Budgets.LotIdle))
}

// giveBack returns all lots and grants; it reports whether nothing is left here.
func (r *Router) giveBack(ctx context.Context) bool {
	r.holder.ReturnAll()
	r.returnLots(ctx)
	for _, key := range r.holder.Pages() {
		r.syncPage(ctx, key)
	}
	return r.holder.Empty()
}

// fencedOut ends this life: its tokens were, or will be, recovered by others. The
// process ends with ErrFenced, and whoever keeps it running starts its next life.
// Requests are refused with a true "not run" until then.
func (r *Router) fencedOut() {
	r.fencedOnce.Do(func() {
		r.log.Error().Str("incarnation", r.base.Incarnation).Msg("fenced")
		r.base.Admin.SetReady(false)
		close(r.fenced)
	})
}
