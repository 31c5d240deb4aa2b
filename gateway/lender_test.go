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

// firstLender is the number of the first VM with a lender; its upstream is the stand-in at
// addressOf("i-" + number).
const firstLender = 20

// lenderLife is one process of a lender.
type lenderLife struct {
	stop context.CancelFunc
	done chan error
	cut  atomic.Bool // it reaches nobody any more
	// conns are those that it accepted.
	conns sync.Map
}

// startLender starts a lender beside an upstream. It returns how to stop it as planned, and
// how to cut it off for good, which is its sudden death for all others.
func (f *fleet) startLender(vm int, beside string) (stop, kill func()) {
	return f.startLenderAs(fmt.Sprint("engine-", vm), vm, beside)
}

// startLenderAs starts a lender on the VM of that name, at the addresses of the number vm.
func (f *fleet) startLenderAs(name string, vm int, beside string) (stop, kill func()) {
	s := settings.DefaultLender()
	s.VM, s.Datacentre = name, "bergen"
	s.Listen = settings.LenderListen{Admin: address(vm, adminPort), Link: address(vm, linkPort)}
	s.Store.Address = storeAddress
	if beside != "" {
		s.Upstream.Address = addressOf(beside)
	}
	ctx, cancel := context.WithCancel(context.Background())
	life := &lenderLife{stop: cancel, done: make(chan error, 1)}
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if life.cut.Load() {
			return nil, memnet.ErrRefused
		}
		conn, err := f.network.Dial(ctx, network, to)
		if err == nil && to == storeAddress {
			f.storeConns.Store(conn, vm)
		}
		return conn, err
	}
	listen := func(network, address string) (net.Listener, error) {
		l, err := f.network.Listen(network, address)
		return &rememberingListener{Listener: l, conns: &life.conns}, err
	}
	l := lender.New(&s, hosted.Network{Listen: listen, Dial: dial}, f.log, func() uint64 { return 0 })
	go func() { life.done <- l.Run(ctx) }()
	ended := false
	stop = func() {
		if !ended {
			ended = true
			life.stop()
			require.NoError(f.t, <-life.done)
		}
	}
	f.stops = append(f.stops, stop)
	kill = func() {
		life.cut.Store(true)
		f.network.SetDark(s.Listen.Link, true)
		life.conns.Range(func(conn, _ any) bool {
			_ = conn.(net.Conn).Close() // the other end may have closed it
			return true
		})
		f.cutOff(vm)
	}
	return stop, kill
}

// rememberingListener keeps the connections that it accepted.
type rememberingListener struct {
	net.Listener
	conns *sync.Map
}

// Accept implements net.Listener.
func (l *rememberingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns.Store(c, true)
	}
	return c, err
}

// A team's callers come while all routers are cut off from the store, for longer than any
// router's own tokens would last. A lender beside an upstream still reaches the store and
// is reached by the routers, so all callers are served.
func TestLenderServesRoutersInACut(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		f.startVM(2)
		time.Sleep(6 * time.Second) // they find each other
		ask := func(vm int) int {
			q := chat("c")
			q.vm = vm
			return f.ask(q).status
		}
		require.Equal(t, 200, ask(1))
		require.Equal(t, 200, ask(2))
		f.cutOff(1)
		f.cutOff(2)
		for n := range 60 {
			require.Equal(t, 200, ask(1+n%2))
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// All routers die at once, and others take their place. What the lender held is not lost with
// them: nearly all of the budget is still served. Held by a router, ten seconds of demand
// would be gone.
func TestTokensOutliveTheRouters(t *testing.T) {
	play(t, func(f *fleet) {
		const prepaid, each = 60_000, 1060
		f.config(prepaid, "k1")
		u := f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(6 * time.Second)
		for range 10 {
			require.Equal(t, 200, f.ask(chat("before")).status)
		}
		f.cutOffAll(1)
		f.startVM(2)
		time.Sleep(3 * time.Second)
		for range 60 {
			q := chat("after")
			q.vm = 2
			f.ask(q)
			time.Sleep(200 * time.Millisecond)
		}
		require.LessOrEqual(t, len(u.Seen())*1015, prepaid)
		require.Greater(t, (len(u.Seen())+5)*each, prepaid, "at most a few requests' tokens are missing")
	})
}

// The operators raise a budget that is used up. The lender follows no configuration; it
// learns the new limit from the next request and serves it.
func TestLenderLearnsARaisedLimit(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1500, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startVM(1)
		time.Sleep(6 * time.Second)
		require.Equal(t, 200, f.ask(chat("a")).status)
		time.Sleep(time.Second) // what was set aside for it and not used comes back
		require.Equal(t, 402, f.ask(chat("b")).status)
		f.config(5000, "k1")
		time.Sleep(time.Second)
		require.Equal(t, 200, f.ask(chat("c")).status)
	})
}

