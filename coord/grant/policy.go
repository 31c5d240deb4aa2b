package grant

import "time"

// View is what a policy decides on: one budget, as its page and the holder's book
// show it at one moment. Amounts are tokens.
type View struct {
	Now time.Time
	// Budget is the budget's name.
	Budget string
	// Credit is the sum of top-ups; Free may be granted; Unspent is left
	// anywhere, in grants or free.
	Credit, Free, Unspent int64
	// HeldByDead is what lives hold that have ended; it counts as spent and is not in Unspent.
	HeldByDead int64
	// Granted, Available and Reserved are the holder's own.
	Granted, Available, Reserved int64
	// Waiting is what requests wait for at this moment, Smallest the least that
	// one of them wants; Worst is the largest recent reservation.
	Waiting, SmallestWaiting, LargestRecent int64
	// Demand is the holder's recent use, Others the sum of all other rows'
	// (tokens a second).
	Demand, OthersDemand float64
	// Holders counts the holders of the budget that there are or may be.
	Holders int
	// IdleFor is the time since the last use here.
	IdleFor time.Duration
	// PageWritten says that the page is written anyway, for another budget: to take or give then
	// costs no call.
	PageWritten bool
}

// Decision is what a policy wants changed: tokens to take from the free pool,
// or to give back to it. At most one of them is positive.
type Decision struct {
	Take, Give int64
	// RemoveRow says that the row is of no more use once nothing of it is set aside.
	RemoveRow bool
}

// Policy decides the sizes of grants. It changes sizes and order only; the
// account bounds what it may take, so no policy can break the invariant.
type Policy interface {
	// Decide is called with the page at hand.
	Decide(View) Decision
	// Adopt reports whether to take part in a budget that this holder has not
	// used, given the others' demand and the number of their rows.
	Adopt(others float64, holders int) bool
	// LowWater is the amount at hand of a budget below which the holder should
	// sync the page ahead of need.
	LowWater(budget string, demand float64, worst int64) int64
	// Spare is how much a lender may add to a peer's need, given the
	// borrower's demand.
	Spare(demand float64, worst int64) int64
}

// DemandPolicy spreads all unspent tokens over the holders by recent demand, with
// a floor for each, so that a partition finds the tokens where they are needed.
// Near the end of a budget it keeps nothing aside and asks for each request.
type DemandPolicy struct {
	// Floor is the share of the unspent tokens that is spread evenly (0..1).
	Floor float64
	// Slack is the deviation from the target that is left alone (0..1).
	Slack float64
	// LowSeconds is the demand, in seconds, below which to refill.
	LowSeconds float64
	// MinDemand is the others' demand (tokens a second) from which an unused
	// budget is adopted; negative adopts all.
	MinDemand float64
	// LotSeconds is the demand, in seconds, that a lot should cover.
	LotSeconds float64
	// IdleAfter is the time without use after which the grant shrinks to the
	// floor.
	IdleAfter time.Duration
	// EndFactor is how many worst cases the holder's share must cover;
	// below that the budget counts as near its end.
	EndFactor float64
}

// FavourAvailability returns the policy for fleets that weigh false refusals
// most: the floor keeps some tokens near callers who have been quiet, and the end
// of a budget is treated as such late. The figures behind the numbers are in
// docs/MEASUREMENTS.md.
func FavourAvailability() DemandPolicy {
	return DemandPolicy{Floor: 0.08, Slack: 0.25, LowSeconds: 5, MinDemand: -1,
		LotSeconds: 5, IdleAfter: 10 * time.Minute, EndFactor: 1}
}

// FavourExactness returns the policy for fleets that weigh the end of a budget
// most: a lower floor, and an end that begins sooner, so that the last tokens lie
// in one place and unspent ones are seen early.
func FavourExactness() DemandPolicy {
	return DemandPolicy{Floor: 0.04, Slack: 0.25, LowSeconds: 5, MinDemand: -1,
		LotSeconds: 2, IdleAfter: 2 * time.Minute, EndFactor: 3}
}

// Decide implements Policy.
func (p DemandPolicy) Decide(v View) Decision {
	target := p.target(v)
	if target < int64(p.EndFactor*float64(v.LargestRecent)) {
		return exact(v)
	}
	mine := v.Available + v.Reserved
	low := target - int64(p.Slack*float64(target))
	high := target + int64(p.Slack*float64(target))
	need := v.Waiting - v.Available
	switch {
	case mine < low || need > 0:
		return Decision{Take: min(v.Free, max(need, target-mine))}
	case mine > high:
		return Decision{Give: max(0, min(v.Available-v.Waiting, mine-target))}
	}
	return Decision{}
}

// target is the holder's share of the unspent tokens.
func (p DemandPolicy) target(v View) int64 {
	n := max(1, v.Holders)
	even := 1 / float64(n)
	share := even
	if all := v.Demand + v.OthersDemand; all > 0 {
		share = p.Floor*even + (1-p.Floor)*v.Demand/all
	}
	if v.IdleFor > p.IdleAfter && v.OthersDemand > 0 {
		share = p.Floor * even
	}
	return int64(share * float64(v.Unspent))
}

// exact takes just what waits and gives the rest back. What does not suffice for
// any waiting request stays in the pool: taken, it would serve nobody, and would be
// missing when a smaller request comes elsewhere. What the holder has stays too while
// a request waits, for peers may add what lacks.
func exact(v View) Decision {
	need := v.Waiting - v.Available
	switch {
	case need <= 0:
		return Decision{Give: -need}
	case v.Free+v.Available < v.SmallestWaiting:
		return Decision{}
	}
	return Decision{Take: min(v.Free, need)}
}

// Adopt implements Policy.
func (p DemandPolicy) Adopt(others float64, _ int) bool { return others > p.MinDemand }

// LowWater implements Policy.
func (p DemandPolicy) LowWater(_ string, demand float64, worst int64) int64 {
	return max(worst, int64(p.LowSeconds*demand))
}

// Spare implements Policy.
func (p DemandPolicy) Spare(demand float64, worst int64) int64 {
	return max(worst, int64(p.LotSeconds*demand))
}

// EvenPolicy is a baseline: each of N holders takes 1/N of the credit and
// never more. It uses no demand and gives nothing back.
type EvenPolicy struct{ N int }

// Decide implements Policy.
func (p EvenPolicy) Decide(v View) Decision {
	return Decision{Take: max(0, min(v.Free, v.Credit/int64(p.N)-v.Granted))}
}

// Adopt implements Policy.
func (EvenPolicy) Adopt(float64, int) bool { return true }

// LowWater implements Policy.
func (EvenPolicy) LowWater(string, float64, int64) int64 { return 0 }

// Spare implements Policy.
func (EvenPolicy) Spare(float64, int64) int64 { return 0 }

// RequestPolicy is a baseline: it takes what one request waits for and gives the
// rest back, with store writes for every request.
type RequestPolicy struct{}

// Decide implements Policy.
func (RequestPolicy) Decide(v View) Decision { return exact(v) }

// Adopt implements Policy.
func (RequestPolicy) Adopt(float64, int) bool { return false }

// LowWater implements Policy.
func (RequestPolicy) LowWater(string, float64, int64) int64 { return 0 }

// Spare implements Policy.
func (RequestPolicy) Spare(float64, int64) int64 { return 0 }
