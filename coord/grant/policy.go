package grant

import "time"

// View is the input of a policy: a snapshot of one budget, from its page and the
// holder's local state. Amounts are tokens.
type View struct {
	Now time.Time
	// Budget is the budget's name.
	Budget string
	// Credit is the sum of top-ups; Free may be granted; Unspent is what is left
	// in all grants and in the free pool.
	Credit, Free, Unspent int64
	// HeldByDead is held by ended incarnations; it counts as spent and is not in Unspent.
	HeldByDead int64
	// Lost is the part of HeldByDead that no settlement can free; see Holder.SetUnsettled.
	Lost int64
	// Granted, Available and Reserved are of the holder's own row.
	Granted, Available, Reserved int64
	// Waiting is the total that waiting requests need, SmallestWaiting the smallest need
	// of one of them; LargestRecent is the largest recent reservation.
	Waiting, SmallestWaiting, LargestRecent int64
	// Demand is the holder's recent use, OthersDemand the sum of all other rows'
	// (tokens a second).
	Demand, OthersDemand float64
	// Holders is the current or expected number of holders, whichever is larger.
	Holders int
	// IdleFor is the time since the last use here.
	IdleFor time.Duration
	// PageWritten says that the page is written for another budget anyway, so that taking or
	// giving back costs no extra store call.
	PageWritten bool
}

// Decision is the output of a policy: tokens to take from the free pool, or to
// give back to it. At most one of them is positive.
type Decision struct {
	Take, Give int64
	// RemoveRow requests removal of the row once nothing of it is reserved.
	RemoveRow bool
}

// Policy decides the sizes of grants. It affects sizes and order only; the
// account bounds what can be taken, so no policy can cause overspend.
type Policy interface {
	// Decide returns what to take or give back, given the page's current content.
	Decide(View) Decision
	// Adopt reports whether to hold tokens of a budget that this holder has not
	// used, given the other holders' demand and the number of their rows.
	Adopt(others float64, holders int) bool
	// LowWater is the available amount of a budget below which the holder should
	// sync the page ahead of need.
	LowWater(budget string, demand float64, largestRecent int64) int64
	// LotSize returns the preferred size of a borrowed lot, given the borrower's
	// demand. It matters only if it exceeds the request's need.
	LotSize(demand float64, largestRecent int64) int64
}

// DemandPolicy spreads all unspent tokens over the holders by recent demand, with
// a floor for each, so that tokens are where they are needed when a partition begins.
// Near the end of a budget it holds nothing in advance and takes tokens per request.
type DemandPolicy struct {
	// Floor is the share of the unspent tokens that is spread evenly (0..1).
	Floor float64
	// Slack is the tolerated deviation from the target (0..1).
	Slack float64
	// LowSeconds is the demand, in seconds, below which to refill.
	LowSeconds float64
	// MinDemand is the other holders' demand (tokens a second) above which an
	// unused budget is adopted; negative adopts all.
	MinDemand float64
	// LotSeconds is the demand, in seconds, that a lot should cover.
	LotSeconds float64
	// IdleAfter is the time without use after which the grant shrinks to the
	// floor.
	IdleAfter time.Duration
	// EndFactor is how many of the largest recent reservations the holder's share
	// must cover; below that the budget counts as near its end.
	EndFactor float64
}

// FavourAvailability returns the policy for fleets that most want to avoid false
// refusals: the floor keeps some tokens near callers who are idle, and the
// per-request mode near the end of a budget starts late. The figures behind the
// numbers are in docs/MEASUREMENTS.md.
func FavourAvailability() DemandPolicy {
	return DemandPolicy{Floor: 0.08, Slack: 0.25, LowSeconds: 5, MinDemand: -1,
		LotSeconds: 5, IdleAfter: 10 * time.Minute, EndFactor: 1}
}

// FavourExactness returns the policy for fleets that most want a budget to be
// used up exactly: a lower floor and an earlier per-request mode, so that the last
// tokens are in one place and unspent ones return to the pool early.
func FavourExactness() DemandPolicy {
	return DemandPolicy{Floor: 0.04, Slack: 0.25, LowSeconds: 5, MinDemand: -1,
		LotSeconds: 2, IdleAfter: 2 * time.Minute, EndFactor: 3}
}

// Decide implements Policy.
func (p DemandPolicy) Decide(v View) Decision {
	target := p.target(v)
	if target < int64(p.EndFactor*float64(v.LargestRecent)) {
		return takeExact(v)
	}
	held := v.Available + v.Reserved
	low := target - int64(p.Slack*float64(target))
	high := target + int64(p.Slack*float64(target))
	need := v.Waiting - v.Available
	switch {
	case held < low || need > 0:
		return Decision{Take: min(v.Free, max(need, target-held))}
	case held > high:
		return Decision{Give: max(0, min(v.Available-v.Waiting, held-target))}
	}
	return Decision{}
}

// target returns the holder's share of the unspent tokens.
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

// takeExact takes only what requests wait for and gives the rest back. An amount that
// suffices for no waiting request stays in the pool: taken, it would serve none of
// them and be missing for a smaller request elsewhere. The holder keeps its own
// tokens while a request waits, since peers may lend the rest.
func takeExact(v View) Decision {
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
func (p DemandPolicy) LowWater(_ string, demand float64, largestRecent int64) int64 {
	return max(largestRecent, int64(p.LowSeconds*demand))
}

// LotSize implements Policy.
func (p DemandPolicy) LotSize(demand float64, largestRecent int64) int64 {
	return max(largestRecent, int64(p.LotSeconds*demand))
}

// EvenPolicy is a baseline: each of N holders takes at most 1/N of the credit. It
// ignores demand and gives nothing back.
type EvenPolicy struct{ N int }

// Decide implements Policy.
func (p EvenPolicy) Decide(v View) Decision {
	return Decision{Take: max(0, min(v.Free, v.Credit/int64(p.N)-v.Granted))}
}

// Adopt implements Policy.
func (EvenPolicy) Adopt(float64, int) bool { return true }

// LowWater implements Policy.
func (EvenPolicy) LowWater(string, float64, int64) int64 { return 0 }

// LotSize implements Policy.
func (EvenPolicy) LotSize(float64, int64) int64 { return 0 }

// RequestPolicy is a baseline: it takes what requests wait for and gives the rest
// back, with store writes for every request.
type RequestPolicy struct{}

// Decide implements Policy.
func (RequestPolicy) Decide(v View) Decision { return takeExact(v) }

// Adopt implements Policy.
func (RequestPolicy) Adopt(float64, int) bool { return false }

// LowWater implements Policy.
func (RequestPolicy) LowWater(string, float64, int64) int64 { return 0 }

// LotSize implements Policy.
func (RequestPolicy) LotSize(float64, int64) int64 { return 0 }
