// Package lending moves prepaid tokens between the processes of a fleet without the
// store: the lender reserves a lot out of its own grant, the borrower spends from it and
// settles it. coord/grant implements the rules; this package sends and handles the messages.
package lending

import (
	"context"
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
func (d *Endpoint) Methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodLend:     link.Handle(d.lend),
		link.MethodReturn:   link.Handle(d.takeBack),
		link.MethodDisown:   link.Handle(d.disown),
		link.MethodBorrowed: link.Handle(d.borrowed),
	}
}

func (d *Endpoint) lend(ctx context.Context, in link.LendRequest) (grant.Lot, error) {
	if d.Acquirer != nil {
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		return d.Acquirer.Lend(ctx, in.Budget, in.ID, in.Borrower, in.Need, in.Want)
	}
	return d.Holder.Lend(d.Now(), in.Budget, in.ID, in.Borrower, in.Need, in.Want)
}

// takeBack settles lots. Those of an earlier incarnation are ignored: the recovery of
// its row settles them.
func (d *Endpoint) takeBack(_ context.Context, in link.ReturnRequest) (link.Empty, error) {
	for _, r := range in.Lots {
		if r.Lender == d.Holder.ID() {
			d.Holder.TakeBack(d.Now(), r)
		}
	}
	return link.Empty{}, nil
}

// disown answers only for this incarnation: recovery determines what an earlier one did
// with its lots.
func (d *Endpoint) disown(_ context.Context, in link.DisownRequest) (link.DisownReply, error) {
	if in.Borrower != d.Holder.ID() {
		return link.DisownReply{}, nil
	}
	return link.DisownReply{Parts: d.Holder.Disown(in.Parts)}, nil
}

// borrowed answers only for this incarnation: the usage of an earlier one is unknown.
func (d *Endpoint) borrowed(_ context.Context, in link.BorrowedRequest) (grant.Borrowed, error) {
	if in.Borrower != d.Holder.ID() {
		return grant.Borrowed{}, nil
	}
	return d.Holder.BorrowedFrom(in.Lender), nil
}

// AskBorrowed requests a borrower's final usage report on a dead lender.
func (d *Endpoint) AskBorrowed(ctx context.Context, borrower, lender string) (grant.Borrowed, error) {
	var out grant.Borrowed
	err := d.call(ctx, borrower, link.MethodBorrowed, link.BorrowedRequest{Borrower: borrower, Lender: lender}, &out)
	return out, err
}

// SendLimits sends this lender's exposure limits to a witness.
func (d *Endpoint) SendLimits(ctx context.Context, witness string, notice settlement.Notice) error {
	return d.call(ctx, witness, link.MethodLimits, notice, nil)
}

// AskLimits requests the exposure limits of a lender that is gone from a witness.
func (d *Endpoint) AskLimits(ctx context.Context, witness string, in link.LimitsRequest) (settlement.WitnessAnswer, error) {
	var out settlement.WitnessAnswer
	err := d.call(ctx, witness, link.MethodTestify, in, &out)
	return out, err
}

// Lend implements grant.Lender: it requests a lot from a peer.
func (d *Endpoint) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	addr, ok := d.Address(peer)
	if !ok {
		return grant.Lot{}, link.Error.Wrap(link.ErrDown)
	}
	in := link.LendRequest{Borrower: d.Holder.ID(), Budget: budget, ID: id, Need: need, Want: want}
	if d.Limit != nil {
		in.Version, in.Limit = d.Limit(budget)
	}
	var out grant.Lot
	err := d.Links.Call(ctx, addr, link.MethodLend, in, &out)
	return out, err
}

// Probe checks whether a peer answers before the context ends, with a disown request for no lots.
func (d *Endpoint) Probe(ctx context.Context, peer string) error {
	addr, ok := d.Address(peer)
	if !ok {
		return link.Error.Wrap(link.ErrDown)
	}
	var out link.DisownReply
	return d.Links.Call(ctx, addr, link.MethodDisown, link.DisownRequest{Borrower: peer}, &out)
}

// ReturnLots settles the lots that were not used for the idle time with their lenders, with
// one message to each lender. Lots whose message fails are sent again by the next call.
func (d *Endpoint) ReturnLots(ctx context.Context, idle time.Duration) {
	byLender := map[string][]grant.LotReturn{}
	for _, r := range d.Holder.CloseLots(d.Now().Add(-idle)) {
		byLender[r.Lender] = append(byLender[r.Lender], r)
	}
	for lender, lots := range byLender {
		if d.call(ctx, lender, link.MethodReturn, link.ReturnRequest{Lots: lots}, nil) != nil {
			continue // sent again by the next call
		}
		for _, r := range lots {
			d.Holder.Acknowledge(r)
		}
	}
}

// AuditLots queries borrowers about the lots lent to them, and takes back those whose
// reply was lost: without it such a lot would stay open forever.
func (d *Endpoint) AuditLots(ctx context.Context) {
	for borrower, parts := range d.Holder.LentLots() {
		var out link.DisownReply
		in := link.DisownRequest{Borrower: borrower, Parts: parts}
		if d.call(ctx, borrower, link.MethodDisown, in, &out) != nil {
			continue // queried again by the next call
		}
		for _, p := range out.Parts {
			d.Holder.TakeBackLost(d.Now(), p)
		}
	}
}

func (d *Endpoint) call(ctx context.Context, peer, method string, in, out any) error {
	addr, ok := d.Address(peer)
	if !ok {
		return link.Error.Wrap(link.ErrDown)
	}
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	return d.Links.Call(ctx, addr, method, in, out)
}
