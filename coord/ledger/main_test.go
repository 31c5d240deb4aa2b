package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes the property tests deterministic; -rapid.seed=N overrides it.
const seed = "20261202"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	flag.Parse()
	os.Exit(m.Run())
}
