package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/google/subcommands"
)

// settingsVariable is the environment variable with the path of the settings file on
// the operators' platform.
const settingsVariable = "ARBUTUSMILL_SETTINGS"

// gatewayCmd runs a router on the operators' platform.
type gatewayCmd struct{ config string }

// Name implements subcommands.Command.
func (*gatewayCmd) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCmd) Synopsis() string {
	return "run the router of this VM on the operators' platform until SIGTERM"
}

// Usage implements subcommands.Command.
func (*gatewayCmd) Usage() string {
	return `gateway [-config FILE]
Runs the router of this VM on the operators' platform. SIGTERM starts a planned stop, which
interrupts no request. The default of -config is the value of ` + settingsVariable + `.
Example: arbutusmilld gateway -config examples/hosted/gateway.yaml
`
}

// SetFlags implements subcommands.Command.
func (c *gatewayCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", os.Getenv(settingsVariable), "settings `file` (YAML)")
}

// Execute implements subcommands.Command.
func (c *gatewayCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		fmt.Fprintln(os.Stderr, "settings: -config FILE is missing")
		return subcommands.ExitUsageError
	}
	watcher := newFileWatcher(c.config)
	s, err := settings.LoadGateway(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	out, dropped := observe.Stdout()
	g := gateway.New(s, hosted.TCP(), out, dropped)
	captureLibraryLog(g.Log)
	// ctx ends when a planned stop begins; a signal may also come later.
	go watcher.run(context.WithoutCancel(ctx), func() {
		s, err := settings.LoadGateway(c.config)
		if err != nil {
			g.ReloadRefused(err)
			return
		}
		g.Reload(s)
	})
	return exitStatus(g.Run(ctx), out)
}

// exitStatus closes the log and prints the error that ended the process, if any.
func exitStatus(err error, logWriter io.Closer) subcommands.ExitStatus {
	if closeErr := logWriter.Close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
