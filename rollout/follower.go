package rollout

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Preference is which upstreams a request may be sent to.
type Preference int

// The preferences.
const (
	// Previous means upstreams of versions other than that of the order, or the order's if there
	// are no others.
	Previous Preference = iota
	// Next means upstreams of the order's version, or others if there are none.
	Next
	// Canary means those upstreams of the order's version that are tried before all requests move.
	Canary
	// OnlyPrevious and OnlyNext permit no others.
	OnlyPrevious
	OnlyNext
)

// Follower is a router's knowledge about a service's roll-out. It is not safe for concurrent use.
type Follower struct {
	Order Order
	// Since is when the router received the order; zero if it was there when the router started.
	Since time.Time
	// Limits are those of the deciders.
	Limits Limits

	directive Directive
	heard     time.Time
	// endedAt is the first known revision at which the store held the final state.
	endedAt store.Revision
	// finishing is set once the router has sent everything to the new version. From then on the
	// upstreams of the previous version may stop at any time.
	finishing bool
}

// Apply applies a directive, unless it is pending or belongs to another order. A final one stays, but
// what the store holds goes first.
func (f *Follower) Apply(now time.Time, d Directive) {
	if d.Pending || d.Revision != f.Order.Revision || f.Ended() || f.directive.State.Final() && d.Ended == 0 {
		return
	}
	f.directive, f.heard = d, now
	if f.endedAt == 0 {
		f.endedAt = d.Ended
	}
	f.finishing = f.finishing && !d.State.Final() || d.Finish
}

// Rename continues with an order that was read again after the store was restored. What the store holds of its end may be lost.
func (f *Follower) Rename(o Order) {
	if f.directive.Revision == f.Order.Revision {
		f.directive.Revision = o.Revision
	}
	f.Order = o
	f.directive.Ended = 0
}

// Ended reports whether the store holds the final state. Until then the router goes on reporting: the
// decider may end before it has written it.
func (f *Follower) Ended() bool { return f.directive.State.Final() && f.directive.Ended > 0 }

// EndPending reports whether the router has just received the end, and the store may not hold it yet: operators still see the
// roll-out in progress.
func (f *Follower) EndPending(now time.Time) bool {
	return f.directive.State.Final() && !f.Ended() && f.Fresh(now)
}

// EndedAt returns the first known revision at which the store held the final state, 0 if there is none. It stays when the end is
// written again to a restored store.
func (f *Follower) EndedAt() store.Revision { return f.endedAt }

// State returns the state of the roll-out, as far as the router knows.
func (f *Follower) State() State { return f.directive.State }

// Finishing reports whether the router sends nothing to the previous version.
func (f *Follower) Finishing() bool { return f.finishing }

// Directive returns the last directive.
func (f *Follower) Directive() Directive { return f.directive }

// Fresh reports whether the last directive is recent.
func (f *Follower) Fresh(now time.Time) bool {
	return !f.heard.IsZero() && now.Sub(f.heard) < f.Limits.TTL
}

// Prefer returns where a request goes. draw is a number from 0 to 1 that belongs to the request, and
// retried is set if an upstream has failed it: the version may be the reason.
//
// A router without a fresh directive sends nothing new to the version, since it would not learn that it is bad.
// If it had already stopped sending to the previous one, those upstreams may have ended, so they are
// only the second choice.
func (f *Follower) Prefer(now time.Time, route string, draw float64, retried bool) Preference {
	d := f.directive
	switch {
	case d.State == Completed:
		return OnlyNext
	case d.State == RolledBack:
		return OnlyPrevious
	case f.finishing:
		return Next
	case !f.Fresh(now):
		return Previous
	case slices.Contains(d.Moved, route):
		return Next
	case draw < d.Share && !retried:
		return Canary
	}
	return Previous
}
