package ratelimit

import (
	"flag"
	"os"
	"testing"
)

// seed makes each run of the properties the same. -rapid.seed=N looks elsewhere.
const seed = "20261204"

// checks is the number of plays of a property.
const checks = "300"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	flag.Parse()
	os.Exit(m.Run())
}
