package grant

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// A restored store lacks grants that holders are spending. So a page is closed in each new era: nothing is granted
// from it until every process that may hold some of it has confirmed what it holds.

func (g *StoreGranter) era() store.Era {
	if g.Era == nil {
		return 0
	}
	return g.Era()
}

// Confirm returns the holder's rows on a page, by budget. It waits for a sync in flight, which may still take
// tokens; while the page is closed no later one does.
func (g *StoreGranter) Confirm(ctx context.Context, key string) (map[string]account.Confirmation, error) {
	g.mu.Lock()
	running := g.syncCalls[key]
	g.mu.Unlock()
	if running != nil {
		if err := running.wait(ctx); errors.Is(err, ErrUnreachable) && ctx.Err() != nil {
			return nil, err
		}
	}
	return g.Holder.confirm(g.Now(), key), nil
}

// ReadPage reads a page, past the cache.
func (g *StoreGranter) ReadPage(ctx context.Context, key string) (store.Item, *account.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, g.CallTimeout)
	defer cancel()
	item, err := g.Store.Get(ctx, key)
	if err != nil {
		return item, nil, err
	}
	page, err := account.Decode(item.Value)
	return item, page, err
}

// WritePage writes a page that was read by ReadPage.
func (g *StoreGranter) WritePage(ctx context.Context, item store.Item, page *account.Page) error {
	if g.Prepare != nil {
		g.Prepare(item.Key, page)
	}
	value, err := page.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.CallTimeout)
	defer cancel()
	_, err = g.Store.CompareAndSwap(ctx, item.Key, item.Revision, value, 0)
	g.dropPage(item.Key)
	return err
}

// confirm returns the holder's rows on a page, by budget.
func (h *Holder) confirm(now time.Time, key string) map[string]account.Confirmation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]account.Confirmation{}
	for budget, settled := range h.removedSettled {
		if h.pageOf(budget) == key {
			out[budget] = account.Confirmation{Removed: settled}
		}
	}
	for budget, b := range h.pages[key] {
		if b.granted == 0 {
			continue
		}
		row := h.reportLocked(now, b)
		c := out[budget]
		c.Row = &row
		out[budget] = c
	}
	return out
}

// taken returns the holder's rows of the budgets of which it has just taken tokens, as they will be.
func (h *Holder) taken(commits []commit) map[string]account.Confirmation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]account.Confirmation{}
	for _, c := range commits {
		if c.tookTokens && !c.rowRemoved {
			row := c.row
			row.Granted = c.granted
			out[c.budget.name] = account.Confirmation{Row: &row, Removed: h.removedSettled[c.budget.name]}
		}
	}
	return out
}
