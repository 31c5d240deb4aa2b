package retrybudget_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes property tests deterministic; -rapid.seed=N overrides it.
const seed = "20261203"

// checks is the number of fleets that each property test generates.
const checks = "400"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
