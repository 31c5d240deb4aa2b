package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are answered long after their deadline: all engines are cold, their lenders
// do not respond, and the router asks one lender after the other, each with its own timeout.
func TestRequestEndsWithItsDeadlineWhileLendersAreSilent(t *testing.T) {
	const (
		engines  = 8
		deadline = 100 * time.Millisecond // less than the timeouts of three lenders
	)
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		var kills []func()
		for n := 1; n <= engines; n++ {
			f.upstream(fmt.Sprint("i-", n), "model", 5)
			_, kill := f.startLender(firstLender+n, fmt.Sprint("i-", n))
			kills = append(kills, kill)
		}
		f.startVM(1)
		time.Sleep(4 * time.Second)
		for n := 1; n <= engines; n++ {
			f.registerCold(fmt.Sprint("i-", n), "model", time.Minute)
		}
		f.settle()
		req := chat("c-1")
		require.Equal(t, 200, f.send(req).status)
		for _, kill := range kills {
			kill()
		}
		req = chat("c-2")
		req.deadline = deadline
		resp := f.send(req)
		require.NotEqual(t, 200, resp.status, "%+v", resp)
		require.LessOrEqual(t, resp.elapsed, deadline, "%+v", resp)
	})
}

// Guards against engines that get no requests for seconds because a caller with a short deadline did not
// wait for their lender's reply.
func TestShortDeadlineDoesNotExcludeALender(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putColdConfig("k1")
		f.upstream("i-1", "model", 5)
		_, kill := f.startLender(firstLender, "i-1")
		f.startVM(1)
		time.Sleep(4 * time.Second)
		f.registerCold("i-1", "model", time.Minute)
		f.settle()
		kill()
		synctest.Wait() // the router has observed that its connection was closed
		short := chat("c-1")
		short.deadline = 20 * time.Millisecond // half of a lender's timeout
		require.NotEqual(t, 200, f.send(short).status)
		f.network.SetBlackholed(address(firstLender, linkPort), false)
		f.settle() // the connection that is being opened is given up
		require.Equal(t, 200, f.send(chat("c-2")).status)
	})
}
