package catalog

import "sync/atomic"

// Current holds the active table of a process. Its version never decreases while the process runs.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the active table, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// UpdateIfNewer activates a table if its version is higher than that of the active one, and reports
// whether it did. Otherwise a late response, from a slow store or on another connection, could
// reactivate an older version: callers would see a removed route or key return.
func (c *Current) UpdateIfNewer(t *Table) bool {
	for {
		have := c.table.Load()
		if have != nil && have.Version >= t.Version {
			return false
		}
		if c.table.CompareAndSwap(have, t) {
			return true
		}
	}
}
