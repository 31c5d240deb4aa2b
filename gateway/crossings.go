package gateway

import (
	"fmt"

	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/rs/zerolog"
)

// severalRegions returns the distances of the data centres, nil unless they lie in several regions.
func (g *Gateway) severalRegions() *datacentre.Topology {
	if !g.Topology.SpansRegions() {
		return nil
	}
	return &g.Topology
}

// crossed counts what of an attempt crossed to another region.
func (m *gatewayMetrics) crossed(service string, c serving.Crossing) {
	if c.Region != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_region_crossings_total{service=%q,region=%q,reason=%q}", service, c.Region, c.Reason)).Inc()
	}
	if c.Fetched > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_region_fetched_tokens_total{service=%q}", service)).Add(int(c.Fetched))
	}
}

// logCrossing adds to a request's log line the region of its last upstream, if it is not the router's.
func logCrossing(line *zerolog.Event, attempts []serving.Attempt) *zerolog.Event {
	if len(attempts) == 0 {
		return line
	}
	c := attempts[len(attempts)-1].Crossing
	if c.Region != "" {
		line = line.Str("upstream_region", c.Region).Str("region_reason", string(c.Reason))
	}
	if c.Fetched > 0 {
		line = line.Int64("region_fetched", c.Fetched)
	}
	return line
}
