package prepaid

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with all budgets that a router ever took tokens of: holdings that are older than copies of the store
// are forgotten, also while the router sends others.
func TestOldHoldingsAreForgotten(t *testing.T) {
	var h holdings
	row := func(granted int64) map[string]account.Confirmation {
		return map[string]account.Confirmation{fmt.Sprint("team-", granted): {Row: &account.Row{Granted: granted}}}
	}
	now := time.Now()
	for minute := range int64(30) {
		h.record(now.Add(time.Duration(minute)*time.Minute), link.HoldingsNotice{Holder: "router/1", Page: "p", Rows: row(minute + 1)})
	}
	held := h.list([]string{"p"})["router/1"]["p"]
	require.EqualValues(t, 30, held["team-30"])
	require.LessOrEqual(t, len(held), 2*int(holdingsRetention/time.Minute))
	require.NotContains(t, held, "team-1")
}
