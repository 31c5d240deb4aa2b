package gateway_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startCrowdedFleet starts three routers and a lender, sends all prompts of a second to the first router, and lets its
// messages to other processes wait.
func startCrowdedFleet(f *fleet, queueing bool) {
	f.queueing = queueing
	f.putConfig(0, "k1")
	f.upstream("i-20", "model", 2)
	f.startLender(firstLender, "i-20")
	f.start()
	f.startVM(2)
	f.startVM(3)
	time.Sleep(5 * time.Second)
	for i := range 40 {
		require.Equal(f.t, 200, f.send(chat(fmt.Sprint("c", i))).status)
		time.Sleep(10 * time.Millisecond)
	}
	for range 100 {
		f.gateways[1].gateway.ObserveHeartbeat(time.Second)
	}
}

// Guards against a small VM that keeps the callers of a large team although it is behind and its neighbours are idle: it
// refuses what it would answer late, with a time at which another router takes it, and is ready for no new callers.
func TestCrowdedRouterHandsCallersOver(t *testing.T) {
	withFleet(t, func(f *fleet) {
		startCrowdedFleet(f, true)
		refused := 0
		for i := range 100 {
			resp := f.send(chat(fmt.Sprint("late-", i)))
			if resp.status == 200 {
				continue
			}
			refused++
			require.Equal(t, 429, resp.status)
			require.True(t, resp.closes)
			retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Less(t, retryAfter, 0.1)
			again := chat(fmt.Sprint("again-", i))
			again.vm = 2
			require.Equal(t, 200, f.send(again).status)
		}
		require.Positive(t, refused)
		for range 100 {
			f.gateways[1].gateway.ObserveHeartbeat(time.Second)
			time.Sleep(5 * time.Millisecond)
		}
		require.Equal(t, 503, f.readyStatus())
		require.Contains(t, f.log.String(), "router_crowded")
		time.Sleep(10 * time.Second)
		require.Equal(t, 200, f.readyStatus())
	})
}

// In a fleet without queueing a router that is behind refuses only by its lag, as before.
func TestRouterKeepsCallersWithoutQueueing(t *testing.T) {
	withFleet(t, func(f *fleet) {
		startCrowdedFleet(f, false)
		for i := range 50 {
			require.Equal(t, 200, f.send(chat(fmt.Sprint("late-", i))).status)
		}
		require.Equal(t, 200, f.readyStatus())
	})
}
