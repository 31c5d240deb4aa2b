package account

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// ErrPageFull says that a new budget would bring its page near the store's
// value limit.
var ErrPageFull = errs.New("page is full; raise the number of pages for a new fleet")

// Page sizes. A page that is near the megabyte takes no new budgets, because
// the rows of those that it has still need room: without that a grant or a
// settlement of an old budget would fail, which shows as refusals of teams that
// did nothing. Between the marks lies room for the rows of a page's busy budgets.
const (
	// PageFullBytes is the size from which a page takes no new budget.
	PageFullBytes = store.MaxValueBytes / 2
)

// Page is the set of accounts that share one value of the store.
type Page struct {
	Accounts map[string]*Account `json:"accounts"`
}

// Layout tells which page a budget is in. It is fixed for the life of a fleet.
type Layout struct {
	// Prefix is the key prefix of all pages.
	Prefix string
	// Pages is their number.
	Pages int
}

// Key returns the store key of the budget's page.
func (l Layout) Key(budget string) string {
	return l.PageKey(rendezvous.Bucket(budget, l.Pages))
}

// PageKey returns the store key of the numbered page.
func (l Layout) PageKey(page int) string { return fmt.Sprintf("%s%05d", l.Prefix, page) }

// Decode reads a page and refuses one that breaks the invariant. A nil value
// is an empty page.
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

// Encode writes a page; it refuses one that breaks the invariant. The bytes
// are the same for equal pages.
func (p *Page) Encode() ([]byte, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(p)
	return b, Error.Wrap(err)
}

func (p *Page) check() error {
	for id, a := range p.Accounts {
		if a == nil {
			return Error.New("budget %q: empty account", id)
		}
		if err := a.Check(); err != nil {
			return Error.New("budget %q: %w", id, err)
		}
	}
	return nil
}

// Get returns the budget's account.
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
func (b AdminClient) Load(ctx context.Context, budget string) (*Page, error) {
	item, err := b.Store.Get(ctx, b.Layout.Key(budget))
	if err != nil {
		return nil, err
	}
	return Decode(item.Value)
}

// Get reads one account.
func (b AdminClient) Get(ctx context.Context, budget string) (*Account, error) {
	p, err := b.Load(ctx, budget)
	if err != nil {
		return nil, err
	}
	return p.Get(budget)
}

// Update applies change to the budget's account until it is durable. Change
// must be idempotent.
func (b AdminClient) Update(ctx context.Context, budget string, change func(*Account) error) error {
	return b.updatePage(ctx, budget, func(p *Page, _ int) error {
		a, err := p.Get(budget)
		if err != nil {
			return err
		}
		return change(a)
	})
}

// Create makes an empty budget for a team. Making it again is no error.
func (b AdminClient) Create(ctx context.Context, budget, team string) error {
	return b.updatePage(ctx, budget, func(p *Page, size int) error {
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

// TopUp credits the budget, once for each id; when it returns nil the credit is
// durable.
func (b AdminClient) TopUp(ctx context.Context, budget, id string, tokens int64) error {
	return b.Update(ctx, budget, func(a *Account) error {
		_, err := a.TopUp(id, tokens)
		return err
	})
}

// Release gives forfeited tokens back by an operator's order, once for each id.
func (b AdminClient) Release(ctx context.Context, budget, id string, tokens int64) (int64, error) {
	var given int64
	err := b.Update(ctx, budget, func(a *Account) (err error) {
		given, err = a.Release(id, tokens)
		return err
	})
	return given, err
}

func (b AdminClient) updatePage(ctx context.Context, budget string, change func(p *Page, size int) error) error {
	_, err := store.Update(ctx, b.Store, b.Layout.Key(budget), func(old store.Item) ([]byte, error) {
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
