// Package lapse decides why entries under leases are missing after the store was unreachable:
// either their leases expired because of that while their owners are alive, or the entries
// were removed. A process cannot distinguish an outage of the store from a loss of its own
// connections; the entries that still exist show which it was.
package lapse

import "time"

// lapsedShare is the share of the entries known before a loss of the store that must be
// missing after it for these to count as lapsed. All owners renew their leases equally often,
// so an outage that ends one lease ends nearly all of them. A process that merely lost its own
// connections finds most entries unchanged: the missing ones have left, and requests routed
// to them would fail when they end.
const lapsedShare = 0.75

// Detector decides for the entries under one prefix. The zero value has recorded no loss. It is
// not safe for concurrent use.
type Detector struct {
	// graceEnd is the end of the grace period after the last loss.
	graceEnd time.Time
	// surviving counts the entries whose leases outlasted that loss, missing those known before it
	// whose leases did not, whether or not their owners created them again.
	surviving, missing int
}

// StartGrace starts a grace period with the first read after a loss of the store. During it,
// entries may be missing because of the loss, and live owners recreate theirs. If the grace
// period of an earlier loss is not over, the entries missing because of that loss still count.
func (d *Detector) StartGrace(now time.Time, grace time.Duration) {
	if !d.InGrace(now) {
		d.missing = 0
	}
	d.graceEnd = now.Add(grace)
}

// RecordRead records what a read shows of the entries known before: how many of them still exist as
// they were created, so that their leases have not run out, and how many were created again.
func (d *Detector) RecordRead(surviving, recreated int) {
	d.surviving = surviving
	d.missing += recreated
}

// RecordMissing records an entry that has disappeared; hadSurvived is whether it had outlasted the loss so
// far.
func (d *Detector) RecordMissing(hadSurvived bool) {
	d.missing++
	if hadSurvived {
		d.surviving--
	}
}

// InGrace reports whether an entry that disappears now may have lapsed at all.
func (d *Detector) InGrace(now time.Time) bool { return now.Before(d.graceEnd) }

// GraceEnd returns the end of the grace period in which that is possible.
func (d *Detector) GraceEnd() time.Time { return d.graceEnd }

// Lapsed reports whether the missing entries count as lapsed, so that their owners are considered
// alive. The result may change with each entry that disappears, since a store may remove entries
// whose leases expired some time after its return. Recreated entries still count.
func (d *Detector) Lapsed(now time.Time) bool {
	return d.InGrace(now) && float64(d.missing) >= lapsedShare*float64(d.surviving+d.missing)
}

// Counts returns how many entries are missing because of the loss, and how many outlasted it.
func (d *Detector) Counts() (missing, surviving int) { return d.missing, d.surviving }
