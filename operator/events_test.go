package operator

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// hostedPackages are the packages of the processes on the operators' platform.
var hostedPackages = []string{"gateway", "hosted", "lender", "prepaid"}

// Guards against log events that are missing from docs/OPERATIONS.md, or are there under another
// name: on-call readers look up log lines on that page. Fifteen events were missing, and one was
// listed under a name that no log line has.
func TestOperatorsPageNamesAllEvents(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	event := regexp.MustCompile(`Msg\("([a-z_]+)"\)`)
	found := 0
	for _, p := range hostedPackages {
		files, err := filepath.Glob(filepath.Join("..", p, "*.go"))
		require.NoError(t, err)
		for _, f := range files {
			source, err := os.ReadFile(f)
			require.NoError(t, err)
			for _, m := range event.FindAllStringSubmatch(string(source), -1) {
				found++
				require.True(t, strings.Contains(string(page), "`"+m[1]+"`"), "%s: event %s", f, m[1])
			}
		}
	}
	require.NotZero(t, found)
}
