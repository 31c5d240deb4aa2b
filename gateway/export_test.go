package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/rollout"
)

// RolloutReport returns this router's report on a service's roll-out; false if it has no order.
func (g *Gateway) RolloutReport(service string) (rollout.Report, bool) {
	sr := (*g.rollouts.active.Load())[service]
	if sr == nil {
		return rollout.Report{}, false
	}
	return g.rollouts.newReport(sr), true
}

// ReceiveRolloutReport receives a report as from another router.
func (g *Gateway) ReceiveRolloutReport(ctx context.Context, report rollout.Report) (rollout.Directive, error) {
	return g.rollouts.deciders.handleReport(ctx, report)
}

// RolloutCandidates returns the incarnations that may decide on a service, best first.
func (g *Gateway) RolloutCandidates(service string) (ids []string) {
	for _, m := range g.rollouts.deciders.candidates(service) {
		ids = append(ids, m.ID)
	}
	return ids
}

// OwnIncarnation returns the router's incarnation.
func (g *Gateway) OwnIncarnation() string { return g.Incarnation }

// ObserveHeartbeat records the round trip of a heartbeat to another process.
func (g *Gateway) ObserveHeartbeat(took time.Duration) { g.Links.OnHeartbeat(took) }

// CanForward is canForward.
var CanForward = canForward

// RouterVMs returns the VMs of the routers that this one has in its list.
func (g *Gateway) RouterVMs() []string {
	return slices.Collect(maps.Keys(g.Members.Newest(prepaid.RoleRouter)))
}

// ConfigVersion returns the version of the active configuration.
func (g *Gateway) ConfigVersion() int64 { return g.configVersion() }

// UnseenUpstreams returns how old the oldest change of the list of upstreams is that the router may lack.
func (g *Gateway) UnseenUpstreams() time.Duration { return g.directory.Unseen() }
