package directory

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// placed has upstreams a and b in bergen and c in oslo.
func placed(now *time.Time) *Directory {
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

// What a process may believe of a data centre that is emptied, whatever else happens: nothing new
// goes there from the order on until it is taken back, however old the order is.
func TestEmptiedDatacentres(t *testing.T) {
	for name, row := range map[string]struct {
		happens func(d *Directory, now *time.Time)
		listed  []string
	}{
		"no order": {func(*Directory, *time.Time) {}, []string{"a", "b", "c"}},
		"one":      {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}) }, []string{"c"}},
		"twice":    {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}); d.SetDrained([]string{"bergen"}) }, []string{"c"}},
		"overlapping": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.SetDrained([]string{"bergen", "oslo"})
			d.SetDrained([]string{"oslo"})
		}, []string{"a", "b"}},
		"all":            {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen", "oslo"}) }, nil},
		"taken back":     {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"bergen"}); d.SetDrained(nil) }, []string{"a", "b", "c"}},
		"an unknown one": {func(d *Directory, _ *time.Time) { d.SetDrained([]string{"atlantis"}) }, []string{"a", "b", "c"}},
		"an upstream new": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Changed(store.Event{Item: entryOf("a", "ready@2")})
		}, []string{"c"}},
		"the store away": {func(d *Directory, now *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Lost(store.ErrUnknown)
			*now = now.Add(time.Minute)
		}, []string{"c"}},
		"entries lapsed": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Lost(store.ErrUnknown)
			d.Reset(nil)
		}, []string{"c"}},
		"before all reads": {func(d *Directory, _ *time.Time) {
			d.SetDrained([]string{"bergen"})
			d.Reset([]store.Item{entryOf("b", "ready"), entryOf("c", "ready")})
		}, []string{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := placed(&now)
			row.happens(d, &now)
			require.ElementsMatch(t, row.listed, ids(d))
		})
	}
}

// A router asks the process beside an upstream, and the data centre is emptied meanwhile. The
// upstream is not sent the request that was meant for it.
func TestUpstreamOfAnEmptiedDatacentreTakesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := placed(&now)
	chosen := d.ForService("s")
	d.SetDrained([]string{"bergen"})
	for _, u := range chosen {
		require.Equal(t, u.Datacentre == "oslo", d.Accepts(u))
	}
	require.Equal(t, 2, d.CountInDatacentre("bergen"))
	require.Equal(t, []string{"bergen"}, d.Drained())
}

// An upstream is cold for the time that its entry says, from when that was first heard. An entry
// that is read again after a loss of the store is old: taken for new, it would make the upstream
// cold once more.
func TestColdUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	d := directoryAt(&now)
	cold := 3 * time.Second
	d.Decode = func(it store.Item) (Upstream, error) {
		return Upstream{Incarnation: Incarnation{ID: "a"}, Service: "s", Cold: cold}, nil
	}
	heard := now
	d.Reset([]store.Item{entryOf("a", "")})
	require.Equal(t, heard.Add(cold), d.ForService("s")[0].ColdUntil)
	now = now.Add(time.Second)
	d.Lost(store.ErrUnknown)
	d.Reset([]store.Item{entryOf("a", "")})
	require.Equal(t, heard.Add(3*time.Second), d.ForService("s")[0].ColdUntil)
	cold = time.Second
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 2}})
	require.Equal(t, now.Add(time.Second), d.ForService("s")[0].ColdUntil)
	cold = 0
	d.Changed(store.Event{Item: store.Item{Key: "u/a", Revision: 3}})
	require.Zero(t, d.ForService("s")[0].ColdUntil)
}
