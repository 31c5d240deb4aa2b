package grant

import (
	"math"
	"time"
)

// HorizonPolicy holds what recent demand needs for the longest cut to be outlasted, and
// no more. It is for fleets whose VMs keep nothing and may all lose power at once: what
// a dead life held and had not reported counts as spent, so to spread all unspent
// tokens, as DemandPolicy does, would lose the rest of a budget at the first power
// loss. To hold nothing would turn away everything at the first cut from the store.
//
// It is meant for one holder of a budget (its home) from which all others borrow: held
// by each of many routers, the room for a large request alone would add up to much of
// a budget.
type HorizonPolicy struct {
	// Horizon is the longest cut that held tokens should outlast.
	Horizon time.Duration
	// LargestRequests is how many of the largest recent requests a holder keeps room for
	// beside that: a single request may need more than many seconds of demand.
	LargestRequests float64
	// Role says what this holder is to a budget; nil stands for HomeOf.
	Role func(budget string) Role
	// UsingStore reports whether a request of this holder has turned to the store
	// itself, its peers being out of reach; nil stands for always. A borrower takes
	// nothing from the store otherwise: its requests wait for what peers lend.
	UsingStore func(budget string) bool
	// StandbyHorizon is the horizon of a holder that stands in for a home: it is asked for
	// some seconds only, and what it holds is held twice.
	StandbyHorizon time.Duration
	// Share is the most of a full budget that is held beyond what is set aside (0..1):
	// what one death can cost. The share of the rest shrinks as the budget is used
	// up: a power loss late in a budget must leave enough to serve those who come
	// after it. The bound also limits what a few large requests in a holder's first
	// second make of the demand.
	Share float64
	// MaxLoss is the most that a holder has available while the store answers well, as a
	// share of what is left of the budget (0..1), and Wary reports that it was slow or silent
	// lately. What is available is lost with a dead life. Early in a budget the bound leaves
	// room for an outage without a warning; the less there is left, the more each later
	// request depends on it, and the less is put at stake. 0 is no such bound.
	MaxLoss float64
	StoreDegraded     func() bool
	// Refill is the demand that one take may add while Recovering reports a cut that
	// ended lately; 0 takes all at once. After a cut the holder so gets back to its
	// target over some seconds: a second cut is then less likely than a power loss
	// that came with the same trouble, which costs most when the holder is full.
	Refill     time.Duration
	Recovering func() bool
	// Slack is the deviation from the target that is left alone (0..1), unless the page is
	// written for another budget: then all of its budgets are brought to their targets.
	Slack float64
}

// Role is what a holder is to a budget.
type Role int

// The roles.
const (
	// RolePrimary a budget lends to all others.
	RolePrimary Role = iota
	// RoleStandby a home lends to those who do not reach it.
	RoleStandby
	// RoleBorrower a budget takes what waits, and gives the rest back at once.
	RoleBorrower
)

// Decide implements Policy.
func (p HorizonPolicy) Decide(v View) Decision {
	if p.role(v.Budget) == RoleBorrower {
		return p.borrower(v)
	}
	need := v.Waiting - v.Available
	target := p.target(v)
	slack := int64(p.Slack * float64(target))
	if v.PageWritten {
		slack = 0
	}
	switch {
	case v.Waiting > 0 && v.Free+v.Available < v.SmallestWaiting:
		// What does not suffice for any waiting request would be missing when a
		// smaller one comes elsewhere.
		return Decision{}
	case need > 0 || v.Available < target-slack:
		return Decision{Take: max(0, min(v.Free, max(need, p.refill(v, target))))}
	case v.Available > target+slack:
		return Decision{Give: max(0, min(v.Available-v.Waiting, v.Available-target))}
	}
	return Decision{}
}

// borrower takes what waits for the store, and else gives its row up: each row of a page
// is looked after with reads and writes.
func (p HorizonPolicy) borrower(v View) Decision {
	if p.UsingStore == nil || p.UsingStore(v.Budget) {
		return exact(v)
	}
	return Decision{Give: v.Available, RemoveRow: true}
}

// refill is how much a holder may take towards its target at once.
func (p HorizonPolicy) refill(v View, target int64) int64 {
	lack := target - v.Available
	if p.Refill == 0 || !p.Recovering() {
		return lack
	}
	return min(lack, int64(v.Demand*p.Refill.Seconds()))
}

// target is what a home or its stand-in should have available.
func (p HorizonPolicy) target(v View) int64 {
	if p.role(v.Budget) == RoleStandby {
		return int64(v.Demand * p.StandbyHorizon.Seconds())
	}
	wanted := v.Demand*p.Horizon.Seconds() + p.LargestRequests*float64(v.LargestRecent)
	rest := float64(v.Unspent)
	bound := p.Share * rest * math.Sqrt(rest/float64(max(1, v.Credit)))
	if p.MaxLoss > 0 && !p.StoreDegraded() {
		bound = min(bound, max(p.MaxLoss*rest, float64(v.LargestRecent)))
	}
	return int64(min(wanted, bound))
}

func (p HorizonPolicy) role(budget string) Role {
	if p.Role == nil {
		return RolePrimary
	}
	return p.Role(budget)
}

// Adopt implements Policy: a holder takes part in a budget once a request asks for it.
func (HorizonPolicy) Adopt(float64, int) bool { return false }

// LowWater implements Policy.
func (p HorizonPolicy) LowWater(budget string, demand float64, worst int64) int64 {
	if p.role(budget) != RolePrimary {
		return 0
	}
	return int64(demand*p.Horizon.Seconds()*(1-p.Slack)) + worst
}

// Spare implements Policy: a lot is for one request. A larger one would stay open as long
// as the longest of its requests, and what it holds is missing for all others.
func (HorizonPolicy) Spare(float64, int64) int64 { return 0 }
