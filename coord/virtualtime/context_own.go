//go:build !race || go1.27

package virtualtime

// sharedTimerContext is false if each thread has its own race detector context for timers,
// or if there is no race detector.
const sharedTimerContext = false
