package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
)

// The use of a lender that has ended is reported by its borrowers. A router that takes tokens from the store itself, because it
// reaches no lender or there is none, has no borrowers. It sends its holdings to two other routers before it uses them, so
// that they are known if it ends and the store loses the grant.

const (
	// holdingsTimeout bounds the messages; the tokens are used after it in any case, since a router that reaches nobody still has to
	// serve.
	holdingsTimeout = 100 * time.Millisecond
	// holdingsKeepers is the number of routers that receive the holdings of one.
	holdingsKeepers = 2
	// holdingsRetention is how long holdings of others are kept: longer than copies of the store are old. holdingsPruneInterval is
	// the pause between two looks for older ones.
	holdingsRetention     = 10 * time.Minute
	holdingsPruneInterval = time.Minute
)

// heldKey names what a router holds of one budget.
type heldKey struct{ holder, page, budget string }

// heldTokens is the most that the router can have used.
type heldTokens struct {
	at   time.Time
	most int64
}

// holdings keeps the holdings that other routers have sent. It is safe for concurrent use; the zero value is empty.
type holdings struct {
	mu     sync.Mutex
	byKey  map[heldKey]heldTokens
	pruned time.Time
}

func (h *holdings) record(now time.Time, in link.HoldingsNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byKey == nil {
		h.byKey = map[heldKey]heldTokens{}
	}
	if now.Sub(h.pruned) >= holdingsPruneInterval {
		maps.DeleteFunc(h.byKey, func(_ heldKey, held heldTokens) bool { return now.Sub(held.at) > holdingsRetention })
		h.pruned = now
	}
	for budget, c := range in.Rows {
		key := heldKey{in.Holder, in.Page, budget}
		h.byKey[key] = heldTokens{now, max(c.Most(), h.byKey[key].most)}
	}
}

// list returns the most that each router can have used, by page and budget.
func (h *holdings) list(pages []string) map[string]map[string]map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]map[string]int64{}
	for key, held := range h.byKey {
		if slices.Contains(pages, key.page) {
			addMost(out, key.holder, key.page, key.budget, held.most)
		}
	}
	return out
}

// addMost raises the most that a holder can have used of a budget.
func addMost(all map[string]map[string]map[string]int64, holder, page, budget string, most int64) {
	if all[holder] == nil {
		all[holder] = map[string]map[string]int64{}
	}
	if all[holder][page] == nil {
		all[holder][page] = map[string]int64{}
	}
	all[holder][page][budget] = max(all[holder][page][budget], most)
}

// announceHoldings sends this router's holdings of a page to others, and returns once one of them has accepted them, or after
// holdingsTimeout.
func (b *Budgets) announceHoldings(ctx context.Context, page string, rows map[string]account.Confirmation) {
	ctx, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	notice := link.HoldingsNotice{Holder: b.holder.ID(), Page: page, Rows: rows}
	keepers := b.holdingsKeepers()
	accepted := make(chan bool, len(keepers))
	for _, m := range keepers {
		go func() {
			err := b.endpoint.AnnounceHoldings(context.WithoutCancel(ctx), m.Address, notice, holdingsTimeout)
			if err != nil {
				b.log.Warn().Err(err).Str("member", m.ID).Str("page", page).Msg("holdings_not_announced") // the other one may have accepted them
			}
			accepted <- err == nil
		}()
	}
	for range keepers {
		select {
		case ok := <-accepted:
			if ok {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// holdingsKeepers returns the routers that receive this one's holdings.
func (b *Budgets) holdingsKeepers() (out []member.Member) {
	for _, m := range b.members.Rank(b.holder.ID(), RoleRouter) {
		if m.VM != b.members.Self.VM && !b.isUnreachable(m.ID) && len(out) < holdingsKeepers {
			out = append(out, m)
		}
	}
	return out
}

func (b *Budgets) recordHoldings(_ context.Context, in link.HoldingsNotice) (link.Empty, error) {
	b.holdings.record(time.Now(), in)
	return link.Empty{}, nil
}
