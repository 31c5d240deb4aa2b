package grant_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes each run of the properties the same. -rapid.seed=N looks elsewhere.
const seed = "20261202"

// checks is the number of interleavings; fewer miss the faults that were found.
const checks = "1500"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
