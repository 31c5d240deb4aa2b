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

// A caller's request is refused by one router and served by another. Its lines are printed
// by process, with the losses logged shortly before, and without lines of other requests.
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
	require.Equal(t, []string{"== a/1", "tokens_lost", "503", "== b/1", "200"}, findMarkers(out.String()))
	require.False(t, explain(&out, lines, "unknown", time.Second))
}

// Guards against an explanation without the cause: a request goes to an upstream that has left, but
// the events that show why (a missing upstream, another relay) are not on a list of events to print.
// All events of the process around that time must be printed, except those of other requests.
func TestExplainPrintsDependencyEvents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	events := []string{"upstream_missing", "members_changed", "changes_followed_at", "lender_not_settled"}
	var log strings.Builder
	for _, event := range events {
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
	for _, event := range events {
		require.Contains(t, out.String(), event)
	}
	require.NotContains(t, out.String(), "refused")
}

// findMarkers returns the first known marker in each printed line.
func findMarkers(text string) (out []string) {
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
