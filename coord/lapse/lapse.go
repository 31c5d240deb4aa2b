// Package lapse judges entries under leases that are missing after the store could not be
// reached: whether their leases ran out because of that, while their owners live, or whether
// they were removed. A process cannot tell an outage of the store from a cut of its own
// connections; the entries that are still there can.
package lapse

import "time"

// lapsedShare is the share of the entries known before a loss of the store that must be
// missing after it for these to count as lapsed. All owners renew their leases equally often,
// so an outage that ends one lease ends nearly all of them. A process that was merely cut off
// finds most entries as it left them: what is missing then has left, and callers sent there
// would be cut when it ends.
const lapsedShare = 0.75

// Detector judges the entries under one prefix. The zero value knows of no loss. It is not safe
// for concurrent use.
type Detector struct {
	// until is the end of the grace that followed the last loss.
	until time.Time
	// kept counts the entries that outlived that loss, missing those known before it that did
	// not, whether or not their owners created them again.
	kept, missing int
}

// StartGrace begins anew with the first read after a loss of the store: entries may be missing
// because of it for the grace, in which living owners create theirs again. Where the grace of an
// earlier loss is not over, those missing because of that loss count on.
func (j *Detector) StartGrace(now time.Time, grace time.Duration) {
	if !j.InGrace(now) {
		j.missing = 0
	}
	j.until = now.Add(grace)
}

// RecordRead tells what a read shows of the entries known before: how many of them are there as they
// were created, so that their leases have not run out, and how many were created again.
func (j *Detector) RecordRead(kept, again int) {
	j.kept = kept
	j.missing += again
}

// RecordMissing counts an entry that has vanished, and says whether it was one of those kept so far.
func (j *Detector) RecordMissing(wasKept bool) {
	j.missing++
	if wasKept {
		j.kept--
	}
}

// InGrace reports whether an entry that vanishes now may have lapsed at all.
func (j *Detector) InGrace(now time.Time) bool { return now.Before(j.until) }

// GraceEnd is the end of the time in which that is possible.
func (j *Detector) GraceEnd() time.Time { return j.until }

// Lapsed reports whether the missing entries count as lapsed, so that their owners are believed
// to live. It changes with each entry that vanishes, since a store may remove entries whose
// leases ran out some time after its return. Those that came back count on.
func (j *Detector) Lapsed(now time.Time) bool {
	return j.InGrace(now) && float64(j.missing) >= lapsedShare*float64(j.kept+j.missing)
}

// Counts returns how many entries are missing because of the loss, and how many outlived it.
func (j *Detector) Counts() (missing, kept int) { return j.missing, j.kept }
