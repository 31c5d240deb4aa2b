package grant_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes property tests reproducible; -rapid.seed=N overrides it.
const seed = "20261202"

// checks is the number of interleavings per property; fewer missed known faults.
const checks = "1500"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
