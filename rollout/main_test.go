package rollout

import (
	"flag"
	"os"
	"testing"
)

// seed makes property tests reproducible; -rapid.seed=N overrides it.
const seed = "20261203"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	flag.Parse()
	os.Exit(m.Run())
}
