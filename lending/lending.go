// Package lending moves prepaid tokens between the processes of a fleet without the
// store: the lender reserves a lot out of its own grant, the borrower spends from it and
// settles it. coord/grant implements the rules; this package sends and handles the messages.
package lending

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/link"
)

// Caller sends one message to another process.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Endpoint sends and handles the lending messages of one process, as lender and as borrower.
type Endpoint struct {
	Holder *grant.Holder
	Links  Caller
	// Address returns the address of a process by the name of its VM or of one of its
	// incarnations; false if it is unknown.
	Address func(name string) (string, bool)
	// Acquirer acquires tokens of a budget for a peer that requests more than are spendable.
	// It may be nil: then a peer gets only spendable tokens.
	Acquirer *grant.Acquirer
	// Limit returns the operators' limit on a budget and the version of the
	// configuration that sets it, which are sent with each request for tokens. It may
	// be nil if the lenders read the configuration themselves.
	Limit func(budget string) (version, tokens int64)
	// Timeout bounds one message.
	Timeout time.Duration
	// Now is the clock.
	Now func() time.Time
}

// Methods returns the handlers of messages from other processes.
func (e *Endpoint) Methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodLend:       link.Handle(e.lend),
		link.MethodCancelLend: link.Handle(e.cancelLend),
		link.MethodReturn:     link.Handle(e.takeBack),
		link.MethodDisown:     link.Handle(e.disown),
		link.MethodBorrowed:   link.Handle(e.borrowed),
	}
}

func (e *Endpoint) lend(ctx context.Context, in link.LendRequest) (grant.Lot, error) {
	if e.Acquirer != nil {
		u := urgencyOf(in)
		ctx, cancel := context.WithTimeout(grant.WithUrgency(ctx, u), e.Timeout+u.Wait)
		defer cancel()
		return e.Acquirer.Lend(ctx, in.Budget, in.ID, in.Borrower, in.Need, in.Want)
	}
	return e.Holder.Lend(e.Now(), in.Budget, in.ID, in.Borrower, in.Need, in.Want)
}

// takeBack settles lots. Those of an earlier incarnation are ignored: the recovery of
// its row settles them.
func (e *Endpoint) takeBack(_ context.Context, in link.ReturnRequest) (link.Empty, error) {
	for _, r := range in.Lots {
		if r.Lender == e.Holder.ID() {
			e.Holder.TakeBack(e.Now(), r)
		}
	}
	return link.Empty{}, nil
}

// disown answers only for this incarnation: recovery determines what an earlier one did
// with its lots.
func (e *Endpoint) disown(_ context.Context, in link.DisownRequest) (link.DisownReply, error) {
	if in.Borrower != e.Holder.ID() {
		return link.DisownReply{}, nil
	}
	return link.DisownReply{Parts: e.Holder.Disown(in.Parts)}, nil
}

// borrowed answers only for this incarnation: the usage of an earlier one is unknown.
func (e *Endpoint) borrowed(_ context.Context, in link.BorrowedRequest) (grant.Borrowed, error) {
	if in.Borrower != e.Holder.ID() {
		return grant.Borrowed{}, nil
	}
	return e.Holder.BorrowedFrom(in.Lender), nil
}

// AskConfirmation asks a process at an address to confirm what it holds. The address is passed because the process may not be
// listed any more.
func (e *Endpoint) AskConfirmation(ctx context.Context, address string, in link.ConfirmRequest) (link.ConfirmReply, error) {
	var out link.ConfirmReply
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	err := e.Links.Call(ctx, address, link.MethodConfirm, in, &out)
	return out, err
}

// AnnounceHoldings sends what this process holds to the one at an address.
func (e *Endpoint) AnnounceHoldings(ctx context.Context, address string, in link.HoldingsNotice, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.Links.Call(ctx, address, link.MethodHoldings, in, &link.Empty{})
}

// AnnounceEnd announces to the process at an address that this one ends.
func (e *Endpoint) AnnounceEnd(ctx context.Context, address string) error {
	return e.Links.Call(ctx, address, link.MethodEnded, link.EndedNotice{Holder: e.Holder.ID()}, &link.Empty{})
}

// AskBorrowed requests a borrower's final usage report on a dead lender.
func (e *Endpoint) AskBorrowed(ctx context.Context, borrower, lender string) (grant.Borrowed, error) {
	var out grant.Borrowed
	err := e.call(ctx, borrower, link.MethodBorrowed, link.BorrowedRequest{Borrower: borrower, Lender: lender}, &out)
	return out, err
}

// SendLimits sends this lender's exposure limits to a witness.
func (e *Endpoint) SendLimits(ctx context.Context, witness string, notice settlement.Notice) error {
	return e.call(ctx, witness, link.MethodLimits, notice, nil)
}

// AskLimits requests the exposure limits of a lender that is gone from a witness.
func (e *Endpoint) AskLimits(ctx context.Context, witness string, in link.LimitsRequest) (settlement.WitnessAnswer, error) {
	var out settlement.WitnessAnswer
	err := e.call(ctx, witness, link.MethodWitnessLimits, in, &out)
	return out, err
}

// Lend implements grant.Lender: it requests a lot from a peer.
func (e *Endpoint) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	addr, ok := e.Address(peer)
	if !ok {
		return grant.Lot{}, link.Error.Wrap(link.ErrDown)
	}
	in := link.LendRequest{Borrower: e.Holder.ID(), Budget: budget, ID: id, Need: need, Want: want}
	u := grant.UrgencyOf(ctx)
	in.Rank, in.WaitMS = u.Rank, u.Wait.Milliseconds()
	if e.Limit != nil {
		in.Version, in.Limit = e.Limit(budget)
	}
	var out grant.Lot
	err := e.Links.Call(ctx, addr, link.MethodLend, in, &out)
	if u.Wait > 0 && errors.Is(err, link.ErrDown) {
		go e.sendCancel(context.WithoutCancel(ctx), addr, in)
	}
	return out, err
}

// Probe checks whether a peer answers before the context ends, with a disown request for no lots.
func (e *Endpoint) Probe(ctx context.Context, peer string) error {
	addr, ok := e.Address(peer)
	if !ok {
		return link.Error.Wrap(link.ErrDown)
	}
	var out link.DisownReply
	return e.Links.Call(ctx, addr, link.MethodDisown, link.DisownRequest{Borrower: peer}, &out)
}

// ReturnLots settles the lots that were not used for the idle time with their lenders, with
// one message to each lender. Lots whose message fails are sent again by the next call.
func (e *Endpoint) ReturnLots(ctx context.Context, idle time.Duration) {
	for lender, lots := range byLender(e.Holder.CloseLots(e.Now().Add(-idle))) {
		e.returnTo(ctx, lender, lots)
	}
}

// AuditLots queries borrowers about the lots lent to them, and takes back those whose
// reply was lost: without it such a lot would stay open forever.
func (e *Endpoint) AuditLots(ctx context.Context) {
	for borrower, parts := range e.Holder.LentLots() {
		var out link.DisownReply
		in := link.DisownRequest{Borrower: borrower, Parts: parts}
		if e.call(ctx, borrower, link.MethodDisown, in, &out) != nil {
			continue // queried again by the next call
		}
		for _, p := range out.Parts {
			e.Holder.TakeBackLost(e.Now(), p)
		}
	}
}

func (e *Endpoint) call(ctx context.Context, peer, method string, in, out any) error {
	addr, ok := e.Address(peer)
	if !ok {
		return link.Error.Wrap(link.ErrDown)
	}
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	return e.Links.Call(ctx, addr, method, in, out)
}
