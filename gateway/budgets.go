package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
)

// pagePrefix begins the keys of the budget pages in the store.
const pagePrefix = "arbutusmill/budget/"

// How tokens are held; see grant.HorizonPolicy.
const (
	// heldWorsts is how many of the largest recent requests a router keeps room for.
	heldWorsts = 2
	// heldFloor is held of budgets that only other routers draw on: about one
	// large prompt.
	heldFloor = 30_000
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
	// downFor is the time after a failed call in which requests do not wait for
	// the store: it has just been tried.
	downFor = 500 * time.Millisecond
)

// budgets implements serving.Budgets over the accounts in the store.
type budgets struct {
	holder   *grant.Holder
	pages    *grant.StoreGranter
	acquirer *grant.Acquirer
	layout   account.Layout
	catalog  *catalog.Current
	timeout  time.Duration
	log      zerolog.Logger

	mu     sync.Mutex
	failed time.Time // when the store last did not answer
}

func newBudgets(life string, s settings.GatewayBudgets, st store.Store, c *catalog.Current, log zerolog.Logger) *budgets {
	b := &budgets{
		layout:  account.Layout{Prefix: pagePrefix, Pages: s.Pages},
		catalog: c,
		timeout: time.Duration(s.StoreWait),
		log:     log,
	}
	b.holder = grant.NewHolder(life, b.layout, grant.HorizonPolicy{
		Horizon: time.Duration(s.Horizon), Worsts: heldWorsts, Floor: heldFloor, Slack: heldSlack,
	})
	b.holder.AverageDemand(time.Duration(s.DemandWindow))
	b.pages = &grant.StoreGranter{
		Holder: b.holder, Store: st, Layout: b.layout, Timeout: b.timeout, Now: time.Now, Prepare: b.prepare,
		Timing: grant.Timing{Rebalance: time.Duration(s.Report), Report: time.Duration(s.Report),
			Fold: foldAfter, Empty: emptyFor, LowPause: lowPause},
	}
	b.acquirer = &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{b}}
	return b
}

// prepare brings the accounts of a page up to the configuration.
func (b *budgets) prepare(key string, p *account.Page) bool {
	t := b.catalog.Load()
	if t == nil {
		return false
	}
	changed := false
	for _, team := range t.Teams {
		if team.Prepaid == 0 || b.layout.Key(team.Name) != key {
			continue
		}
		a := p.Accounts[team.Name]
		if a == nil {
			a = &account.Account{Team: team.Name}
			p.Accounts[team.Name] = a
		}
		changed = a.SetPrepaid(t.Version, team.Prepaid) || changed
	}
	return changed
}

// Obtain implements grant.Granter: the store, unless it just failed.
func (b *budgets) Obtain(ctx context.Context, budget string, lack int64) error {
	if b.down() {
		return grant.Error.Wrap(grant.ErrUnreachable)
	}
	err := b.pages.Obtain(ctx, budget, lack)
	b.note(err)
	return err
}

func (b *budgets) down() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.failed.IsZero() && time.Since(b.failed) < downFor
}

// note keeps whether the store answers.
func (b *budgets) note(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := !b.failed.IsZero()
	if !errors.Is(err, store.ErrUnknown) {
		b.failed = time.Time{}
		if was {
			b.log.Info().Msg("budgets_regained")
		}
		return
	}
	b.failed = time.Now()
	if !was {
		b.log.Warn().Err(err).Msg("budgets_lost")
	}
}

// run keeps the pages in step until the context ends.
func (b *budgets) run(ctx context.Context) {
	t := time.NewTicker(syncPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.sync(ctx, b.holder.Due(time.Now()))
		}
	}
}

// place looks at all pages, so that this router holds tokens of budgets that are used
// elsewhere before a cut and not after it began.
func (b *budgets) place(ctx context.Context) {
	keys := make([]string, b.layout.Pages)
	for i := range keys {
		keys[i] = b.layout.KeyOf(i)
	}
	b.sync(ctx, keys)
}

func (b *budgets) sync(ctx context.Context, keys []string) {
	for _, key := range keys {
		ctx, cancel := context.WithTimeout(ctx, b.timeout)
		err := b.pages.Sync(ctx, key)
		cancel()
		b.note(err)
		if err != nil {
			b.holder.Postpone(time.Now(), key)
		}
	}
}

// giveBack returns everything that is not reserved; it is the end of a planned stop.
func (b *budgets) giveBack(ctx context.Context) error {
	b.holder.ReturnAll()
	for _, key := range b.holder.Pages() {
		if err := b.pages.Sync(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// Reserve implements serving.Budgets.
func (b *budgets) Reserve(ctx context.Context, r *serving.Request) (func(int64), *contract.Refusal) {
	worst := r.Worst()
	if worst == 0 || r.Prepaid == 0 {
		return func(int64) {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
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
