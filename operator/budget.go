package operator

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/fleet"
)

// budgetFlags holds the flags of the budget command.
type budgetFlags struct {
	storeFlags
	team   string
	id     string
	tokens int64
}

func budgetCommand() *command {
	b := &budgetFlags{}
	return &command{
		name:     "budget",
		synopsis: "show, create and top up prepaid budgets",
		usage: `budget [flags] show|create|topup|release NAME
  show     print the credited, settled and forfeited tokens, and the grants by holder
  create   create an empty budget for -team
  topup    credit -tokens; -id names the payment, and each id counts once
  release  return -tokens of the forfeited ones; -id names the order
Example: arbutusmill budget -tokens 1000000 -id invoice-118 topup pilots/2026
`,
		flags: func(f *flag.FlagSet) {
			b.flags(f)
			f.StringVar(&b.team, "team", "", "`team` that owns a new budget")
			f.StringVar(&b.id, "id", "", "`id` of the payment or order")
			f.Int64Var(&b.tokens, "tokens", 0, "`amount` in tokens")
		},
		run: b.run,
	}
}

func (b *budgetFlags) run(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return usagef("expected one of show, create, topup, release and a budget's name")
	}
	name := args[1]
	if !fleet.ValidName(name) {
		return usagef("%q is not a budget's name (lower-case letters, digits, . _ / -)", name)
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	switch args[0] {
	case "show":
		return b.show(ctx, name)
	case "create":
		return b.create(ctx, name)
	case "topup":
		return b.topUp(ctx, name)
	case "release":
		return b.release(ctx, name)
	}
	return usagef("%q is none of show, create, topup, release", args[0])
}

func (b *budgetFlags) create(ctx context.Context, name string) error {
	if !fleet.ValidName(b.team) {
		return usagef("-team: %q is not a team's name", b.team)
	}
	if err := b.accounts().Create(ctx, name, b.team); err != nil {
		return err
	}
	fmt.Printf("budget %s of team %s exists\n", name, b.team)
	return nil
}

func (b *budgetFlags) topUp(ctx context.Context, name string) error {
	if b.id == "" {
		return usagef("-id: is missing; with it, a retry after a lost response has no further effect")
	}
	if b.tokens <= 0 {
		return usagef("-tokens: must be positive")
	}
	if err := b.accounts().TopUp(ctx, name, b.id, b.tokens); err != nil {
		return err
	}
	fmt.Printf("budget %s: top-up %s of %d tokens is durable\n", name, b.id, b.tokens)
	return nil
}

func (b *budgetFlags) release(ctx context.Context, name string) error {
	if b.id == "" || b.tokens <= 0 {
		return usagef("-id and a positive -tokens are required")
	}
	n, err := b.accounts().Release(ctx, name, b.id, b.tokens)
	if err != nil {
		return err
	}
	fmt.Printf("budget %s: order %s returned %d forfeited tokens\n", name, b.id, n)
	return nil
}

func (b *budgetFlags) show(ctx context.Context, name string) error {
	a, err := b.accounts().Get(ctx, name)
	if err != nil {
		return err
	}
	printAccount(name, a)
	return nil
}

func printAccount(name string, a *account.Account) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "budget\t%s\nteam\t%s\n", name, a.Team)
	fmt.Fprintf(w, "credited\t%d\nsettled\t%d\ngranted\t%d\nforfeited\t%d\nfree\t%d\n",
		a.Credit(), a.Settled(), a.Outstanding(), a.Forfeited, a.Free())
	for _, h := range a.Holders() {
		r := a.Rows[h]
		fmt.Fprintf(w, "  %s\tgranted %d\treturned %d\tsettled %d\tholds %d\tdemand %.1f tokens/s\n",
			h, r.Granted, r.Returned, r.Settled, r.Balance(), r.Demand)
	}
}
