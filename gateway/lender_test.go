package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/lender"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// firstLender is the number of the first VM with a lender; the stand-in on that VM is at
// upstreamAddress("i-" + number).
const firstLender = 20

// lenderProcess is one running incarnation of a lender.
type lenderProcess struct {
	stop         context.CancelFunc
	done         chan error
	disconnected atomic.Bool // it cannot open connections
	// conns holds the connections that it accepted.
	conns sync.Map
}

// startLender starts a lender for the upstream upstreamID, or without an upstream if upstreamID is
// empty. stop stops it as planned, kill disconnects it for good, which looks like a sudden death
// to all other processes.
func (f *fleet) startLender(vm int, upstreamID string) (stop, kill func()) {
	return f.startLenderAs(fmt.Sprint("engine-", vm), vm, upstreamID)
}

// startLenderAs starts a lender on the VM called name, at the addresses of VM number vm.
func (f *fleet) startLenderAs(name string, vm int, upstreamID string) (stop, kill func()) {
	s := settings.DefaultLender()
	s.VM, s.Datacentre = name, "bergen"
	s.Listen = settings.LenderListen{Admin: address(vm, adminPort), Link: address(vm, linkPort)}
	s.Store.Address = storeAddress
	if upstreamID != "" {
		s.Upstream.Address = upstreamAddress(upstreamID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &lenderProcess{stop: cancel, done: make(chan error, 1)}
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if _, cut := f.disconnected.Load(vm); p.disconnected.Load() || cut && to == storeAddress {
			return nil, memnet.ErrRefused
		}
		conn, err := f.network.Dial(ctx, network, to)
		if err == nil && to == storeAddress {
			f.storeConns.Store(conn, vm)
		}
		if err == nil {
			f.openConns.Store(conn, to)
		}
		return conn, err
	}
	listen := func(network, address string) (net.Listener, error) {
		l, err := f.network.Listen(network, address)
		return &trackingListener{Listener: l, conns: &p.conns}, err
	}
	l := lender.New(&s, hosted.Network{Listen: listen, Dial: dial}, f.log, func() uint64 { return 0 })
	go func() { p.done <- l.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			p.stop()
			require.NoError(f.t, <-p.done)
		}
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	kill = func() {
		p.disconnected.Store(true)
		f.network.SetBlackholed(s.Listen.Link, true)
		p.conns.Range(func(conn, _ any) bool {
			_ = conn.(net.Conn).Close() // the peer may have closed it
			return true
		})
		f.disconnectFromStore(vm)
	}
	return stop, kill
}

// trackingListener records the connections that it accepts.
type trackingListener struct {
	net.Listener
	conns *sync.Map
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns.Store(c, true)
	}
	return c, err
}

// Guards against refusals when all routers lose the store for longer than their own tokens
// last. A lender that reaches both the store and the routers must keep all callers served.
func TestLenderServesRoutersWithoutTheStore(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		f.startVM(2)
		time.Sleep(6 * time.Second) // they discover each other
		send := func(vm int) int {
			req := chat("c")
			req.vm = vm
			return f.send(req).status
		}
		require.Equal(t, 200, send(1))
		require.Equal(t, 200, send(2))
		f.disconnectFromStore(1)
		f.disconnectFromStore(2)
		for n := range 60 {
			require.Equal(t, 200, send(1+n%2))
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// Guards against the loss of tokens when all routers die at once and others replace them. The
// lender holds the tokens, so nearly all of the budget can still be spent; held by a router, ten
// seconds of demand would be lost.
func TestTokensOutliveTheRouters(t *testing.T) {
	withFleet(t, func(f *fleet) {
		const prepaid, each = 60_000, 1060
		f.putConfig(prepaid, "k1")
		u := f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(6 * time.Second)
		for range 10 {
			require.Equal(t, 200, f.send(chat("before")).status)
		}
		f.disconnect(1)
		f.startVM(2)
		time.Sleep(3 * time.Second)
		for range 60 {
			req := chat("after")
			req.vm = 2
			f.send(req)
			time.Sleep(200 * time.Millisecond)
		}
		require.LessOrEqual(t, len(u.Requests())*1015, prepaid)
		require.Greater(t, (len(u.Requests())+5)*each, prepaid, "the tokens of at most a few requests are lost")
	})
}

// Guards against refusals after operators raise an exhausted budget. The lender follows no
// configuration; the next request carries the new limit.
func TestLenderUsesRaisedLimit(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(6 * time.Second)
		require.Equal(t, 200, f.send(chat("a")).status)
		time.Sleep(time.Second) // its unused reservation is returned
		require.Equal(t, 402, f.send(chat("b")).status)
		f.putConfig(5000, "k1")
		time.Sleep(time.Second)
		require.Equal(t, 200, f.send(chat("c")).status)
	})
}

