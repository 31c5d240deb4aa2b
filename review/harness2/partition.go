package main

import (
	"fmt"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// The fleet of the case: an entry VM and an engine's VM in each of three data centres, named as on the users' sheet.
const (
	bergen, alesund, floro = "bergen-hall", "alesund-hall", "floro-hall"

	edgeBergen, edgeAlesund, edgeFloro = "edge-bergen-hall-1", "edge-alesund-hall-1", "edge-floro-hall-1"
	sideBergen, sideAlesund, sideFloro = "side-bergen-hall-1", "side-alesund-hall-1", "side-floro-hall-1"
)

// The tenants, and one request of them. The tokens of the first one are lent by floro's lender, those of the other one by bergen's.
const (
	tenant, tenantKey = "pilots", "key-of-pilots"
	otherTenant       = "harbour"
	otherKey          = "key-of-harbour"
	prepaid           = 2_000_000
	otherPrepaid      = 50_000_000
	prompt, output    = 4_000, 60
)

// Times since the start of the case. The cut lasts until the end.
const (
	cutAt   = 13 * time.Second
	burstAt = 97 * time.Second
	endAt   = 113 * time.Second
)

// runPartition lets two data centres lose each other for long. The store's side stays with one of them; the third reaches both.
func runPartition(c *caseRun) error {
	f, err := newFleet(c, map[string]string{bergen: "vestland", alesund: "vestland", floro: "vestland"})
	if err != nil {
		return err
	}
	engines, err := startPartitionFleet(c, f)
	if err != nil {
		return err
	}
	users := newClients(c)
	at := func(phase, router, path string) generation {
		return generation{phase: phase, router: f.daemons[router].callers, path: path, key: tenantKey, prompt: prompt, output: output}
	}
	other := at("other-floro", edgeFloro, "/floro/x")
	other.key = otherKey
	users.waiting.Go(func() { users.every(100*time.Millisecond, time.Until(c.began.Add(cutAt+time.Second)), other) })
	users.every(100*time.Millisecond, time.Until(c.began.Add(cutAt-200*time.Millisecond)), at("before-floro", edgeFloro, "/floro/x"))
	if served := users.answered("before-floro", 200); served < 50 {
		return fmt.Errorf("only %d requests were served before the cut", served)
	}
	c.until(cutAt)
	if c.trouble {
		for _, a := range []string{edgeBergen, sideBergen, engineOf("bergen"), storeEnd} {
			for _, b := range []string{edgeFloro, sideFloro, engineOf("floro")} {
				f.network.cut(a, b)
			}
		}
		c.note("%s and the store are cut from %s", bergen, floro)
	}
	users.every(2*time.Second, time.Until(c.began.Add(burstAt-time.Second)), at("during-bergen", edgeBergen, "/bergen/x"))
	c.until(burstAt)
	c.note("clients in both data centres send as much as they can")
	users.waiting.Go(func() { users.every(50*time.Millisecond, 12*time.Second, at("burst-floro", edgeFloro, "/floro/x")) })
	users.every(16*time.Millisecond, 14*time.Second, at("burst-bergen", edgeBergen, "/bergen/x"))
	c.until(endAt)
	users.waiting.Wait()
	for _, line := range f.daemons[sideBergen].logged("lender_settled") {
		c.note("log of %s: %s", sideBergen, line)
	}
	return judgeBudget(c, engines, users)
}

// startPartitionFleet starts the processes and engines, and configures a route to the engines of each data centre.
func startPartitionFleet(c *caseRun, f *fleet) ([]*engine, error) {
	config := standin.Configuration{Version: 1, Teams: []standin.Team{{Name: tenant, Keys: []string{tenantKey}, Prepaid: prepaid},
		{Name: otherTenant, Keys: []string{otherKey}, Prepaid: otherPrepaid}}}
	var engines []*engine
	for _, dc := range []struct{ name, short, edge, side string }{
		{bergen, "bergen", edgeBergen, sideBergen}, {alesund, "alesund", edgeAlesund, sideAlesund}, {floro, "floro", edgeFloro, sideFloro},
	} {
		service := "tide-" + dc.short
		config.Models = append(config.Models, standin.Model{Name: service, Slots: 64, MemoryTokens: 400_000, TokensPerEvent: tokensPerEvent})
		config.Routes = append(config.Routes, standin.Route{Name: dc.short, Host: host, Prefix: "/" + dc.short + "/", Kind: standin.Streaming,
			Service: service, Timeout: 12 * time.Second, Goal: 800 * time.Millisecond, MaxUpstreams: 1})
		e, err := c.newEngine(engineOf(dc.short), 10*time.Millisecond)
		if err != nil {
			return nil, err
		}
		p, err := f.newProxy(e.id, e.address)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		if err := f.store.Register(e.id, service, p.address(), dc.name, "ready", 64); err != nil {
			return nil, err
		}
		if _, err := f.add("lender", dc.side, dc.name, fields{"upstream": fields{"address": p.address()}}); err != nil {
			return nil, err
		}
		if _, err := f.add("gateway", dc.edge, dc.name, nil); err != nil {
			return nil, err
		}
	}
	if err := f.store.Configure(config); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(5 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond) // the lenders find each other
	return engines, nil
}

// engineOf names the engine of a data centre.
func engineOf(short string) string { return "i-" + short }

// judgeBudget compares what the tenant got with what it has prepaid: input tokens once for each request that ran, and output tokens
// that reached its clients.
func judgeBudget(c *caseRun, engines []*engine, users *clients) error {
	input := map[string]int64{}
	for _, e := range engines {
		for _, r := range e.list() {
			c.note("engine %s ran %s of tenant %q: %d input tokens, %d output tokens", e.id, r.id, r.team, r.prompt, r.made)
			if r.team == tenant {
				input[r.id] = r.prompt
			}
		}
	}
	var total int64
	for _, n := range input {
		total += n
	}
	users.mu.Lock()
	defer users.mu.Unlock()
	c.note("answers by phase and status: %v", users.byStatus)
	c.note("requests that ran: %d; input tokens %d, output tokens delivered %d; prepaid %d", len(input), total, users.delivered[tenantKey], prepaid)
	if got := total + users.delivered[tenantKey]; got > prepaid {
		return fmt.Errorf("%w: tenant %s got %d tokens, %d more than its prepaid %d", errBroken, tenant, got, got-prepaid, prepaid)
	}
	return nil
}
