package grant_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes each run of the properties the same. -rapid.seed=N looks elsewhere.
const seed = "20261202"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	flag.Parse()
	os.Exit(m.Run())
}
