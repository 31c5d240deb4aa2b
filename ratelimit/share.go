package ratelimit

import "time"

const (
	// leastSharers is how many routers share the limit of one upstream at least. With one, its
	// death would leave the upstream without work. Each may send one request at once, and routers
	// that know different others add some, so there is one more for each request a second only.
	leastSharers = 3
	// shareAfter is how long a router is listed before it has a share: an earlier life of it may
	// just have used it.
	shareAfter = 4 * time.Second
	// UnreachableShare is the part of a limit that routers share which know of the process that counts
	// and can't reach it, since it may give leave to others for all of the limit.
	UnreachableShare = 0.3
)

// Share is the part of an upstream's limit that is a router's, where nobody counts for all. place is
// the router's place, from 0 on, among all routers in the order of preference for the upstream;
// negative if it has none. All that know the same routers find the same few, without a message.
func Share(place, routers int, listedFor time.Duration, perSecond float64) float64 {
	sharers := int(min(float64(routers), leastSharers+perSecond))
	if place < 0 || place >= sharers || listedFor < shareAfter {
		return 0
	}
	return 1 / float64(sharers)
}
