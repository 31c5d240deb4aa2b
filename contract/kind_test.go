package contract

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// An inconsistent row of the answers table would mislead callers: another upstream would
// be tried for a request that ran, or a 429 or 503 would have no Retry-After.
func TestTable(t *testing.T) {
	for _, k := range Kinds() {
		a := k.Answer()
		require.GreaterOrEqual(t, a.Status, 400, k)
		if a.TryOther {
			require.True(t, a.NotRun, "%s: another upstream may be tried only if the request did not run", k)
		}
		if a.Status == 503 || a.Status == 429 {
			require.Positive(t, a.RetryAfter, k)
		}
	}
	for _, k := range []Kind{OutcomeUnknown, UpstreamFailed, TimedOut, InProgress, Internal} {
		require.False(t, k.Answer().NotRun, k)
	}
	require.Equal(t, Internal.Answer(), Kind("no such kind").Answer())
}

func TestRefusalBody(t *testing.T) {
	w := httptest.NewRecorder()
	Refuse(BudgetUnreachable, "cut off").Write(w, "r-1")
	var body ErrorBody
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Equal(t, ErrorDetail{Kind: BudgetUnreachable, Message: "cut off", RequestID: "r-1", NotRun: true}, body.Error)
	require.Equal(t, "2", w.Header().Get("Retry-After"))
}
