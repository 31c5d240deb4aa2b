// Package capacity measures the slopes from which docs/CAPACITY.md works out what a
// fleet costs: how time and memory of each part grow with its size.
package capacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/witness"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/team"
	"github.com/arbutusmill/arbutusmill/upstream"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

var (
	printSlopes = flag.Bool("capacity.print", false, "measure and print the slopes")
	onlySlope   = flag.String("capacity.only", "", "with capacity.print: only slopes whose names contain this")
)

// slope is one part's cost as it grows.
type slope struct {
	name  string
	per   string // what the sizes count
	sizes []int
	// cost returns the time of one operation at a size, and the bytes held.
	cost func(t testing.TB, size int) (ns, bytes float64)
}

func TestSlopes(t *testing.T) {
	if !*printSlopes {
		return
	}
	for _, s := range []slope{reserve(), pageSync(), pageBytes(), ledgerAppend(), witnessRun(), outboxHold(),
		configuration(), choose(), rank(), linkCall(), meter()} {
		if strings.Contains(s.name, *onlySlope) {
			report(t, s)
		}
	}
}

// report prints the raw figures and the least-squares line through them.
func report(t testing.TB, s slope) {
	var xs, ns, bs []float64
	for _, size := range s.sizes {
		n, b := s.cost(t, size)
		xs, ns, bs = append(xs, float64(size)), append(ns, n), append(bs, b)
	}
	nFixed, nSlope := fit(xs, ns)
	bFixed, bSlope := fit(xs, bs)
	fmt.Printf("%-16s per %-22s sizes %v\n", s.name, s.per, s.sizes)
	fmt.Printf("  time  ns %.0f  = %.0f + %.2f each\n", ns, nFixed, nSlope)
	fmt.Printf("  bytes    %.0f  = %.0f + %.1f each\n", bs, bFixed, bSlope)
}

func fit(xs, ys []float64) (fixed, slope float64) {
	var mx, my, sxy, sxx float64
	for i := range xs {
		mx += xs[i] / float64(len(xs))
		my += ys[i] / float64(len(ys))
	}
	for i := range xs {
		sxy += (xs[i] - mx) * (ys[i] - my)
		sxx += (xs[i] - mx) * (xs[i] - mx)
	}
	slope = sxy / sxx
	return my - slope*mx, slope
}

// timed returns the time of one call of do.
func timed(do func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			do()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// held returns the heap that make keeps alive.
func held(make func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return kept, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func budgetName(i int) string { return fmt.Sprintf("team-%03d/budget-%06d", i%480, i) }

var layout = account.Layout{Prefix: "budget/", Pages: 1}

// reserve is a reservation and its settlement in a holder with many budgets.
func reserve() slope {
	return slope{name: "reserve+settle", per: "budget held", sizes: []int{250, 1000, 2000, 5000},
		cost: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			putPage(t, s, size, 1)
			kept, bytes := held(func() any { return holder(t, s) })
			h := kept.(*grant.Holder)
			i, now := 0, time.Unix(0, 0)
			ns := timed(func() {
				i++
				r, err := h.Reserve(now, budgetName(i%size), 100)
				if err != nil {
					t.Fatal(err)
				}
				h.Settle(now, r, 0)
			})
			runtime.KeepAlive(kept)
			return ns, bytes
		}}
}

// putPage writes a page of budgets, each with rows of other holders.
func putPage(t testing.TB, s *memstore.Store, budgets, rows int) {
	p := &account.Page{Accounts: map[string]*account.Account{}}
	for i := range budgets {
		a := &account.Account{Team: "team", Credits: map[string]int64{"invoice-2026-118": 10_000_000}}
		for r := range rows {
			id := fmt.Sprintf("dc-%02d-router-01#7", r)
			a.Grant(id, 20_000)
			require.NoError(t, a.Report(id, account.Row{Returned: 4000, Settled: 10_000, Through: 123_456, Since: 9_876_543, Demand: 12.3}))
		}
		p.Accounts[budgetName(i)] = a
	}
	value, err := json.Marshal(p)
	require.NoError(t, err)
	if len(value) <= store.MaxValueBytes {
		_, err = s.CompareAndSwap(context.Background(), layout.PageKey(0), 0, value, 0)
		require.NoError(t, err)
		return
	}
	t.Fatalf("%d budgets do not fit one page", budgets)
}

func holder(t testing.TB, s *memstore.Store) *grant.Holder {
	h := grant.NewHolder("bergen-router-1#1", layout, grant.FavourAvailability())
	g := &grant.StoreGranter{Holder: h, Store: s, Layout: layout, Timing: grant.DefaultTiming(), Now: time.Now}
	if err := g.Sync(context.Background(), layout.PageKey(0)); err != nil {
		t.Fatal(err)
	}
	return h
}

// pageSync is one look at a page without a write.
func pageSync() slope {
	return slope{name: "page sync", per: "budget in the page", sizes: []int{25, 50, 100, 200, 400},
		cost: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			putPage(t, s, size, 2)
			h := grant.NewHolder("bergen-router-1#1", layout, grant.FavourAvailability())
			g := &grant.StoreGranter{Holder: h, Store: s, Layout: layout, Timing: grant.DefaultTiming(), Now: time.Now}
			ns := timed(func() {
				if err := g.Sync(context.Background(), layout.PageKey(0)); err != nil {
					t.Fatal(err)
				}
			})
			item, _ := s.Get(context.Background(), layout.PageKey(0))
			return ns, float64(len(item.Value))
		}}
}