// Guards against the loss of a budget's tokens when an upstream drains and its VM is removed
// shortly after, without a signal to the lender there. The lender must have withdrawn by then, so
// that the rest of the budget can be spent through another lender.
func TestLenderWithdrawsBeforeItsUpstreamLeaves(t *testing.T) {
	withFleet(t, func(f *fleet) {
		const prepaid = 60_000
		f.putConfig(prepaid, "k1")
		u := f.upstream("i-1", "model", 5)
		kills := map[string]func(){}
		upstreams := map[string]*standin.Upstream{}
		for n := range 2 {
			vm := firstLender + n
			id := fmt.Sprint("i-", vm)
			upstreams[id] = f.upstream(id, "other", 0)
			_, kills[id] = f.startLender(vm, id)
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		for range 20 {
			require.Equal(t, 200, f.send(chat("before")).status)
		}
		primary := fmt.Sprint("i-", firstLender)
		if !strings.Contains(f.log.String(), `"vm":"engine-20"`) || !f.tookTokens("engine-20") {
			primary = fmt.Sprint("i-", firstLender+1)
		}
		upstreams[primary].SetState("draining")
		time.Sleep(3 * time.Second)
		vm := "engine-" + strings.TrimPrefix(primary, "i-")
		require.Empty(t, f.store.Keys("arbutusmill/member/"+vm+"/"), "it is no longer listed as a member")
		kills[primary]()
		for range 60 {
			f.send(chat("after"))
			time.Sleep(300 * time.Millisecond)
		}
		require.LessOrEqual(t, len(u.Requests())*1015, prepaid)
		require.Greater(t, (len(u.Requests())+3)*1060, prepaid)
	})
}

// Guards against refusals when the store becomes unresponsive seconds after a router started and
// before its first request. The lenders must have recorded it as a borrower by then; otherwise
// its callers are refused until the store is back, although tokens are available.
func TestLendingToRouterStartedBeforeAnOutage(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startLender(firstLender+1, "")
		f.startVM(1)
		time.Sleep(8 * time.Second)
		for range 20 {
			require.Equal(t, 200, f.send(chat("before")).status)
		}
		f.startVM(2)
		time.Sleep(5 * time.Second)
		f.store.SetUnresponsive(true)
		time.Sleep(time.Second)
		req := chat("in the outage")
		req.vm = 2
		status := f.send(req).status
		f.store.SetUnresponsive(false)
		require.Equal(t, 200, status)
	})
}

// Guards against slow refusals when the store is unresponsive and the lenders have no tokens
// left: after the first requests, callers must be refused at once. Otherwise each request waits
// 0.4 s at one lender after the other for a store that is unresponsive for all of them.
func TestImmediateRefusalDuringStoreOutage(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		for n := range 4 {
			f.startLender(firstLender+n, "")
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		require.Equal(t, 200, f.send(chat("before")).status)
		time.Sleep(11 * time.Second) // the store no longer counts as degraded, and no tokens are held for demand
		f.store.SetUnresponsive(true)
		largeRequest := func(id string) response {
			req := chat(id)
			req.usage = "1000,90000"
			return f.send(req)
		}
		for n := range 3 {
			require.Equal(t, 503, largeRequest(fmt.Sprint("first-", n)).status)
		}
		for n := range 20 {
			resp := largeRequest(fmt.Sprint("r", n))
			require.Equal(t, 503, resp.status)
			require.Less(t, resp.elapsed, 50*time.Millisecond)
			time.Sleep(30 * time.Millisecond)
		}
		f.store.SetUnresponsive(false)
	})
}

// tookTokens reports whether a VM has taken tokens from the store.
func (f *fleet) tookTokens(vm string) bool {
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, `"event":"tokens_moved"`) && strings.Contains(line, `"vm":"`+vm+`"`) {
			return true
		}
	}
	return false
}

// Guards against requests that each wait for a budget's primary lender after it became
// unreachable: the first ones are late, after that a standby lender must be used.
func TestUnreachableLenderIsAvoided(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		kills := map[string]func(){}
		for n := range 2 {
			vm := firstLender + n
			_, kills[fmt.Sprint("engine-", vm)] = f.startLender(vm, "")
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		require.Equal(t, 200, f.send(chat("before")).status)
		for vm, kill := range kills {
			if f.tookTokens(vm) {
				kill()
				break
			}
		}
		require.Equal(t, 200, f.send(chat("first")).status)
		time.Sleep(3 * time.Second)
		for range 10 {
			resp := f.send(chat("later"))
			require.Equal(t, 200, resp.status)
			require.Less(t, resp.elapsed, 300*time.Millisecond)
		}
	})
}

// Guards against two routers that send long prompts to the same engine at once. The engine's
// lender reports the backlog of the first one, so the second one chooses another engine.
func TestRoutersShareBacklogThroughTheLender(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 20), f.upstream("i-2", "model", 20)}
		f.startLender(firstLender, "i-1")
		f.startLender(firstLender+1, "i-2")
		f.startVM(1)
		f.startVM(2)
		time.Sleep(8 * time.Second)
		send := func(vm int) response {
			req := chat(fmt.Sprint("r", vm))
			req.vm, req.usage, req.parts = vm, "60000,60", "aa:1000,bb:59000"
			return f.send(req)
		}
		var wg sync.WaitGroup
		wg.Go(func() { require.Equal(t, 200, send(1).status) })
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 200, send(2).status)
		wg.Wait()
		require.Len(t, ups[0].Requests(), 1)
		require.Len(t, ups[1].Requests(), 1)
	})
}

