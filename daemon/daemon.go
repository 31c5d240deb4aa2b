// Package daemon implements the command line of arbutusmilld.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"

	"github.com/arbutusmill/arbutusmill/agent"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/router"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/google/subcommands"
)

// Register registers all commands with c.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&runCmd{role: settings.RoleRouter, example: "examples/brekke/bergen-router-1.yaml"}, "processes")
	c.Register(&runCmd{role: settings.RoleAgent, example: "examples/brekke/bergen-engine-1.yaml"}, "processes")
	c.Register(&gatewayCmd{}, "processes")
	c.Register(&lenderCmd{}, "processes")
	c.Register(&checkCmd{}, "settings")
}

// runCmd runs a router or an agent.
type runCmd struct {
	role    string
	example string
	config  string
}

// Name implements subcommands.Command.
func (c *runCmd) Name() string { return c.role }

// Synopsis implements subcommands.Command.
func (c *runCmd) Synopsis() string { return "run the " + c.role + " of this VM until SIGTERM" }

// Usage implements subcommands.Command.
func (c *runCmd) Usage() string {
	return fmt.Sprintf(`%s -config FILE
Runs the %s of this VM. SIGTERM starts a planned stop, which interrupts no request.
Example: arbutusmilld %s -config %s
`, c.role, c.role, c.role, c.example)
}

// SetFlags implements subcommands.Command.
func (c *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings `file` (YAML)")
}

// Execute implements subcommands.Command.
func (c *runCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, ok := load(c.config)
	if !ok {
		return subcommands.ExitUsageError
	}
	if s.Role != c.role {
		fmt.Fprintf(os.Stderr, "settings: role: %q in %s, but this is the %s\n", s.Role, c.config, c.role)
		return subcommands.ExitUsageError
	}
	if err := run(ctx, s); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(ctx context.Context, s *settings.Settings) error {
	if s.Role == settings.RoleRouter {
		r, err := router.New(s, observe.Stderr(), net.Listen)
		if err != nil {
			return err
		}
		return r.Run(ctx)
	}
	a, err := agent.New(s, observe.Stderr(), net.Listen)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

// load loads settings and prints their errors.
func load(path string) (*settings.Settings, bool) {
	if path == "" {
		fmt.Fprintln(os.Stderr, "settings: -config FILE is missing")
		return nil, false
	}
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, false
	}
	return s, true
}

// checkCmd checks settings files.
type checkCmd struct{}

// Name implements subcommands.Command.
func (*checkCmd) Name() string { return "check-config" }

// Synopsis implements subcommands.Command.
func (*checkCmd) Synopsis() string { return "check settings files and report errors" }

// Usage implements subcommands.Command.
func (*checkCmd) Usage() string {
	return `check-config FILE...
Checks settings files and reports each invalid field. Exit status 2 if any is invalid.
Example: arbutusmilld check-config examples/brekke/*.yaml
`
}

// SetFlags implements subcommands.Command.
func (*checkCmd) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "check-config: no file given")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if _, ok := load(path); !ok {
			status = subcommands.ExitUsageError
			continue
		}
		fmt.Println(path + ": ok")
	}
	return status
}