// pageBytes is the size of one budget in a page, by the number of its holders.
func pageBytes() slope {
	return slope{name: "account bytes", per: "row", sizes: []int{0, 3, 11, 33},
		cost: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			const budgets = 100
			putPage(t, s, budgets, size)
			item, _ := s.Get(context.Background(), layout.PageKey(0))
			ns := timed(func() {
				if _, err := account.Decode(item.Value); err != nil {
					t.Fatal(err)
				}
			})
			return ns / budgets, float64(len(item.Value)) / budgets
		}}
}

// shardBudgets is how many budgets one of 64 shards has at the size of the page.
const shardBudgets = 200_000 / 64

func charge(i int) ledger.Charge {
	return ledger.Charge{ID: fmt.Sprintf("team-%03d/KEY%023d", i%480, i), Team: fmt.Sprintf("team-%03d", i%480),
		Budget: budgetName(i % shardBudgets), Service: "assistant", Tokens: 321, Floor: 86400, Unix: 1_790_000_000}
}

// ledgerAppend is one group commit.
func ledgerAppend() slope {
	return slope{name: "ledger append", per: "charge", sizes: []int{10, 50, 200, 800},
		cost: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			shard := ledger.OpenShard(s, ledger.Layout{Prefix: "l/", Shards: 1}, 0, "r#1", 1)
			n := 0
			ns := timed(func() {
				batch := make([]ledger.Charge, size)
				for i := range batch {
					n++
					batch[i] = charge(n)
				}
				if err := shard.Append(context.Background(), batch); err != nil {
					t.Fatal(err)
				}
			})
			before := s.Calls()
			var batch []ledger.Charge
			for i := range size {
				batch = append(batch, charge(1_000_000_000+i))
			}
			require.NoError(t, shard.Append(context.Background(), batch))
			return ns, float64(s.Calls().WrittenBytes - before.WrittenBytes)
		}}
}

// witnessRun is the evidence of one run, begun, ended and kept.
func witnessRun() slope {
	return slope{name: "witness", per: "run kept", sizes: []int{1000, 4000, 16000, 32000},
		cost: func(t testing.TB, size int) (float64, float64) {
			n := 0
			begin := func(w *witness.Witness) {
				n++
				id := fmt.Sprintf("team-%03d/KEY%023d", n%480, n)
				r := grant.Reservation{Budget: budgetName(n % 2000), Parts: []grant.Part{{Holder: fmt.Sprintf("r-%d#1", n%330), Seq: int64(n), Tokens: 900}}}
				if err := w.Begin(witness.Run{ID: id, Spender: r.Parts[0].Holder, Reservation: r}); err != nil {
					t.Fatal(err)
				}
				w.End(id, 300)
			}
			kept, bytes := held(func() any {
				w := witness.New(1 << 30)
				for range size {
					begin(w)
				}
				return w
			})
			w := kept.(*witness.Witness)
			ns := timed(func() { begin(w) })
			runtime.KeepAlive(kept)
			return ns, bytes
		}}
}

// outboxHold is the memory of charges that wait for the ledger.
func outboxHold() slope {
	return slope{name: "outbox", per: "charge kept", sizes: []int{1000, 4000, 16000, 32000},
		cost: func(t testing.TB, size int) (float64, float64) {
			n := 0
			put := func(o *ledger.Outbox) {
				n++
				if err := o.Admit(); err != nil {
					t.Fatal(err)
				}
				o.Put(charge(n))
			}
			kept, bytes := held(func() any {
				o := ledger.NewOutbox(ledger.Layout{Shards: 64}, nil, 1<<30)
				for range size {
					put(o)
				}
				return o
			})
			o := kept.(*ledger.Outbox)
			ns := timed(func() { put(o) })
			runtime.KeepAlive(kept)
			return ns, bytes
		}}
}

