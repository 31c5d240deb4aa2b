// Package operator implements the command line of arbutusmill.
package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/etcd"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/google/subcommands"
)

// Register registers all commands with c.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, cmd := range []*command{demoCommand(), standinCommand(), loadCommand()} {
		c.Register(cmd, "local")
	}
	for _, cmd := range []*command{budgetCommand(), ledgerCommand()} {
		c.Register(cmd, "budgets")
	}
	for _, cmd := range []*command{applyCommand(), presetCommand(), teamCommand(), serviceCommand()} {
		c.Register(cmd, "configuration")
	}
	for _, cmd := range []*command{dumpCommand(), versionCommand()} {
		c.Register(cmd, "processes")
	}
	c.Register(&explainCmd{}, "processes")
}

// command is one subcommand: its texts, its flags and its function.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	run                   func(ctx context.Context, args []string) error
}

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

func usagef(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command. Exit status 2 is an error in the command line
// or in a file, 1 any other failure.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err == nil {
		err = c.run(ctx, args)
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, c.name+": "+err.Error())
	if errors.Is(err, errUsage) || fleet.Error.Has(err) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// positional returns the arguments that aren't flags; flags may stand between them.
func positional(f *flag.FlagSet) ([]string, error) {
	var args []string
	rest := f.Args()
	for len(rest) > 0 {
		if strings.HasPrefix(rest[0], "-") && len(rest[0]) > 1 {
			if err := f.Parse(rest); err != nil {
				return nil, usagef("%v", err)
			}
			rest = f.Args()
			continue
		}
		args, rest = append(args, rest[0]), rest[1:]
	}
	return args, nil
}

// storeFlags holds the flags for access to the platform's store.
type storeFlags struct {
	url     string
	pages   int
	shards  int
	timeout time.Duration
}

// defaultCallTimeout is the default timeout of one store call.
const defaultCallTimeout = 5 * time.Second

func (s *storeFlags) flags(f *flag.FlagSet) {
	d := settings.Default()
	f.StringVar(&s.url, "store", "http://127.0.0.1:2379", "`URL` of the platform's key-value service")
	f.IntVar(&s.pages, "pages", d.Budgets.Pages, "number of account pages, as in the routers' settings")
	f.IntVar(&s.shards, "shards", d.Ledger.Shards, "number of ledger shards, as in the routers' settings")
	f.DurationVar(&s.timeout, "timeout", defaultCallTimeout, "bound of one store call")
}

// httpClient sends the commands' calls.
var httpClient = &http.Client{
	Transport:     bounded.Transport(&http.Transport{Proxy: http.ProxyFromEnvironment}),
	CheckRedirect: bounded.KeepRedirects,
}

func (s *storeFlags) store() store.Store {
	return &etcd.Store{URL: s.url, Client: httpClient, Timeout: s.timeout}
}

func (s *storeFlags) accounts() account.AdminClient {
	return account.AdminClient{Store: s.store(), Layout: account.Layout{Prefix: process.PagePrefix, Pages: s.pages}}
}

func (s *storeFlags) ledger() ledger.Reader {
	return ledger.Reader{Store: s.store(), Layout: ledger.Layout{Prefix: process.LedgerPrefix, Shards: s.shards}}
}

func (s *storeFlags) registry() fleet.Registry { return fleet.Registry{Store: s.store()} }

// withCommandTimeout bounds a whole command, since the store may be unavailable for a long time.
func withCommandTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	const commandTimeout = 30 * time.Second
	return context.WithTimeout(ctx, commandTimeout)
}
