package prepaid

import (
	"flag"
	"os"
	"testing"
)

// seed makes property tests reproducible; -rapid.seed=N overrides it.
const seed = "7702"

// checks is the number of random orders per property.
const checks = "60"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
