package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
)

// memberNames caches the members of a role by VM. It is safe for concurrent use.
type memberNames struct {
	role string

	mu      sync.Mutex
	version uint64
	byVM    map[string]member.Member
	vms     []string
}

// top returns the first n members for a key in rendezvous ranking, without the one on a VM.
func (c *memberNames) top(g *member.Group, key string, n int, without string) []member.Member {
	byVM, vms := c.current(g)
	out := make([]member.Member, 0, n)
	for _, vm := range rendezvous.Top(key, vms, n+1) {
		if vm != without && len(out) < n {
			out = append(out, byVM[vm])
		}
	}
	return out
}

// current returns the members of the group's present view.
func (c *memberNames) current(g *member.Group) (map[string]member.Member, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version := g.Version(); c.byVM == nil || version != c.version {
		c.version, c.byVM = version, g.Newest(c.role)
		c.vms = slices.Collect(maps.Keys(c.byVM))
	}
	return c.byVM, c.vms
}
