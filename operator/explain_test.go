package operator

import (
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
