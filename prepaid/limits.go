package prepaid

import (
	"sync"

	"github.com/arbutusmill/arbutusmill/catalog"
)

// ConfiguredLimits implements Limits with the limits of the active configuration.
type ConfiguredLimits struct{ Catalog *catalog.Current }

// Each implements Limits.
func (c ConfiguredLimits) Each(f func(budget string, version, tokens int64)) {
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

// Get implements Limits.
func (c ConfiguredLimits) Get(budget string) (version, tokens int64) {
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

// Record implements Limits and does nothing: this process reads the configuration itself.
func (ConfiguredLimits) Record(string, int64, int64) {}

// ReportedLimits implements Limits with limits that came with the requests of other processes. A
// process that only lends needs no copy of the configuration: each request for tokens includes the
// limit and the version that sets it. It is safe for concurrent use; the zero value is empty.
type ReportedLimits struct {
	mu      sync.Mutex
	budgets map[string]limit
}

type limit struct{ version, tokens int64 }

// Record implements Limits. It ignores a limit that is not newer than the recorded one: a router
// with an outdated configuration would otherwise revert a newer limit.
func (r *ReportedLimits) Record(budget string, version, tokens int64) {
	if version <= 0 || tokens <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = map[string]limit{}
	}
	if r.budgets[budget].version < version {
		r.budgets[budget] = limit{version, tokens}
	}
}

// Each implements Limits.
func (r *ReportedLimits) Each(f func(budget string, version, tokens int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for budget, l := range r.budgets {
		f(budget, l.version, l.tokens)
	}
}

// Get implements Limits.
func (r *ReportedLimits) Get(budget string) (version, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.budgets[budget]
	return l.version, l.tokens
}
