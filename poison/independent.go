package poison

import (
	"cmp"
	"slices"
	"time"
)

// outageSpan is the time within which one outage may crash several upstreams, with the differences of the
// observers' clocks and delays.
const outageSpan = 250 * time.Millisecond

// moment is what a crash says about its independence of others.
type moment struct {
	// at is the wall-clock time of the crash in milliseconds.
	at int64
	// generation is that of Crash.
	generation int
}

// countIndependent returns the length of the longest sequence of crashes that one outage of several upstreams does
// not explain. A crash is independent of an earlier one if it is at least outageSpan later, or if its upstream got the
// prompt from a router that had recorded the earlier one. A crash of unknown generation is independent of all
// others. The result does not depend on the order of the crashes.
func countIndependent(crashes []moment) int {
	slices.SortFunc(crashes, func(a, b moment) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.generation, b.generation)) })
	longest, ends := 0, make([]int, len(crashes)) // ends holds the longest sequence that ends with each crash
	for i, c := range crashes {
		ends[i] = 1 + longest
		if c.generation > 0 {
			ends[i] = max(min(c.generation, i+1), 1+longestBefore(crashes[:i], ends, c.at-outageSpan.Milliseconds()))
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// longestBefore returns the longest sequence that ends with a crash at the given time or before.
func longestBefore(crashes []moment, ends []int, at int64) (longest int) {
	for i, c := range crashes {
		if c.at <= at {
			longest = max(longest, ends[i])
		}
	}
	return longest
}
