// Package capacity measures how time and memory of each component grow with its size.
// docs/CAPACITY.md calculates the cost of a fleet from these slopes.
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

// slope is the measured cost of one component at several sizes.
type slope struct {
	name  string
	unit  string // what sizes count
	sizes []int
	// measure returns the time of one operation at a size in nanoseconds, and the bytes that it
	// takes in memory, in the store or on the wire.
	measure func(t testing.TB, size int) (ns, bytes float64)
}

func TestSlopes(t *testing.T) {
	if !*printSlopes {
		return
	}
	for _, s := range []slope{reserveAndSettle(), pageSync(), pageBytes(), ledgerAppend(), witnessRun(), outboxMemory(),
		applyConfiguration(), chooseUpstream(), rankRouters(), linkCall(), meterStream()} {
		if strings.Contains(s.name, *onlySlope) {
			printSlope(t, s)
		}
	}
}

// printSlope prints the measurements and their least-squares line.
func printSlope(t testing.TB, s slope) {
	var xs, ns, bs []float64
	for _, size := range s.sizes {
		n, b := s.measure(t, size)
		xs, ns, bs = append(xs, float64(size)), append(ns, n), append(bs, b)
	}
	nFixed, nSlope := linearFit(xs, ns)
	bFixed, bSlope := linearFit(xs, bs)
	fmt.Printf("%-16s per %-22s sizes %v\n", s.name, s.unit, s.sizes)
	fmt.Printf("  time  ns %.0f  = %.0f + %.2f each\n", ns, nFixed, nSlope)
	fmt.Printf("  bytes    %.0f  = %.0f + %.1f each\n", bs, bFixed, bSlope)
}

func linearFit(xs, ys []float64) (fixed, slope float64) {
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

// timePerCall returns the average time of one call of do in nanoseconds.
func timePerCall(do func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			do()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// retainedHeap returns the value that build returns and the heap bytes that it retains.
func retainedHeap(build func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func budgetName(i int) string { return fmt.Sprintf("team-%03d/budget-%06d", i%480, i) }

var layout = account.Layout{Prefix: "budget/", Pages: 1}

// reserveAndSettle measures a reservation and its settlement in a holder with many budgets.
func reserveAndSettle() slope {
	return slope{name: "reserve+settle", unit: "budget held", sizes: []int{250, 1000, 2000, 5000},
		measure: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			putPage(t, s, size, 1)
			retained, bytes := retainedHeap(func() any { return newHolder(t, s) })
			h := retained.(*grant.Holder)
			i, now := 0, time.Unix(0, 0)
			ns := timePerCall(func() {
				i++
				r, err := h.Reserve(now, budgetName(i%size), 100)
				if err != nil {
					t.Fatal(err)
				}
				h.Settle(now, r, 0)
			})
			runtime.KeepAlive(retained)
			return ns, bytes
		}}
}

// putPage writes a page of budgets, each with rows of several holders.
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

func newHolder(t testing.TB, s *memstore.Store) *grant.Holder {
	h := grant.NewHolder("bergen-router-1#1", layout, grant.FavourAvailability())
	g := &grant.StoreGranter{Holder: h, Store: s, Layout: layout, Timing: grant.DefaultTiming(), Now: time.Now}
	if err := g.Sync(context.Background(), layout.PageKey(0)); err != nil {
		t.Fatal(err)
	}
	return h
}

// pageSync measures a sync of a page that needs no write.
func pageSync() slope {
	return slope{name: "page sync", unit: "budget in the page", sizes: []int{25, 50, 100, 200, 400},
		measure: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			putPage(t, s, size, 2)
			h := grant.NewHolder("bergen-router-1#1", layout, grant.FavourAvailability())
			g := &grant.StoreGranter{Holder: h, Store: s, Layout: layout, Timing: grant.DefaultTiming(), Now: time.Now}
			ns := timePerCall(func() {
				if err := g.Sync(context.Background(), layout.PageKey(0)); err != nil {
					t.Fatal(err)
				}
			})
			item, _ := s.Get(context.Background(), layout.PageKey(0))
			return ns, float64(len(item.Value))
		}}
}

// pageBytes measures the size and the decoding of one budget in a page, by the number of its rows.
func pageBytes() slope {
	return slope{name: "account bytes", unit: "row", sizes: []int{0, 3, 11, 33},
		measure: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			const budgets = 100
			putPage(t, s, budgets, size)
			item, _ := s.Get(context.Background(), layout.PageKey(0))
			ns := timePerCall(func() {
				if _, err := account.Decode(item.Value); err != nil {
					t.Fatal(err)
				}
			})
			return ns / budgets, float64(len(item.Value)) / budgets
		}}
}

// budgetsPerShard is the number of budgets of one of 64 shards in a fleet with 200,000 budgets.
const budgetsPerShard = 200_000 / 64

func newCharge(i int) ledger.Charge {
	return ledger.Charge{ID: fmt.Sprintf("team-%03d/KEY%023d", i%480, i), Team: fmt.Sprintf("team-%03d", i%480),
		Budget: budgetName(i % budgetsPerShard), Service: "assistant", Tokens: 321, Floor: 86400, Unix: 1_790_000_000}
}

