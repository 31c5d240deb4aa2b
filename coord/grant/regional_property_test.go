package grant_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lenderRegions is the part of a fleet with two regions, each of which has one lender.
type lenderRegions struct {
	fleet *lenderFleet
	// lacking says that tokens are lacking in the other region.
	lacking bool

	mu sync.Mutex
	// written are all pages as they were written, oldest first.
	written []store.Item
}

func (r *lenderRegions) policy() *grant.RegionalPolicy {
	if r == nil {
		return nil
	}
	return &grant.RegionalPolicy{Lacking: func(string) bool { return r.lacking }, KeptHorizon: 500 * time.Millisecond, IdleAfter: time.Second}
}

// use makes a process ask the lender of its region first, and records the pages that it writes.
func (r *lenderRegions) use(p *process, peers *grant.PeerGranter) {
	if r == nil {
		return
	}
	own := r.fleet.started % 2
	peers.Peers = func(string) []string { return []string{r.fleet.lenders[own].id} }
	peers.OtherRegions = func(string) [][]string { return [][]string{{r.fleet.lenders[1-own].id}} }
	p.pages.OnWrite = func(page store.Item) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.written = append(r.written, page)
	}
	p.pages.TimingOf = func(string) grant.Timing {
		t := p.pages.Timing
		if r.fleet.lenders[0] != p {
			t.Report, t.Rebalance, t.LowBackoff = 2*t.Report, 2*t.Rebalance, 2*t.LowBackoff
		}
		return t
	}
}

// deliverPage delivers a written page, mostly the newest, to a lender. Messages may be late, repeated and out of order.
func (r *lenderRegions) deliverPage(t *rapid.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.written) == 0 {
		return
	}
	i := len(r.written) - 1
	if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
		i = rapid.IntRange(0, i).Draw(t, "written page")
	}
	r.fleet.lender().pages.ObservePage(r.written[i])
}

// Guards against overspend, and against lenders that stop because they take an old copy of a page for the page, while two regions'
// primaries write the same page: regions are partitioned from each other and from the store, lenders die and change roles,
// messages with pages are late, repeated and out of order, and tokens go back and forth.
func TestNoOverspendWithRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			f.regions = &lenderRegions{fleet: f}
			f.all = nil
			for i := range f.lenders {
				f.lenders[i] = f.start("lender")
				f.routers[i] = f.start("router")
			}
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				f.step(t.Context())
				switch rapid.IntRange(0, 3).Draw(rt, "regional op") {
				case 0, 1:
					f.regions.deliverPage(rt)
				case 2:
					f.regions.lacking = !f.regions.lacking
				}
				for _, l := range f.all {
					l.pages.Wait() // no call continues in the next step
				}
				synctest.Wait()
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
				for _, l := range f.lenders {
					require.False(rt, l.holder.Fenced(), "nobody settles lenders here, so none may stop")
				}
			}
		})
	})
}
