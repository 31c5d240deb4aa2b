package gateway

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
)

// UpstreamChanged implements directory.Reporter.
func (g *Gateway) UpstreamChanged(u directory.Upstream) {
	g.Log.Info().Stringer("upstream", u.Incarnation).Str("service", u.Service).Str("version", u.Version).Str("address", u.Address).
		Str("datacentre", u.Datacentre).Bool("leaving", u.Leaving).Dur("cold_ms", u.Cold).Msg("upstream_changed")
}

// UpstreamReappeared implements directory.Reporter.
func (g *Gateway) UpstreamReappeared(u directory.Upstream, doubt time.Duration) {
	g.Log.Warn().Str("upstream", u.ID).Str("service", u.Service).Int64("not_used_ms", doubt.Milliseconds()).Msg("upstream_reappeared")
}

// UpstreamMissing implements directory.Reporter.
func (g *Gateway) UpstreamMissing(u directory.Upstream, live bool, missing, surviving int) {
	g.Log.Warn().Stringer("upstream", u.Incarnation).Str("service", u.Service).Bool("believed", live).
		Int("missing", missing).Int("kept", surviving).Msg("upstream_missing")
}

// UpstreamGone implements directory.Reporter.
func (g *Gateway) UpstreamGone(u directory.Upstream, reason string) {
	g.Log.Info().Stringer("upstream", u.Incarnation).Str("service", u.Service).Str("why", reason).Msg("upstream_gone")
}

// DirectoryLost implements directory.Reporter.
func (g *Gateway) DirectoryLost(err error) { g.upstreamWatch.RecordFailure(g.Log, "upstreams", err) }

// DirectoryRead implements directory.Reporter.
func (g *Gateway) DirectoryRead(count int) {
	g.upstreamWatch.RecordSuccess(g.Log, "upstreams")
	g.Log.Info().Int("count", count).Msg("upstreams_read")
}

// UpstreamUnreadable implements directory.Reporter.
func (g *Gateway) UpstreamUnreadable(err error) {
	g.RecordUnreadable("upstreams")
	g.Log.Error().Err(err).Msg("upstream_unreadable")
}

// dumpState is the state of a gateway in its dump.
type dumpState struct {
	Incarnation string `json:"life"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Active      int64  `json:"active_requests"`
	Version     int64  `json:"configuration_version"`
	Budgets     any    `json:"budgets"`
	Upstreams   any    `json:"upstreams"`
	// Drained are the data centres that get no new requests.
	Drained  []string `json:"emptied_datacentres"`
	Pool     any      `json:"pool"`
	Members  any      `json:"members"`
	Followed any      `json:"followed"`
	Relay    any      `json:"relay"`
	// Prompts are the prompts that are on trial, or proven to crash upstreams.
	Prompts any `json:"prompts"`
	// TrialWaits is the number of interrupted requests that wait for the trial of their prompt.
	TrialWaits int `json:"trial_waits"`
	// Rollouts are the moves of services to new versions.
	Rollouts any `json:"rollouts"`
	// Crowding is nil unless the settings let a crowded router hand callers over.
	Crowding *crowdingState `json:"crowding,omitempty"`
}

func (g *Gateway) dump() any {
	return dumpState{
		Incarnation: g.Incarnation, Ready: g.ready(), Stopping: g.stopping.Load(), Active: g.activeRequests.Load(),
		Version: g.configVersion(), Budgets: g.Budgets.State(), Upstreams: g.directory.All(), Drained: g.directory.Drained(),
		Pool: g.pool.States(), Members: g.Members.Members(), Followed: g.Follower.State(), Relay: g.Hub.State(),
		Prompts: g.prompts.registry.Restricted(time.Now()), TrialWaits: g.prompts.trials.count(), Rollouts: g.rollouts.state(),
		Crowding: g.crowdingState(time.Now()),
	}
}

// logStallProne logs that an engine is reserved for short prompts, or no longer.
func (g *Gateway) logStallProne(incarnation directory.Incarnation, stallProne bool, gapShare, slowness float64) {
	g.Log.Info().Stringer("upstream", incarnation).Bool("exposed", stallProne).Float64("pause_of_goal", gapShare).Float64("slowness", slowness).
		Msg("engine_left_to_short_prompts")
}

// logPanic logs a panic during an attempt.
func (g *Gateway) logPanic(r *serving.Request, t serving.Target, value, stack string) {
	g.Log.Error().Str("id", r.ID).Stringer("upstream", t.Incarnation).Str("value", value).Str("stack", stack).Msg("attempt_panicked")
}

// logStatement logs and counts what an upstream's answer says about it.
func (g *Gateway) logStatement(incarnation directory.Incarnation, request string, s serving.Statement) {
	g.metrics.upstreamStated(s)
	line := g.Log.Info()
	if s.Invalid != nil {
		line = g.Log.Warn().Err(s.Invalid)
	}
	line.Stringer("upstream", incarnation).Str("id", request).Bool("leaving", s.Leaving).Int64("rest_ms", s.Rest.Milliseconds()).Msg("upstream_says")
}

// recordRetryDecision logs and counts whether a retry of a request was allowed, with the figures
// that the decision is based on: the balance from requests at this router, the used part of this
// router's share of the extra retries, the number of routers that share them, and since when.
func (g *Gateway) recordRetryDecision(r *serving.Request, d retrybudget.Decision, share retrybudget.Share) {
	g.metrics.retryDecided(r.Service.Name, d.Allowed)
	var sharing time.Duration
	if share.Processes > 0 {
		sharing = time.Since(share.Since)
	}
	g.Log.Info().Str("id", r.ID).Str("service", r.Service.Name).Bool("allowed", d.Allowed).Float64("paid", d.Balance).
		Int("used", d.ExtraUsed).Int("part", d.ExtraShare).Int("routers", share.Processes).
		Int64("sharing_for_ms", sharing.Milliseconds()).Msg("repeat")
}