// configuration is a document taken into force.
func configuration() slope {
	return slope{name: "configuration", per: "team", sizes: []int{60, 120, 240, 480},
		cost: func(t testing.TB, size int) (float64, float64) {
			d := &fleet.Document{Preset: "p", Presets: []*fleet.Preset{{Name: "p", Default: "normal"}},
				Services: []*fleet.Service{{Name: "s", Kind: fleet.KindEngine, Models: []string{"m"}, Timeout: fleet.DefaultTimeout}}}
			for i := range size {
				d.Teams = append(d.Teams, &team.Team{Name: fmt.Sprintf("team-%03d", i), Budgets: map[string]string{team.DefaultBudget: budgetName(i)},
					Keys: []string{team.HashKey(fmt.Sprint("a", i)), team.HashKey(fmt.Sprint("b", i))}})
			}
			ns := timed(func() {
				b, err := json.Marshal(fleet.Stored{Generation: 1, Document: d})
				if err != nil {
					t.Fatal(err)
				}
				var s fleet.Stored
				if err := json.Unmarshal(b, &s); err != nil || s.Document.Check() != nil {
					t.Fatal(err)
				}
				fleet.NewSnapshot(1, s.Document)
			})
			b, _ := json.Marshal(fleet.Stored{Generation: 1, Document: d})
			return ns, float64(len(b))
		}}
}

func manyVMs(n int) []vm.VM {
	var list []vm.VM
	for i := range n {
		list = append(list, vm.VM{ID: fmt.Sprintf("dc-%02d-engine-%04d", i%11, i), Role: vm.Agent, State: vm.Live,
			Datacentre: fmt.Sprintf("dc-%02d", i%11), Link: "10.0.0.1:9081", Work: "10.0.0.1:9080", Service: "assistant"})
	}
	return list
}

// choose is the choice of an upstream.
func choose() slope {
	return slope{name: "choose upstream", per: "agent of the service", sizes: []int{12, 50, 200, 400},
		cost: func(t testing.TB, size int) (float64, float64) {
			kept, bytes := held(func() any {
				v := vm.NewView()
				v.Set(manyVMs(size))
				return v
			})
			v := kept.(*vm.View)
			c := upstream.NewChooser()
			i := uint64(0)
			ns := timed(func() {
				i++
				_, done, ok := c.Pick(v.Agents("assistant"), i, nil)
				if !ok {
					t.Fatal("none")
				}
				done(true)
			})
			runtime.KeepAlive(kept)
			return ns, bytes
		}}
}

// rank is the order of routers for a page or a shard.
func rank() slope {
	return slope{name: "rendezvous rank", per: "router", sizes: []int{6, 30, 100, 330},
		cost: func(_ testing.TB, size int) (float64, float64) {
			var ids []string
			for i := range size {
				ids = append(ids, fmt.Sprintf("dc-%02d-router-%03d", i%11, i))
			}
			return timed(func() { rendezvous.Rank("ledger/17", ids) }), 0
		}}
}

// linkCall is one control message there and back on loopback, both ends here.
func linkCall() slope {
	return slope{name: "link call", per: "charge carried", sizes: []int{0, 5, 20, 80},
		cost: func(t testing.TB, size int) (float64, float64) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			sec := link.Security{Secret: "x"}
			server := &link.Server{Security: sec, Methods: map[string]link.Handler{
				link.MethodAppend: link.Handle(func(context.Context, link.AppendRequest) (link.AppendReply, error) { return link.AppendReply{}, nil })}}
			go server.Serve(ctx, ln)
			pool := &link.Pool{Security: sec, Heartbeat: time.Minute, DialTimeout: time.Second}
			defer pool.Close()
			in := link.AppendRequest{}
			for i := range size {
				in.Charges = append(in.Charges, charge(i))
			}
			ns := timed(func() {
				var out link.AppendReply
				if err := pool.Call(ctx, ln.Addr().String(), link.MethodAppend, in, &out); err != nil {
					t.Fatal(err)
				}
			})
			b, _ := json.Marshal(in)
			return ns, float64(len(b))
		}}
}

// meter is the agent's look at one streamed token.
func meter() slope {
	return slope{name: "meter", per: "line of a stream", sizes: []int{1, 10, 100, 1000},
		cost: func(_ testing.TB, size int) (float64, float64) {
			line := []byte(`data: {"id":"x","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"w1 "},"finish_reason":null}]}`)
			return timed(func() {
				var m openai.Meter
				for range size {
					m.Line(line)
				}
			}), 0
		}}
}
