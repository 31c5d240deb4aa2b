package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a prompt that crashes another upstream every few minutes for as long as callers
// send it.
func TestProvenPromptIsRetriedAtMostThreeTimesADay(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 7 * time.Minute, 30 * time.Minute} {
		t.Run(every.String(), func(t *testing.T) {
			var r Registry
			crashes := 0
			for now := start; now.Before(start.Add(24 * time.Hour)); now = now.Add(every) {
				r.Expire(now)
				if r.Allow(now, "p", "model", fmt.Sprint(now.UnixNano())) {
					crashes++
					r.Add(now, crashEvidence("p", fmt.Sprint("i-", crashes)))
				}
			}
			require.LessOrEqual(t, crashes, provenThreshold+3)
		})
	}
}