// Guards against repeated prefills after an engine's lender restarts, as after a power loss. The
// engine still has its cache, and the lender must load its contents at startup; otherwise the
// prompts would be prefilled again elsewhere.
func TestNewLenderLoadsCacheState(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "model", 5)
		f.startVM(1)
		f.settle()
		require.Equal(t, 200, f.send(chat("r1")).status)
		f.startLender(firstLender, "i-1")
		time.Sleep(3 * time.Second)
		require.Contains(t, f.fetchDump(firstLender), `"cached": 1000`)
	})
}

// fetchDump returns the state dump of the process on a VM.
func (f *fleet) fetchDump(vm int) string {
	resp, err := f.client().Get("http://" + address(vm, adminPort) + "/debug/dump")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return string(body)
}

// Guards against refusals when many requests of a team arrive at once, while the fleet holds
// none of its nearly unused budget. Tokens that were fetched for one request and taken by a
// later one must be fetched again.
func TestConcurrentRequestsAreAllServed(t *testing.T) {
	for _, withLender := range []bool{false, true} {
		t.Run(fmt.Sprint("lender ", withLender), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(100_000_000, "k1")
				f.upstream("i-1", "model", 5)
				if withLender {
					f.startLender(firstLender, "")
				}
				f.startVM(1)
				time.Sleep(6 * time.Second)
				var refused atomic.Int64
				var wg sync.WaitGroup
				for n := range 200 {
					wg.Go(func() {
						time.Sleep(time.Duration(n/10) * time.Millisecond)
						if f.send(chat(fmt.Sprint("r", n))).status != 200 {
							refused.Add(1)
						}
					})
				}
				wg.Wait()
				require.Zero(t, refused.Load())
			})
		})
	}
}

// Guards against routers that take tokens from the store after a power loss, where they would
// keep a row and write to the page for the rest of the day. All processes restart within
// milliseconds of each other, the member entries of their previous incarnations still exist, and
// callers arrive at once; the lender of a serving upstream must lend from the start.
func TestLenderIsPrimaryAtOnce(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.upstream("i-20", "other", 0)
		for _, m := range []string{
			fmt.Sprintf(`{"id":"engine-20/before","role":"lender","vm":"engine-20","address":%q}`, address(firstLender, linkPort)),
			fmt.Sprintf(`{"id":"router-1/before","role":"router","vm":"router-1","address":%q}`, address(1, linkPort)),
		} {
			key := "arbutusmill/member/" + strings.Split(m, `"`)[3]
			_, err := f.store.CompareAndSwap(context.Background(), key, 0, []byte(m), 0)
			require.NoError(f.t, err)
		}
		f.startLender(firstLender, "i-20")
		f.startVM(1)
		served := 0
		for n := range 40 {
			if f.send(chat(fmt.Sprint("r", n))).status == 200 {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Greater(t, served, 30)
		require.False(t, f.tookTokens("router-1"))
	})
}

// Guards against a router that keeps accepting a removed key after it lost the store. The lenders
// still reach the store, and the router must get the change from one of them.
func TestConfigurationChangesReachARouterWithoutTheStore(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1", "k2")
		f.upstream("i-20", "plain", 0)
		f.startLender(firstLender, "i-20")
		f.start()
		time.Sleep(3 * time.Second)
		f.disconnectFromStore(1)
		time.Sleep(3 * time.Second)
		f.putConfig(0, "k1")
		time.Sleep(2 * time.Second)
		req := level("r")
		req.key = "k2"
		require.Equal(t, 401, f.send(req).status)
	})
}

// Guards against updates that are delayed by a large configuration on a slow link. The
// configuration grows to 2,000 routes, half a megabyte, an upstream drains a moment later, and
// 3 Mbit/s of the router's 10 Mbit/s link are free. The router must send nothing to that upstream
// half a second later, and have the configuration within two seconds. If a relay sends both in one
// reply, that exceeds a relay's timeout and neither is received before 3.4 s.
func TestLargeConfigurationOverASlowLink(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.linkRate = 375_000
		f.putConfig(0, "k1", "k2")
		f.upstream("i-20", "plain", 0)
		f.upstream("i-21", "plain", 0)
		f.startLender(firstLender, "i-20")
		f.startLender(firstLender+1, "i-21")
		f.start()
		time.Sleep(3 * time.Second)
		f.putLargeConfig(2000, "k1")
		time.Sleep(100 * time.Millisecond)
		f.register("i-20", "plain", "draining")
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			require.Equal(t, "signature-of-i-21", f.send(level("r")).header.Get(standin.HeaderSignature))
		}
		time.Sleep(1500 * time.Millisecond)
		req := level("r")
		req.key = "k2"
		require.Equal(t, 401, f.send(req).status, "the key was removed")
	})
}
