package gateway

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/rollout"
)

// restoredGrace is how long known orders are used rather than those of a restored store: operators write theirs again
// within moments.
const restoredGrace = 5 * time.Second

// uncertainOrder is an entry as a restored store has it, which takes effect unless it changes before.
type uncertainOrder struct {
	event store.Event
	until time.Time
}

// keepDrained changes the drain orders of a restored store to those known before: one that the copy lacks stays, and one that had
// ended does not begin anew.
func (o *operatorReader) keepDrained(listed map[string]store.Revision) {
	for datacentre, revision := range o.drained {
		if _, ok := listed[datacentre]; !ok {
			listed[datacentre] = revision
			o.doubt(store.Event{Item: store.Item{Key: platform.DrainPrefix + datacentre}, Deleted: true})
		}
	}
	for datacentre, revision := range listed {
		ended, ok := o.endedDrains[datacentre]
		if _, drained := o.drained[datacentre]; ok && !drained && ended.Number() == revision.Number() {
			delete(listed, datacentre)
			o.doubt(store.Event{Item: store.Item{Key: platform.DrainPrefix + datacentre, Revision: revision}})
		}
	}
}

// recordEndedDrain records the revision of a drain order that was removed.
func (o *operatorReader) recordEndedDrain(datacentre string, revision store.Revision) {
	if o.endedDrains == nil {
		o.endedDrains = map[string]store.Revision{}
	}
	o.endedDrains[datacentre] = revision
}

// keepRollouts changes the roll-out orders of a restored store to those known before, under their new revisions.
func (o *operatorReader) keepRollouts(listed map[string]rollout.Order) {
	for service, have := range o.rollouts {
		order := listed[service]
		if !order.Withdrawn && order.IsAgain(have) {
			order.Earlier, order.Withdrawn = have.Revision, have.Withdrawn
			listed[service] = order
			continue
		}
		listed[service] = have
		key := platform.RolloutPrefix + service
		if order.Withdrawn || order.Version == "" {
			o.doubt(store.Event{Item: store.Item{Key: key}, Deleted: true})
		}
	}
}

// doubt records the entry of a restored store that differs from the known order.
func (o *operatorReader) doubt(e store.Event) {
	if o.uncertain == nil {
		o.uncertain = map[string]uncertainOrder{}
	}
	o.uncertain[e.Key] = uncertainOrder{event: e, until: time.Now().Add(restoredGrace)}
	o.g.Log.Info().Str("key", e.Key).Bool("removed", e.Deleted).Int64("grace_ms", restoredGrace.Milliseconds()).Msg("order_uncertain")
}

// applyUncertain applies the orders that did not change in time; it must be called a few times a second.
func (o *operatorReader) applyUncertain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, u := range o.uncertain {
		if time.Now().Before(u.until) {
			continue
		}
		delete(o.uncertain, key)
		u.event.Revision = max(u.event.Revision, o.knownRevision(key))
		o.changed(u.event)
	}
}

// knownRevision returns the revision of the known order under a key, so that the store's entry does not count as outdated.
func (o *operatorReader) knownRevision(key string) store.Revision {
	if service, ok := platform.RolloutService(key); ok {
		return o.rollouts[service].Revision
	}
	datacentre, _ := platform.DrainedDatacentre(key)
	return o.drained[datacentre]
}
