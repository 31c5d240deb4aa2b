package daemon

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/google/subcommands"
)

// settingsVariable holds the path of the settings file where the platform starts a
// process.
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
Runs the router of this VM on the operators' platform. SIGTERM makes a planned stop: no
request is cut off. Without -config the file is the one that ` + settingsVariable + ` names.
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
	s, err := settings.LoadGateway(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	out, dropped := observe.Stdout()
	g := gateway.New(s, gateway.TCP(), out, dropped)
	go c.reload(ctx, g)
	err = g.Run(ctx)
	if closeErr := out.Close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reloadInterval is the pause between two looks at the settings file, which may also
// change without a signal.
const reloadInterval = 2 * time.Second

// reload takes new settings on SIGHUP, or when the file's content has changed. A file
// that is wrong or cannot be read leaves the settings in force.
func (c *gatewayCmd) reload(ctx context.Context, g *gateway.Gateway) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, _ := os.ReadFile(c.config) // it was read just before; if not, any content is new
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-tick.C:
		}
		content, err := os.ReadFile(c.config)
		if err == nil && !signalled && bytes.Equal(content, last) {
			continue
		}
		last = content
		s, err := settings.LoadGateway(c.config)
		if err != nil {
			g.ReloadRefused(err)
			continue
		}
		g.Reload(s)
	}
}
