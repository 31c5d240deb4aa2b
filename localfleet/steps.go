package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/platform/standin"
)

func (d *demo) steps() []step {
	return []step{
		{"a prompt is streamed and billed", d.streamPrompt, "-log FILE, then arbutusmill explain show-1 FILE"},
		{"a call that must not run twice is not retried", d.runOnce, "arbutusmill explain alert-1 FILE"},
		{"a team that has exhausted its budget is refused", d.exhaustBudget, "arbutusmill explain skipper-2 FILE"},
		{"a data centre is drained and returned to service", d.drainDatacentre, "datacentre_emptied in FILE"},
		{"a router that is disconnected from the store keeps serving", d.disconnectStore, `"event":"lost" in FILE, arbutusmill_followed_age_seconds`},
		{"all processes are killed at once", d.killAll, "tokens_moved and lender_settled in FILE"},
		{"the bill matches the responses", d.checkBill, "-keep, then arbutusmill dump ADMIN-ADDRESS"},
	}
}

func (d *demo) streamPrompt(ctx context.Context) (string, error) {
	resp, err := d.sendPrompt(ctx, d.f.routers()[0], "harbour")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d events, the first after %s; team %s is charged %d tokens of %d",
		resp.events, resp.latency.Round(time.Millisecond), pilots, d.chargedTokens, pilotsPrepaid), nil
}

// runOnce loses the response to an alert. Whether the alert ran is then unknown, so it must not be
// retried.
func (d *demo) runOnce(ctx context.Context) (string, error) {
	req := request{id: "alert-1", path: "/alert/surge", key: pilotsKey}
	d.setAlertMode(standin.LoseAnswer)
	resp, err := d.f.routers()[1].send(ctx, req)
	d.setAlertMode(standin.Serve)
	if err != nil {
		return "", err
	}
	runs := 0
	for _, u := range d.f.AlertServers {
		runs += u.Runs(req.id)
	}
	if resp.status != http.StatusBadGateway || runs != 1 {
		return "", Error.New("status %d after %d runs", resp.status, runs)
	}
	return fmt.Sprintf("its response was lost; it ran once, and the caller receives an unknown outcome (%d)", resp.status), nil
}

func (d *demo) setAlertMode(m standin.Mode) {
	for _, u := range d.f.AlertServers {
		u.SetMode(m)
	}
}

func (d *demo) exhaustBudget(ctx context.Context) (string, error) {
	send := func(n int) (response, error) {
		req := request{id: fmt.Sprint("skipper-", n), path: "/chat/tides", key: skippersKey, promptTokens: promptTokens, topic: "skerry"}
		return d.f.routers()[n%len(datacentres)].send(ctx, req)
	}
	first, err := send(1)
	if err != nil {
		return "", err
	}
	time.Sleep(propagationTime) // until the unused tokens of the first prompt are returned by its router
	second, err := send(2)
	if err != nil {
		return "", err
	}
	if first.status != http.StatusOK || second.status != http.StatusPaymentRequired {
		return "", Error.New("status %d, then %d: %s", first.status, second.status, second.body)
	}
	return fmt.Sprintf("of %d tokens the first prompt used %d, the second one is refused immediately (%d)",
		skippersPrepaid, promptTokens+first.events*tokensPerEvent, second.status), nil
}

// topicCount is the number of topics in some steps, enough for every engine to get some prompts.
const topicCount = 9

// sendTopics sends prompts on different topics through all routers, and returns how many ran on the
// engine of the first data centre. prefix begins the names of the topics.
func (d *demo) sendTopics(ctx context.Context, prefix string) (atFirst int, err error) {
	before := len(d.f.Engines[0].Requests())
	for n := range topicCount {
		if _, err := d.sendPrompt(ctx, d.f.routers()[n%len(datacentres)], fmt.Sprint(prefix, "-", n)); err != nil {
			return 0, err
		}
	}
	return len(d.f.Engines[0].Requests()) - before, nil
}

func (d *demo) drainDatacentre(ctx context.Context) (string, error) {
	if err := d.f.Store.OrderDrain(datacentres[0]); err != nil {
		return "", err
	}
	time.Sleep(propagationTime)
	during, err := d.sendTopics(ctx, "evening")
	if err != nil {
		return "", err
	}
	if err := d.f.Store.EndDrain(datacentres[0]); err != nil {
		return "", err
	}
	time.Sleep(propagationTime)
	after, err := d.sendTopics(ctx, "morning")
	if err != nil {
		return "", err
	}
	if during != 0 || after == 0 {
		return "", Error.New("its engine received %d prompts while drained, %d after", during, after)
	}
	return fmt.Sprintf("%s received none of %d prompts, then %d of %d; all were answered", datacentres[0], topicCount, after, topicCount), nil
}

func (d *demo) disconnectStore(ctx context.Context) (string, error) {
	router := d.f.routers()[1]
	router.network.disconnect(d.f.StoreAddress)
	defer router.network.reconnect(d.f.StoreAddress)
	for n := range topicCount {
		if _, err := d.sendPrompt(ctx, router, fmt.Sprint("night-", n)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%s answered %d prompts with tokens that lenders hold", router.name, topicCount), nil
}

func (d *demo) killAll(ctx context.Context) (string, error) {
	start := time.Now()
	d.f.KillAll()
	if err := d.f.WaitReady(ctx); err != nil {
		return "", err
	}
	ready := time.Since(start)
	if _, err := d.sendPrompt(ctx, d.f.routers()[2], "harbour"); err != nil {
		return "", err
	}
	return fmt.Sprintf("ready again after %s; VMs keep no state, and the next prompt is answered", ready.Round(time.Millisecond)), nil
}

// billTimeout bounds the wait for the last usage reports, billInterval is the time between two checks.
const (
	billTimeout  = 5 * time.Second
	billInterval = 50 * time.Millisecond
)

// checkBill compares the account with the tokens charged for responses. Tokens that dead processes
// held are lost, since no process can prove that they were not spent.
func (d *demo) checkBill(ctx context.Context) (string, error) {
	deadline := time.Now().Add(billTimeout)
	for {
		a, err := d.f.Accounts().Get(ctx, pilots)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			return "", err
		}
		remaining := a.Free() + d.spendable(a)
		switch spent := pilotsPrepaid - remaining; {
		case spent >= d.chargedTokens:
			return fmt.Sprintf("of %d tokens %d were charged for responses, %d were lost with the killed processes, %d remain",
				pilotsPrepaid, d.chargedTokens, spent-d.chargedTokens, remaining), nil
		case time.Now().After(deadline):
			return "", Error.New("%d tokens were charged for responses, but only %d of %d are spent", d.chargedTokens, spent, pilotsPrepaid)
		}
		time.Sleep(billInterval)
	}
}

// spendable returns the tokens that the running processes may still spend.
func (d *demo) spendable(a *account.Account) (tokens int64) {
	running := d.f.incarnations()
	for incarnation, row := range a.Rows {
		if running[incarnation] {
			tokens += row.Balance()
		}
	}
	return tokens
}
