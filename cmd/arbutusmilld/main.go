// Command arbutusmilld runs the processes of a fleet: routers, agents, gateways and lenders.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/arbutusmill/arbutusmill/daemon"
	"github.com/google/subcommands"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	daemon.Register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(ctx)))
}
