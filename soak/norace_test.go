//go:build !race

package soak

// memoryFactor is 1 without the race detector.
const memoryFactor = 1
