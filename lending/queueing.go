package lending

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/link"
)

// maxRank and maxWait bound what another process may ask for.
const (
	maxRank = 1000
	maxWait = time.Second
)

// urgencyOf returns the urgency that a request names; processes without the fields do not wait.
func urgencyOf(in link.LendRequest) grant.Urgency {
	wait := time.Duration(max(0, min(in.WaitMS, maxWait.Milliseconds()))) * time.Millisecond
	return grant.Urgency{Rank: max(0, min(in.Rank, maxRank)), Wait: wait}
}

// cancelLend takes a request whose caller is gone out of the queue, or takes back its lot.
func (e *Endpoint) cancelLend(_ context.Context, in link.CancelLendRequest) (link.Empty, error) {
	e.Holder.CancelLend(e.Now(), in.Budget, in.ID, in.Borrower)
	return link.Empty{}, nil
}

// sendCancel tells a lender that the reply to a request is not used. Without it the lot would be missing there until the next
// AuditLots, which takes it back if this message is lost too.
func (e *Endpoint) sendCancel(ctx context.Context, addr string, in link.LendRequest) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	_ = e.Links.Call(ctx, addr, link.MethodCancelLend, link.CancelLendRequest{Borrower: in.Borrower, Budget: in.Budget, ID: in.ID}, nil)
}

// ReturnScarceLots returns the idle lots of scarce budgets, with one message to each lender. The messages are sent at once: the
// requests that wait at one lender do not wait for the timeout of another. Lots whose message fails are sent again by ReturnLots.
func (e *Endpoint) ReturnScarceLots(ctx context.Context) {
	var sent sync.WaitGroup
	for lender, lots := range byLender(e.Holder.CloseScarceLots()) {
		sent.Go(func() { e.returnTo(ctx, lender, lots) })
	}
	sent.Wait()
}

func byLender(lots []grant.LotReturn) map[string][]grant.LotReturn {
	out := map[string][]grant.LotReturn{}
	for _, r := range lots {
		out[r.Lender] = append(out[r.Lender], r)
	}
	return out
}

// returnTo settles lots with their lender; those that it does not acknowledge are sent again.
func (e *Endpoint) returnTo(ctx context.Context, lender string, lots []grant.LotReturn) {
	if e.call(ctx, lender, link.MethodReturn, link.ReturnRequest{Lots: lots}, nil) != nil {
		return // sent again by the next call
	}
	for _, r := range lots {
		e.Holder.Acknowledge(r)
	}
}
