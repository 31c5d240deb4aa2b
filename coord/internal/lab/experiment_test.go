package lab_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/internal/lab"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

var (
	full = flag.Bool("lab.full", false, "run every cell of the policy experiment and print the table")
	only = flag.String("lab.policy", "", "with lab.full: only policies whose names contain this")
	seed = flag.Uint64("lab.seed", 20261202, "seed of the policy experiment")
)

func run(t *testing.T, c lab.Cell) lab.Result {
	var res lab.Result
	virtualtime.Test(t, func(t *testing.T) {
		var err error
		res, err = lab.Run(t.Context(), c)
		require.NoError(t, err)
	})
	return res
}

// The full policy must not overspend, must have at most a tenth of the false refusals of
// the even split, and less than one store write per 100 requests without faults. The cells
// are those where policies differ most: a long partition with a router crash, budgets just
// above and below the demand.
func TestPolicyTargets(t *testing.T) {
	for _, d := range lab.Deployments() {
		policies := lab.PoliciesUnderTest()
		evenSplit, fullPolicy := policies[1], policies[3]
		var evenFalse, fullFalse int
		for _, budget := range []float64{0.95, 1.05} {
			cell := lab.Cell{Deployment: d, Policy: evenSplit, Horizon: lab.Horizon,
				Partition: lab.Horizon / 2, Budget: budget, RouterCrash: true, Seed: *seed}
			evenResult := run(t, cell)
			cell.Policy = fullPolicy
			fullResult := run(t, cell)
			require.Zero(t, evenResult.Overspend)
			require.Zero(t, fullResult.Overspend)
			evenFalse += evenResult.FalseRefusals
			fullFalse += fullResult.FalseRefusals
		}
		require.LessOrEqual(t, 10*fullFalse, evenFalse, "%s: false refusals", d.Name)
		steady := run(t, lab.Cell{Deployment: d, Policy: fullPolicy, Horizon: lab.Horizon, Budget: 1.05, Seed: *seed})
		require.Less(t, steady.WritesPer100(), 1.0, "%s: store writes per 100 requests", d.Name)
	}
}

// TestPolicyTable runs all cells and prints the table if -lab.full is set.
func TestPolicyTable(t *testing.T) {
	if !*full {
		return
	}
	fmt.Printf("%-10s %-22s %9s %6s %5s | %8s %9s %9s %7s %8s %9s %9s %7s %7s\n", "deployment", "policy", "partition", "budget", "death",
		"requests", "overspend", "false/10k", "far/10k", "lost/10k", "stranded", "forfeited", "w/100", "r/100")
	for _, d := range lab.Deployments() {
		for _, p := range lab.PoliciesUnderTest() {
			if !strings.Contains(p.Name, *only) {
				continue
			}
			for _, partition := range []time.Duration{0, time.Minute, 10 * time.Minute, time.Hour} {
				for _, budget := range []float64{0.50, 0.95, 1.05} {
					for _, death := range []bool{false, true} {
						c := lab.Cell{Deployment: d, Policy: p, Horizon: lab.Horizon, Partition: partition, Budget: budget, RouterCrash: death, Seed: *seed}
						printRow(c, run(t, c))
					}
				}
			}
		}
	}
}

func printRow(c lab.Cell, r lab.Result) {
	per := func(n int64) float64 { return 100 * float64(n) / float64(r.Requests) }
	fmt.Printf("%-10s %-22s %9s %5.0f%% %5t | %8d %9d %9.1f %7.1f %8.2f %9d %9d %7.2f %7.2f\n", c.Deployment.Name, c.Policy.Name,
		c.Partition, 100*c.Budget, c.RouterCrash, r.Requests, r.Overspend, r.FalseRefusalsPer10k(), 1e4*float64(r.FalseOutOfReach)/float64(r.Requests), 1e4*float64(r.LostRequests)/float64(r.Requests),
		r.Stranded, r.Forfeited, per(r.Writes), per(r.Reads))
}
