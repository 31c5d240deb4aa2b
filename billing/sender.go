// Package billing takes charges to the routers that own the ledger's shards.
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

// avoidTime is how long a router that did not answer is passed over.
const avoidTime = 3 * time.Second

// Sender is a ledger.Sender: it sends a shard's charges to the shard's owner, the
// first router by rendezvous. Any router may append to any shard, since the log is
// its own fence; one owner only keeps writers out of each other's way.
type Sender struct {
	// Self is this VM's id; Local appends here when it is the owner. Local is
	// nil in agents.
	Self  string
	Local func(ctx context.Context, shard int, charges []ledger.Charge) (int64, error)
	Links *link.Pool
	View  *vm.View
	// Timeout bounds one send.
	Timeout time.Duration

	mu    sync.Mutex
	avoid map[string]time.Time
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
		s.pass(owner.ID)
		return 0, err
	}
	return out.Floor, nil
}

// owner returns the first router that is not passed over; when all are, the first.
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
		if now.After(s.avoid[id]) {
			return byID[id], true
		}
	}
	return byID[ranked[0]], true
}

func (s *Sender) pass(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoid == nil {
		s.avoid = map[string]time.Time{}
	}
	s.avoid[id] = time.Now().Add(avoidTime)
}
