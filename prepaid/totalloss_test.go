package prepaid

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// A team that has paid for a minute of its demand: 20 streams a second.
const (
	streamInterval = 50 * time.Millisecond
	streamDuration = 3 * time.Second
	streamReserved = 1_500
	streamUsed     = 1_200
	minuteOfTokens = 1_500_000
)

// lossFleet counts what the streams of a team use while all processes end and start again.
type lossFleet struct {
	*regionFleet
	mu      sync.Mutex
	used    int64
	refused int
}

func newLossFleet(t *testing.T) *lossFleet {
	f := &lossFleet{regionFleet: newRegionFleet(t, map[string]int{"a": 4})}
	f.limits.Record("team", 1, minuteOfTokens)
	return f
}

// run starts streams for a time.
func (f *lossFleet) run(lasts time.Duration) {
	router := f.router("a")
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(streamInterval) {
		go f.stream(router)
	}
}

// stream uses streamUsed tokens, or all that it reserved if its router ends meanwhile.
func (f *lossFleet) stream(router *regionProcess) {
	ctx, cancel := context.WithTimeout(context.Background(), router.wait)
	defer cancel()
	res, err := router.acquirer.Acquire(ctx, "team", streamReserved)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused++
		return
	}
	time.Sleep(streamDuration)
	use := int64(streamUsed)
	if router.hasEnded() {
		use = streamReserved
	}
	router.holder.Settle(time.Now(), res, use)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used += use
}

// lost returns the share of what was paid that counts as used and was not, after a restart.
func (f *lossFleet) lost() float64 {
	account := f.page("team").Accounts["team"]
	counted := account.Settled()
	for holder, row := range account.Rows {
		if f.first("team").isDead(holder) {
			counted += row.Balance()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(f.t, counted, f.used, "what was used counts")
	return float64(counted-f.used) / minuteOfTokens
}

// Guards against a budget that is lost part by part when all processes end at the same moment several times. Nobody is left who
// reports what was used, so that all that the lenders held counts as used.
func TestLaterLossesOfAllProcessesCostLittle(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newLossFleet(t)
		var lost []float64
		for range 3 {
			f.run(10 * time.Second)
			f.restartAll()
			lost = append(lost, f.lost())
		}
		t.Logf("lost of what was paid, after each loss: %.4f", lost)
		require.Less(t, lost[0], 0.1, "the first loss")
		require.Less(t, lost[1]-lost[0], 0.02, "the second loss")
		require.Less(t, lost[2]-lost[1], 0.02, "the third loss")
		require.Zero(t, f.refused, "with a store that answers nothing is refused")
	})
}

// Guards against bounds on losses that leave nothing for an outage of the store: it fails without warning, before
// anything was lost.
func TestSilentStoreIsBridgedBeforeAnyLoss(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newLossFleet(t)
		f.run(5 * time.Second)
		f.setStoreCut("a", true)
		f.run(2 * time.Second)
		f.setStoreCut("a", false)
		require.Zero(t, f.refused)
	})
}
