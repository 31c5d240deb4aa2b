package hosted

import (
	"runtime/debug"

	"github.com/arbutusmill/arbutusmill/bounded"
)

const (
	// gcPercent is by how much (%) the heap may grow between two collections. Live heaps are
	// a few megabytes, so with 200 most of a process's memory is garbage: at 100 requests a
	// second, peak memory is 34.7 MB for routers and 10.9 MB for lenders with 200, and 20.9
	// and 5.3 MB with 50, for 7 % more processor time.
	gcPercent = 50
	// memoryLimitShare is the part of the process's memory that the collector lets the heap
	// fill; the rest is for stacks, kernel buffers and bursts between two collections.
	memoryLimitShare = 0.7
	// listingShare is the part of the process's memory for listings of the store that are being read. The largest is that of all
	// pages of budgets: 67 MB with 200,000 budgets of three rows.
	listingShare = 0.6
)

// newListingMemory returns the limit on the listings of a process with mib MiB of memory.
func newListingMemory(mib int) *bounded.Sum {
	return bounded.NewSum(int64(listingShare * float64(mib<<20)))
}

// LimitMemory configures the garbage collector to keep the process within mib MiB.
func LimitMemory(mib int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(mib<<20)))
}
