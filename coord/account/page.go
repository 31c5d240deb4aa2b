package account

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// ErrPageFull is returned when a new budget would bring its page near the
// store's value limit.
var ErrPageFull = errs.New("page is full; raise the number of pages for a new fleet")

// Page sizes. A page above PageFullBytes accepts no new budgets: the rows of its
// existing budgets need the space up to the store's limit of a megabyte. Without that
// space a grant or a settlement of an existing budget would fail, and its team would
// be refused although it did not change anything.
const (
	// PageFullBytes is the size above which a page accepts no new budget.
	PageFullBytes = store.MaxValueBytes / 2
)

// Page is the set of accounts that share one value in the store.
type Page struct {
	// Era is the store's era in which the page is known to hold all grants and all use. In a later era it may have been read from
	// an older copy: it is closed until all holders have confirmed their rows.
	Era      store.Era           `json:"era,omitempty"`
	Accounts map[string]*Account `json:"accounts"`
}

// Layout maps budgets to pages. It is fixed for the lifetime of a fleet.
type Layout struct {
	// Prefix is the key prefix of all pages.
	Prefix string
	// Pages is the number of pages.
	Pages int
}

// Key returns the store key of the budget's page.
func (l Layout) Key(budget string) string {
	return l.PageKey(rendezvous.Bucket(budget, l.Pages))
}

// PageKey returns the store key of the numbered page.
func (l Layout) PageKey(page int) string { return fmt.Sprintf("%s%05d", l.Prefix, page) }

// Decode decodes a page and rejects one that violates the invariant. An empty
// value is an empty page.
func Decode(value []byte) (*Page, error) {
	p := &Page{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, p); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if p.Accounts == nil {
		p.Accounts = map[string]*Account{}
	}
	return p, p.check()
}

// Encode encodes the page and rejects one that violates the invariant. Equal
// pages have equal encodings.
func (p *Page) Encode() ([]byte, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(p)
	return b, Error.Wrap(err)
}

// Closed reports whether tokens must not be granted from the page in an era.
func (p *Page) Closed(era store.Era) bool { return p.Era < era }

func (p *Page) check() error {
	for id, a := range p.Accounts {
		if a == nil {
			return Error.New("budget %q: account is null", id)
		}
		if err := a.Check(); err != nil {
			return Error.New("budget %q: %w", id, err)
		}
	}
	return nil
}

// Get returns the budget's account, or ErrNoAccount.
func (p *Page) Get(budget string) (*Account, error) {
	a := p.Accounts[budget]
	if a == nil {
		return nil, Error.New("budget %q: %w", budget, ErrNoAccount)
	}
	return a, nil
}

// AdminClient is the operators' access to the accounts of a fleet.
type AdminClient struct {
	Store  store.Store
	Layout Layout
}

// Load reads the page of a budget.
func (c AdminClient) Load(ctx context.Context, budget string) (*Page, error) {
	item, err := c.Store.Get(ctx, c.Layout.Key(budget))
	if err != nil {
		return nil, err
	}
	return Decode(item.Value)
}

// Get reads one account.
func (c AdminClient) Get(ctx context.Context, budget string) (*Account, error) {
	p, err := c.Load(ctx, budget)
	if err != nil {
		return nil, err
	}
	return p.Get(budget)
}

// Update applies change to the budget's account, and retries after conflicting writes
// until the result is durable. Change must be idempotent.
func (c AdminClient) Update(ctx context.Context, budget string, change func(*Account) error) error {
	return c.updatePage(ctx, budget, func(p *Page, _ int) error {
		a, err := p.Get(budget)
		if err != nil {
			return err
		}
		return change(a)
	})
}

// Create creates an empty budget for a team. It does nothing if the team's budget
// exists. Its errors include ErrExists and ErrPageFull.
func (c AdminClient) Create(ctx context.Context, budget, team string) error {
	return c.updatePage(ctx, budget, func(p *Page, size int) error {
		if a := p.Accounts[budget]; a != nil {
			if a.Team != team {
				return Error.New("budget %q: %w", budget, ErrExists)
			}
			return nil
		}
		if size > PageFullBytes {
			return Error.Wrap(ErrPageFull)
		}
		p.Accounts[budget] = &Account{Team: team}
		return nil
	})
}

// TopUp credits the budget once for each ID. When it returns nil the credit is
// durable.
func (c AdminClient) TopUp(ctx context.Context, budget, id string, tokens int64) error {
	return c.Update(ctx, budget, func(a *Account) error {
		_, err := a.TopUp(id, tokens)
		return err
	})
}

// Release frees forfeited tokens on an operator's order, once for each ID, and
// returns how many that order freed.
func (c AdminClient) Release(ctx context.Context, budget, id string, tokens int64) (int64, error) {
	var released int64
	err := c.Update(ctx, budget, func(a *Account) (err error) {
		released, err = a.Release(id, tokens)
		return err
	})
	return released, err
}

func (c AdminClient) updatePage(ctx context.Context, budget string, change func(p *Page, size int) error) error {
	_, err := store.Update(ctx, c.Store, c.Layout.Key(budget), func(old store.Item) ([]byte, error) {
		p, err := Decode(old.Value)
		if err != nil {
			return nil, err
		}
		if err := change(p, len(old.Value)); err != nil {
			return nil, err
		}
		return p.Encode()
	})
	return err
}
