package localfleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// What the teams of the show ask and have paid for, in tokens.
const (
	pilots, pilotsKey     = "pilots", "k-pilots"
	skippers, skippersKey = "skippers", "k-skippers"
	pilotsPrepaid         = 1_000_000
	skippersPrepaid       = 1_500
	promptTokens          = 1000
	// ownTokens of a prompt are the caller's own, the rest is shared by all of its topic.
	ownTokens      = 100
	mostOutput     = 60
	tokensPerEvent = 3
)

// inForce is how long the show waits for what operators did to be in force at all routers.
const inForce = 1500 * time.Millisecond

// Options are those of a show.
type Options struct {
	// Out takes what is shown, Log the processes' lines.
	Out, Log io.Writer
	// Colour marks results on a terminal.
	Colour bool
	// Keep leaves the fleet running until the context ends.
	Keep bool
}

// datacentres are those of the show.
var datacentres = []string{"bergen", "alesund", "floro"}

// scene is one thing that is shown.
type scene struct {
	title string
	// play returns what was seen, or an error if it was not what was promised.
	play func(context.Context) (string, error)
	// closer says how to look closer.
	closer string
}

// show is a run of all scenes.
type show struct {
	Options
	f *Fleet
	// answered is the tokens of the prompts that pilots got whole answers to.
	answered int64
	asked    int
}

// Show starts a local fleet and shows the main job: prompts that are streamed and billed, calls
// that run once, budgets that end, and what happens when operators and failures intervene. It
// fails if any of it is not as promised.
func Show(ctx context.Context, o Options) error {
	began := time.Now()
	f, err := Start(ctx, datacentres, o.Log)
	if err != nil {
		return err
	}
	s := &show{Options: o, f: f}
	err = s.run(ctx, began)
	if err == nil && o.Keep {
		s.printf("\nThe fleet runs until Ctrl-C; key of team %s: %s, host %s.\n%s", pilots, pilotsKey, host, f.Addresses())
		<-ctx.Done()
	}
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (s *show) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.Out, format, args...) }

func (s *show) run(ctx context.Context, began time.Time) error {
	if err := s.f.Store.Configure(configuration()); err != nil {
		return err
	}
	if err := s.f.WaitReady(ctx); err != nil {
		return err
	}
	s.printf("%d routers and %d lenders in %d data centres, on loopback, after %s\n",
		len(datacentres), len(datacentres), len(datacentres), time.Since(began).Round(time.Millisecond))
	for _, scene := range s.scenes() {
		seen, err := scene.play(ctx)
		if err != nil {
			return Error.New("%s: %v", scene.title, err)
		}
		s.tell(scene, seen)
	}
	s.printf("all as promised, after %s\n", time.Since(began).Round(100*time.Millisecond))
	return nil
}

// tell prints a scene.
func (s *show) tell(sc scene, seen string) {
	mark, plain := "", ""
	if s.Colour {
		mark, plain = "\x1b[32m", "\x1b[0m"
	}
	s.printf("%s✓ %s%s: %s\n", mark, sc.title, plain, seen)
	if sc.closer != "" {
		s.printf("    look closer: %s\n", sc.closer)
	}
}

// configuration is what operators of the show put in force.
func configuration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Name: "chat", Host: host, Prefix: "/chat/", Kind: standin.Streaming, Service: Assistant, Resumable: true, MostUpstreams: 2,
				Timeout: 6 * time.Second, Goal: 800 * time.Millisecond, Rank: 1},
			{Name: "alert", Host: host, Prefix: "/alert/", Kind: standin.Unsafe, Service: Alerts, MostUpstreams: 1,
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

// prompt is the next prompt of the pilots, about a topic.
func (s *show) prompt(topic string) question {
	s.asked++
	return question{id: fmt.Sprint("show-", s.asked), path: "/chat/tides", key: pilotsKey, prompt: promptTokens, topic: topic}
}

// served asks a router a prompt of the pilots and checks that the whole answer came.
func (s *show) served(ctx context.Context, router *vm, topic string) (answer, error) {
	q := s.prompt(topic)
	a, err := router.ask(ctx, q)
	if err != nil {
		return a, err
	}
	if a.status != 200 || a.events != events {
		return a, Error.New("%s of %s: status %d after %d of %d events: %s", q.id, router.name, a.status, a.events, events, a.body)
	}
	s.answered += a.tokens(q)
	return a, nil
}
