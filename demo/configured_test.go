package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/team"
)

// Names and amounts of the configuration.
const (
	pilots       = "pilots"
	conventions  = "conventions"
	pilotsBudget = "pilots/2026"
	badgeBudget  = "conventions/2026"
	model        = "tides-1"
	credit       = 100_000
	orderPrice   = 5
)

// ledgerWait bounds the wait for charges to reach the ledger.
const ledgerWait = 5 * time.Second

// demo is a local fleet that is configured with two teams.
type demo struct {
	fleet *Fleet
	keys  map[string]string
}

// configure creates the budgets, applies the first configuration and waits until all
// routers have loaded it.
func (d *demo) configure(ctx context.Context) error {
	d.keys = map[string]string{pilots: team.NewKey(), conventions: team.NewKey()}
	accounts := d.fleet.Accounts()
	for budget, owner := range map[string]string{pilotsBudget: pilots, badgeBudget: conventions} {
		if err := accounts.Create(ctx, budget, owner); err != nil {
			return err
		}
		if err := accounts.TopUp(ctx, budget, "first", credit); err != nil {
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
	generation, err := (fleet.Registry{Store: d.fleet.Store()}).Apply(ctx, doc, 0, "demo")
	if err != nil {
		return err
	}
	return d.waitConfigured(ctx, generation)
}

// waitConfigured waits until each router has loaded the configuration.
func (d *demo) waitConfigured(ctx context.Context, generation int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for id := range d.fleet.CallerAddresses {
		for {
			state, err := FetchDump(ctx, d.fleet.AdminAddresses[id])
			if err == nil && state.Generation >= generation {
				break
			}
			select {
			case <-ctx.Done():
				return Error.New("%s has not loaded the configuration", id)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// ProcessDump holds the fields of a process's debug dump that the tests read.
type ProcessDump struct {
	Generation int64 `json:"configuration_generation"`
}

// FetchDump fetches a process's debug dump from its admin address.
func FetchDump(ctx context.Context, admin string) (ProcessDump, error) {
	var out ProcessDump
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
	url := "http://" + d.fleet.CallerAddresses[routerID] + path
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

// waitForCharges reads the ledger until its totals reach those wanted, or ledgerWait is
// over, and returns the totals.
func (d *demo) waitForCharges(ctx context.Context, want map[string]int64) (map[string]int64, error) {
	deadline := time.Now().Add(ledgerWait)
	for {
		got, err := d.fleet.Ledger().Totals(ctx, "")
		if err != nil {
			return nil, err
		}
		if reached(got, want) || time.Now().After(deadline) {
			return got, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func reached(got, want map[string]int64) bool {
	for k, n := range want {
		if got[k] < n {
			return false
		}
	}
	return true
}
