package grant

import (
	"math"
	"time"
)

// HorizonPolicy holds only what recent demand needs during the longest partition. It is
// for fleets whose VMs have no durable storage and may all lose power at once: what a dead
// incarnation held and had not reported counts as spent, so spreading all unspent tokens,
// as DemandPolicy does, would lose the rest of a budget at the first power loss. Holding
// nothing would refuse all requests at the first partition from the store.
//
// It is meant for one holder of a budget (its primary lender) from which all others
// borrow: if each of many routers held tokens for a large request, that alone would add
// up to much of a budget.
type HorizonPolicy struct {
	// Horizon is the longest partition that held tokens should cover.
	Horizon time.Duration
	// LargestRequests is the number of requests of the largest recent size for which a holder
	// holds additional tokens: a single request may need more than many seconds of demand.
	LargestRequests float64
	// Role returns this holder's role for a budget; nil stands for RolePrimary.
	Role func(budget string) Role
	// UsingStore reports whether a request of this holder calls the store because no peer
	// is reachable; nil stands for always. Otherwise a borrower takes nothing from the
	// store: its requests wait for what peers lend.
	UsingStore func(budget string) bool
	// StandbyHorizon is the horizon of a standby lender. It serves for some seconds only, and
	// its tokens are held in addition to the primary's.
	StandbyHorizon time.Duration
	// Share is the largest share of a full budget that is held unreserved (0..1), which
	// is what one death can cost. The share of the rest shrinks as the budget is used
	// up: a power loss late in a budget must leave enough for later requests. The bound
	// also limits the effect of a few large requests in a holder's first second on the
	// demand.
	Share float64
	// MaxLoss is the largest share of what is left of the budget that a holder has available
	// while the store is healthy (0..1). StoreDegraded reports whether the store was recently
	// slow or did not answer. Available tokens are lost when the incarnation dies. Early in a
	// budget the bound still covers an outage without warning; the less is left, the more
	// later requests depend on it, and the less is risked. 0 disables the bound.
	MaxLoss       float64
	StoreDegraded func() bool
	// MinHeld is the share of what is left (0..1) that a holder may have available although more than MaxLoss was lost
	// with dead holders. Before, what was lost lowers the bound: a loss leaves less at risk for the next one.
	MinHeld float64
	// Refill limits one take to the demand of this time while Recovering reports that a
	// partition ended recently; 0 takes all at once. After a partition the holder thus returns
	// to its target over some seconds: a second partition is then less likely than a power
	// loss from the same incident, which costs most when the holder is full.
	Refill     time.Duration
	Recovering func() bool
	// Slack is the tolerated deviation from the target (0..1). When the page is written for
	// another budget, all of its budgets are brought to their targets.
	Slack float64
	// Regional is set if the lenders lie in several regions.
	Regional *RegionalPolicy
}

// Role is a holder's role for a budget.
type Role int

// The roles.
const (
	// RolePrimary is the primary lender, which lends to all other holders.
	RolePrimary Role = iota
	// RoleStandby is the standby lender, for holders that do not reach the primary.
	RoleStandby
	// RoleBorrower takes only what its requests wait for and gives the rest back at once.
	RoleBorrower
	// RoleRegional is the primary lender of one region, beside those of other regions. The page's
	// first lender of all regions has RolePrimary.
	RoleRegional
)

// Decide implements Policy.
func (p HorizonPolicy) Decide(v View) Decision {
	if p.role(v.Budget) == RoleBorrower {
		return p.decideBorrower(v)
	}
	need := v.Waiting - v.Available
	target := p.target(v)
	slack := int64(p.Slack * float64(target))
	if v.PageWritten {
		slack = 0
	}
	switch {
	case v.Waiting > 0 && v.Free+v.Available < v.SmallestWaiting:
		// An amount that suffices for no waiting request would be missing for a
		// smaller one elsewhere.
		return Decision{Give: p.Regional.unusable(v, target)}
	case need > 0 || v.Available < target-slack:
		return Decision{Take: max(0, min(v.Free, max(need, p.refillAmount(v, target))))}
	case v.Available > target+slack:
		return Decision{Give: max(0, min(v.Available-v.Waiting, v.Available-target))}
	}
	return Decision{}
}

// decideBorrower takes what requests of the store wait for. Without such requests it removes
// the row, since each row of a page costs reads and writes.
func (p HorizonPolicy) decideBorrower(v View) Decision {
	if p.UsingStore == nil || p.UsingStore(v.Budget) {
		return takeExact(v)
	}
	return Decision{Give: v.Available, RemoveRow: true}
}

// refillAmount returns how much a holder may take towards its target at once.
func (p HorizonPolicy) refillAmount(v View, target int64) int64 {
	shortfall := target - v.Available
	if p.Refill == 0 || !p.Recovering() {
		return shortfall
	}
	return min(shortfall, int64(v.Demand*p.Refill.Seconds()))
}

// target returns what a primary or standby lender should have available.
func (p HorizonPolicy) target(v View) int64 {
	if p.role(v.Budget) == RoleStandby {
		return int64(v.Demand * p.StandbyHorizon.Seconds())
	}
	wanted := v.Demand*p.Horizon.Seconds() + p.LargestRequests*float64(v.LargestRecent)
	if p.Regional != nil && p.Regional.isNeededElsewhere(v) {
		wanted = p.Regional.kept(v)
	}
	rest, share := float64(v.Unspent), p.Regional.shareOf(v)
	bound := p.Share * rest * math.Sqrt(rest/float64(max(1, v.Credit)))
	bound = min(bound, max(bound*share, float64(v.LargestRecent)))
	if p.MaxLoss > 0 && !p.StoreDegraded() {
		bound = min(bound, p.atRisk(v, rest, share))
	}
	return int64(min(wanted, bound))
}

// atRisk returns the most that a holder has available of its share of what is left while the store is healthy. After a
// loss it may be less than the largest request, which then waits for the store.
func (p HorizonPolicy) atRisk(v View, rest, share float64) float64 {
	most := max(p.MaxLoss*rest*share, float64(v.LargestRecent))
	if v.Lost == 0 {
		return most
	}
	return max(p.MinHeld*rest*share, most-float64(v.Lost)*share)
}

func (p HorizonPolicy) role(budget string) Role {
	if p.Role == nil {
		return RolePrimary
	}
	return p.Role(budget)
}

// Adopt implements Policy: a holder holds tokens of a budget only after a request for it.
func (HorizonPolicy) Adopt(float64, int) bool { return false }

// LowWater implements Policy.
func (p HorizonPolicy) LowWater(budget string, demand float64, largestRecent int64) int64 {
	if role := p.role(budget); role != RolePrimary && role != RoleRegional {
		return 0
	}
	return int64(demand*p.Horizon.Seconds()*(1-p.Slack)) + largestRecent
}

// LotSize implements Policy. Each lot is for one request: a larger one would stay open as long
// as its longest request, with its tokens unavailable to all other requests.
func (HorizonPolicy) LotSize(float64, int64) int64 { return 0 }
