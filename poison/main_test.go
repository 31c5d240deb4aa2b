package poison

import (
	"flag"
	"os"
	"testing"
)

// seed makes property tests reproducible. -rapid.seed=N overrides it.
const seed = "20261203"

// checks is the number of cases per property.
const checks = "300"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
