package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a prompt that ends another upstream each few minutes for as long as callers bring it.
func TestProvenPromptIsRetriedThreeTimesInADay(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 7 * time.Minute, 30 * time.Minute} {
		t.Run(every.String(), func(t *testing.T) {
			var r Registry
			ends := 0
			for now := start; now.Before(start.Add(24 * time.Hour)); now = now.Add(every) {
				r.Expire(now)
				if r.Allow(now, "p", "model", fmt.Sprint(now.UnixNano())) {
					ends++
					r.Add(now, ended("p", fmt.Sprint("i-", ends)))
				}
			}
			require.LessOrEqual(t, ends, endsProven+3)
		})
	}
}
