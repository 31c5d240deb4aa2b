package operator

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
)

type ledgerFlags struct {
	storeFlags
	team  string
	since time.Duration
	list  bool
	check bool
}

func ledgerCommand() *command {
	l := &ledgerFlags{}
	return &command{
		name:     "ledger",
		synopsis: "list and sum charges, and compare them with the accounts",
		usage: `ledger [flags]
Sums the charges by budget, for one -team or all. -since includes only charges settled
within that time; -list prints each of them. -verify compares the sums with the settled
totals of the accounts: these lag behind by what routers have not reported yet, and must
never be ahead.
Example: arbutusmill ledger -team pilots -since 24h -list
`,
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&l.team, "team", "", "only this `team`")
			f.DurationVar(&l.since, "since", 0, "only charges settled within this `time`")
			f.BoolVar(&l.list, "list", false, "print each charge")
			f.BoolVar(&l.check, "verify", false, "compare with the accounts")
		},
		run: l.run,
	}
}

func (l *ledgerFlags) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("no arguments are taken")
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	if l.check {
		return l.verify(ctx)
	}
	if !l.list && l.since == 0 {
		totals, err := l.ledger().Totals(ctx, l.team)
		if err != nil {
			return err
		}
		printTotals(totals)
		return nil
	}
	return l.sumCharges(ctx)
}

func (l *ledgerFlags) sumCharges(ctx context.Context) error {
	from := int64(0)
	if l.since > 0 {
		from = time.Now().Add(-l.since).Unix()
	}
	totals := map[string]int64{}
	err := l.ledger().Each(ctx, l.team, func(c ledger.Charge) bool {
		if c.Unix < from {
			return true
		}
		totals[c.Budget] += c.Tokens
		if l.list {
			fmt.Printf("%s  %-40s  %-12s  %8d  %s\n", time.Unix(c.Unix, 0).UTC().Format(time.RFC3339), c.ID, c.Service, c.Tokens, c.Budget)
		}
		return true
	})
	if err != nil {
		return err
	}
	printTotals(totals)
	return nil
}

func printTotals(totals map[string]int64) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, b := range slices.Sorted(maps.Keys(totals)) {
		fmt.Fprintf(w, "%s\t%d tokens\n", b, totals[b])
	}
}

// verify compares the billed totals with the accounts.
func (l *ledgerFlags) verify(ctx context.Context) error {
	totals, err := l.ledger().Totals(ctx, l.team)
	if err != nil {
		return err
	}
	mismatches := 0
	for _, b := range slices.Sorted(maps.Keys(totals)) {
		a, err := l.accounts().Get(ctx, b)
		if err != nil {
			return err
		}
		verdict := compare(a, totals[b])
		if verdict != "ok" {
			mismatches++
		}
		fmt.Printf("%s: billed %d, settled %d, granted %d: %s\n", b, totals[b], a.Settled(), a.Outstanding(), verdict)
	}
	if mismatches > 0 {
		return fmt.Errorf("%d budgets do not agree", mismatches)
	}
	return nil
}

// compare returns "ok" if a billed total fits an account, else the difference. What is billed
// beyond the settled total must be covered by grants whose holders haven't reported yet.
func compare(a *account.Account, billed int64) string {
	switch {
	case billed > a.Credit():
		return "billed more than was credited"
	case billed > a.Settled()+a.Outstanding():
		return "billed more than was settled and granted"
	}
	return "ok"
}
