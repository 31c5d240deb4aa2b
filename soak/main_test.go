package soak

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/arbutusmill/arbutusmill/daemon"
	"github.com/google/subcommands"
)

// roleVariable is the environment variable that makes the test binary run as one of the daemons.
const roleVariable = "ARBUTUSMILL_SOAK_ROLE"

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(runDaemon(role))
	}
	os.Exit(m.Run())
}

// runDaemon runs the subcommand of arbutusmilld for a role.
func runDaemon(role string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	flags := flag.NewFlagSet(role, flag.ExitOnError)
	commander := subcommands.NewCommander(flags, role)
	daemon.Register(commander)
	if err := flags.Parse([]string{role}); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}
