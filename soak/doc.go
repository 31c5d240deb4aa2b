// Package soak runs routers and lenders as separate processes on loopback, in front of stand-ins
// of the platform and of upstreams, injects faults from outside in an order derived from a seed, and
// checks the guarantees given to callers and upstreams. The package contains only tests:
//
//	go test ./soak                                           # a few seeds, as CI runs them
//	go test ./soak -soak.first=1 -soak.seeds=50 -timeout 30m # many seeds
//
// Processes are signalled by process id, and only those that the soak test started.
package soak