// ledgerAppend measures one group commit.
func ledgerAppend() slope {
	return slope{name: "ledger append", unit: "charge", sizes: []int{10, 50, 200, 800},
		measure: func(t testing.TB, size int) (float64, float64) {
			s := memstore.New()
			shard := ledger.OpenShard(s, ledger.Layout{Prefix: "l/", Shards: 1}, 0, "r#1", 1)
			n := 0
			ns := timePerCall(func() {
				batch := make([]ledger.Charge, size)
				for i := range batch {
					n++
					batch[i] = newCharge(n)
				}
				if err := shard.Append(context.Background(), batch); err != nil {
					t.Fatal(err)
				}
			})
			before := s.Calls()
			var batch []ledger.Charge
			for i := range size {
				batch = append(batch, newCharge(1_000_000_000+i))
			}
			require.NoError(t, shard.Append(context.Background(), batch))
			return ns, float64(s.Calls().WrittenBytes - before.WrittenBytes)
		}}
}

// witnessRun measures the evidence of one run that begins, ends and is retained.
func witnessRun() slope {
	return slope{name: "witness", unit: "run kept", sizes: []int{1000, 4000, 16000, 32000},
		measure: func(t testing.TB, size int) (float64, float64) {
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
			retained, bytes := retainedHeap(func() any {
				w := witness.New(1 << 30)
				for range size {
					begin(w)
				}
				return w
			})
			w := retained.(*witness.Witness)
			ns := timePerCall(func() { begin(w) })
			runtime.KeepAlive(retained)
			return ns, bytes
		}}
}

// outboxMemory measures charges that wait for the ledger.
func outboxMemory() slope {
	return slope{name: "outbox", unit: "charge kept", sizes: []int{1000, 4000, 16000, 32000},
		measure: func(t testing.TB, size int) (float64, float64) {
			n := 0
			put := func(o *ledger.Outbox) {
				n++
				if err := o.Admit(); err != nil {
					t.Fatal(err)
				}
				o.Put(newCharge(n))
			}
			retained, bytes := retainedHeap(func() any {
				o := ledger.NewOutbox(ledger.Layout{Shards: 64}, nil, 1<<30)
				for range size {
					put(o)
				}
				return o
			})
			o := retained.(*ledger.Outbox)
			ns := timePerCall(func() { put(o) })
			runtime.KeepAlive(retained)
			return ns, bytes
		}}
}

// applyConfiguration measures encoding, decoding, checking and indexing a configuration document.
func applyConfiguration() slope {
	return slope{name: "configuration", unit: "team", sizes: []int{60, 120, 240, 480},
		measure: func(t testing.TB, size int) (float64, float64) {
			d := &fleet.Document{Preset: "p", Presets: []*fleet.Preset{{Name: "p", Default: "normal"}},
				Services: []*fleet.Service{{Name: "s", Kind: fleet.KindEngine, Models: []string{"m"}, Timeout: fleet.DefaultTimeout}}}
			for i := range size {
				d.Teams = append(d.Teams, &team.Team{Name: fmt.Sprintf("team-%03d", i), Budgets: map[string]string{team.DefaultBudget: budgetName(i)},
					Keys: []string{team.HashKey(fmt.Sprint("a", i)), team.HashKey(fmt.Sprint("b", i))}})
			}
			ns := timePerCall(func() {
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

func makeVMs(n int) []vm.VM {
	var list []vm.VM
	for i := range n {
		list = append(list, vm.VM{ID: fmt.Sprintf("dc-%02d-engine-%04d", i%11, i), Role: vm.Agent, State: vm.Live,
			Datacentre: fmt.Sprintf("dc-%02d", i%11), Link: "10.0.0.1:9081", Work: "10.0.0.1:9080", Service: "assistant"})
	}
	return list
}

// chooseUpstream measures the choice of an upstream.
func chooseUpstream() slope {
	return slope{name: "choose upstream", unit: "agent of the service", sizes: []int{12, 50, 200, 400},
		measure: func(t testing.TB, size int) (float64, float64) {
			retained, bytes := retainedHeap(func() any {
				v := vm.NewView()
				v.Set(makeVMs(size))
				return v
			})
			v := retained.(*vm.View)
			c := upstream.NewChooser()
			i := uint64(0)
			ns := timePerCall(func() {
				i++
				_, done, ok := c.Pick(v.Agents("assistant"), i, nil)
				if !ok {
					t.Fatal("no upstream was chosen")
				}
				done(true)
			})
			runtime.KeepAlive(retained)
			return ns, bytes
		}}
}

// rankRouters measures the rendezvous ranking of routers for a page or a shard.
func rankRouters() slope {
	return slope{name: "rendezvous rank", unit: "router", sizes: []int{6, 30, 100, 330},
		measure: func(_ testing.TB, size int) (float64, float64) {
			var ids []string
			for i := range size {
				ids = append(ids, fmt.Sprintf("dc-%02d-router-%03d", i%11, i))
			}
			return timePerCall(func() { rendezvous.Rank("ledger/17", ids) }), 0
		}}
}

// linkCall measures one round trip of a control message on loopback, including both ends.
func linkCall() slope {
	return slope{name: "link call", unit: "charge carried", sizes: []int{0, 5, 20, 80},
		measure: func(t testing.TB, size int) (float64, float64) {
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
				in.Charges = append(in.Charges, newCharge(i))
			}
			ns := timePerCall(func() {
				var out link.AppendReply
				if err := pool.Call(ctx, ln.Addr().String(), link.MethodAppend, in, &out); err != nil {
					t.Fatal(err)
				}
			})
			b, _ := json.Marshal(in)
			return ns, float64(len(b))
		}}
}

// meterStream measures how the agent meters the lines of a stream.
func meterStream() slope {
	return slope{name: "meter", unit: "line of a stream", sizes: []int{1, 10, 100, 1000},
		measure: func(_ testing.TB, size int) (float64, float64) {
			line := []byte(`data: {"id":"x","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"w1 "},"finish_reason":null}]}`)
			return timePerCall(func() {
				var m openai.Meter
				for range size {
					m.RecordLine(line)
				}
			}), 0
		}}
}
