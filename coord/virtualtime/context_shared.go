//go:build race && !go1.27

package virtualtime

// sharedTimerContext is true if all timers of a bubble share one race detector context. Two
// timers that run on two threads at once overwrite its shadow stack and crash the process
// with SIGSEGV, "unexpected return pc", or "ThreadSanitizer: CHECK failed".
const sharedTimerContext = true