// An upstream says that it leaves; a moment later its VM is gone without a signal to the
// lender there. The lender has stepped aside by then, and all that is left of the budget
// can still be spent through another lender.
func TestLenderStepsAsideBeforeItsUpstreamLeaves(t *testing.T) {
	play(t, func(f *fleet) {
		const prepaid = 60_000
		f.config(prepaid, "k1")
		u := f.upstream("i-1", "model", 5)
		kills := map[string]func(){}
		beside := map[string]*standin.Upstream{}
		for n := range 2 {
			vm := firstLender + n
			id := fmt.Sprint("i-", vm)
			beside[id] = f.upstream(id, "other", 0)
			_, kills[id] = f.startLender(vm, id)
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		for range 20 {
			require.Equal(t, 200, f.ask(chat("before")).status)
		}
		home := fmt.Sprint("i-", firstLender)
		if !strings.Contains(f.log.String(), `"vm":"engine-20"`) || !f.tookTokens("engine-20") {
			home = fmt.Sprint("i-", firstLender+1)
		}
		beside[home].SetState("draining")
		time.Sleep(3 * time.Second)
		vm := "engine-" + strings.TrimPrefix(home, "i-")
		require.Empty(t, f.store.Keys("arbutusmill/member/"+vm+"/"), "it is no longer listed")
		kills[home]()
		for range 60 {
			f.ask(chat("after"))
			time.Sleep(300 * time.Millisecond)
		}
		require.LessOrEqual(t, len(u.Seen())*1015, prepaid)
		require.Greater(t, (len(u.Seen())+3)*1060, prepaid)
	})
}

// A router starts, and seconds later the store is away before its first caller comes. The
// lenders have named it in the store by then and lend to it; else its callers would be refused
// until the store is back, although the tokens are there.
func TestRouterThatStartedBeforeAnOutageIsLentTo(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.startLender(firstLender, "")
		f.startLender(firstLender+1, "")
		f.startVM(1)
		time.Sleep(8 * time.Second)
		for range 20 {
			require.Equal(t, 200, f.ask(chat("before")).status)
		}
		f.startVM(2)
		time.Sleep(5 * time.Second)
		f.store.SetSilent(true)
		time.Sleep(time.Second)
		q := chat("in the outage")
		q.vm = 2
		status := f.ask(q).status
		f.store.SetSilent(false)
		require.Equal(t, 200, status)
	})
}

// The store falls silent and the lenders run out of tokens. Callers are refused, and after the
// first ones at once: each request used to wait 0.4 s at one lender after the other, for a
// store that was silent for all of them.
func TestRefusedAtOnceInASilentOutage(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		for n := range 4 {
			f.startLender(firstLender+n, "")
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		require.Equal(t, 200, f.ask(chat("before")).status)
		time.Sleep(11 * time.Second) // no longer wary, and no demand to hold for
		f.store.SetSilent(true)
		hungry := func(id string) answer {
			q := chat(id)
			q.usage = "1000,90000"
			return f.ask(q)
		}
		for n := range 3 {
			require.Equal(t, 503, hungry(fmt.Sprint("first-", n)).status)
		}
		for n := range 20 {
			a := hungry(fmt.Sprint("r", n))
			require.Equal(t, 503, a.status)
			require.Less(t, a.took, 50*time.Millisecond)
			time.Sleep(30 * time.Millisecond)
		}
		f.store.SetSilent(false)
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

// The home of a budget goes dark. Requests do not wait for it again and again: the first
// ones are late, and from then on another lender stands in.
func TestDarkLenderIsLeftAlone(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		kills := map[string]func(){}
		for n := range 2 {
			vm := firstLender + n
			_, kills[fmt.Sprint("engine-", vm)] = f.startLender(vm, "")
		}
		f.startVM(1)
		time.Sleep(8 * time.Second)
		require.Equal(t, 200, f.ask(chat("before")).status)
		for vm, kill := range kills {
			if f.tookTokens(vm) {
				kill()
				break
			}
		}
		require.Equal(t, 200, f.ask(chat("first")).status)
		time.Sleep(3 * time.Second)
		for range 10 {
			a := f.ask(chat("later"))
			require.Equal(t, 200, a.status)
			require.Less(t, a.took, 300*time.Millisecond)
		}
	})
}

