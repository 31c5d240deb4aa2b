package gateway

import (
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/platform"
)

// UpstreamChanged implements directory.Reporter.
func (g *Gateway) UpstreamChanged(u directory.Upstream) {
	g.log.Info().Str("upstream", u.ID).Str("service", u.Service).Str("address", u.Address).
		Str("datacentre", u.Datacentre).Bool("leaving", u.Leaving).Msg("upstream_changed")
}

// UpstreamGone implements directory.Reporter.
func (g *Gateway) UpstreamGone(u directory.Upstream, why string) {
	g.log.Info().Str("upstream", u.ID).Str("service", u.Service).Str("why", why).Msg("upstream_gone")
}

// dependency is something outside that is followed. Its loss and its return are one log
// line each, however often it is tried in between.
type dependency struct{ lost atomic.Bool }

// fails logs the loss.
func (d *dependency) fails(g *Gateway, what string, err error) {
	if !d.lost.Swap(true) {
		g.log.Warn().Err(err).Str("of", what).Msg("lost")
	}
}

// answers logs the return.
func (d *dependency) answers(g *Gateway, what string) {
	if d.lost.Swap(false) {
		g.log.Info().Str("of", what).Msg("regained")
	}
}

// DirectoryLost implements directory.Reporter.
func (g *Gateway) DirectoryLost(err error) { g.upstreamEntries.fails(g, "upstreams", err) }

// DirectoryRead implements directory.Reporter.
func (g *Gateway) DirectoryRead(count int) {
	g.upstreamEntries.answers(g, "upstreams")
	g.log.Info().Int("count", count).Msg("upstreams_read")
}

// UpstreamUnreadable implements directory.Reporter.
func (g *Gateway) UpstreamUnreadable(err error) {
	g.log.Error().Err(err).Msg("upstream_unreadable")
}

// MembersChanged implements member.Reporter.
func (g *Gateway) MembersChanged(count int) {
	g.log.Info().Int("routers", count).Msg("routers_changed")
}

// MembersLost implements member.Reporter.
func (g *Gateway) MembersLost(err error) { g.routerEntries.fails(g, "routers", err) }

// MembersRead implements member.Reporter.
func (g *Gateway) MembersRead() { g.routerEntries.answers(g, "routers") }

// configReader puts configurations in force as they are read.
type configReader struct{ g *Gateway }

// Reset implements mirror.Reader.
func (c configReader) Reset(items []store.Item) {
	c.g.configuration.answers(c.g, "configuration")
	for _, it := range items {
		c.take(it)
	}
}

// Changed implements mirror.Reader. The configuration is never removed.
func (c configReader) Changed(e store.Event) {
	if !e.Deleted {
		c.take(e.Item)
	}
}

// Lost implements mirror.Reader.
func (c configReader) Lost(err error) { c.g.configuration.fails(c.g, "configuration", err) }

func (c configReader) take(it store.Item) {
	if it.Key != platform.ConfigKey {
		return
	}
	config, err := platform.DecodeConfig(it.Value)
	if err != nil {
		c.g.log.Error().Err(err).Msg("configuration_unreadable")
		return
	}
	raised := c.g.catalog.Raise(catalog.NewTable(config))
	c.g.log.Info().Int64("version", config.Version).Int64("revision", int64(it.Revision)).Bool("taken", raised).
		Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("configuration")
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
	Pool      any    `json:"pool"`
	Routers   any    `json:"routers"`
}

func (g *Gateway) dump() any {
	return state{
		Life: g.life, Ready: g.ready(), Stopping: g.stopping.Load(), Active: g.active.Load(),
		Version: g.version(), Budgets: g.budgets.holder.State(time.Now()), Upstreams: g.directory.All(),
		Pool: g.pool.States(), Routers: g.members.Members(),
	}
}
