// Package grant lets one process spend from prepaid budgets without a store call
// for each request. A Holder has grants: tokens that its row of the account
// assigns to it exclusively, and lots: tokens that a peer reserved for it from the
// peer's own grant. Requests reserve their worst case first, and settle what they
// used afterwards.
//
// Grants and lots do not expire. A partitioned holder may spend what it holds and no
// other holder may, so a pause or a partition of any length cannot make two holders
// spend the same tokens.
package grant

import (
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("grant")

var (
	// ErrInsufficientTokens says that the holder has too few tokens.
	ErrInsufficientTokens = errs.New("holder has too few tokens")
	// ErrExhausted says that the whole budget has too few tokens left, over all
	// holders and the free pool.
	ErrExhausted = errs.New("budget exhausted")
	// ErrAllReserved says that all that is left of the budget is reserved for requests in
	// progress. Some of it may come back unused; no other holder has any.
	ErrAllReserved = errs.New("all remaining tokens are reserved")
	// ErrUnreachable says that the budget may have tokens left, but none can be
	// reached now.
	ErrUnreachable = errs.New("no tokens reachable")
	// ErrFenced says that this incarnation was presumed dead and its grants were
	// recovered. It must not spend any more and must restart as a new incarnation.
	ErrFenced = errs.New("holder is fenced")
	// ErrPageClosed says that the page may lack grants, since the store was restored from an older copy, and
	// that its holders have not confirmed their rows yet.
	ErrPageClosed = errs.New("the budget's page is not confirmed since the store was restored")
	// ErrNoBudget says that the budget does not exist.
	ErrNoBudget = errs.New("no such budget")
)

// Part is an amount reserved from one source: reservation Seq of the row of Holder.
// Seq numbers are unique for a holder across its budgets.
type Part struct {
	Holder string `json:"holder"`
	Seq    int64  `json:"seq"`
	Tokens int64  `json:"tokens"`
}

// Reservation is the worst case of one request, reserved before any work starts.
type Reservation struct {
	Budget string `json:"budget"`
	Parts  []Part `json:"parts"`
}

// Tokens returns the reserved amount.
func (r Reservation) Tokens() int64 {
	var n int64
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Split attributes used tokens to the parts, in order. Router and agent both
// use it, so that their records agree on what each source paid. Used is capped
// at the reserved amount.
func (r Reservation) Split(used int64) []Part {
	out := make([]Part, len(r.Parts))
	for i, p := range r.Parts {
		n := min(used, p.Tokens)
		out[i] = Part{Holder: p.Holder, Seq: p.Seq, Tokens: n}
		used -= n
	}
	return out
}
