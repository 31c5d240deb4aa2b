// Package soak runs routers and lenders as separate processes on loopback, in front of stand-ins
// of the platform and of upstreams, injects faults from outside them in an order that follows from a
// seed, and checks what callers and upstreams are promised. It is all in its tests:
//
//	go test ./soak                                           # a few seeds, as CI runs them
//	go test ./soak -soak.first=1 -soak.seeds=50 -timeout 30m # many
//
// A process is ended by its id, and only if the soak started it.
package soak
