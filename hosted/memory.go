package hosted

import "runtime/debug"

const (
	// collectorPercent is how much the heap may grow between two collections. Live heaps
	// are a few megabytes, so with 200 most of a process's memory was garbage: routers of a
	// calm day had 34.7 MB at the peak and lenders 10.9, with 50 it is 20.9 and 5.3, for
	// 7 % more processor time (whole processes, 100 requests a second).
	collectorPercent = 50
	// memoryShare is the part of the process's memory that the collector may fill;
	// the rest is for stacks, buffers of the kernel and a burst between two
	// collections.
	memoryShare = 0.7
)

// LimitMemory makes the process keep within its VM's memory, in MiB.
func LimitMemory(mib int) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(mib<<20)))
}
