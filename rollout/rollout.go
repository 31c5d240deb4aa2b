// Package rollout decides how a service moves to a new version of its upstreams. It contains no
// input or output: callers pass the time, what routers observed, and what the store holds.
//
// Load pattern: a version may be bad at once, after a while, under load or on one route, and the old
// one serves well meanwhile. So few requests go to the new version for most of the time, to canaries,
// upstreams that get as much as they would in the end, and all of it moves as late as the time allows.
// The requests that a bad version may get are budgeted over the whole roll-out.
package rollout

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	// Version is the version to move to.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision is that of the order's entry in the store; a later order has a higher one. Earlier is the one that the same order had
	// before the store was restored, 0 if it is not known.
	Revision, Earlier store.Revision
	// Withdrawn is set if the operator has removed the order.
	Withdrawn bool
}

// IsAgain reports whether an order is the same one, read again after the store was restored from an older copy: operators write
// theirs again, with another revision.
func (o Order) IsAgain(before Order) bool {
	return o.Revision.Era() > before.Revision.Era() && o.Service == before.Service && o.Version == before.Version && o.Duration == before.Duration
}

// State is the state of a roll-out.
type State int

// The states. Completed and RolledBack are final.
const (
	InProgress State = iota
	// Completed means that only the new version gets requests; the old upstreams stop at once.
	Completed
	// RolledBack means that the new version gets no requests.
	RolledBack
)

var stateNames = [...]string{"in_progress", "completed", "rolled_back"}

// String returns the name used in logs and stored documents.
func (s State) String() string { return stateNames[s] }

// Final reports whether the roll-out has ended.
func (s State) Final() bool { return s != InProgress }

// Limits bounds what a bad version may get.
type Limits struct {
	// Share is the maximum share of the service's requests from the order to its deadline; Slack is
	// a number of requests beyond it.
	Share float64
	Slack int
	// TTL is how long a router follows a directive without a newer one, ReportTTL how long the decider
	// counts on a router without a newer report: both cover several reports, whose interval grows with
	// the fleet.
	TTL, ReportTTL time.Duration
	// Margin is the time before the deadline at which the last requests are moved: it covers the
	// reports of all routers and the write to the store.
	Margin time.Duration
}

// Directive tells routers how to divide a service's requests between the versions.
type Directive struct {
	// Revision is the revision of the order.
	Revision store.Revision `json:"order"`
	State    State          `json:"state"`
	// Pending is set while the process that decides does not know the state in the store.
	Pending bool `json:"pending,omitempty"`
	// Ended is the store's revision at which the final state was written, 0 if it is not known.
	Ended store.Revision `json:"ended,omitempty"`
	// Share is the share of the requests that go to canaries of the new version.
	Share float64 `json:"share"`
	// Moved are the routes whose requests all go to the new version, Finish moves all routes.
	Moved  []string `json:"moved,omitempty"`
	Finish bool     `json:"finish,omitempty"`
	// Earlier is what the orders before this one say.
	Earlier Earlier `json:"earlier,omitzero"`
	// Near is set shortly before the deadline, when directives change within a fraction of a second.
	Near bool `json:"near,omitempty"`
}