// Two routers send long prompts to the same engine at the same moment. Through the process
// beside the engine the second one knows of the first's prompt and goes to another engine.
func TestRoutersSeeEachOthersPrompts(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 20), f.upstream("i-2", "model", 20)}
		f.startLender(firstLender, "i-1")
		f.startLender(firstLender+1, "i-2")
		f.startVM(1)
		f.startVM(2)
		time.Sleep(8 * time.Second)
		ask := func(vm int) answer {
			q := chat(fmt.Sprint("r", vm))
			q.vm, q.usage, q.parts = vm, "60000,60", "aa:1000,bb:59000"
			return f.ask(q)
		}
		var wg sync.WaitGroup
		wg.Go(func() { require.Equal(t, 200, ask(1).status) })
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 200, ask(2).status)
		wg.Wait()
		require.Len(t, ups[0].Seen(), 1)
		require.Len(t, ups[1].Seen(), 1)
	})
}

// The process beside an engine starts anew, as all do after a loss of power. The engine still
// has what it read before, and the process knows so from the start: taken for unread, prompts
// would be read again elsewhere.
func TestNewLenderKnowsWhatIsCached(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstream("i-1", "model", 5)
		f.startVM(1)
		f.settle()
		require.Equal(t, 200, f.ask(chat("r1")).status)
		f.startLender(firstLender, "i-1")
		time.Sleep(3 * time.Second)
		require.Contains(t, f.dump(firstLender), `"cached": 1000`)
	})
}

// dump is what a process shows of its state.
func (f *fleet) dump(vm int) string {
	resp, err := f.client().Get("http://" + address(vm, adminPort) + "/debug/dump")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return string(body)
}

// Many callers of a team come in the same moment, to a fleet that holds nothing of its budget
// yet. The budget is nearly unused, so none of them may be refused: tokens that were fetched
// for one request and taken by another that came later must be fetched again.
func TestManyAtOnceAreAllServed(t *testing.T) {
	for _, withLender := range []bool{false, true} {
		t.Run(fmt.Sprint("lender ", withLender), func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(100_000_000, "k1")
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
						if f.ask(chat(fmt.Sprint("r", n))).status != 200 {
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

// All processes lost power and are back within milliseconds of each other; the entries of their
// lives before still stand. Callers come at once. The lender beside a serving upstream lends to
// them from the start, so that no router takes tokens from the store, where it would keep a row
// and write to the page for the rest of the day.
func TestLenderIsHomeAtOnce(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
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
			if f.ask(chat(fmt.Sprint("r", n))).status == 200 {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Greater(t, served, 30)
		require.False(t, f.tookTokens("router-1"))
	})
}

// A router is cut off from the store, and a key is taken away. The processes beside upstreams still
// have the store, and the router learns of the change from one of them.
func TestConfigurationChangesReachARouterWithoutTheStore(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1", "k2")
		f.upstream("i-20", "plain", 0)
		f.startLender(firstLender, "i-20")
		f.start()
		time.Sleep(3 * time.Second)
		f.cutOff(1)
		time.Sleep(3 * time.Second)
		f.config(0, "k1")
		time.Sleep(2 * time.Second)
		q := level("r")
		q.key = "k2"
		require.Equal(t, 401, f.ask(q).status)
	})
}

// A configuration grows to 2,000 routes, half a megabyte, and an upstream says that it leaves a
// moment later. The router's link of 10 Mbit/s has 3 to spare. It sends nothing to that upstream
// half a second later, and has the configuration within two seconds. Told by a relay in one answer,
// neither was known before 3.4 s, since the answer took longer than a relay may take.
func TestLargeConfigurationOverASlowLink(t *testing.T) {
	play(t, func(f *fleet) {
		f.linkRate = 375_000
		f.config(0, "k1", "k2")
		f.upstream("i-20", "plain", 0)
		f.upstream("i-21", "plain", 0)
		f.startLender(firstLender, "i-20")
		f.startLender(firstLender+1, "i-21")
		f.start()
		time.Sleep(3 * time.Second)
		f.largeConfig(2000, "k1")
		time.Sleep(100 * time.Millisecond)
		f.register("i-20", "plain", "draining")
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			require.Equal(t, "signature-of-i-21", f.ask(level("r")).header.Get(standin.HeaderSignature))
		}
		time.Sleep(1500 * time.Millisecond)
		q := level("r")
		q.key = "k2"
		require.Equal(t, 401, f.ask(q).status, "the key was taken away")
	})
}
