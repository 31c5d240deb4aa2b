package gateway

import (
	"fmt"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/platform"
)

// What a router may conclude from its copy of what operators write, and for how long:
//
//   - The copy serves requests at any age. A router that is cut off from the store goes on with its routes, keys, weights, limits and
//     drained data centres; the follower (coord/relay) bounds how long a router that reaches any source lacks a change.
//   - It refuses a request for good only while the store has confirmed it within settings.Configuration.ApplyWithin. Until then
//     a change that allows the request may be in force, and the caller is asked to come again, at another router.

// configAge returns how long ago the store confirmed this router's copy of what operators write. The copy lacks no change that is older.
func (g *Gateway) configAge(now time.Time) time.Duration {
	return now.Sub(g.Follower.ConfirmedAt(platform.OperatorPrefix))
}

// checkConfirmed returns the refusal that the caller gets: one that is final because of the configuration is replaced while the
// configuration may be out of date.
func (g *Gateway) checkConfirmed(r *contract.Refusal, now time.Time) *contract.Refusal {
	age, limit := g.configAge(now), time.Duration(g.current.Load().Configuration.ApplyWithin)
	if r == nil || !isConfigured(r.Kind) || age <= limit {
		return r
	}
	out := contract.Refuse(contract.ConfigUnconfirmed, "this router may not have the configuration that is in force")
	out.Detail = fmt.Sprintf("%s: %s; the configuration was confirmed %d ms ago", r.Kind, r.Message, age.Milliseconds())
	return out
}

// isConfigured reports whether requests are refused with a kind because of the configuration, and could be allowed by a newer one.
func isConfigured(k contract.Kind) bool {
	switch k {
	case contract.UnknownPath, contract.Unauthorized, contract.BudgetExhausted, contract.HeadersTooLarge, contract.BodyTooLarge:
		return true
	}
	return false
}
