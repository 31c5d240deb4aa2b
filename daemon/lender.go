package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/lender"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/google/subcommands"
)

// lenderCmd runs a process that holds budgets on the VM of an upstream.
type lenderCmd struct{ config string }

// Name implements subcommands.Command.
func (*lenderCmd) Name() string { return "lender" }

// Synopsis implements subcommands.Command.
func (*lenderCmd) Synopsis() string {
	return "hold prepaid tokens for the routers, on the VM of an upstream, until SIGTERM"
}

// Usage implements subcommands.Command.
func (*lenderCmd) Usage() string {
	return `lender [-config FILE]
Holds prepaid tokens for the routers on the operators' platform, on the VM of an upstream.
SIGTERM starts a planned stop, which returns unused tokens. The default of -config is the value of
` + settingsVariable + `.
Example: arbutusmilld lender -config examples/hosted/lender.yaml
`
}

// SetFlags implements subcommands.Command.
func (c *lenderCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", os.Getenv(settingsVariable), "settings `file` (YAML)")
}

// Execute implements subcommands.Command.
func (c *lenderCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		fmt.Fprintln(os.Stderr, "settings: -config FILE is missing")
		return subcommands.ExitUsageError
	}
	watcher := newFileWatcher(c.config)
	s, err := settings.LoadLender(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	out, dropped := observe.Stdout()
	l := lender.New(s, hosted.TCP(), out, dropped)
	captureLibraryLog(l.Log)
	// ctx ends when a planned stop begins; a signal may also come later.
	go watcher.run(context.WithoutCancel(ctx), func() {
		s, err := settings.LoadLender(c.config)
		if err != nil {
			l.ReloadRefused(err)
			return
		}
		l.Reload(s)
	})
	return exitStatus(l.Run(ctx), out)
}
