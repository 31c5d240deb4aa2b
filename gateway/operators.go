package gateway

import (
	"maps"
	"slices"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/platform"
)

// operatorReader puts in force what operators write: configurations, and orders to empty data
// centres. Both are followed as one prefix, so that a router that knows a configuration knows
// the orders of the same moment too: one that starts would else send to a data centre that was
// emptied before. It implements mirror.Reader; its methods are called from one goroutine.
type operatorReader struct {
	g *Gateway
	// emptied are the data centres that are to get nothing, and the revisions that say so.
	emptied map[string]store.Revision
}

// Reset implements mirror.Reader.
func (o *operatorReader) Reset(items []store.Item) {
	o.g.configuration.Answers(o.g.Log, "configuration")
	emptied := map[string]store.Revision{}
	for _, it := range items {
		if _, ok := platform.EmptiedBy(it.Key); ok {
			emptied[o.datacentreOf(it)] = it.Revision
		}
	}
	o.setEmptied(emptied)
	for _, it := range items {
		o.configure(it)
	}
}

// Changed implements mirror.Reader. The configuration is never removed.
func (o *operatorReader) Changed(e store.Event) {
	if datacentre, ok := platform.EmptiedBy(e.Key); ok {
		o.order(datacentre, e)
		return
	}
	if !e.Deleted {
		o.configure(e.Item)
	}
}

// Lost implements mirror.Reader. What was known stays in force.
func (o *operatorReader) Lost(err error) { o.g.configuration.Fails(o.g.Log, "configuration", err) }

// order takes one order, or its end.
func (o *operatorReader) order(datacentre string, e store.Event) {
	have, emptied := o.emptied[datacentre]
	if emptied && e.Revision < have {
		return // told late: what is known is newer
	}
	next := maps.Clone(o.emptied)
	if e.Deleted {
		delete(next, datacentre)
	} else {
		next[o.datacentreOf(e.Item)] = e.Revision
	}
	o.setEmptied(next)
}

// datacentreOf decodes an order. One that cannot be read holds all the same.
func (o *operatorReader) datacentreOf(it store.Item) string {
	datacentre, err := platform.DecodeEmptying(it, o.g.settings.Regions)
	if have, known := o.emptied[datacentre]; err != nil && !(known && have == it.Revision) {
		o.g.Unreadable("orders")
		o.g.Log.Error().Err(err).Int64("revision", int64(it.Revision)).Msg("order_unreadable")
	}
	return datacentre
}

// setEmptied puts the orders in force, with a line for each one that came or was taken back.
func (o *operatorReader) setEmptied(next map[string]store.Revision) {
	before := o.emptied
	o.emptied = next
	o.g.directory.SetDrained(slices.Collect(maps.Keys(next)))
	for datacentre, revision := range next {
		if _, known := before[datacentre]; !known {
			o.logOrder(datacentre, true, revision)
		}
	}
	for datacentre, revision := range before {
		if _, still := next[datacentre]; !still {
			o.logOrder(datacentre, false, revision)
		}
	}
}

// logOrder says that a data centre gets nothing from now on, or work again. The revision is
// that of the order, the age how long ago the store was heard of.
func (o *operatorReader) logOrder(datacentre string, emptied bool, revision store.Revision) {
	o.g.Log.Info().Str("datacentre", datacentre).Bool("emptied", emptied).Int64("revision", int64(revision)).
		Dur("age_ms", o.g.Follower.State().Age).Int("upstreams", o.g.directory.CountInDatacentre(datacentre)).Msg("datacentre_emptied")
}

// configure puts a configuration in force, unless it is older than the one there is.
func (o *operatorReader) configure(it store.Item) {
	if it.Key != platform.ConfigKey {
		return
	}
	config, err := platform.DecodeConfig(it.Value)
	if err != nil {
		o.g.Unreadable("configuration")
		o.g.Log.Error().Err(err).Msg("configuration_unreadable")
		return
	}
	for _, problem := range platform.CheckRegions(config, o.g.settings.Regions) {
		o.g.Unreadable("regions")
		o.g.Log.Error().Err(problem).Int64("version", config.Version).Msg("region_unknown")
	}
	raised := o.g.catalog.UpdateIfNewer(catalog.NewTable(config))
	o.g.Log.Info().Int64("version", config.Version).Int64("revision", int64(it.Revision)).Bool("taken", raised).
		Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("configuration")
}
