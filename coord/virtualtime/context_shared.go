//go:build race && !go1.27

package virtualtime

// oneTimerContext tells that all timers of a bubble use one context of the race detector. Two
// timers that run at the same moment on two threads overwrite its shadow stack, which ends the
// process: SIGSEGV, "unexpected return pc", or "ThreadSanitizer: CHECK failed".
const oneTimerContext = true
