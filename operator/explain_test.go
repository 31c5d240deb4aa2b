package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller's request was refused by one router and served by another. Its way is printed
// by process, with what the process had lost just before, and nothing of other requests.
func TestExplain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(strings.Join([]string{
		`{"life":"a/1","time":"2026-01-01T10:00:00.000Z","event":"tokens_lost"}`,
		`{"life":"a/1","id":"r1","time":"2026-01-01T10:00:01.000Z","event":"request","status":503}`,
		`{"life":"a/1","id":"r2","time":"2026-01-01T10:00:01.100Z","event":"request","status":200}`,
		`{"life":"a/1","time":"2026-01-01T10:01:00.000Z","event":"tokens_regained"}`,
		`{"life":"b/1","id":"r1","time":"2026-01-01T09:59:59.000Z","event":"request","status":200}`,
		`panic: not a line of the log`,
	}, "\n")), 0o600))
	lines, err := readLog(path)
	require.NoError(t, err)
	require.Len(t, lines, 5)
	var out strings.Builder
	require.True(t, explain(&out, lines, "r1", 3*time.Second))
	require.Equal(t, []string{"== a/1", "tokens_lost", "503", "== b/1", "200"}, marks(out.String()))
	require.False(t, explain(&out, lines, "unknown", time.Second))
}

// A request went to an upstream that had left. What its router had missed and whom it followed is
// told beside the request, as all that the process learned then; requests of others are not. The
// list of events that were printed had none of these, so the cause did not show.
func TestExplainTellsAllThatTheProcessLearned(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	learned := []string{"upstream_missing", "members_changed", "changes_followed_at", "lender_not_settled"}
	var log strings.Builder
	for _, event := range learned {
		fmt.Fprintf(&log, `{"life":"a/1","time":"2026-01-01T10:00:00.000Z","event":%q}`+"\n", event)
	}
	log.WriteString(`{"life":"a/1","id":"r1","time":"2026-01-01T10:00:01.000Z","event":"request","status":504}
{"life":"a/1","time":"2026-01-01T10:00:01.000Z","event":"refused","status":404}
{"life":"a/1","id":"r2","time":"2026-01-01T10:00:01.000Z","event":"refused","status":404}
`)
	require.NoError(t, os.WriteFile(path, []byte(log.String()), 0o600))
	lines, err := readLog(path)
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, explain(&out, lines, "r1", 3*time.Second))
	for _, event := range learned {
		require.Contains(t, out.String(), event)
	}
	require.NotContains(t, out.String(), "refused")
}

// marks are the telling parts of printed lines.
func marks(text string) (out []string) {
	for line := range strings.Lines(text) {
		for _, m := range []string{"== a/1", "== b/1", "tokens_lost", "tokens_regained", "503", "200", "r2"} {
			if strings.Contains(line, m) && !(strings.HasPrefix(line, "{") && strings.HasPrefix(m, "==")) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}
