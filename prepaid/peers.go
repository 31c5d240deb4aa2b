package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
)

func (b *Budgets) addressOf(life string) (string, bool) { return b.members.Address(life) }

// isDead reports whether a life is known to be over.
func (b *Budgets) isDead(life string) bool {
	vm, _, _ := strings.Cut(life, "/")
	if b.members.Replaced(life, vm) {
		return true
	}
	_, listed := b.members.Get(life)
	return b.gone.since(time.Now(), life, !listed && !b.store.lasts()) >= goneFor
}

// role is what this process is to a budget. Before the members are known it is no home:
// if every one of a new fleet took itself for the home, each would hold room for large
// requests. One that stepped aside is none either, nor a stand-in for routers that have
// an older list: it is about to end.
func (b *Budgets) role(budget string) grant.Role { return b.pageRole(b.layout.Key(budget)) }

func (b *Budgets) pageRole(page string) grant.Role {
	ranked := b.ranked(page)
	switch {
	case b.members.Withdrawn():
		return grant.RoleBorrower
	case len(ranked) > 0 && ranked[0].VM == b.members.Self.VM:
		return grant.RolePrimary
	case b.asked.within(page, standInFor):
		return grant.RoleStandby
	}
	return grant.RoleBorrower
}

// ranked lists who should be the home of a page, best first.
func (b *Budgets) ranked(page string) []member.Member {
	if lenders := b.members.Rank(page, RoleLender); len(lenders) > 0 {
		return lenders
	}
	return b.members.Rank(page, RoleRouter)
}

// Methods answers the messages of other processes.
func (b *Budgets) Methods() map[string]link.Handler {
	m := b.desk.Methods()
	m[link.MethodLimits] = link.Handle(b.noteLimits)
	m[link.MethodTestify] = link.Handle(b.testify)
	lend := m[link.MethodLend]
	m[link.MethodLend] = func(ctx context.Context, params json.RawMessage) (any, error) {
		if b.members.Withdrawn() {
			// Whoever asks has an older list. What is lent now would have to come
			// back before this process ends; the next one in the order lends.
			return nil, grant.Error.Wrap(grant.ErrInsufficientTokens)
		}
		var in link.LendRequest
		if json.Unmarshal(params, &in) == nil { // if not, lend says what is wrong
			b.asked.note(b.layout.Key(in.Budget))
			b.limits.Note(in.Budget, in.Version, in.Limit)
			if err := b.admit(ctx, in.Borrower); err != nil {
				return nil, err
			}
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
		b.late.add(peer)
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
		b.log.Warn().Str("borrower", borrower).Int("lots", len(lots)).Msg("lots_of_gone_member_counted_as_used")
	}
}
