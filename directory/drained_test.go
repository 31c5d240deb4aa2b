package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// directoryWithDatacentres has upstreams a and b in bergen and c in oslo.
func directoryWithDatacentres(now *time.Time) *Directory {
	d := directoryAt(now)
	decode := d.Decode
	d.Decode = func(it store.Item) (Upstream, error) {
		u, err := decode(it)
		u.Datacentre = map[string]string{"a": "bergen", "b": "bergen", "c": "oslo"}[u.ID]
		return u, err
	}
	d.Reset([]store.Item{entryOf("a", "ready"), entryOf("b", "ready"), entryOf("c", "ready")})
	return d
}

// A drained data centre gets no new requests until the drain is canceled, whatever else happens
// and however old the order is.
func TestDrainedDatacentres(t *testing.T) {
	for name, row := range map[string]struct {
		happens func(d *Directory, now *time.Time)
		listed  []string
	}{
		"no order":        {func(*Directory, *time.Time) {}, []string{"a", "b", "c"}},
		"one data centre": {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}) }, []string{"c"}},
		"twice":           {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}); d.SetDrained([]string{"bergen"}) }, []string{"c"}},
		"overlapping": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.SetDrained([]string{"bergen", "oslo"})
			d.SetDrained([]string{"oslo"})
		}, []string{"a", "b"}},
		"all":                 {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen", "oslo"}) }, nil},
		"drain canceled":      {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}); d.SetDrained(nil) }, []string{"a", "b", "c"}},
		"unknown data centre": {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"atlantis"}) }, []string{"a", "b", "c"}},
		"new incarnation": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Changed(store.Event{Item: entryOf("a", "ready@2")})
		}, []string{"c"}},
		"store unavailable": {func(d *Directory, now *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Lost(store.ErrUnknown)
			*now = now.Add(time.Minute)
		}, []string{"c"}},
		"entries expired": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Lost(store.ErrUnknown)
			d.Reset(nil)
		}, []string{"c"}},
		"drained before a read": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Reset([]store.Item{entryOf("b", "ready"), entryOf("c", "ready")})
		}, []string{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := directoryWithDatacentres(&now)
			row.happens(d, &now)
			require.ElementsMatch(t, row.listed, ids(d))
		})
	}
}

// Guards against sending a request to an upstream whose data centre is drained while the router
// waits for the upstream's lender.
func TestUpstreamOfADrainedDatacentreTakesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryWithDatacentres(&now)
	chosen := d.ForService("s")
	d.SetDrained([]string{"bergen"})
	for _, u := range chosen {
		require.Equal(t, u.Datacentre == "oslo", d.Accepts(u))
	}
	require.Equal(t, 2, d.CountInDatacentre("bergen"))
	require.Equal(t, []string{"bergen"}, d.Drained())
}

// Guards against making an upstream cold again because its entry is read again after a loss of the
// store. The cold time starts when the entry is first read.
func TestColdUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	cold := 3 * time.Second
	d.Decode = func(it store.Item) (Upstream, error) {
		return Upstream{Incarnation: Incarnation{ID: "a"}, Service: "s", Cold: cold}, nil
	}
	firstRead := now
	d.Reset([]store.Item{entryOf("a", "")})
	require.Equal(t, firstRead.Add(cold), d.ForService("s")[0].ColdUntil)
	now = now.Add(time.Second)
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{entryOf("a", "")})
	require.Equal(t, firstRead.Add(3*time.Second), d.ForService("s")[0].ColdUntil)
	cold = time.Second
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 2}})
	require.Equal(t, now.Add(time.Second), d.ForService("s")[0].ColdUntil)
	cold = 0
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 3}})
	require.Zero(t, d.ForService("s")[0].ColdUntil)
}
