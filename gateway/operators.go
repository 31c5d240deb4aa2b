package gateway

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/rollout"
)

// operatorReader applies what operators write: configurations, orders to drain data centres, and orders to
// move services to new versions. They are followed as one prefix, so that a router has the configuration and the orders of the same
// revision: otherwise a starting router might send requests to a data centre that is already drained. It
// implements mirror.Reader; its methods are called from one goroutine.
type operatorReader struct {
	g *Gateway

	mu sync.Mutex
	// restored is set from a restoration of the store until the entries are read again. uncertain holds the orders of that read that
	// differ from those known before, by key: the copy may lack what operators wrote, and they write it again.
	restored  bool
	uncertain map[string]uncertainOrder
	// endedDrains holds the revisions of drain orders that were removed, by data centre.
	endedDrains map[string]store.Revision
	// drained are the drained data centres, with the revisions of their orders.
	drained map[string]store.Revision
	// rollouts are the roll-out orders by service; read is set after the first read.
	rollouts map[string]rollout.Order
	read     bool
}

// Reset implements mirror.Reader.
func (o *operatorReader) Reset(items []store.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.g.configWatch.RecordSuccess(o.g.Log, "configuration")
	if o.g.Store.Era() == 0 && !slices.ContainsFunc(items, func(it store.Item) bool { return it.Key == platform.ConfigKey }) {
		// Without a configuration no router serves. A store that was restored may have lost one.
		o.g.directory.NoRequestsUntil(time.Now())
	}
	drained := map[string]store.Revision{}
	for _, it := range items {
		if _, ok := platform.DrainedDatacentre(it.Key); ok {
			drained[o.decodeDrain(it)] = it.Revision
		}
	}
	rollouts := o.decodeRollouts(items)
	if o.restored {
		o.keepDrained(drained)
		o.keepRollouts(rollouts)
	}
	o.restored = false
	o.setDrained(drained)
	o.setRollouts(rollouts)
	o.read = true
	for _, it := range items {
		o.applyConfig(it)
	}
}

// Changed implements mirror.Reader. The configuration is never removed.
func (o *operatorReader) Changed(e store.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.uncertain, e.Key)
	o.changed(e)
}

func (o *operatorReader) changed(e store.Event) {
	if datacentre, ok := platform.DrainedDatacentre(e.Key); ok {
		o.applyDrain(datacentre, e)
		return
	}
	if service, ok := platform.RolloutService(e.Key); ok {
		o.applyRollout(service, e)
		return
	}
	if !e.Deleted {
		o.applyConfig(e.Item)
	}
}

// decodeRollouts returns the roll-out orders among items. An order that is missing was withdrawn.
func (o *operatorReader) decodeRollouts(items []store.Item) map[string]rollout.Order {
	orders := map[string]rollout.Order{}
	for service, order := range o.rollouts {
		order.Withdrawn = true
		orders[service] = order
	}
	for _, it := range items {
		if service, ok := platform.RolloutService(it.Key); ok {
			orders[service] = o.decodeRollout(service, it)
		}
	}
	maps.DeleteFunc(orders, func(_ string, order rollout.Order) bool { return order.Version == "" })
	return orders
}

// decodeRollout decodes an order. One that cannot be decoded is logged, and the order before it stays.
func (o *operatorReader) decodeRollout(service string, it store.Item) rollout.Order {
	order, err := platform.DecodeRolloutOrder(it)
	if err != nil {
		o.g.RecordUnreadable("orders")
		o.g.Log.Error().Err(err).Int64("revision", it.Revision.Number()).Msg("order_unreadable")
		return o.rollouts[service]
	}
	return order
}

// applyRollout applies a new roll-out order, or the removal of one.
func (o *operatorReader) applyRollout(service string, e store.Event) {
	have := o.rollouts[service]
	if e.Revision < have.Revision {
		return // an old event: the known order is newer
	}
	next := maps.Clone(o.rollouts)
	if next == nil {
		next = map[string]rollout.Order{}
	}
	order := have
	if e.Deleted {
		order.Withdrawn = true
	} else {
		order = o.decodeRollout(service, e.Item)
	}
	if order.IsAgain(have) && !have.Withdrawn {
		order.Earlier = have.Revision
	}
	if order.Version != "" {
		next[service] = order
	}
	o.setRollouts(next)
}

