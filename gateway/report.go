package gateway

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/retrybudget"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/serving"
)

// UpstreamChanged implements directory.Reporter.
func (g *Gateway) UpstreamChanged(u directory.Upstream) {
	g.Log.Info().Stringer("upstream", u.Incarnation).Str("service", u.Service).Str("address", u.Address).
		Str("datacentre", u.Datacentre).Bool("leaving", u.Leaving).Dur("cold_ms", u.Cold).Msg("upstream_changed")
}

// UpstreamMissing implements directory.Reporter.
func (g *Gateway) UpstreamMissing(u directory.Upstream, believed bool, missing, kept int) {
	g.Log.Warn().Stringer("upstream", u.Incarnation).Str("service", u.Service).Bool("believed", believed).
		Int("missing", missing).Int("kept", kept).Msg("upstream_missing")
}

// UpstreamGone implements directory.Reporter.
func (g *Gateway) UpstreamGone(u directory.Upstream, why string) {
	g.Log.Info().Stringer("upstream", u.Incarnation).Str("service", u.Service).Str("why", why).Msg("upstream_gone")
}

// DirectoryLost implements directory.Reporter.
func (g *Gateway) DirectoryLost(err error) { g.upstreamEntries.Fails(g.Log, "upstreams", err) }

// DirectoryRead implements directory.Reporter.
func (g *Gateway) DirectoryRead(count int) {
	g.upstreamEntries.Answers(g.Log, "upstreams")
	g.Log.Info().Int("count", count).Msg("upstreams_read")
}

// UpstreamUnreadable implements directory.Reporter.
func (g *Gateway) UpstreamUnreadable(err error) {
	g.Unreadable("upstreams")
	g.Log.Error().Err(err).Msg("upstream_unreadable")
}

// state is a gateway as dumps show it.
type state struct {
	Life      string `json:"life"`
	Ready     bool   `json:"ready"`
	Stopping  bool   `json:"stopping"`
	Active    int64  `json:"active_requests"`
	Version   int64  `json:"configuration_version"`
	Budgets   any    `json:"budgets"`
	Upstreams any    `json:"upstreams"`
	// Emptied are the data centres that get nothing new.
	Emptied  []string `json:"emptied_datacentres"`
	Pool     any      `json:"pool"`
	Members  any      `json:"members"`
	Followed any      `json:"followed"`
	Relay    any      `json:"relay"`
	// Prompts are those that upstreams ended under, on trial or proven.
	Prompts any `json:"prompts"`
}

func (g *Gateway) dump() any {
	return state{
		Life: g.Life, Ready: g.ready(), Stopping: g.stopping.Load(), Active: g.active.Load(),
		Version: g.version(), Budgets: g.Budgets.State(), Upstreams: g.directory.All(), Emptied: g.directory.Drained(),
		Pool: g.pool.States(), Members: g.Members.Members(), Followed: g.Follower.State(), Relay: g.Hub.State(),
		Prompts: g.prompts.register.Restricted(time.Now()),
	}
}

// engineExposed logs that an engine is left to short prompts, or not any more.
func (g *Gateway) engineExposed(life directory.Incarnation, exposed bool, heldUp, slowness float64) {
	g.Log.Info().Stringer("upstream", life).Bool("exposed", exposed).Float64("pause_of_goal", heldUp).Float64("slowness", slowness).
		Msg("engine_left_to_short_prompts")
}

// repeatDecided logs and counts whether one more send of a request was allowed, with what the
// bound was computed from: the repeats that requests here had paid for, what was used of this
// router's part of the rest, among how many routers that is divided, and since when.
func (g *Gateway) repeatDecided(r *serving.Request, d retrybudget.Decision, share retrybudget.Share) {
	g.metrics.repeat(r.Service.Name, d.Allowed)
	var sharing time.Duration
	if share.Processes > 0 {
		sharing = time.Since(share.Since)
	}
	g.Log.Info().Str("id", r.ID).Str("service", r.Service.Name).Bool("allowed", d.Allowed).Float64("paid", d.Balance).
		Int("used", d.ExtraUsed).Int("part", d.ExtraShare).Int("routers", share.Processes).
		Int64("sharing_for_ms", sharing.Milliseconds()).Msg("repeat")
}
