package directory

import "time"

// lapseGrace is how long entries that vanished around an outage of the store are
// believed. Entries lapse while their owners cannot renew them, and the platform
// promises that living ones are back about two seconds after the store's return; to
// drop them at once would turn away everything until then.
const lapseGrace = 2200 * time.Millisecond

// lapsedShare is the share of the entries known before a loss of the store that must be
// missing after it for these to count as lapsed. All upstreams renew their leases equally
// often, so an outage that ends one lease ends nearly all of them. A process that was merely
// cut off finds most entries as it left them: what is missing then has left, and callers sent
// there would be cut when it ends.
const lapsedShare = 0.75

// lapses judges the entries that are missing after the store could not be reached: whether
// their leases may have run out because of that, or whether they were removed. The process
// itself cannot tell an outage of the store from a cut of its own connections; the entries that
// are still there can.
type lapses struct {
	// until is the end of the time in which entries may be missing because of the last loss.
	until time.Time
	// kept counts the entries that outlived the loss, missing those known before it that did
	// not, whether or not they came back since.
	kept, missing int
}

// after begins anew with the first read after a loss.
func after(loss time.Time) lapses { return lapses{until: loss.Add(lapseGrace)} }

// possible reports whether an entry that is missing now may have lapsed at all.
func (l *lapses) possible(now time.Time) bool { return now.Before(l.until) }

// believed reports whether those that are missing are believed to live.
func (l *lapses) believed(now time.Time) bool {
	return l.possible(now) && float64(l.missing) >= lapsedShare*float64(l.kept+l.missing)
}

// miss counts an entry that has vanished.
func (l *lapses) miss(wasKept bool) {
	l.missing++
	if wasKept {
		l.kept--
	}
}
