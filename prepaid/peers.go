package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
)

func (b *Budgets) addressOf(incarnation string) (string, bool) { return b.members.Address(incarnation) }

// isDead reports whether an incarnation was replaced or has been unlisted for absenceTimeout.
func (b *Budgets) isDead(incarnation string) bool {
	vm, _, _ := strings.Cut(incarnation, "/")
	if b.members.Replaced(incarnation, vm) {
		return true
	}
	_, listed := b.members.Get(incarnation)
	return b.absent.heldFor(time.Now(), incarnation, !listed && !b.storeOutage.ongoing()) >= absenceTimeout
}

// hasEnded reports whether an incarnation has announced its end or is dead.
func (b *Budgets) hasEnded(incarnation string) bool {
	return b.endedLately.within(incarnation, recentRetention) || b.isDead(incarnation)
}

// role returns this process's role for a budget. Before the members are known it is not the
// primary: if every process of a new fleet assumed that role, each would hold tokens for large
// requests. A withdrawn process is neither primary nor standby, even for routers that have an
// older member list: it is about to end.
func (b *Budgets) role(budget string) grant.Role { return b.pageRole(b.layout.Key(budget)) }

func (b *Budgets) pageRole(page string) grant.Role {
	ranked := b.rankedLenders(page)
	switch {
	case b.members.Withdrawn():
		return grant.RoleBorrower
	case len(ranked) > 0 && ranked[0].VM == b.members.Self.VM:
		return grant.RolePrimary
	case b.regions.isPrimary(page):
		return grant.RoleRegional
	case b.lendRequests.within(page, standbyDuration):
		return grant.RoleStandby
	}
	return grant.RoleBorrower
}

// rankedLenders lists the candidates for the primary of a page, best first.
func (b *Budgets) rankedLenders(page string) []member.Member {
	if lenders := b.members.Rank(page, RoleLender); len(lenders) > 0 {
		return lenders
	}
	return b.members.Rank(page, RoleRouter)
}

// Methods returns the handlers of messages from other processes.
func (b *Budgets) Methods() map[string]link.Handler {
	m := b.endpoint.Methods()
	m[link.MethodConfirm] = link.Handle(b.confirm)
	m[link.MethodHoldings] = link.Handle(b.recordHoldings)
	m[link.MethodEnded] = link.Handle(b.recordEnded)
	m[link.MethodLimits] = link.Handle(b.applyWitnessNotice)
	m[link.MethodWitnessLimits] = link.Handle(b.answerLimits)
	lend := m[link.MethodLend]
	m[link.MethodLend] = func(ctx context.Context, params json.RawMessage) (any, error) {
		if b.members.Withdrawn() {
			// The borrower has an older member list. A lot lent now would have to be
			// returned before this process ends; the next ranked lender lends instead.
			return nil, grant.Error.Wrap(grant.ErrInsufficientTokens)
		}
		var in link.LendRequest
		if json.Unmarshal(params, &in) == nil { // otherwise lend returns the error
			b.lendRequests.record(b.layout.Key(in.Budget))
			b.limits.Record(in.Budget, in.Version, in.Limit)
			if err := b.ensureAdmitted(ctx, in.Borrower); err != nil {
				return nil, err
			}
		}
		lot, err := lend(ctx, params)
		b.recordRegionalLend(in, lot, err)
		return lot, b.withSettlementTime(in.Budget, err)
	}
	if b.regions.several {
		m[link.MethodPage] = link.Handle(b.observePage)
	}
	return m
}

// lendersFor lists the processes to ask for tokens of a budget. It is empty for the primary,
// which calls the store itself.
func (b *Budgets) lendersFor(budget string) []string {
	if regions := b.regions.of(b.layout.Key(budget)); len(regions) > 0 {
		local, _ := queriedLenders(b.regions.own(), regions)
		return local
	}
	ranked := b.rankedLenders(b.layout.Key(budget))
	var out []string
	for _, m := range ranked[:min(maxQueriedLenders, len(ranked))] {
		if m.VM == b.members.Self.VM {
			break // this process, or an earlier incarnation of it that is still listed
		}
		out = append(out, m.ID)
	}
	return out
}

// Lend implements grant.Lender. A peer that failed is not asked again until it answers a probe:
// each request that tried it would wait for a timeout. A late reply alone does not count as a
// failure: while the own link is saturated, all replies are late.
func (b *Budgets) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	o := b.peerOutages.of(peer)
	if o.ongoing() {
		return grant.Lot{}, link.Error.Wrap(link.ErrDown)
	}
	lot, err := b.endpoint.Lend(ctx, peer, budget, id, need, want)
	if errors.Is(err, context.DeadlineExceeded) {
		b.latePeers.add(peer)
		return lot, err
	}
	b.recordOutage(o, "member", peer, err, link.ErrDown)
	return lot, err
}

// probePeers probes the peers that failed or were late, and forgets those that are no longer
// listed.
func (b *Budgets) probePeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range slices.Compact(slices.Sorted(slices.Values(append(b.peerOutages.ongoing(), b.latePeers.drain()...)))) {
		if _, listed := b.members.Get(peer); !listed {
			b.peerOutages.forget(peer)
			continue
		}
		wg.Go(func() { b.probePeer(ctx, peer) })
	}
	wg.Wait()
}

func (b *Budgets) probePeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	b.recordOutage(b.peerOutages.of(peer), "member", peer, b.endpoint.Probe(ctx, peer), link.ErrDown)
}

// returnLots returns unused lots to their lenders.
func (b *Budgets) returnLots(ctx context.Context) { b.endpoint.ReturnLots(ctx, lotIdleTime) }
