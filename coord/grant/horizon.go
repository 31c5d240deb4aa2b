package grant

import "time"

// HorizonPolicy holds what recent demand needs for the longest cut to be outlasted, and
// no more. It is for fleets whose VMs keep nothing and may all lose power at once: what
// a dead life held and had not reported counts as spent, so to spread all unspent
// tokens, as DemandPolicy does, would lose the rest of a budget at the first power
// loss. To hold nothing would turn away everything at the first cut from the store.
type HorizonPolicy struct {
	// Horizon is the longest cut that held tokens should outlast.
	Horizon time.Duration
	// Worsts is how many of the largest recent requests a holder keeps room for
	// beside that: a single request may need more than many seconds of demand.
	Worsts float64
	// Floor is held of a budget that others use and this holder does not, so that
	// a cut finds a few tokens everywhere.
	Floor int64
	// Slack is the deviation from the target that is left alone (0..1).
	Slack float64
}

// Decide implements Policy.
func (p HorizonPolicy) Decide(v View) Decision {
	mine := v.Available + v.Reserved
	need := v.Waiting - v.Available
	target := p.target(v)
	switch {
	case need > 0 || mine < target-int64(p.Slack*float64(target)):
		return Decision{Take: max(0, min(v.Free, max(need, target-mine)))}
	case mine > target+int64(p.Slack*float64(target)):
		return Decision{Give: max(0, min(v.Available-v.Waiting, mine-target))}
	}
	return Decision{}
}

// target is what the holder should have. Near the end of a budget it is no more than
// an even share of what is left, so that the last tokens are not all in one place.
func (p HorizonPolicy) target(v View) int64 {
	n := float64(max(1, v.Holders))
	mean := (v.Demand + v.Others) / n
	demand := max(v.Demand, mean/2)
	target := int64(demand*p.Horizon.Seconds()) + int64(p.Worsts*float64(v.Worst))
	if target > 0 {
		target = max(target, p.Floor)
	}
	pool := v.Free + v.Available + v.Reserved
	return min(target, int64(float64(pool)/n)+v.Reserved)
}

// Adopt implements Policy.
func (HorizonPolicy) Adopt(others float64, _ int) bool { return others > 0 }

// LowWater implements Policy.
func (p HorizonPolicy) LowWater(demand float64, worst int64) int64 {
	return int64(demand*p.Horizon.Seconds()/2) + worst
}

// Spare implements Policy.
func (p HorizonPolicy) Spare(demand float64, worst int64) int64 {
	return max(worst, int64(demand*p.Horizon.Seconds()))
}
