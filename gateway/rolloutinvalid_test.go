package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against an order that cannot be followed and is ignored without a word, and against one that ends the roll-out before it, or
// keeps the next one from being followed.
func TestInvalidOrders(t *testing.T) {
	for _, c := range []struct{ name, order, field string }{
		{"a duration that is no number", `{"service":"plain","to":"v2","duration_s":"soon"}`, "duration_s"},
		{"no duration", `{"service":"plain","to":"v2"}`, "duration_s"},
		{"a negative duration", `{"service":"plain","to":"v2","duration_s":-8}`, "duration_s"},
		{"an endless duration", `{"service":"plain","to":"v2","duration_s":1e300}`, "duration_s"},
		{"no version", `{"service":"plain","duration_s":8}`, "to"},
		{"a version that is no text", `{"service":"plain","to":2,"duration_s":8}`, "to"},
		{"another service", `{"service":"model","to":"v2","duration_s":8}`, "service"},
		{"bytes that cannot be read", "\xff{", ""},
	} {
		for _, during := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, during a roll-out %t", c.name, during), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					r := startRolloutFleet(f, 41, 3)
					if during {
						r.order(standin.Serve, 0)
						time.Sleep(time.Second)
					}
					require.NoError(t, f.store.CorruptRolloutOrder("plain", []byte(c.order)))
					time.Sleep(time.Second)
					logged := 0
					for line := range linesWith(f.log.String(), "order_unreadable") {
						require.Contains(t, line, "op/rollout/plain")
						require.Contains(t, line, c.field)
						logged++
					}
					require.Equal(t, r.routers, logged, "one line of each router")
					state, _, err := f.store.RolloutStatus("plain")
					require.NoError(t, err)
					if during {
						require.Equal(t, "in_progress", state, "the order before it stays")
						require.NoError(t, f.store.OrderRollout("plain", "v2", r.duration))
						return
					}
					require.Empty(t, state)
					r.order(standin.Serve, 0)
					r.play(r.duration+time.Second, nil)
					require.Equal(t, "completed", r.state, r.reasons())
				})
			})
		}
	}
}

// Guards against a service whose upstreams are stopped for a version that does not exist, and against a roll-out without an end.
func TestOrderOfAnUnknownServiceOrVersion(t *testing.T) {
	for _, service := range []string{"plain", "none", "unheard-of"} {
		for _, requests := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, requests %t", service, requests), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					r := startRolloutFleet(f, 42, 3)
					require.NoError(t, f.store.OrderRollout(service, "v9", 4*time.Second))
					r.version, r.ordered = "v9", time.Now()
					if requests {
						r.play(6*time.Second, nil)
						require.Equal(t, map[int]int{200: r.statuses[200]}, r.statuses)
					} else {
						time.Sleep(6 * time.Second)
					}
					state, version, err := f.store.RolloutStatus(service)
					require.NoError(t, err)
					require.Equal(t, "rolled_back", state)
					require.Equal(t, "v9", version)
				})
			})
		}
	}
}
