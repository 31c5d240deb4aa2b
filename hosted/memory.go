package hosted

import "runtime/debug"

const (
	// collectorPercent is how much the heap may grow between two collections. The
	// live heap is a few megabytes; with the default of 100 collections took 18 %
	// of the processor time of a streamed answer (BenchmarkStream).
	collectorPercent = 200
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
