//go:build race

package soak

// memoryFactor is by how much the race detector multiplies the memory of a process: by 5 to 10 according to its documentation.
const memoryFactor = 5
