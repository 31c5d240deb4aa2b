package prepaid

import (
	"errors"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/link"
)

// regionalLogInterval is the shortest time between two log lines on one budget and region.
const regionalLogInterval = 10 * time.Second

// regionalLends sums what was lent to other regions since the last log line, by budget and region. It is bounded, and safe for
// concurrent use.
type regionalLends struct {
	mu   sync.Mutex
	sums map[budgetRegion]*regionalSum
}

type budgetRegion struct{ budget, region string }

type regionalSum struct {
	requests, tokens int64
	since            time.Time
}

// maxRegionalSums bounds the sums. The sums begin anew when there are more.
const maxRegionalSums = 1024

// add counts a lot. It returns the sum once it is to be logged.
func (r *regionalLends) add(now time.Time, budget, region string, tokens int64) (sum regionalSum, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := budgetRegion{budget, region}
	s := r.sums[key]
	if s == nil {
		if r.sums == nil || len(r.sums) >= maxRegionalSums {
			r.sums = map[budgetRegion]*regionalSum{}
		}
		s = &regionalSum{}
		r.sums[key] = s
	}
	s.requests++
	s.tokens += tokens
	if now.Sub(s.since) < regionalLogInterval {
		return regionalSum{}, false
	}
	sum = *s
	*s = regionalSum{since: now}
	return sum, true
}

// lendersElsewhere lists the lenders of other regions to ask for tokens of a budget, by region.
func (b *Budgets) lendersElsewhere(budget string) [][]string {
	_, others := queriedLenders(b.regions.own(), b.regions.of(b.layout.Key(budget)))
	return others
}

// recordRegionalLend records the answer to a request for tokens from another region.
func (b *Budgets) recordRegionalLend(in link.LendRequest, answer any, err error) {
	region, other := b.regions.otherRegion(in.Borrower)
	if !other {
		return
	}
	if err != nil {
		b.metrics.GetOrCreateCounter(`arbutusmill_region_requests_total{result="refused"}`).Inc()
		if errors.Is(err, grant.ErrAllReserved) || errors.Is(err, grant.ErrInsufficientTokens) {
			b.returnToOthers(in, region)
		}
		return
	}
	lot, ok := answer.(grant.Lot)
	if !ok {
		return // never: lending returns lots
	}
	b.metrics.GetOrCreateCounter(`arbutusmill_region_requests_total{result="lent"}`).Inc()
	b.metrics.GetOrCreateCounter("arbutusmill_region_lent_tokens_total").Add(int(lot.Part.Tokens))
	if sum, due := b.regionalLends.add(time.Now(), in.Budget, region, lot.Part.Tokens); due {
		b.log.Info().Str("budget", in.Budget).Str("region", region).Int64("requests", sum.requests).Int64("tokens", sum.tokens).
			Int64("available", b.holder.Available(in.Budget)).Msg("tokens_lent_to_region")
	}
}

// returnToOthers returns to the page what this region does not need at once: another region lacks tokens, and this lender has too few
// for its request. The requester's region takes them from the page.
func (b *Budgets) returnToOthers(in link.LendRequest, region string) {
	b.lacking.record(in.Budget)
	if b.returned.within(in.Budget, lackInterval) {
		return
	}
	available := b.holder.Available(in.Budget)
	if available <= 0 {
		return
	}
	b.returned.record(in.Budget)
	b.holder.SyncSoon(in.Budget)
	b.log.Info().Str("budget", in.Budget).Str("region", region).Int64("wanted", in.Need).Int64("available", available).Msg("tokens_wanted_by_region")
}

// RegionState is a page's primary in a region, for dumps.
type RegionState struct {
	Page    string `json:"page"`
	Region  string `json:"region"`
	Primary string `json:"primary"`
	Lenders int    `json:"lenders"`
}

// Regions lists the primaries of each page by region, own region first. It is empty in a fleet whose settings name one region.
func (b *Budgets) Regions() []RegionState {
	var out []RegionState
	for key := range b.pageKeys {
		for _, r := range b.regions.of(key) {
			out = append(out, RegionState{Page: key, Region: r.region, Primary: r.lenders[0].ID, Lenders: len(r.lenders)})
		}
	}
	return out
}
