package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/arbutusmill/arbutusmill/team"
)

// Names and amounts of the demo.
const (
	pilots       = "pilots"
	conventions  = "conventions"
	pilotsBudget = "pilots/2026"
	badgeBudget  = "conventions/2026"
	model        = "tides-1"
	credit       = 100_000
	orderPrice   = 5
)

// ledgerWait bounds the wait for the last charges.
const ledgerWait = 5 * time.Second

// Run shows the main job on a fleet of three data centres: a tide question that is
// streamed, a badge order that is placed once although its caller repeats it, the
// bill of each team and what is left. It fails unless the bill is what the stand-ins
// served.
func Run(ctx context.Context, out, log io.Writer) error {
	f, err := Start(ctx, Options{Datacentres: []string{"bergen", "alesund", "floro"}, Routers: 1, Engines: 1,
		Engine: standin.DefaultEngineOptions(), Log: log})
	if err != nil {
		return err
	}
	d := &demo{f: f, out: out}
	err = d.run(ctx)
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	return err
}

type demo struct {
	f    *Fleet
	out  io.Writer
	keys map[string]string
}

func (d *demo) run(ctx context.Context) error {
	d.printf("fleet: %d VMs in bergen, alesund and floro, on loopback\n", len(d.f.VMs))
	if err := d.configure(ctx); err != nil {
		return err
	}
	if err := d.ask(ctx); err != nil {
		return err
	}
	if err := d.order(ctx); err != nil {
		return err
	}
	return d.bill(ctx)
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }

// configure creates the budgets and applies the first configuration.
func (d *demo) configure(ctx context.Context) error {
	d.keys = map[string]string{pilots: team.NewKey(), conventions: team.NewKey()}
	book := d.f.Book()
	for budget, owner := range map[string]string{pilotsBudget: pilots, badgeBudget: conventions} {
		if err := book.Create(ctx, budget, owner); err != nil {
			return err
		}
		if err := book.TopUp(ctx, budget, "first", credit); err != nil {
			return err
		}
	}
	doc := &fleet.Document{
		Teams: []*team.Team{
			{Name: pilots, Keys: []string{team.HashKey(d.keys[pilots])}, Budgets: map[string]string{team.DefaultBudget: pilotsBudget}},
			{Name: conventions, Keys: []string{team.HashKey(d.keys[conventions])}, Budgets: map[string]string{team.DefaultBudget: badgeBudget}},
		},
		Services: []*fleet.Service{
			{Name: Assistant, Kind: fleet.KindEngine, Models: []string{model}, MaxOutputTokens: 64, Timeout: fleet.DefaultTimeout},
			{Name: Orders, Kind: fleet.KindPlain, PriceTokens: orderPrice, IdempotentMethods: []string{"GET"}, Timeout: fleet.DefaultTimeout},
		},
		Presets: []*fleet.Preset{{Name: "ordinary", Default: "normal", Rules: []fleet.Rule{{Team: pilots, Class: "urgent"}}}},
		Preset:  "ordinary",
	}
	generation, err := (fleet.Registry{Store: d.f.Store()}).Apply(ctx, doc, 0, "demo")
	if err != nil {
		return err
	}
	d.printf("configuration: generation %d, preset %s\n", generation, doc.Preset)
	return d.waitConfigured(ctx, generation)
}

// waitConfigured waits until each router has the configuration in force.
func (d *demo) waitConfigured(ctx context.Context, generation int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for id := range d.f.Callers {
		for {
			state, err := Dump(ctx, d.f.Admins[id])
			if err == nil && state.Generation >= generation {
				break
			}
			select {
			case <-ctx.Done():
				return Error.New("%s has not taken the configuration", id)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Dumped is what the demo reads of a process's dump.
type Dumped struct {
	Generation int64 `json:"configuration_generation"`
}

// Dump reads a process's dump.
func Dump(ctx context.Context, admin string) (Dumped, error) {
	var out Dumped
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/dump", nil)
	if err != nil {
		return out, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

func (d *demo) call(ctx context.Context, routerID, teamName, key, path, body string) (*http.Response, error) {
	url := "http://" + d.f.Callers[routerID] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+d.keys[teamName])
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, Error.New("%s: status %d: %s", path, resp.StatusCode, b)
	}
	return resp, nil
}

// ask streams a tide question through the router in Florø.
func (d *demo) ask(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"When is low water near the skerry tonight?"}]}`, model)
	start := time.Now()
	resp, err := d.call(ctx, "floro-router-1", pilots, "", openai.ChatPath, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var meter openai.Meter
	var first time.Duration
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		meter.Line(lines.Bytes())
		if first == 0 && meter.Outputs > 0 {
			first = time.Since(start)
		}
	}
	if lines.Err() != nil || !meter.Done || meter.Usage == nil {
		return Error.New("the stream was cut: %v", lines.Err())
	}
	d.printf("tide question: streamed %d tokens, first after %s, billed %d\n",
		meter.Usage.CompletionTokens, first.Round(time.Millisecond), meter.Billed())
	return nil
}

// order places a badge order and repeats it through another router, as a client
// does whose connection broke.
func (d *demo) order(ctx context.Context) error {
	const key = "order-4711"
	for _, id := range []string{"bergen-router-1", "alesund-router-1"} {
		resp, err := d.call(ctx, id, conventions, key, "/services/"+Orders+"/badges", `{"badge":"volunteer"}`)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
	}
	d.printf("badge order: sent twice, ran %d time(s)\n", d.f.Service.Effects()[key])
	return nil
}

// bill prints what each team owes and has left, and compares it with what the
// stand-ins served.
func (d *demo) bill(ctx context.Context) error {
	var served int64
	for _, e := range d.f.Engines {
		s := e.Served()
		served += s.PromptTokens + s.CompletionTokens
	}
	want := map[string]int64{pilotsBudget: served, badgeBudget: orderPrice * sum(d.f.Service.Effects())}
	got, err := d.settledBill(ctx, want)
	if err != nil {
		return err
	}
	for _, budget := range []string{pilotsBudget, badgeBudget} {
		d.printf("bill: %-18s served %4d  billed %4d  left %d\n", budget, want[budget], got[budget], credit-got[budget])
	}
	for budget, tokens := range want {
		if got[budget] != tokens {
			return Error.New("budget %s: billed %d tokens, served %d", budget, got[budget], tokens)
		}
	}
	return nil
}

// settledBill reads the ledger until it holds what is wanted, or the wait is over.
func (d *demo) settledBill(ctx context.Context, want map[string]int64) (map[string]int64, error) {
	deadline := time.Now().Add(ledgerWait)
	for {
		got, err := d.f.Ledger().Totals(ctx, "")
		if err != nil {
			return nil, err
		}
		if covers(got, want) || time.Now().After(deadline) {
			return got, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func covers(got, want map[string]int64) bool {
	for k, n := range want {
		if got[k] < n {
			return false
		}
	}
	return true
}

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}
