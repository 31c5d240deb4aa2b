package catalog

import "sync/atomic"

// Current is the table in force in a process. Versions only rise within its life.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// UpdateIfNewer puts a table in force if its version is higher than the one in force, and
// reports whether it did. A read that is answered late, by a slow store or on another
// connection, would otherwise put an older version in force again: callers would see
// a route or key return that was taken away.
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
