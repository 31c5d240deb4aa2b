// Package billing sends charges to the routers that own the ledger's shards.
package billing

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("billing")

// cooldown is how long a router is skipped after a failed call.
const cooldown = 3 * time.Second

// Sender is a ledger.Sender that sends a shard's charges to the shard's owner, the
// first router by rendezvous hashing. Any router may safely append to any shard, since
// the log fences concurrent writers; a single owner only avoids conflicts between them.
type Sender struct {
	// Self is the id of this VM; Local appends in this process if the VM is the
	// owner. Local is nil in agents.
	Self  string
	Local func(ctx context.Context, shard int, charges []ledger.Charge) (int64, error)
	Links *link.Pool
	View  *vm.View
	// Timeout bounds one call to an owner.
	Timeout time.Duration

	mu sync.Mutex
	// cooldowns maps a router to the end of its cooldown.
	cooldowns map[string]time.Time
}

var _ ledger.Sender = (*Sender)(nil)

// Send implements ledger.Sender.
func (s *Sender) Send(ctx context.Context, shard int, charges []ledger.Charge) (int64, error) {
	owner, ok := s.owner(shard)
	if !ok {
		return 0, Error.New("no router for shard %d", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	if owner.ID == s.Self && s.Local != nil {
		return s.Local(ctx, shard, charges)
	}
	var out link.AppendReply
	err := s.Links.Call(ctx, owner.Link, link.MethodAppend, link.AppendRequest{Shard: shard, Charges: charges}, &out)
	if err != nil {
		s.startCooldown(owner.ID)
		return 0, err
	}
	return out.Floor, nil
}

// owner returns the first router that is not in cooldown; if all are, the first.
func (s *Sender) owner(shard int) (vm.VM, bool) {
	routers := s.View.Routers()
	byID := map[string]vm.VM{}
	ids := make([]string, len(routers))
	for i, r := range routers {
		byID[r.ID], ids[i] = r, r.ID
	}
	ranked := rendezvous.Rank(fmt.Sprintf("ledger/%d", shard), ids)
	if len(ranked) == 0 {
		return vm.VM{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, id := range ranked {
		if now.After(s.cooldowns[id]) {
			return byID[id], true
		}
	}
	return byID[ranked[0]], true
}

func (s *Sender) startCooldown(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cooldowns == nil {
		s.cooldowns = map[string]time.Time{}
	}
	s.cooldowns[id] = time.Now().Add(cooldown)
}
