package prepaid

import (
	"sync"

	"github.com/arbutusmill/arbutusmill/catalog"
)

// Configured implements Limits with the limits of the active configuration.
type Configured struct{ Catalog *catalog.Current }

// Each implements Limits.
func (c Configured) Each(f func(budget string, version, tokens int64)) {
	t := c.Catalog.Load()
	if t == nil {
		return
	}
	for _, team := range t.Teams {
		if team.Prepaid > 0 {
			f(team.Name, t.Version, team.Prepaid)
		}
	}
}

// Of implements Limits.
func (c Configured) Of(budget string) (version, tokens int64) {
	t := c.Catalog.Load()
	if t == nil {
		return 0, 0
	}
	team := t.TeamNamed(budget)
	if team == nil {
		return 0, 0
	}
	return t.Version, team.Prepaid
}

// Note implements Limits and does nothing: this process reads the configuration itself.
func (Configured) Note(string, int64, int64) {}

// Told implements Limits with limits that came with the requests of other processes. A process
// that only lends needs no copy of the configuration: each request for tokens includes the limit
// and the version that sets it. It is safe for concurrent use; the zero value is empty.
type Told struct {
	mu      sync.Mutex
	budgets map[string]limit
}

type limit struct{ version, tokens int64 }

// Note implements Limits. It ignores a limit that is not newer than the recorded one: a router
// with an outdated configuration would otherwise revert a newer limit.
func (t *Told) Note(budget string, version, tokens int64) {
	if version <= 0 || tokens <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.budgets == nil {
		t.budgets = map[string]limit{}
	}
	if t.budgets[budget].version < version {
		t.budgets[budget] = limit{version, tokens}
	}
}

// Each implements Limits.
func (t *Told) Each(f func(budget string, version, tokens int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for budget, l := range t.budgets {
		f(budget, l.version, l.tokens)
	}
}

// Of implements Limits.
func (t *Told) Of(budget string) (version, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.budgets[budget]
	return l.version, l.tokens
}