// setRollouts applies all roll-out orders. How long an order has existed is known only if it arrived while
// this router was running.
func (o *operatorReader) setRollouts(next map[string]rollout.Order) {
	o.rollouts = next
	o.g.rollouts.setOrders(next, o.read)
}

// Lost implements mirror.Reader. The last known state stays active.
func (o *operatorReader) Lost(err error) {
	o.mu.Lock()
	o.restored = o.restored || errors.Is(err, store.ErrRestored)
	o.mu.Unlock()
	o.g.configWatch.RecordFailure(o.g.Log, "configuration", err)
}

// applyDrain applies an order to drain a data centre, or the removal of one.
func (o *operatorReader) applyDrain(datacentre string, e store.Event) {
	have, isDrained := o.drained[datacentre]
	if isDrained && e.Revision < have {
		return // an old event: the known order is newer
	}
	next := maps.Clone(o.drained)
	if e.Deleted {
		delete(next, datacentre)
		o.recordEndedDrain(datacentre, have)
	} else {
		next[o.decodeDrain(e.Item)] = e.Revision
	}
	o.setDrained(next)
}

// decodeDrain returns the data centre of an order. An order that cannot be decoded is logged, and
// applies nevertheless.
func (o *operatorReader) decodeDrain(it store.Item) string {
	datacentre, err := platform.DecodeDrainOrder(it, o.g.settings.Regions)
	if have, known := o.drained[datacentre]; err != nil && !(known && have == it.Revision) {
		o.g.RecordUnreadable("orders")
		o.g.Log.Error().Err(err).Int64("revision", it.Revision.Number()).Msg("order_unreadable")
	}
	return datacentre
}

// setDrained applies the orders, and logs each one that was added or removed.
func (o *operatorReader) setDrained(next map[string]store.Revision) {
	before := o.drained
	o.drained = next
	o.g.directory.SetDrained(slices.Collect(maps.Keys(next)))
	for datacentre, revision := range next {
		if _, known := before[datacentre]; !known {
			o.logDrain(datacentre, true, revision)
		}
	}
	for datacentre, revision := range before {
		if _, still := next[datacentre]; !still {
			o.logDrain(datacentre, false, revision)
		}
	}
}

// logDrain logs that a data centre is drained, or no longer. The revision is that of the order, the
// age the time since the last contact with the store.
func (o *operatorReader) logDrain(datacentre string, drained bool, revision store.Revision) {
	o.g.Log.Info().Str("datacentre", datacentre).Bool("emptied", drained).Int64("revision", revision.Number()).
		Dur("age_ms", o.g.Follower.State().Age).Int("upstreams", o.g.directory.CountInDatacentre(datacentre)).Msg("datacentre_emptied")
}

// applyConfig activates a configuration, unless it is older than the active one.
func (o *operatorReader) applyConfig(it store.Item) {
	if it.Key != platform.ConfigKey {
		return
	}
	config, err := platform.DecodeConfig(it.Value)
	if err != nil {
		o.g.RecordUnreadable("configuration")
		o.g.Log.Error().Err(err).Msg("configuration_unreadable")
		return
	}
	for _, problem := range platform.CheckRegions(config, o.g.settings.Regions) {
		o.g.RecordUnreadable("regions")
		o.g.Log.Error().Err(problem).Int64("version", config.Version).Msg("region_unknown")
	}
	activated := o.g.catalog.UpdateIfNewer(catalog.NewTable(config))
	if activated {
		o.g.activeConfig.record(config.Version, it.Value)
	}
	from := o.g.Follower.State()
	o.g.Log.Info().Int64("version", config.Version).Int64("revision", it.Revision.Number()).Bool("taken", activated).
		Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Str("source", from.Source).
		Int64("age_ms", from.Age.Milliseconds()).Int64("held_ms", from.Held.Milliseconds()).Int64("delay_ms", from.Delay.Milliseconds()).Msg("configuration")
}
