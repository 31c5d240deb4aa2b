//go:build !race || go1.27

package virtualtime

// oneTimerContext is false where each thread has a race context of its own for timers, or
// there is no race detector.
const oneTimerContext = false
