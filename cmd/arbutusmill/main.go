// Command arbutusmill is the operators' tool: budgets, configuration, dumps, the
// ledger, a local demo and a load tool.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/arbutusmill/arbutusmill/operator"
	"github.com/google/subcommands"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	operator.Register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(ctx)))
}
