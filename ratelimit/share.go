package ratelimit

import "time"

const (
	// minSharers is the minimum number of routers that share the limit of one upstream. With one,
	// its failure would leave the upstream idle. Each sharer may burst by one request, and routers
	// with different views of the membership add some, so there is only one more sharer for each
	// request per second.
	minSharers = 3
	// minListedTime is how long a router must be listed before it gets a share: an earlier
	// incarnation of it may just have used the share.
	minListedTime = 4 * time.Second
	// UnreachableShare is the part of a limit that routers share while the process that counts all
	// requests is listed but unreachable for them: it may permit the whole limit to other routers.
	UnreachableShare = 0.3
)

// Share returns a router's part of an upstream's limit where no process counts all requests. place
// is the router's position, from 0, among all routers in the order of preference for the upstream;
// negative if it has none. Routers with the same view of the membership select the same sharers
// without communication.
func Share(place, routers int, listedFor time.Duration, perSecond float64) float64 {
	sharers := int(min(float64(routers), minSharers+perSecond))
	if place < 0 || place >= sharers || listedFor < minListedTime {
		return 0
	}
	return 1 / float64(sharers)
}
