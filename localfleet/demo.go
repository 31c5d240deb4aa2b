package localfleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// Teams of the demo, with their prepaid tokens and the tokens of a prompt.
const (
	pilots, pilotsKey     = "pilots", "k-pilots"
	skippers, skippersKey = "skippers", "k-skippers"
	pilotsPrepaid         = 1_000_000
	skippersPrepaid       = 1_500
	promptTokens          = 1000
	// uniqueTokens is the part of a prompt that differs between requests; the rest is shared by all
	// prompts of a topic.
	uniqueTokens   = 100
	maxOutput      = 60
	tokensPerEvent = 3
)

// propagationTime is how long the demo waits until a change by operators or a returned balance has
// taken effect everywhere.
const propagationTime = 1500 * time.Millisecond

// Options configures a demo.
type Options struct {
	// Out receives the demo's output, Log the log lines of the processes.
	Out, Log io.Writer
	// Colour enables coloured output for a terminal.
	Colour bool
	// Keep leaves the fleet running after the last step until the context ends.
	Keep bool
}

// datacentres are the data centres of the demo.
var datacentres = []string{"bergen", "alesund", "floro"}

// step demonstrates one behaviour.
type step struct {
	title string
	// run returns a description of the result, or an error if the behaviour was not as expected.
	run func(context.Context) (string, error)
	// hint names a command or a log event that shows the details.
	hint string
}

// demo is one run of all steps.
type demo struct {
	Options
	f *Fleet
	// chargedTokens is the sum of tokens charged to the pilots for complete responses.
	chargedTokens int64
	// sent counts the prompts of the pilots.
	sent int
}

// RunDemo starts a local fleet and demonstrates its main functions: prompts that are streamed and
// billed, calls that run at most once, exhausted budgets, operator actions and failures. It returns
// an error if any step fails.
func RunDemo(ctx context.Context, o Options) error {
	start := time.Now()
	f, err := Start(ctx, datacentres, o.Log)
	if err != nil {
		return err
	}
	d := &demo{Options: o, f: f}
	err = d.run(ctx, start)
	if err == nil && o.Keep {
		d.printf("\nThe fleet runs until Ctrl-C; key of team %s: %s, host %s.\n%s", pilots, pilotsKey, host, f.Addresses())
		<-ctx.Done()
	}
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

func (d *demo) run(ctx context.Context, start time.Time) error {
	if err := d.f.Store.Configure(configuration()); err != nil {
		return err
	}
	if err := d.f.WaitReady(ctx); err != nil {
		return err
	}
	d.printf("%d routers and %d lenders in %d data centres, on loopback, after %s\n",
		len(datacentres), len(datacentres), len(datacentres), time.Since(start).Round(time.Millisecond))
	for _, st := range d.steps() {
		result, err := st.run(ctx)
		if err != nil {
			return Error.New("%s: %v", st.title, err)
		}
		d.printResult(st, result)
	}
	d.printf("all steps passed after %s\n", time.Since(start).Round(100*time.Millisecond))
	return nil
}

// printResult prints the result of a step.
func (d *demo) printResult(st step, result string) {
	colour, reset := "", ""
	if d.Colour {
		colour, reset = "\x1b[32m", "\x1b[0m"
	}
	d.printf("%s✓ %s%s: %s\n", colour, st.title, reset, result)
	if st.hint != "" {
		d.printf("    for details: %s\n", st.hint)
	}
}

// configuration returns the configuration of the demo.
func configuration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: standin.Streaming, Service: Assistant, Resumable: true, MaxUpstreams: 2,
				Timeout: 6 * time.Second, Goal: 800 * time.Millisecond, Rank: 1},
			{Name: "alert", Host: host, Prefix: "/alert/", Kind: standin.Unsafe, Service: Alerts, MaxUpstreams: 1,
				Timeout: 2 * time.Second, Goal: 200 * time.Millisecond},
		},
		Models: []standin.Model{{Name: Assistant, Slots: engineSlots, MemoryTokens: 400_000, TokensPerEvent: tokensPerEvent}},
		Plain:  []string{Alerts},
		Teams: []standin.Team{
			{Name: pilots, Keys: []string{pilotsKey}, Prepaid: pilotsPrepaid},
			{Name: skippers, Keys: []string{skippersKey}, Prepaid: skippersPrepaid},
		},
	}
}

// newPrompt returns the next prompt of the pilots on a topic.
func (d *demo) newPrompt(topic string) request {
	d.sent++
	return request{id: fmt.Sprint("show-", d.sent), path: "/chat/tides", key: pilotsKey, promptTokens: promptTokens, topic: topic}
}

// sendPrompt sends a prompt of the pilots to a router and checks that the response is complete.
func (d *demo) sendPrompt(ctx context.Context, router *vm, topic string) (response, error) {
	req := d.newPrompt(topic)
	resp, err := router.send(ctx, req)
	if err != nil {
		return resp, err
	}
	if resp.status != 200 || resp.events != events {
		return resp, Error.New("%s of %s: status %d after %d of %d events: %s", req.id, router.name, resp.status, resp.events, events, resp.body)
	}
	d.chargedTokens += resp.chargedTokens(req)
	return resp, nil
}
